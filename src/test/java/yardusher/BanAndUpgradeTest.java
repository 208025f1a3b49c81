package yardusher;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import yardusher.Api.*;
import yardusher.PolicyTest.Gateway;

/** Operator actions: banned servers, and two processes of one gateway during an upgrade. */
class BanAndUpgradeTest {
    private static final Server[] TWO = {new Server(1, 0, 0, 1, 0, Readiness.READY), new Server(2, 0, 0, 1, 0, Readiness.READY)};

    /** Delivers the pending messages of one process to the other. */
    private static void deliver(Gateway from, Gateway to) {
        List<Tell> messages = from.actions.stream().filter(a -> a instanceof Tell t && t.to() == from.self).map(a -> (Tell) a).toList();
        from.actions.clear();
        for (Tell tell : messages) { to.on(new PeerMessage(from.self, tell.body())); }
    }

    private static long sentTo(Gateway g, long server) {
        return g.actions.stream().filter(a -> a instanceof Send s && s.server() == server).count();
    }

    @Test
    void aBannedServerGetsNothingAndComesBackColdWithItsHealthReset() {
        Gateway gateway = new Gateway(0, 1, 0, TWO);
        gateway.runTo(5000);
        long id = gateway.ask(0, PolicyTest.FREE_PLAN, 7, 1);
        long bad = gateway.sent(id).server();              // it refuses connections and is ejected
        gateway.on(new AttemptDone(id, 0, bad, Outcome.CONNECT_FAILED, 10, true, 0, null));
        assertThat(gateway.policy.countAvoided(gateway.now)).isEqualTo(1);
        gateway.on(new Ban(bad, true));
        gateway.on(new Ban(bad, true));
        gateway.on(new ServerList(ListKind.DELTA, List.of(new Server(bad, 0, 0, 1, 0, Readiness.GONE))));
        assertThat(gateway.policy.countAvoided(gateway.now)).isZero(); // not listed
        gateway.runTo(15_000);
        gateway.on(new ServerList(ListKind.FULL, List.of(TWO)));
        assertThat(gateway.policy.countAvoided(gateway.now)).isEqualTo(1);
        gateway.actions.clear();
        assertThat(gateway.admitted(200, PolicyTest.FREE_PLAN, 7, 1)).isPositive();
        assertThat(sentTo(gateway, bad)).isZero();
        gateway.on(new Ban(bad, false));
        assertThat(gateway.policy.countAvoided(gateway.now)).isZero();
        long cold = 0;
        for (int i = 0; i < 40; i++) {               // over 4 s: a cold server gets its tokens over time, not at once
            gateway.runTo(gateway.now + 100);
            gateway.actions.clear();
            gateway.admitted(10, PolicyTest.FREE_PLAN, 7, 1);
            cold += sentTo(gateway, bad);
        }
        assertThat(cold).isBetween(1L, 150L);        // about a quarter of the draws, since it is cold
    }

    @Test
    void theNextProcessGetsTheCountsOfThePreviousOne() {
        Gateway old = new Gateway(0, 3, 0, TWO);
        old.runTo(5000);
        assertThat(old.admitted(6, PolicyTest.QUOTA_PLAN, 7, 1)).isEqualTo(6);
        Gateway next = new Gateway(0, 3, 5000, TWO);
        next.on(new SiblingProcess(true, false));
        old.on(new SiblingProcess(true, true));
        deliver(old, next);
        assertThat(old.admitted(2, PolicyTest.QUOTA_PLAN, 7, 1)).isEqualTo(2);
        old.runTo(5060);
        deliver(old, next);
        next.runTo(5060);
        assertThat(next.admitted(20, PolicyTest.QUOTA_PLAN, 7, 1)).isBetween(1, 2); // eight of ten are used
    }

    @Test
    void twoProcessesEarnOneShareOfACeiling() {
        Gateway old = new Gateway(0, 3, 0, TWO);
        old.runTo(5000);
        old.admitted(1, PolicyTest.CEILING_PLAN, 7, 1);
        Gateway next = new Gateway(0, 3, 5000, TWO);
        next.on(new SiblingProcess(true, false));
        next.admitted(1, PolicyTest.CEILING_PLAN, 7, 1);
        next.runTo(10_000);
        int early = next.admitted(50, PolicyTest.CEILING_PLAN, 7, 1);
        next.on(new SiblingProcess(true, true));
        old.runTo(10_000);
        old.on(new SiblingProcess(true, false));
        int before = old.admitted(50, PolicyTest.CEILING_PLAN, 7, 1);
        old.runTo(15_000);
        assertThat(early).isLessThanOrEqualTo(1);    // the slack alone
        assertThat(before).isPositive();
        assertThat(old.admitted(50, PolicyTest.CEILING_PLAN, 7, 1)).as("earned after the other took over, but for the slack")
                .isLessThanOrEqualTo(2);
        next.runTo(20_000);
        assertThat(next.admitted(50, PolicyTest.CEILING_PLAN, 7, 1)).isPositive();
    }
}

package yardusher;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import yardusher.Api.*;

/** Customers whose total demand comes by {@link ExternalDemand}: it decides on admission, and their counts are not gossiped. */
class ExternalDemandTest {
    private static final int REQUESTS = 4000;
    private final List<Action> actions = new ArrayList<>();
    private final Policy policy = new Policy(new Settings(0, 100, 0, 1, List.of(PolicyTest.IDEMPOTENT), List.of(new Plan(20, 40, 0, 1, 0, 0, 0), new Plan(20, 40, 5, 1, 0, 0, 0)),
            new Limits(1, true, true, 1000), new Rules(0.25, 10_000, 3, 1000, 1000), List.of(), false, 60, 2, 0, 0.01), 7, 0, actions::add);

    ExternalDemandTest() { policy.on(0, new ServerList(ListKind.CACHED, List.of(new Server(11, 0, 0, 1, 0, Readiness.READY)))); }

    /** Number of admitted requests. Each request is of another customer, so that its own row always has room. */
    private long countAdmitted(double unitsPerS, double delayMs) {
        double now = 10_000;
        for (int i = 0; i < REQUESTS; i++) {
            now += 50;
            if (unitsPerS > 0) { policy.on(now, new ExternalDemand(i, 0, unitsPerS)); }
            policy.on(now + delayMs, new Request(i, 0, 0, i, now + delayMs + 2000, 2, 0, 100));
            if (actions.stream().anyMatch(a -> a instanceof Send)) { policy.on(now + delayMs, new AttemptDone(i, 0, 11, Outcome.SERVED, 1, true, 0, null)); }
            now += delayMs;
            admitted += actions.removeIf(a -> a instanceof Send) ? 1 : 0;
        }
        return admitted;
    }

    private long admitted;

    @Test
    void theFractionThatTheQuotaAllowsIsAdmitted() { assertThat(countAdmitted(80, 0)).isBetween(REQUESTS * 22L / 100, REQUESTS * 28L / 100); }

    @Test
    void demandWithinTheQuotaIsAdmittedInFull() { assertThat(countAdmitted(20, 0)).isEqualTo(REQUESTS); }

    @Test
    void demandReportedAWindowAgoIsIgnored() { assertThat(countAdmitted(80, 2001)).isEqualTo(REQUESTS); }

    @Test
    void countsOfLargeSetsAreNotGossipedAndThoseOfOthersAre() {
        policy.on(0, new ExternalDemandThreshold(50));
        double now = 5000;
        for (int[] of : new int[][] {{100, 0}, {3, 0}, {100, 1}}) { // the second plan has a cap on requests open at once
            int gatewayCount = of[0], plan = of[1];
            actions.clear();
            policy.on(now += 1000, new Request(gatewayCount + plan, 0, plan, gatewayCount + plan, now + 2000, 2, 0, gatewayCount));
            for (int i = 0; i < 5; i++) { policy.on(now += 500, new TimerFired(Clock.FLUSH_TOKEN)); }
            assertThat(actions.stream().filter(Tell.class::isInstance).count() > 0).as("a set of %d, plan %d", gatewayCount, plan)
                    .isEqualTo(gatewayCount < 50 || plan == 1);
        }
    }
}

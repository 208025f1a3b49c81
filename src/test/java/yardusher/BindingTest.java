package yardusher;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import yardusher.Api.*;

/** Requests bound to a server, zone or cell, and servers with a bound on concurrent attempts. */
class BindingTest {
    private final List<Action> actions = new ArrayList<>();
    private final Policy policy = new Policy(new Settings(0, 1, 0, 1, List.of(PolicyTest.IDEMPOTENT), List.of(new Plan(1000, 1000, 0, 1, 0, 0, 0)),
            new Limits(3, true, true, 1000), new Rules(0.25, 0, 3, 1000, 10000), List.of(), false, 40, 1, 0, 0), 42, 0, actions::add);
    private double now = 10;
    private long ids;

    private Action ask(Binding binding) {
        actions.clear();
        policy.on(now, new Request(++ids, 0, 0, 99, 1900, 1, 0, 1, binding));
        return actions.stream().filter(one -> one instanceof Send || one instanceof Refuse).findFirst().orElseThrow();
    }

    private void listServers() {
        policy.on(0, new ServerList(ListKind.FULL, List.of(new Server(7, 0, 0, 1, 0, Readiness.READY),
                new Server(8, 0, 1, 1, 0, Readiness.READY), new Server(9, 1, 2, 1, 0, Readiness.READY))));
    }

    @Test
    void aBoundRequestGoesNowhereElse() {
        listServers();
        for (int i = 0; i < 4; i++) {
            assertThat(ask(new Binding(8, -1, -1))).isInstanceOfSatisfying(Send.class, send -> assertThat(send.server()).isEqualTo(8));
            assertThat(ask(new Binding(-1, 1, -1))).isInstanceOfSatisfying(Send.class, send -> assertThat(send.server()).isEqualTo(9));
            assertThat(ask(new Binding(-1, 0, 0))).isInstanceOfSatisfying(Send.class, send -> assertThat(send.server()).isEqualTo(7));
        }
        assertThat(ask(new Binding(12, -1, -1))).isInstanceOfSatisfying(Refuse.class, no -> assertThat(no.reason()).isEqualTo(Reason.NO_SERVER));
    }

    @Test
    void openAttemptsStayWithinTheLimitOfTheServer() {
        listServers();
        policy.on(1, new AttemptLimit(7, 0));
        policy.on(1, new AttemptLimit(8, 1));
        policy.on(1, new AttemptLimit(9, 2));
        policy.on(1, new AttemptLimit(10, 2));               // not listed: ignored
        List<Long> sent = new ArrayList<>();
        for (int i = 0; i < 3; i++) { sent.add(((Send) ask(null)).server()); }
        assertThat(sent).containsExactlyInAnyOrder(8L, 9L, 9L);
        assertThat(ask(null)).isInstanceOf(Refuse.class);
        now = 20;
        policy.on(20, new AttemptDone(1, 0, sent.get(0), Outcome.SERVED, 10, true, 0, null));
        policy.on(20, new AttemptLimit(7, 1));
        assertThat(List.of(((Send) ask(null)).server(), ((Send) ask(null)).server())).containsExactlyInAnyOrder(7L, sent.get(0));
    }
}

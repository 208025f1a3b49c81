package yardusher;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import yardusher.Api.*;

/** When a request may be retried, and when an open attempt must not be abandoned for a retry. Times are in milliseconds. */
class RepeatsTest {
    private static final Plan FREE = new Plan(0, 0, 0, 1, 0, 0, 0);
    private final List<Action> actions = new ArrayList<>();
    private Policy policy;

    /** Starts one ingress with two backends in different cells, and a class with half an aim of 250 ms. */
    private void start(Effect effect, Group group, double windowMs) {
        RequestClass requestClass = new RequestClass(500, 2000, 1, 0.1, effect, group, windowMs, false);
        policy = new Policy(new Settings(0, 1, 0, 1, List.of(requestClass), List.of(FREE), new Limits(4, true, false, 1000), new Rules(0.25, 10_000, 3, 1000, 1000),
                List.of(), false, 60, 1, 0, 0.01), 7, 0, actions::add);
        policy.on(0, new ServerList(ListKind.CACHED, List.of(server(11, 0), server(12, 1))));
    }

    private static Server server(long id, int cell) { return new Server(id, 0, cell, 1, 0, Readiness.READY); }

    private void ask(long id) { policy.on(0, new Request(id, 0, 0, 1, 2000, 1, 0, 1)); }

    private List<Send> sends(long id) {
        return actions.stream().filter(a -> a instanceof Send s && s.id() == id).map(a -> (Send) a).toList();
    }

    private long cancels() { return actions.stream().filter(Cancel.class::isInstance).count(); }

    /** Lets four requests hang until half of their aim, two at each backend; returns how many are abandoned. */
    private long countAbandoned() {
        for (long id = 1; id <= 4; id++) { ask(id); }
        for (Action a : List.copyOf(actions)) {
            if (a instanceof SetTimer t && t.atMs() == 250) { policy.on(250, new TimerFired(t.token())); }
        }
        return cancels();
    }

    /** Guards against a retry in the wrong group after the list has moved the backend of the first attempt. */
    @Test
    void aRetryStaysInTheCellOfTheFirstAttemptWhenTheListMovesItsBackend() {
        start(Effect.DEDUPLICATED, Group.CELL, 1000);
        ask(1);
        long first = sends(1).get(0).server();
        policy.on(10, new ServerList(ListKind.DELTA, List.of(server(first, first == 11 ? 1 : 0)))); // now in the other's cell
        policy.on(20, new AttemptDone(1, 0, first, Outcome.CONNECTION_LOST, 20, false, 0, null));
        assertThat(sends(1)).as("no other backend is in the cell of the first attempt").hasSize(1);
        assertThat(actions).contains(new Fail(1));
    }

    @Test
    void anAttemptIsNotAbandonedWhereNoRetryIsAllowed() {
        start(Effect.DEDUPLICATED, Group.ALL, 100);   // its window has passed by then
        assertThat(countAbandoned()).as("window of 100 ms").isZero();
        actions.clear();
        start(Effect.DEDUPLICATED, Group.CELL, 1000); // alone in its cell
        assertThat(countAbandoned()).as("one backend a cell").isZero();
        actions.clear();
        start(Effect.AT_MOST_ONCE, Group.ALL, 0);
        assertThat(countAbandoned()).as("at most once").isZero();
        actions.clear();
        start(Effect.DEDUPLICATED, Group.ALL, 1000);
        assertThat(countAbandoned()).as("where one may follow").isPositive();
        actions.clear();
        start(Effect.IDEMPOTENT, Group.CELL, 0);
        assertThat(countAbandoned()).as("where any may follow").isPositive();
    }

    /** The outcome of the first attempt and the effect of the request decide on a retry. */
    @ParameterizedTest
    @EnumSource(Outcome.class)
    void outcomeAndEffectDecideOnARetry(Outcome how) {
        if (how == Outcome.SERVED) { return; }        // the request is finished
        boolean never = how == Outcome.REJECTED || how == Outcome.CONNECT_FAILED || how == Outcome.LOCAL_FAILURE;
        for (Effect effect : Effect.values()) {
            for (Group group : Group.values()) {
                actions.clear();
                start(effect, group, 1000);
                ask(1);
                policy.on(20, new AttemptDone(1, 0, sends(1).get(0).server(), how, 20, false, 0, null));
                boolean due = how != Outcome.NOT_SENT
                        && (never || effect == Effect.IDEMPOTENT || effect == Effect.DEDUPLICATED && group != Group.CELL);
                assertThat(sends(1)).as("%s after %s, group %s", effect, how, group).hasSize(due ? 2 : 1);
                boolean harmless = how.neverRan() || effect == Effect.IDEMPOTENT || effect == Effect.DEDUPLICATED && group == Group.ALL;
                if (!due) { assertThat(actions.get(actions.size() - 1)).isInstanceOf(harmless ? Refuse.class : Fail.class); }
            }
        }
    }

    /** The deduplication window starts with the first attempt that may have run, not with one that never ran or with the last. */
    @Test
    void theWindowStartsWithTheFirstAttemptThatMayHaveRun() {
        start(Effect.DEDUPLICATED, Group.ALL, 300);
        ask(1);
        policy.on(100, new AttemptDone(1, 0, sends(1).get(0).server(), Outcome.REJECTED, 100, false, 0, null));
        policy.on(200, new AttemptDone(1, 1, sends(1).get(1).server(), Outcome.CONNECTION_LOST, 100, false, 0, null));
        policy.on(390, new AttemptDone(1, 2, sends(1).get(2).server(), Outcome.REJECTED, 190, false, 0, null));
        assertThat(sends(1)).as("290 after the second was sent").hasSize(4);
        policy.on(401, new AttemptDone(1, 3, sends(1).get(3).server(), Outcome.REJECTED, 11, false, 0, null));
        assertThat(sends(1)).as("301 after it").hasSize(4);
    }
}

package yardusher;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import yardusher.Api.*;

/** Quotas and requests with very many units. */
class LargeCountsTest {
    /** Guards against a row that grows with its units and is never sent because it fits no message. */
    @Test
    void aRowOfManyUnitsFitsOneMessage() {
        for (double units : new double[] {3000, 1_000_000}) {
            List<Action> actions = new ArrayList<>();
            Policy policy = new Policy(new Settings(0, 2, 0, 1, List.of(PolicyTest.IDEMPOTENT), List.of(new Plan(1e6, 1e7, 0, 1, 0, 0, 0)),
                    new Limits(4, true, true, 1000), new Rules(0.25, 10_000, 3, 1000, 1000), List.of(), false, 60, units, 0, 0.01), 7, 0, actions::add);
            policy.on(0, new ServerList(ListKind.CACHED, List.of(new Server(11, 0, 0, 1, 0, Readiness.READY))));
            policy.on(0, new Request(1, 0, 0, 5, 2000, units, 0, 2));
            for (double now = 500; now <= 3000; now += 500) { policy.on(now, new TimerFired(Clock.FLUSH_TOKEN)); }
            List<Integer> lengths = actions.stream().filter(Tell.class::isInstance).map(a -> ((Tell) a).body().length()).toList();
            assertThat(lengths).as("%s units", units).allMatch(length -> length <= 256).anyMatch(length -> length > 200);
        }
    }
}

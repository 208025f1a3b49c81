package yardusher;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import yardusher.Api.*;

/** Compares the admission by one gateway with the token bucket that it implements. */
class QuotaStoreTest {
    /**
     * For any demand and any refill per slot, a run admits at most the burst, the refill, and one slot's worth more, since the
     * order within a slot is not kept.
     */
    @Property(tries = 200)
    void noMoreIsAdmittedThanTheBucketHolds(@ForAll @DoubleRange(min = 0.5, max = 40) double rate,
            @ForAll @DoubleRange(min = 0.5, max = 8) double burstS, @ForAll @DoubleRange(min = 1.5, max = 8) double demand,
            @ForAll @IntRange(min = 1, max = 4) int maxUnits, @ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        double burst = Math.max(2 * maxUnits, rate * burstS);
        Settings settings = new Settings(0, 1, 0, 1, List.of(PolicyTest.IDEMPOTENT), List.of(new Plan(rate, burst, 0, 1, 0, 0, 0, 0.5)),
                new Limits(4, true, true, 1000), new Rules(0.25, 10000, 3, 1000, 1000), List.of(), false, 60, maxUnits, 0, 0.01);
        List<Action> actions = new ArrayList<>();
        Policy policy = new Policy(settings, seed, 0, actions::add);
        policy.on(0, new ServerList(ListKind.CACHED, List.of(PolicyTest.TWO_SERVERS)));
        double window = burst / rate * 1000, start = window + 1, end = start + 20_000, admitted = 0;
        double every = 1000 * (1 + maxUnits) / 2.0 / (rate * demand);
        long id = 0;
        for (double timeMs = start; timeMs < end; timeMs += every * 2 * random.nextDouble()) {
            int units = 1 + random.nextInt(maxUnits);
            actions.clear();
            policy.on(timeMs, new Request(++id, 0, 0, 7, timeMs + 2000, units, 0, 1));
            for (Action action : List.copyOf(actions)) {
                if (action instanceof Send s) {
                    admitted += units;
                    policy.on(timeMs, new AttemptDone(s.id(), 0, s.server(), Outcome.SERVED, 5, true, 0, null));
                }
            }
        }
        double slot = burst / 10;
        assertThat(admitted).isLessThanOrEqualTo(burst + rate * (end - start) / 1000 + slot + 1e-6);
    }
}

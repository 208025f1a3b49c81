package yardusher;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import yardusher.BurstRun.Scenario;

/**
 * Guards against queues that outlast a burst. 25 ingresses each send less than one request per second to each backend, and backends
 * continue abandoned work: after a burst of six seconds requests must be served in time again and hardly any refused.
 */
class BurstTest {
    private static BurstRun run(int servers, int cold, int joining, int hung, double load, double burst, long seed) {
        Scenario scenario = new Scenario(25, servers, cold, joining, hung, load, burst, 0.3, 10_000, 72, 750, 2000, 2, 4, 20, false, seed);
        BurstRun run = new BurstRun(scenario).run(32_000);
        System.out.printf("burst: %d + %d backends, %d cold, %d hung, asked %.2f, in the burst %.2f, seed %d: in time %.3f of 8 to 18 s, %.3f after; "
                + "%d refused for pressure from 22 s on%n", servers, joining, cold, hung, load, burst, seed, run.served(8000, 18_000), run.served(18_000, 30_000),
                run.refusedForPressure(22_000, 30_000));
        return run;
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void requestsAreServedDuringAndAfterABurstAboveCapacity(long seed) {
        BurstRun run = run(11, 0, 0, 0, 0.6, 1.2, seed);
        assertThat(run.served(8000, 18_000)).isGreaterThan(0.6);
        assertThat(run.served(18_000, 30_000)).isGreaterThan(0.99);
        assertThat(run.refusedForPressure(22_000, 30_000)).as("of some 1,500").isLessThan(15);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void requestsAreServedDuringAndAfterABurstWhileBackendsAreCold(long seed) {
        BurstRun run = run(9, 4, 2, 0, 0.6, 0.9, seed);
        assertThat(run.served(8000, 18_000)).isGreaterThan(0.55);
        assertThat(run.served(18_000, 30_000)).isGreaterThan(0.99);
        assertThat(run.refusedForPressure(22_000, 30_000)).as("of some 1,500").isLessThan(15);
    }

    /** Guards against a fleet-wide lateness signal that also stops attempts at a hanging backend from being started over elsewhere. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void hangingBackendsDelayFewRequests(long seed) {
        assertThat(run(11, 0, 0, 5, 0.5, 0.5, seed).served(8000, 18_000)).isGreaterThan(0.9);
    }
}

package yardusher;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import yardusher.Api.*;

/** Load shedding refuses the set fraction of the work, the least worth first, evenly, and nothing more. */
class PressureTest {
    private static RequestClass requestClass(double worth) { return new RequestClass(500, 2000, worth, 0, Effect.IDEMPOTENT, Group.ALL, 0, false); }

    private final Settings settings = new Settings(0, 3, 0, 1, List.of(requestClass(1), requestClass(1), requestClass(3)), List.of(new Plan(0, 0, 0, 1, 0, 0, 0)),
            new Limits(4, true, true, 1000), new Rules(0.25, 10_000, 3, 1000, 1000), List.of(), false, 60, 1, 0, 0.01);
    private final Servers servers = new Servers(settings, new Clock(0), new SplittableRandom(1), action -> { }, new FaultReporter() {
        @Override
        public void report(int peer, FaultReport fault) { }

        @Override
        public void passOn(FaultReport fault) { }
    });
    private final Pressure pressure = new Pressure(settings, servers);
    private long ids;

    /** Number of refused ones of so many requests of a class. */
    private int refused(int classIndex, int asked) {
        int refused = 0;
        for (int i = 0; i < asked; i++) { refused += pressure.shouldShed(new Request(++ids, classIndex, 0, 7, 1000, 1, 0, 3)) ? 1 : 0; }
        return refused;
    }

    /** Sets the latency of answers as a fraction of the aim for so many sweeps, with requests of one class. */
    private void runWithLatency(double part, int sweeps) {
        servers.latencies.fleetFraction = part;
        for (int i = 0; i < sweeps; i++) {
            refused(0, 100);
            pressure.sweep();
        }
    }

    /** Guards against refusing all or none: the usual latency of a class changes with each answer, and so does its worth. */
    @Test
    void theShedFractionOfTheLeastWorthIsRefusedHoweverItsLatencyChanges() {
        runWithLatency(0.4, 20);
        assertThat(pressure.shedFraction).as("the part asked").isBetween(0.2, 0.5);
        int expected = (int) (1000 * pressure.shedFraction);
        for (double moved : new double[] {1, 1.02, 0.96, 1.1}) {
            servers.latencies.classLatencyMs[0] *= moved;
            assertThat(refused(0, 1000)).as("of 1000, its usual latency moved by %s", moved).isBetween(expected - 5, expected + 5);
        }
    }

    @Test
    void oncePressureIsOverNothingIsRefused() {
        runWithLatency(0.9, 20);
        assertThat(refused(0, 1000)).isGreaterThan(800);
        runWithLatency(0.1, 12);                        // 4.8 s later
        servers.latencies.classLatencyMs[0] *= 1.05;
        assertThat(refused(0, 1000)).isLessThan(2);
    }

    /** Of the same worth for their work none is refused before the other; of more worth nothing, while that is enough. */
    @Test
    void theCheapestAreRefusedFirstAndEqualOnesAlike() {
        servers.latencies.fleetFraction = 0.4;
        for (int i = 0; i < 20; i++) {
            for (int k = 0; k < 3; k++) { refused(k, 50); }
            pressure.sweep();
        }
        assertThat(pressure.shedFraction).as("the part asked").isBetween(0.2, 0.6); // of all; two thirds of it are cheap
        int asked = (int) (1500 * pressure.shedFraction);
        assertThat(refused(0, 1000)).isBetween(asked - 5, asked + 5);
        assertThat(refused(1, 1000)).isBetween(asked - 5, asked + 5);
        assertThat(refused(2, 1000)).isZero();
    }
}

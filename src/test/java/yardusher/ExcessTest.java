package yardusher;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** A hundred gateways with sparse traffic, which shows effects that ten do not. All figures: docs/measurements/excess.md. */
class ExcessTest {
    private static ExcessRun run(double loss) {
        ExcessRun run = new ExcessRun(100, loss, 1);
        run.run(4000, 8000);
        return run;
    }

    /**
     * Guards against counts that are queued for longer than their window, and against more messages than the gateways accept:
     * excess was 0.12 of the offered worth, a quarter of the messages was lost, and the rest cost 0.05.
     */
    @Test
    void countsComeInTimeAndCostLittle() {
        ExcessRun run = run(0.055);
        assertThat(run.droppedFraction()).as("lost at full receivers").isLessThan(0.03);
        assertThat(run.messageCost()).as("price of the messages").isLessThan(0.03);
        assertThat(run.excessCost()).as("price of excess").isLessThan(0.11);
        assertThat(run.admittedFraction()).as("let in inside the quotas").isGreaterThan(0.93);
    }

    /** Shows that the measure can fail: with all messages lost, the excess is that of a fleet without gossip. */
    @Test
    void excessIsSeenWhereNothingIsHeard() {
        assertThat(run(1).excessCost()).isGreaterThan(0.25);
    }
}

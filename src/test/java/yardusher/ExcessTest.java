package yardusher;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** A hundred gateways with thin traffic: what ten or so do not show. The figures at length: docs/measurements/excess.md. */
class ExcessTest {
    private static ExcessRun run(double loss) {
        ExcessRun run = new ExcessRun(100, loss, 1);
        run.run(4000, 8000);
        return run;
    }

    /**
     * Guards against counts that wait behind others for longer than their window, and against more messages than all take
     * in: excess was 0.12 of what is offered, a quarter of the messages was lost, and the rest cost 0.05.
     */
    @Test
    void countsComeInTimeAndCostLittle() {
        ExcessRun run = run(0.055);
        assertThat(run.droppedFraction()).as("lost at full receivers").isLessThan(0.03);
        assertThat(run.messageCost()).as("price of the messages").isLessThan(0.03);
        assertThat(run.excessCost()).as("price of excess").isLessThan(0.11);
        assertThat(run.admittedFraction()).as("let in inside the quotas").isGreaterThan(0.93);
    }

    /** The measure can fail: where gateways hear nothing of each other, excess is what it is without any gossip. */
    @Test
    void excessIsSeenWhereNothingIsHeard() {
        assertThat(run(1).excessCost()).isGreaterThan(0.25);
    }
}

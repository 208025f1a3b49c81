package yardusher.cli;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Danger: with few descriptors clients and backends were promised more than there are, and nothing was left for the watch. */
class BudgetTest {
    @Test
    void clientsAndBackendsAreNeverPromisedWhatTheProcessHoldsItself() {
        for (int sockets = 48; sockets < 4096; sockets++) {
            assertThat(Serve.budget(sockets)).as(sockets + " descriptors").isBetween(8, sockets - 40);
            assertThat(Serve.budget(sockets + 1)).isGreaterThanOrEqualTo(Serve.budget(sockets));
        }
        assertThat(Serve.budget(384)).isEqualTo(320);
        assertThat(Serve.budget(0)).as("too few for any ingress").isEqualTo(8);
    }
}

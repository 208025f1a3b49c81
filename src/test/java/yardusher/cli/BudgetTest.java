package yardusher.cli;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Danger: with few descriptors clients and backends were promised more than there are, and nothing was left for the watch. */
class BudgetTest {
    @Test
    void clientsAndBackendsAreNeverPromisedWhatTheProcessHoldsItself() {
        for (int sockets = 48; sockets < 4096; sockets++) {
            assertThat(IngressProcess.descriptorBudget(sockets)).as(sockets + " descriptors").isBetween(8, sockets - 40);
            assertThat(IngressProcess.descriptorBudget(sockets + 1)).isGreaterThanOrEqualTo(IngressProcess.descriptorBudget(sockets));
        }
        assertThat(IngressProcess.descriptorBudget(384)).isEqualTo(320);
        assertThat(IngressProcess.descriptorBudget(0)).as("too few for any ingress").isEqualTo(8);
    }
}

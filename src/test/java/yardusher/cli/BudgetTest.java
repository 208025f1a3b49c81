package yardusher.cli;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** With few descriptors, clients and backends were granted more than exist, and none was left for the watch. */
class BudgetTest {
    @Test
    void budgetNeverIncludesTheProcessOwnDescriptors() {
        for (int sockets = 48; sockets < 4096; sockets++) {
            assertThat(IngressProcess.descriptorBudget(sockets)).as(sockets + " descriptors").isBetween(8, sockets - 40);
            assertThat(IngressProcess.descriptorBudget(sockets + 1)).isGreaterThanOrEqualTo(IngressProcess.descriptorBudget(sockets));
        }
        assertThat(IngressProcess.descriptorBudget(384)).isEqualTo(320);
        assertThat(IngressProcess.descriptorBudget(0)).as("too few to run an ingress").isEqualTo(8);
    }
}

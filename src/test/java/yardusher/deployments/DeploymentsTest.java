package yardusher.deployments;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.TreeMap;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import yardusher.deployments.DeploymentRun.Plant;

/** All rules in drawn deployments; many more of them by {@link #main}. */
class DeploymentsTest {
    static DeploymentRun run(long seed) { return new DeploymentRun(Deployment.draw(seed), Plant.NONE).run(); }

    @Test
    void noRuleIsBrokenInTwoHundredDrawnDeployments() {
        LongStream.range(0, 200).parallel().forEach(seed ->
                assertThat(run(seed).broken).as("replay: DeploymentsTest %d 1", seed).isEmpty());
    }

    @Test
    void aSeedGivesTheSameRunEachTime() {
        for (long seed = 0; seed < 5; seed++) {
            DeploymentRun one = run(seed), other = run(seed);
            assertThat(new int[] {one.requests, one.sends, one.served}).isEqualTo(new int[] {other.requests, other.sends, other.served});
        }
    }

    /** The checker proves that it can fail: each fault is planted into a hundred deployments, and seen as what it is. */
    @ParameterizedTest
    @CsvSource({"ANSWERS_TWICE, answers:", "ANSWERS_NEVER, lost:", "DRAINS_UNTOLD, drain:", "EFFECTS_UNTOLD, effect:",
        "CEILINGS_UNTOLD, ceiling:", "COLD_UNTOLD, cold:", "ATTEMPTS_UNTOLD, attempts:"})
    void aPlantedFaultIsSeen(Plant plant, String rule) {
        long seen = LongStream.range(0, 100).parallel().filter(seed -> new DeploymentRun(Deployment.draw(seed), plant).run().broken.stream()
                .anyMatch(line -> line.contains(rule))).count();
        assertThat(seen).as("of 100 deployments").isPositive();
    }

    /** Arguments: first seed, how many. Prints a line for each seed that breaks a rule, and counts by rule. */
    public static void main(String[] args) {
        long first = Long.parseLong(args[0]), count = Long.parseLong(args[1]);
        Map<String, Integer> byRule = new TreeMap<>();
        long[] sums = new long[4];
        LongStream.range(first, first + count).parallel().forEach(seed -> {
            DeploymentRun run;
            try {
                run = run(seed);
            } catch (RuntimeException e) {
                synchronized (byRule) { byRule.merge("fault", 1, Integer::sum); }
                System.out.println("seed " + seed + ": " + e);
                return;
            }
            synchronized (byRule) {
                sums[0] += run.requests;
                sums[1] += run.sends;
                sums[2] += run.served;
                sums[3] += 31 * run.digest + seed;
                if (run.broken.isEmpty()) { return; }
                byRule.merge(run.broken.get(0).replaceAll("^.*? ms: (\\w+).*$", "$1"), 1, Integer::sum);
                System.out.println("seed " + seed + ": " + run.broken.get(0) + " (and " + (run.broken.size() - 1) + " more)");
            }
        });
        System.out.printf("%d deployments from seed %d: %d requests, %d attempts, %d served, digest %016x; broken in %s%n", count, first, sums[0], sums[1],
                sums[2], sums[3], byRule.isEmpty() ? "none" : byRule);
    }
}

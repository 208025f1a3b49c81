package yardusher;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import yardusher.Api.Plan;

/** Fairness among 100 ingresses: what each plan gets in each third of a run, and the customers that get next to nothing. */
class SharesTest {
    /** Of the size that operators use, for sets of half of the ingresses and more. */
    private static final List<Plan> PLANS = List.of(new Plan(1.6, 7, 0, 0.8, 0, 0, 0, 0.6), new Plan(8, 13, 0, 1.1, 0, 0, 0, 0.8),
            new Plan(30, 60, 0, 1.8, 63, 126, 5, 0));

    @Test
    void eachPlanGetsItsShareInEachThirdAndFewCustomersAreStarved() {
        for (long seed = 1; seed <= 2; seed++) {
            FleetRun fleet = new FleetRun(100, 60, 150, 0.05, seed, PLANS, 0);
            for (int third = 0; third < 3; third++) {
                for (FleetRun.Tally tally : fleet.tallies) { tally.inside = tally.ideal = 0; }
                fleet.run(fleet.now + 8000);
                for (int plan = 0; plan < 3; plan++) {
                    FleetRun.Tally tally = fleet.tallies[plan];
                    System.out.printf("shares: seed %d, third %d, plan %d: %.2f%n", seed, third, plan, tally.inside / tally.ideal);
                    assertThat(tally.inside / tally.ideal).as("seed %d, third %d, plan %d", seed, third, plan)
                            .isGreaterThan(third == 0 && PLANS.get(plan).ceilingRatePerS() > 0 ? 0.4 : 0.5); // shares of a ceiling start empty
                }
            }
            System.out.printf("shares: seed %d, of customers under a tenth: %.3f%n", seed, fleet.starvedFraction());
            assertThat(fleet.starvedFraction()).as("seed %d", seed).isLessThan(0.15);
        }
    }

    /**
     * A ceiling with a burst of 118 on sets of 50 to 100 ingresses leaves 1.2 to 2.4 units to each, so a request of two units rarely fits.
     * The fraction is only printed; a better way to share ceilings should raise it.
     */
    @Test
    void admittedFractionsOfOneAndTwoUnitRequestsUnderACeiling() {
        FleetRun fleet = new FleetRun(100, 60, 150, 0.05, 1, List.of(PLANS.get(0), PLANS.get(1), new Plan(35, 52, 0, 1.8, 80, 118, 12, 0)), 1 / 3.0);
        fleet.run(25_000);
        for (int plan = 0; plan < 3; plan++) {
            FleetRun.Tally tally = fleet.tallies[plan];
            double one = tally.insideOf[0] / (double) tally.idealOf[0], two = tally.insideOf[1] / (double) tally.idealOf[1];
            System.out.printf("shares: plan %d, of one unit %.2f, of two %.2f%n", plan, one, two);
            assertThat(one).as("plan %d", plan).isGreaterThan(0.7);
        }
        assertThat(fleet.lowestCeiling).isGreaterThan(-12);
    }
}

package yardusher.connectionquota;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** All orders of a few ingresses at one region, and seeds on scripted time; what is planted is noticed. */
class PartsModelTest {
    @Test
    void noOrderOfEventsExceedsTheLimit() {
        assertThat(PartsModel.explore(2, 2, 2, 1, Ledger.OmittedRule.NOTHING, false)).satisfies(found -> {
            assertThat(found.breach()).isNull();
            assertThat(found.states()).isGreaterThan(10_000);
        });
        assertThat(PartsModel.explore(3, 3, 1, 0, Ledger.OmittedRule.NOTHING, false).breach()).isNull();
    }

    @ParameterizedTest
    @EnumSource(value = Ledger.OmittedRule.class, names = "NOTHING", mode = EnumSource.Mode.EXCLUDE)
    void anOmittedRuleIsDetected(Ledger.OmittedRule omittedRule) {
        assertThat(PartsModel.explore(2, 2, 1, 1, omittedRule, true).breach()).hasSizeLessThan(10);
        int detected = 0;
        for (long seed = 0; seed < 40 && detected == 0; seed++) {
            detected += PartsScripted.run(setup(3, 3, 8, PartsScripted.Faults.ALL, PartsScripted.Load.RANDOM, 30, omittedRule), seed).breach() != null ? 1 : 0;
        }
        assertThat(detected).isEqualTo(1);
    }

    private static PartsScripted.Setup setup(int n, int regions, int limit, PartsScripted.Faults faults, PartsScripted.Load load, double seconds, Ledger.OmittedRule omittedRule) {
        return new PartsScripted.Setup(n, regions, limit, PartsScripted.Scheme.PARTS, faults, load, seconds, omittedRule);
    }

    @Test
    void faultsBySeedNeverExceedTheLimit() {
        for (long seed = 0; seed < 20; seed++) {
            PartsScripted.Result three = PartsScripted.run(setup(3, 3, 8, PartsScripted.Faults.ALL, PartsScripted.Load.RANDOM, 20, Ledger.OmittedRule.NOTHING), seed);
            assertThat(three.breach()).as("seed " + seed).isNull();
            assertThat(three.served()).isPositive();
        }
        assertThat(PartsScripted.run(setup(10, 2, 4, PartsScripted.Faults.ALL, PartsScripted.Load.RANDOM, 10, Ledger.OmittedRule.NOTHING), 3).breach()).isNull();
    }

    @Test
    void aHotIngressGetsItsPartSoonAndTheLimitIsUsed() {
        PartsScripted.Result moving = PartsScripted.run(setup(5, 3, 16, PartsScripted.Faults.NONE, PartsScripted.Load.MOVES, 20, Ledger.OmittedRule.NOTHING), 1);
        assertThat(moving.hotspotMs()).hasSizeGreaterThan(3).allMatch(ms -> ms < 1000);
        PartsScripted.Result scarce = PartsScripted.run(setup(5, 3, 16, PartsScripted.Faults.NONE, PartsScripted.Load.SCARCE, 12, Ledger.OmittedRule.NOTHING), 1);
        assertThat(scarce.utilization()).isGreaterThan(0.88);
        assertThat(scarce.jainIndex()).isGreaterThan(0.95);
    }
}

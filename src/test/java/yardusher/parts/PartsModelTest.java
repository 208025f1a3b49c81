package yardusher.parts;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The model checker and the simulation: the production rules keep the limit, and each omitted rule is detected. */
class PartsModelTest {
    @Test
    void noOrderOfEventsBreaksTheNumber() {
        assertThat(PartsModel.explore(2, 2, 2, 1, Ledger.Without.NOTHING, false)).satisfies(found -> {
            assertThat(found.breach()).isNull();
            assertThat(found.states()).isGreaterThan(10_000);
        });
        assertThat(PartsModel.explore(3, 3, 1, 0, Ledger.Without.NOTHING, false).breach()).isNull();
    }

    @ParameterizedTest
    @EnumSource(value = Ledger.Without.class, names = "NOTHING", mode = EnumSource.Mode.EXCLUDE)
    void whatIsPlantedIsNoticed(Ledger.Without without) {
        assertThat(PartsModel.explore(2, 2, 1, 1, without, true).breach()).hasSizeLessThan(10);
        int noticed = 0;
        for (long seed = 0; seed < 40 && noticed == 0; seed++) {
            noticed += PartsScripted.run(setup(3, 3, 8, PartsScripted.Faults.ALL, PartsScripted.Load.RANDOM, 30, without), seed).breach() != null ? 1 : 0;
        }
        assertThat(noticed).isEqualTo(1);
    }

    private static PartsScripted.Setup setup(int n, int regions, int number, PartsScripted.Faults faults, PartsScripted.Load load, double seconds, Ledger.Without without) {
        return new PartsScripted.Setup(n, regions, number, PartsScripted.Way.PARTS, faults, load, seconds, without);
    }

    @Test
    void seedsOfFaultsKeepTheNumber() {
        for (long seed = 0; seed < 20; seed++) {
            PartsScripted.Run three = PartsScripted.run(setup(3, 3, 8, PartsScripted.Faults.ALL, PartsScripted.Load.RANDOM, 20, Ledger.Without.NOTHING), seed);
            assertThat(three.breach()).as("seed " + seed).isNull();
            assertThat(three.served()).isPositive();
        }
        assertThat(PartsScripted.run(setup(10, 2, 4, PartsScripted.Faults.ALL, PartsScripted.Load.RANDOM, 10, Ledger.Without.NOTHING), 3).breach()).isNull();
    }

    @Test
    void aHotIngressHasItsPartSoonAndTheNumberIsUsed() {
        PartsScripted.Run moves = PartsScripted.run(setup(5, 3, 16, PartsScripted.Faults.NONE, PartsScripted.Load.MOVES, 20, Ledger.Without.NOTHING), 1);
        assertThat(moves.hotMs()).hasSizeGreaterThan(3).allMatch(ms -> ms < 1000);
        PartsScripted.Run scarce = PartsScripted.run(setup(5, 3, 16, PartsScripted.Faults.NONE, PartsScripted.Load.SCARCE, 12, Ledger.Without.NOTHING), 1);
        assertThat(scarce.use()).isGreaterThan(0.88);
        assertThat(scarce.jain()).isGreaterThan(0.95);
    }
}

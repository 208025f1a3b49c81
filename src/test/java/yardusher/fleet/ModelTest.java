package yardusher.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import yardusher.lab.fleet.Model;

/**
 * Visits every state of two owners, two targets and a roll that is taken over; {@code lab.fleet.Model} covers three
 * targets.
 */
class ModelTest {
    @Test
    void noStateBreaksARule() {
        Model.Result found = Model.explore(Model.Without.NOTHING, 3, 2);
        assertThat(found.breach()).isNull();
        assertThat(found.states()).isGreaterThan(100_000);
    }

    @ParameterizedTest
    @EnumSource(value = Model.Without.class, names = "NOTHING", mode = EnumSource.Mode.EXCLUDE)
    void withoutAnyOnePartARuleBreaks(Model.Without part) {
        assertThat(Model.explore(part, 3, 2).breach()).as(part.toString()).isNotNull().last().asString().startsWith("BREACH");
    }
}

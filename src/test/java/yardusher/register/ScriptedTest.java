package yardusher.register;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import java.util.stream.LongStream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;
import yardusher.lab.register.Scripted;

/** A few simulated seeds of the register's members; {@code lab.register.Scripted} runs thousands. */
class ScriptedTest {
    @BeforeAll
    static void quiet() { ((Logger) LoggerFactory.getLogger("io.microraft")).setLevel(Level.OFF); }

    @Test
    void repliesAreLinearizableUnderCrashesPartitionsAndLoss() {
        LongStream.range(0, 30).parallel().forEach(seed -> {
            Scripted.Run run = Scripted.run(seed, seed % 3 == 0 ? 5 : 3, 12_000, false);
            assertThat(run.breach()).as("seed " + seed).isNull();
            assertThat(run.asked()).as("seed " + seed).isPositive();
        });
    }

    @Test
    void detectsDisksThatDoNotSync() {
        assertThat(LongStream.range(0, 10).filter(seed -> Scripted.run(seed, 3, 12_000, true).breach() != null).count()).isPositive();
    }
}

package yardusher.lab;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.slf4j.LoggerFactory;

/** A dozen short seeds over the parts, with real processes. A part that is added adds a test of its own kind here. */
@Timeout(value = 150, unit = TimeUnit.SECONDS)
class LabSeedsTest {
    @TempDir
    Path folder;

    @ParameterizedTest
    @ValueSource(longs = {0, 1, 2, 3, 4, 5})
    void ingressesUnderMixedFaults(long seed) throws Exception {
        List<String> breaches = GroupRun.play(folder, seed, 3, 2000, new StringBuilder());
        assertThat(breaches).as("java -cp CP yardusher.lab.GroupRun FOLDER " + seed + " 1 3 2000").isEmpty();
    }

    @ParameterizedTest
    @ValueSource(longs = {10, 11, 12})
    void fleetWorkUnderMixedFaults(long seed) throws Exception {
        FleetRun.Verdict verdict = FleetRun.play(folder, seed, 3, 1, 2);
        assertThat(verdict.breaches()).as("java -cp CP yardusher.lab.FleetRun FOLDER " + seed + " 1 3 1 2").isEmpty();
    }

    @ParameterizedTest
    @ValueSource(longs = {20, 21, 22})
    void theRegisterOnScriptedTime(long seed) throws Exception {
        ((Logger) LoggerFactory.getLogger("io.microraft")).setLevel(Level.OFF);
        assertThat(Scripted.run(seed, 5, 12_000, false).breach()).as("java -cp CP yardusher.lab.Scripted " + seed + " 1").isNull();
    }
}

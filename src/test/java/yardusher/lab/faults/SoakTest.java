package yardusher.lab.faults;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Failing system calls beside crashes, pauses, silence, series of signals and restarts; the long soak is {@link Soak#main}. */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class SoakTest {
    private static final long DURATION_MS = 8000;

    @TempDir
    Path folder;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void everyRequestHasItsOneAnswer(long seed) throws Exception { assertNoBreach(seed); }

    /** Guards against connections that wait for a second to be accepted, beside an idle crowd while accepts fail. */
    @Test
    void connectionsBesideACrowdAreAcceptedInTimeWhileAcceptsFail() throws Exception { assertNoBreach(929); }

    /** Guards against a begun answer that is cut off before its time, since its request may have come earlier than it did. */
    @Test
    void answersThatHaveBegunAreKeptWhileArrivalsAreUncertain() throws Exception { assertNoBreach(978); }

    private void assertNoBreach(long seed) throws Exception {
        StringBuilder note = new StringBuilder();
        assertThat(Soak.play(folder, seed, DURATION_MS, note, new TreeMap<>())).as("Soak FOLDER %d 1 8: %s", seed, note).isEmpty();
    }
}

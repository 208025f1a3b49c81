package yardusher.lab.faults;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A real ingress that is stopped again and again while descriptors are few. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class HeldUpIngressTest {
    private static final long DURATION_MS = 6000;

    @TempDir
    Path folder;

    /** Guards against resting connections that are ended over a request which lies unread, so that it gets no answer. */
    @ParameterizedTest
    @CsvSource({"1, 200, 0, 250, 300", "2, 200, 0, 250, 300", "3, 200, 600, 250, 300", "4, 1024, 1200, 300, 500", "5, 200, 0, 300, 500"})
    void noConnectionIsEndedOverARequest(long seed, int sockets, int crowd, int stopMs, int everyMs) throws Exception {
        HeldUpRun.Result result = HeldUpRun.play(folder, seed, new HeldUpRun.Trouble(sockets, crowd, stopMs, everyMs), DURATION_MS);
        assertThat(result.endedOver()).as("%s%n%s%n%s", result, result.counters(), result.log()).isEmpty();
    }

    /** Guards against usual clients that an idle crowd locks out, and against backends that are told the time of that wait. */
    @ParameterizedTest
    @CsvSource({"2, 200, 600, 250, 400", "11, 120, 600, 0, 0"})
    void usualClientsAreAnsweredInTimeBesideAnIdleCrowd(long seed, int sockets, int crowd, int stopMs, int everyMs) throws Exception {
        assertNoBreach(seed, sockets, crowd, stopMs, everyMs);
    }

    /** The same where the ingress runs a sixth of the time, or has places for 44 clients. */
    @ParameterizedTest
    @CsvSource({"11, 200, 600, 250, 300", "2, 120, 600, 250, 400"})
    void usualClientsAreAnsweredInTimeBesideAnIdleCrowdThoughHardlyAnythingRuns(long seed, int sockets, int crowd, int stopMs, int everyMs)
            throws Exception {
        assertNoBreach(seed, sockets, crowd, stopMs, everyMs);
    }

    private void assertNoBreach(long seed, int sockets, int crowd, int stopMs, int everyMs) throws Exception {
        HeldUpRun.Result result = HeldUpRun.play(folder, seed, new HeldUpRun.Trouble(sockets, crowd, stopMs, everyMs), DURATION_MS);
        assertThat(result.breaches()).as("%s%n%s%n%s", result, result.counters(), result.log()).isEmpty();
    }
}

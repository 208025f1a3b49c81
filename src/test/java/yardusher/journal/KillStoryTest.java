package yardusher.journal;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The short run of {@link KillRun}: a real ingress is killed a few times. */
class KillStoryTest {
    @TempDir
    Path folder;

    @Test
    void afterEachKillTheJournalAccountsForWhatTheRegionsReceived() throws Exception {
        long seed = 20261201;
        System.out.println("seed " + seed);
        KillRun.Result result = KillRun.run(folder, 4, seed, "process");
        assertThat(result.good()).as(result.toString()).isTrue();
        assertThat(result.received()).isGreaterThan(10);
    }
}

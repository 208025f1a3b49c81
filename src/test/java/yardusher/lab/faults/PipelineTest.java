package yardusher.lab.faults;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A real ingress whose clients send many commands at once. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class PipelineTest {
    private static final long DURATION_MS = 4000;

    @TempDir
    Path folder;

    /** Guards against clients that are ended over their commands because others send floods. */
    @Test
    void clientsWithFewCommandsAreNotEndedBesideFloods() throws Exception {
        PipelineRun.Result result = PipelineRun.play(folder, 1, new PipelineRun.Load(16, 200, 48, 2500, 600, 500), DURATION_MS);
        assertThat(result.cutOff()).as("%s%n%s%n%s", result, result.counters(), result.log()).isEmpty();
    }

    /** Guards against an ingress that runs out of memory since it keeps state for each customer it has seen. */
    @Test
    void requestsOfManyCustomersLeaveMemory() throws Exception {
        PipelineRun.Load load = new PipelineRun.Load(8, 120, 48, 1000, 400, FaultClient.MANY_CUSTOMERS);
        PipelineRun.Result result = PipelineRun.play(folder, 1, load, DURATION_MS);
        assertThat(result.log()).doesNotContain("OutOfMemoryError");
        assertThat(result.cutOff()).as("%s%n%s", result, result.counters()).isEmpty();
    }
}

package yardusher.lab.rates;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import yardusher.lab.Terminals;

/** Rates on scripted time at a small size and at real processes; the checks are shown to fail. */
@Timeout(value = 150, unit = TimeUnit.SECONDS)
class RatesRunTest {
    @TempDir
    Path folder;

    @ParameterizedTest
    @EnumSource
    void boundsHoldAtASmallSize(RatesRun.Fault trouble) {
        RatesRun run = new RatesRun(RatesRun.sizedCase("small", trouble, true, 1)).run();
        System.out.println(run);
        assertThat(run.breaches()).as("java -cp target/classes:target/test-classes yardusher.lab.rates.RatesRun small " + trouble + " 1").isEmpty();
    }

    /** The check can fail: where no message arrives, customers far over their quota are let in by each ingress as if it were alone. */
    @Test
    void checkFailsIfNoMessageArrives() {
        RatesRun.Case all = RatesRun.sizedCase("small", RatesRun.Fault.NONE, true, 1);
        RatesRun run = new RatesRun(new RatesRun.Case(all.ingresses(), all.tenants(), all.requestsPerS(), all.fault(), 1, all.bytesPerS(), true, all.seconds(), 1)).run();
        assertThat(run.breaches()).as(run.toString()).anyMatch(line -> line.contains("far over their quota"));
    }

    @Test
    void realProcessesUnderMixedFaults() throws Exception {
        assertThat(RatesGroupRun.play(folder, 60, 3, 3000, RatesGroupRun.Variant.RATES, new StringBuilder()))
                .as("java -Dlab.jar=target/yardusher.jar -cp target/test-classes:target/yardusher.jar yardusher.lab.rates.RatesGroupRun FOLDER 60 1 3 3000").isEmpty();
    }

    /** The check of real processes can fail, by hand-made histories: all let in, too little let in, calm ones refused. */
    @Test
    void checkOfRealProcessesDetectsViolations() {
        assertThat(RatesGroupRun.check(requests(7.2, 0), 0, 10_000, new StringBuilder())).isEmpty();
        assertThat(RatesGroupRun.check(requests(20, 0), 0, 10_000, new StringBuilder())).hasSize(4).allMatch(line -> line.contains("times its quota"));
        assertThat(RatesGroupRun.check(requests(1, 0), 0, 10_000, new StringBuilder())).hasSize(4).allMatch(line -> line.contains("times its quota"));
        assertThat(RatesGroupRun.check(requests(7.2, 10), 0, 10_000, new StringBuilder())).singleElement().asString().contains("ask little");
    }

    private static List<Terminals.Try> requests(double letPerS, int calmRefused) {
        List<Terminals.Try> tries = new ArrayList<>();
        for (int customer = 1000; customer < 1004; customer++) {
            for (int i = 0; i < 216; i++) { tries.add(request(customer, i * 46, i < letPerS * 10 ? Terminals.End.SERVED : Terminals.End.REFUSED)); }
        }
        for (int i = 0; i < 160; i++) { tries.add(request(2000 + i % 8, i * 60, i < calmRefused ? Terminals.End.REFUSED : Terminals.End.SERVED)); }
        return tries;
    }

    private static Terminals.Try request(long customer, double at, Terminals.End end) {
        return new Terminals.Try("1", "1", 0, 1, at, at + 5, end, "", "CALL.GET " + String.format("%016x", customer) + " 1 c=lookup");
    }
}

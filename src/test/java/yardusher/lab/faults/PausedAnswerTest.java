package yardusher.lab.faults;

import static org.assertj.core.api.Assertions.assertThat;
import static yardusher.lab.faults.PausedAnswerRun.FirstPart.ALL_BUT_LAST_ITEMS;
import static yardusher.lab.faults.PausedAnswerRun.FirstPart.ANYWHERE;
import static yardusher.lab.faults.PausedAnswerRun.FirstPart.HALF;
import static yardusher.lab.faults.PausedAnswerRun.FirstPart.HEAD;
import static yardusher.lab.faults.PausedAnswerRun.FirstPart.ONE_BYTE;
import static yardusher.lab.faults.PausedAnswerRun.Shape.lookups;
import static yardusher.lab.faults.PausedAnswerRun.Shape.orders;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import yardusher.lab.faults.PausedAnswerRun.Shape;

/** A real ingress whose sound backends pause within their answers, which are whole before their requests' time. */
@Timeout(value = 90, unit = TimeUnit.SECONDS)
class PausedAnswerTest {
    private static final double AIM_MS = 1000;
    private static final int WAIT_MS = 1500;
    private static final int ORDER_WAIT_MS = 4000;
    private static final int REQUESTS = 3;

    @TempDir
    Path folder;

    private void assertWhole(long seed, double aimMs, List<List<Shape>> stages) throws Exception {
        PausedAnswerRun.Result result = PausedAnswerRun.play(folder, seed, aimMs, stages);
        assertThat(result.cut()).as("seed %d, %s%n%s", seed, result.counters(), result.log()).isEmpty();
        assertThat(result.attempts()).as("one attempt a request").isEqualTo(result.played().size());
        assertThat(result.counters()).contains(" attempts_server_error=0 ").contains(" refused=0 ").contains(" failed=0 ");
    }

    /** Guards against large answers that are cut off 300 ms after their head. */
    @Test
    void largeAnswersThatPauseBehindTheirHeadComeWhole() throws Exception {
        assertWhole(1, AIM_MS, List.of(List.of(lookups(REQUESTS, WAIT_MS, HEAD, 223_044, 350), lookups(REQUESTS, WAIT_MS, HEAD, 1_000_000, 800),
                orders(REQUESTS, ORDER_WAIT_MS, HEAD, 151_723, 930))));
    }

    /** Guards against small answers that are cut off 300 ms after any of their bytes. */
    @Test
    void smallAnswersThatPauseAnywhereComeWhole() throws Exception {
        assertWhole(2, AIM_MS, List.of(List.of(lookups(REQUESTS, WAIT_MS, HEAD, 300, 350), lookups(REQUESTS, WAIT_MS, HEAD, 60_000, 800),
                lookups(REQUESTS, WAIT_MS, ONE_BYTE, 38_000, 350), lookups(REQUESTS, WAIT_MS, HALF, 60_000, 800),
                lookups(REQUESTS, WAIT_MS, ALL_BUT_LAST_ITEMS, 300, 800), orders(REQUESTS, ORDER_WAIT_MS, HALF, 60_000, 930))));
    }

    /** Guards against an answer that is cut off wherever its bytes are split, a status or number among them. */
    @Test
    void anAnswerThatPausesAtAnyByteComesWhole() throws Exception {
        assertWhole(3, AIM_MS, List.of(IntStream.range(0, 24).mapToObj(i -> lookups(1, WAIT_MS, ANYWHERE, 300, 400)).toList()));
    }

    /** Guards against answers that are cut off at the aim of their class although their request's time is not over. */
    @Test
    void answersThatComeWholeBehindTheAimOfTheirClassAreNotCutOff() throws Exception {
        assertWhole(4, AIM_MS, List.of(List.of(lookups(REQUESTS, WAIT_MS, HEAD, 223_044, 1100), lookups(REQUESTS, WAIT_MS, HEAD, 223_044, 1300),
                lookups(REQUESTS, WAIT_MS, HALF, 30_000, 1300), lookups(REQUESTS, WAIT_MS, HALF, 223_044, 1300),
                orders(2, ORDER_WAIT_MS, HEAD, 152_000, 2500), orders(2, ORDER_WAIT_MS, HALF, 60_000, 2500))));
    }

    /** Guards against a begun answer that is taken for a hanging attempt at half of the aim, once usual answers were quick. */
    @Test
    void anAnswerThatPausesIsNotTakenForHanging() throws Exception {
        List<Shape> quick = IntStream.range(0, 8).mapToObj(i -> lookups(20, WAIT_MS, ALL_BUT_LAST_ITEMS, 300, 1)).toList();
        assertWhole(5, 540, List.of(quick, List.of(lookups(REQUESTS, WAIT_MS, HEAD, 232_510, 850), lookups(REQUESTS, WAIT_MS, ONE_BYTE, 30_000, 850))));
    }

    /** Guards against sound backends that are put out, and requests that are refused, because many answers pause beside each other. */
    @Test
    void noBackendIsPutOutWhileAnswersOfAllShapesPause() throws Exception {
        assertWhole(6, AIM_MS, List.of(List.of(lookups(REQUESTS, WAIT_MS, HEAD, 223_044, 350), lookups(REQUESTS, WAIT_MS, HEAD, 223_044, 1200),
                lookups(REQUESTS, WAIT_MS, HEAD, 1_000_000, 800), lookups(REQUESTS, WAIT_MS, HEAD, 300, 900), lookups(REQUESTS, WAIT_MS, HEAD, 60_000, 350),
                lookups(REQUESTS, WAIT_MS, ONE_BYTE, 38_000, 700), lookups(REQUESTS, WAIT_MS, HALF, 60_000, 900), lookups(REQUESTS, WAIT_MS, HALF, 223_044, 1200),
                lookups(REQUESTS, WAIT_MS, ALL_BUT_LAST_ITEMS, 300, 800), lookups(REQUESTS, WAIT_MS, ALL_BUT_LAST_ITEMS, 152_000, 800),
                orders(REQUESTS, ORDER_WAIT_MS, HEAD, 152_000, 2500), orders(REQUESTS, ORDER_WAIT_MS, HALF, 300, 2500))));
    }
}

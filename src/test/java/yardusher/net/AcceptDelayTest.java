package yardusher.net;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Connections taken for older than they can be because some accepts fail, or for new though they waited. */
class AcceptDelayTest {
    private final AcceptDelay delay = new AcceptDelay();

    private void fail(double begunMs, double atMs, double waitMs) {
        delay.begun(begunMs);
        delay.failed(atMs, waitMs);
    }

    private double accept(double begunMs, double atMs) {
        delay.begun(begunMs);
        return delay.accepted(atMs);
    }

    @Test
    void allConnectionsInTheBacklogHaveWaitedSinceTheFirstFailure() {
        for (double nowMs = 1000; nowMs < 5000; nowMs += 100) { fail(nowMs, nowMs, 100); }
        assertThat(accept(5000, 5000)).isEqualTo(4000);
        fail(5000, 5000, 1);
        assertThat(accept(5001, 5002)).as("the next one, bounded").isEqualTo(3000);
        assertThat(accept(5002, 5050)).as("one that came to an empty backlog").isZero();
        assertThat(delay.isRecent(5050)).isFalse();
    }

    @Test
    void failuresBetweenConnectionsThatComeOneByOneDoNotAddUp() {
        for (double nowMs = 1000; nowMs < 9000; nowMs += 40) {
            fail(nowMs, nowMs + 30, 1);
            assertThat(accept(nowMs + 31, nowMs + 31)).isEqualTo(1);
        }
    }

    @Test
    void withoutAFailureNobodyWaits() {
        assertThat(accept(500, 500)).isZero();
        assertThat(delay.isRecent(500)).isFalse();
        fail(600, 900, 10);
        assertThat(delay.isRecent(920)).isTrue();
        assertThat(accept(910, 910)).isEqualTo(10);
    }

    /** Guards against a backend that is told the time in which its request's connection waited for a place. */
    @Test
    void theWaitForAPlaceCounts() {
        delay.heldBack(1000);
        delay.heldBack(1010);
        assertThat(accept(1400, 1400)).isEqualTo(400);
        assertThat(accept(1400, 1430)).as("the process is busy").isEqualTo(430);
        delay.backlogEmpty();
        assertThat(accept(1450, 1451)).isZero();
    }

    /** Guards against connections taken for as old as the crowd before them: those behind the backlog of a moment came after it. */
    @Test
    void connectionsBehindAKnownBacklogAreNoOlderThanThatMoment() {
        delay.heldBack(900);
        assertThat(delay.wantsSample(1000)).isTrue();
        delay.sampled(1000, 1);
        assertThat(delay.wantsSample(1040)).isFalse();
        delay.sampled(1500, 2);
        assertThat(accept(1600, 1600)).as("the first, which may have come when there was no room").isEqualTo(700);
        assertThat(accept(1700, 1700)).as("the second, which is behind the first one").isEqualTo(700);
        assertThat(accept(1800, 1800)).as("the third, which is behind both").isEqualTo(300);
        delay.sampled(1850, 0);
        assertThat(accept(1900, 1900)).as("one behind none").isEqualTo(50);
    }
}

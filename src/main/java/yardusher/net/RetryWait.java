package yardusher.net;

/**
 * Waits between repetitions of a failing call: short at first, so that a request with little time left still gets its answer, and
 * longer the longer it fails, so that the repetitions cost next to nothing. Times in milliseconds; free of I/O and clock.
 */
public final class RetryWait {
    private static final double MIN_WAIT_MS = 1;
    private static final double MAX_WAIT_MS = 100;
    private static final double FAILING_FRACTION = 0.1; // a wait is this fraction of the time it has failed

    private static final double RETRY_LATENESS_MS = 20; // a repetition that has not failed by then waits or succeeds

    private double waitMs;
    private double failingSinceMs;
    private double lastFailedAtMs = Double.NEGATIVE_INFINITY;

    /** The call failed at that time: returns how long to wait before it is repeated. */
    public double nextWaitMs(double nowMs) {
        if (!isFailing(nowMs)) {
            failingSinceMs = nowMs;
        }
        lastFailedAtMs = nowMs;
        waitMs = Math.max(MIN_WAIT_MS, Math.min(MAX_WAIT_MS, FAILING_FRACTION * (nowMs - failingSinceMs)));
        return waitMs;
    }

    /** Whether the call fails at the moment: its last failure has not been repeated yet, or was only just now. */
    public boolean isFailing(double nowMs) { return waitMs > 0 && nowMs <= lastFailedAtMs + waitMs + RETRY_LATENESS_MS; }

    /** For how long the call has failed, up to its last repetition; 0 if it does not fail at the moment. */
    public double failingForMs(double nowMs) { return isFailing(nowMs) ? lastFailedAtMs + waitMs - failingSinceMs : 0; }

    /** The call succeeded. */
    public void reset() { waitMs = 0; }
}

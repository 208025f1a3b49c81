package yardusher.net;

/** Growing waits between repetitions of a failing call. Times in milliseconds; free of I/O and clock. */
public final class RetryWait {
    private static final double FIRST_WAIT_MS = 1;
    private static final double MAX_WAIT_MS = 50;

    private double waitMs;
    private double failingSinceMs;

    /** The call failed at that time: returns how long to wait before it is repeated. */
    public double nextWaitMs(double nowMs) {
        if (waitMs == 0) { failingSinceMs = nowMs; }
        waitMs = waitMs == 0 ? FIRST_WAIT_MS : Math.min(MAX_WAIT_MS, 2 * waitMs);
        return waitMs;
    }

    /** Whether the last call failed. */
    public boolean isFailing() { return waitMs > 0; }

    /** For how long every call has failed; 0 if the last one did not. */
    public double failingForMs(double nowMs) { return waitMs == 0 ? 0 : nowMs - failingSinceMs; }

    /** The call succeeded. */
    public void reset() { waitMs = 0; }
}

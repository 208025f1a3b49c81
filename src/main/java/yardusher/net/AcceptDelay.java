package yardusher.net;

/**
 * How long connections may have waited in the backlog because accepts failed on this machine: since the first failure after the
 * backlog was last seen empty, which an accept shows that does not end at once. Times in milliseconds; free of I/O and clock.
 */
final class AcceptDelay {
    private static final double AT_ONCE_MS = 20;
    private static final double MAX_BEHIND_MS = 3000; // for connections behind the first: some may have come since
    private static final double DRAIN_MS = 20;       // in which a backlog is accepted once accepts succeed again
    private static final double NONE = Double.NaN;

    private double begunAtMs;
    private double failingSinceMs = NONE;
    private boolean acceptedSince;                   // an accept succeeded since the last failure that met an empty backlog
    private double recentUntilMs = Double.NEGATIVE_INFINITY;

    /** An accept begins. */
    void begun(double nowMs) { begunAtMs = nowMs; }

    /** It failed, and is repeated after {@code waitMs}. */
    void failed(double nowMs, double waitMs) {
        boolean backlogWasEmpty = nowMs - begunAtMs > AT_ONCE_MS;
        if (Double.isNaN(failingSinceMs) || backlogWasEmpty) {
            failingSinceMs = nowMs;
            acceptedSince = false;
        }
        recentUntilMs = nowMs + waitMs + DRAIN_MS;
    }

    /** It succeeded: returns how long, at most, the connection may have waited. */
    double accepted(double nowMs) {
        if (nowMs - begunAtMs > AT_ONCE_MS) { failingSinceMs = NONE; }
        if (Double.isNaN(failingSinceMs)) { return 0; }
        double waitedMs = nowMs - failingSinceMs;
        boolean first = !acceptedSince;
        acceptedSince = true;
        return first ? waitedMs : Math.min(MAX_BEHIND_MS, waitedMs);
    }

    /** Whether an accept failed so recently that connections may still wait for it. */
    boolean isRecent(double nowMs) { return nowMs <= recentUntilMs; }
}

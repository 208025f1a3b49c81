package yardusher.net;

/**
 * Decides when a frontend closes its connections: while terminals are asked to disconnect, or when the next version of this
 * program takes them over. Times are in ms of the event loop's clock and passed in; it holds no connections.
 */
final class DrainSchedule {
    private static final double DRAIN_DELAY_MS = 500; // a client that gets an error reply to PING still opens connections for 0.3 s
    private static final double DRAIN_CLOSE_ALL_MS = 3500; // no connection is idle 4 s after the call
    private static final double DRAIN_READ_MS = 1800; // no command that is still open 4 s after the call came in the last 2 s
    private static final double SHUTDOWN_READ_MS = 100; // a command that comes 0.7 s after SIGTERM must get its reply however late
    private static final double MIN_QUIET_MS = 200; // after being idle this long, a connection likely has no command on its way

    private boolean handover;
    private double drainingSinceMs = Double.POSITIVE_INFINITY; // since when terminals are asked to disconnect
    private double closeFromMs = Double.POSITIVE_INFINITY; // connections close after their replies from here on
    private double closeIdleFromMs = Double.POSITIVE_INFINITY; // and idle ones from here on

    boolean isDraining() { return drainingSinceMs < Double.POSITIVE_INFINITY; }

    boolean isHandover() { return handover; }

    void setDraining(boolean draining, double nowMs) {
        if (draining == isDraining() || handover) { return; }
        drainingSinceMs = draining ? nowMs : Double.POSITIVE_INFINITY;
        closeFromMs = drainingSinceMs + DRAIN_DELAY_MS;
        closeIdleFromMs = drainingSinceMs + DRAIN_READ_MS;
    }

    /** Starts a handover, which cannot be undone: commands are read on old connections until {@code readUntilMs}. */
    void startHandover(double nowMs, double readUntilMs) {
        handover = true;
        closeFromMs = nowMs;
        closeIdleFromMs = readUntilMs;
    }

    /** The process shuts down: soon no more commands are read while earlier ones are unanswered. Returns that time. */
    double startShutdown(double nowMs) {
        closeIdleFromMs = Math.min(closeIdleFromMs, nowMs + SHUTDOWN_READ_MS);
        return closeIdleFromMs;
    }

    /** Whether connections close after their replies. */
    boolean closesAfterReplies(double nowMs) { return nowMs >= closeFromMs; }

    /** The time from which on a connection that still owes replies reads no more commands. */
    double readUntilMs() { return closeIdleFromMs; }

    /** Whether that time has come. */
    boolean hasStoppedReading(double nowMs) { return nowMs >= closeIdleFromMs; }

    /** Whether a connection without an open command, quiet since that time, may close. */
    boolean mayCloseIdle(double nowMs, double quietSinceMs) { return nowMs >= closeIdleFromMs || nowMs - quietSinceMs >= MIN_QUIET_MS; }

    /** Whether all connections without an open command close now, whatever may be on its way. */
    boolean closesAllIdle(double nowMs) { return nowMs >= drainingSinceMs + DRAIN_CLOSE_ALL_MS; }
}

package yardusher.net;

/**
 * When a front lets its connections go: while its terminals are sent away for a time, or because the next version of this
 * program takes them. Times in ms of the turns' clock, passed in; knows no connection.
 */
final class DrainSchedule {
    private static final double DRAIN_DELAY_MS = 500; // a front that hears no still sends new connections 0.3 s
    private static final double DRAIN_CLOSE_ALL_MS = 3500;   // nothing is idle 4 s after the call
    private static final double DRAIN_READ_MS = 1800; // nothing that is open then came in the last 2 s
    private static final double HANDOVER_READ_MS = 600;  // what comes 0.7 s after SIGTERM is owed its answer whatever it takes
    private static final double SHUTDOWN_READ_MS = 100; // the same, since the door closes half a second after SIGTERM
    private static final double MIN_QUIET_MS = 200; // who has been idle so long has likely nothing on its way

    private boolean handover;
    private double drainingSinceMs = Double.POSITIVE_INFINITY; // since when terminals are sent away
    private double closeFromMs = Double.POSITIVE_INFINITY; // connections close behind their answers
    private double closeIdleFromMs = Double.POSITIVE_INFINITY; // and all idle ones

    boolean isDraining() { return drainingSinceMs < Double.POSITIVE_INFINITY; }

    boolean isHandover() { return handover; }

    void setDraining(boolean draining, double nowMs) {
        if (draining == isDraining() || handover) { return; }
        drainingSinceMs = draining ? nowMs : Double.POSITIVE_INFINITY;
        closeFromMs = drainingSinceMs + DRAIN_DELAY_MS;
        closeIdleFromMs = drainingSinceMs + DRAIN_READ_MS;
    }

    /** For good; gives until when commands that come on old connections are read. */
    double startHandover(double nowMs) {
        handover = true;
        closeFromMs = nowMs;
        closeIdleFromMs = closeFromMs + HANDOVER_READ_MS;
        return closeIdleFromMs;
    }

    /** The door closes at the end of this process: a little later no more is read behind what is open. Gives that time. */
    double startShutdown(double nowMs) {
        closeIdleFromMs = Math.min(closeIdleFromMs, nowMs + SHUTDOWN_READ_MS);
        return closeIdleFromMs;
    }

    /** Whether connections close behind their answers. */
    boolean closesAfterReplies(double nowMs) { return nowMs >= closeFromMs; }

    /** Whether one that still owes answers reads no more commands. */
    boolean hasStoppedReading(double nowMs) { return nowMs >= closeIdleFromMs; }

    /** Whether one with nothing open may go that has been quiet since then. */
    boolean mayCloseIdle(double nowMs, double quietSinceMs) { return nowMs >= closeIdleFromMs || nowMs - quietSinceMs >= MIN_QUIET_MS; }

    /** Whether all that have nothing open end now, whatever may be on its way. */
    boolean closesAllIdle(double nowMs) { return nowMs >= drainingSinceMs + DRAIN_CLOSE_ALL_MS; }
}

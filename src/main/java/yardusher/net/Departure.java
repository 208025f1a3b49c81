package yardusher.net;

/**
 * Decides when a frontend closes its connections: while terminals are asked to disconnect, or when the next version of this
 * program takes them over. Times are in ms of the event loop's clock and passed in; it holds no connections.
 */
final class Departure {
    private static final double AWAY_AFTER_MS = 500; // a client that gets an error reply to PING still opens connections for 0.3 s
    private static final double AWAY_BY_MS = 3500;   // no connection is idle 4 s after the call
    private static final double AWAY_READ_MS = 1800; // no command that is still open 4 s after the call came in the last 2 s
    private static final double LEFT_READ_MS = 600;  // a command that comes 0.7 s after SIGTERM must get its reply however long that takes
    private static final double CLOSED_READ_MS = 100; // the same, since the listener closes half a second after SIGTERM
    private static final double LEAVE_IDLE_MS = 200; // after being idle this long, a connection likely has no command on its way

    private boolean forGood;
    private double awayAt = Double.POSITIVE_INFINITY; // since when terminals are asked to disconnect
    private double leaveFrom = Double.POSITIVE_INFINITY; // connections close after their replies from here on
    private double leaveBy = Double.POSITIVE_INFINITY; // and idle ones from here on

    boolean isAway() { return awayAt < Double.POSITIVE_INFINITY; }

    boolean isForGood() { return forGood; }

    void away(boolean away, double now) {
        if (away == isAway() || forGood) { return; }
        awayAt = away ? now : Double.POSITIVE_INFINITY;
        leaveFrom = awayAt + AWAY_AFTER_MS;
        leaveBy = awayAt + AWAY_READ_MS;
    }

    /** Starts a handover, which cannot be undone. Returns the time until which commands are read on old connections. */
    double leave(double now) {
        forGood = true;
        leaveFrom = now;
        leaveBy = leaveFrom + LEFT_READ_MS;
        return leaveBy;
    }

    /** The process shuts down: soon no more commands are read while earlier ones are unanswered. Returns that time. */
    double close(double now) {
        leaveBy = Math.min(leaveBy, now + CLOSED_READ_MS);
        return leaveBy;
    }

    /** Whether connections close after their replies. */
    boolean isUnderWay(double now) { return now >= leaveFrom; }

    /** Whether a connection that still owes replies reads no more commands. */
    boolean hasRead(double now) { return now >= leaveBy; }

    /** Whether a connection without an open command, quiet since that time, may close. */
    boolean letsGo(double now, double quietSince) { return now >= leaveBy || now - quietSince >= LEAVE_IDLE_MS; }

    /** Whether all connections without an open command close now, whatever may be on its way. */
    boolean isLast(double now) { return now >= awayAt + AWAY_BY_MS; }
}

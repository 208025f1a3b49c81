package yardusher.net;

/**
 * For how long a connection's input has not been read to its end, by this side's choice: meanwhile the peer's end of the connection
 * would not be seen. Times are in milliseconds of one clock that never goes back.
 */
final class ReadHoldback {
    private double sinceMs = Double.POSITIVE_INFINITY;

    /** Input may have arrived that is not read. */
    void begin(double nowMs) { sinceMs = Math.min(sinceMs, nowMs); }

    /** All input was read that had arrived. */
    void end() { sinceMs = Double.POSITIVE_INFINITY; }

    boolean isActive() { return sinceMs < Double.POSITIVE_INFINITY; }

    /** For how long; 0 while all input is read as it arrives. */
    double durationMs(double nowMs) { return isActive() ? nowMs - sinceMs : 0; }
}

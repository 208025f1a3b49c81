package yardusher.net;

/**
 * Since when the input of a connection may have waited in the system, because it was accepted late, because reads failed on this
 * machine, or because it was not read for want of room. That is over once a read had to wait for input, or has emptied the system's
 * buffer. Times in milliseconds; free of I/O and clock.
 */
final class ReadDelay {
    private static final double AT_ONCE_MS = 20;     // a read that takes longer has waited for input
    private static final double DRAIN_MS = 20;       // in which waiting input is read, perhaps in several reads
    private static final double NONE = Double.NaN;

    private double unreadSinceMs;
    private double resumedAtMs = NONE;               // when a read succeeded for the first time after that
    private double begunAtMs;

    /** A connection that was just accepted, after it had waited for up to {@code heldUpMs}. */
    ReadDelay(double nowMs, double heldUpMs) { unreadSinceMs = heldUpMs > 0 ? nowMs - heldUpMs : NONE; }

    /** From now on nothing is read for a while, or a read has just failed. A hold back within a large body goes on through single reads. */
    void heldBack(double nowMs, boolean withinBody) {
        boolean isOver = Double.isNaN(unreadSinceMs) || !withinBody && nowMs - resumedAtMs >= DRAIN_MS;
        if (!isOver) { return; }
        unreadSinceMs = nowMs;
        resumedAtMs = NONE;
    }

    /** A read begins. */
    void begun(double nowMs) { begunAtMs = nowMs; }

    /**
     * A read got input, and all that it asked for if {@code filled}: returns when that input arrived, at the earliest. Within a large
     * body neither a wait nor an empty buffer proves anything once input was held back: what the peer had sent before may still be
     * on its own machine, which asks for room only now and then.
     */
    double completed(double nowMs, boolean filled, boolean withinBody) {
        if (!withinBody && nowMs - begunAtMs > AT_ONCE_MS) { unreadSinceMs = NONE; }
        if (Double.isNaN(unreadSinceMs)) { return nowMs; }
        double arrivedMs = unreadSinceMs;
        if (Double.isNaN(resumedAtMs)) { resumedAtMs = nowMs; }
        if (!filled && !withinBody && nowMs - resumedAtMs >= DRAIN_MS) { unreadSinceMs = NONE; }
        return arrivedMs;
    }
}

package yardusher.log;

import java.util.function.DoubleSupplier;

/** Log events limited in rate: beyond it they are counted, and the next event says how many were left out. Used by one thread. */
public final class RateLimitedEvents {
    private final Events events;
    private final DoubleSupplier clock;
    private final int maxPerSecond;
    private double secondSinceMs = Double.NEGATIVE_INFINITY;
    private int loggedInSecond;
    private long leftOut;

    /** {@code clock} gives milliseconds and never goes back. */
    public RateLimitedEvents(Events events, DoubleSupplier clock, int maxPerSecond) {
        this.events = events;
        this.clock = clock;
        this.maxPerSecond = maxPerSecond;
    }

    /** Whether the next event is logged; if not, it is counted as left out, and its texts need not be built. */
    public boolean admits() {
        double nowMs = clock.getAsDouble();
        if (nowMs - secondSinceMs >= 1000) {
            secondSinceMs = nowMs;
            loggedInSecond = 0;
        }
        if (loggedInSecond < maxPerSecond) { return true; }
        leftOut++;
        return false;
    }

    /** Logs an event that was admitted. */
    public void warn(String text, Object... pairs) {
        loggedInSecond++;
        Object[] all = java.util.Arrays.copyOf(pairs, pairs.length + 2);
        all[pairs.length] = "left_out";
        all[pairs.length + 1] = leftOut;
        leftOut = 0;
        events.warn(text, all);
    }
}

package yardusher;

import java.util.List;

/**
 * What a warm server answers here, in the mean of the last four seconds or so, and what all cold ones together may get for
 * it. All gateways' rates together are no more than a warm server can do, so all their shares are no more than makes one
 * fall. One share for all cold servers, since that of one is often less than an attempt. Times are in ms.
 */
final class WarmRate {
    private static final double LEAST = 0.1;         // weight of a look once there were many
    private static final double MOST = 2;            // attempts saved up
    private double answers, looks, warm, perMs, coldPerMs, left = MOST, leftAt;

    /** A warm server answered. */
    void answered() { answers++; }

    /** Whether none is warm now, and what a warm one answers is known from before. */
    boolean allCold() { return perMs > 0 && warm == 0; }

    /** Whether a cold server may be sent an attempt now. */
    boolean due(double now) {
        left = Math.min(MOST, left + (now - leftAt) * coldPerMs);
        leftAt = now;
        return perMs <= 0 || left >= 1;
    }

    /** A cold server is sent an attempt. */
    void spend() { left = Math.max(0, left - 1); }

    /** Ends the time since the last look, which was {@link Clock#SWEEP_MS}. Cold ones get this part of what they can do, as it is told. */
    void look(List<Host> ready, double part) {
        double cold = 0;
        warm = 0;
        for (Host host : ready) {
            double warmth = host.warmth();
            if (warmth < 1) { cold += warmth; } else { warm++; }
        }
        if (warm > 0) { perMs += Math.max(LEAST, 1 / ++looks) * (answers / warm / Clock.SWEEP_MS - perMs); }
        answers = 0;
        coldPerMs = part * cold * perMs;
    }
}

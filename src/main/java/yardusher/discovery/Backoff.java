package yardusher.discovery;

import java.util.SplittableRandom;

/**
 * Exponential backoff with jitter: the delay doubles up to the maximum, and each is drawn from 0.5 to 1.5 times its value.
 * Keeps the ingresses of a fleet, which lose discovery at the same moment, from reconnecting at the same moment.
 */
final class Backoff {
    private final double firstMs;
    private final double maxMs;
    private final SplittableRandom random;
    private double delayMs;

    Backoff(double firstMs, double maxMs, long seed) {
        this.firstMs = firstMs;
        this.maxMs = maxMs;
        random = new SplittableRandom(seed);
        delayMs = firstMs;
    }

    /** The next delay, in milliseconds. */
    double nextDelayMs() {
        double wait = withJitter(delayMs);
        delayMs = Math.min(maxMs, 2 * delayMs);
        return wait;
    }

    /** Applies the jitter to a duration. */
    double withJitter(double ms) { return ms * (0.5 + random.nextDouble()); }

    /** Discovery has responded: the next loss starts with the first delay. */
    void reset() { delayMs = firstMs; }
}

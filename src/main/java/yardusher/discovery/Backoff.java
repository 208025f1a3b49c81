package yardusher.discovery;

import java.util.SplittableRandom;

/**
 * Exponential backoff with jitter: the delay doubles up to the maximum, and each is drawn from 0.5 to 1.5 times its value.
 * Keeps the ingresses of a fleet, which lose discovery at the same moment, from reconnecting at the same moment.
 */
final class Backoff {
    private final double firstMs;
    private final double mostMs;
    private final SplittableRandom random;
    private double waitMs;

    Backoff(double firstMs, double mostMs, long seed) {
        this.firstMs = firstMs;
        this.mostMs = mostMs;
        random = new SplittableRandom(seed);
        waitMs = firstMs;
    }

    /** The next delay, in milliseconds. */
    double next() {
        double wait = spread(waitMs);
        waitMs = Math.min(mostMs, 2 * waitMs);
        return wait;
    }

    /** Applies the jitter to a duration. */
    double spread(double ms) { return ms * (0.5 + random.nextDouble()); }

    /** Discovery has responded: the next loss starts with the first delay. */
    void reset() { waitMs = firstMs; }
}

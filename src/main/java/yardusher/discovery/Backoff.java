package yardusher.discovery;

import java.util.SplittableRandom;

/**
 * How long a watch waits before it asks again: doubling from the first wait up to the most, each drawn from half to one
 * and a half times that. Guards discovery against all ingresses of a fleet that lost it at the same moment.
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

    /** The next wait, in milliseconds. */
    double next() {
        double wait = spread(waitMs);
        waitMs = Math.min(mostMs, 2 * waitMs);
        return wait;
    }

    /** A time of about so long, another for each who asks. */
    double spread(double ms) { return ms * (0.5 + random.nextDouble()); }

    /** Discovery speaks: the next loss begins anew. */
    void reset() { waitMs = firstMs; }
}

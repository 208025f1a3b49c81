package yardusher.discovery;

import java.util.SplittableRandom;

/**
 * How long a watch waits before it asks again: doubling from the first wait up to the most, each drawn from half to one
 * and a half times that. Guards discovery against all ingresses of a fleet that lost it at the same moment.
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

    /** The next wait, in milliseconds. */
    double nextDelayMs() {
        double wait = withJitter(delayMs);
        delayMs = Math.min(maxMs, 2 * delayMs);
        return wait;
    }

    /** A time of about so long, another for each who asks. */
    double withJitter(double ms) { return ms * (0.5 + random.nextDouble()); }

    /** Discovery speaks: the next loss begins anew. */
    void reset() { delayMs = firstMs; }
}

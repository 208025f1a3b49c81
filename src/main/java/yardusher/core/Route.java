package yardusher.core;

/** Third stage: whether the region that the module names can get this transaction's next attempt. */
final class Route {
    private final Regions regions;
    private final int maxAttempts;

    Route(Regions regions, int maxAttempts) {
        this.regions = regions;
        this.maxAttempts = maxAttempts;
    }

    boolean open(Transaction t, long region, double now) {
        // Guards against a second copy: never two attempts of a transaction out at once.
        boolean alone = t.attempt == null || t.attempt.over;
        return alone && !t.answered && !t.gone && t.attempts < maxAttempts && now < t.deadline && regions.knows(region);
    }
}

package yardusher.connectionquota;

/**
 * How many connections an ingress needs over all regions: what is in use, what it would like to keep, since it was in use
 * lately, and its part of what was turned away since no region had room. The sum is looked at and not each region, since a
 * request goes where there is room. Free of I/O and clock.
 */
final class DemandEstimator {
    private static final double NEED_SMOOTHING_MS = 60;        // over which it is seen what is in use: where there is too little, that counts
    private static final double WANT_DECAY_MS = 6000; // by 63%: what is kept where there is enough, so that no unit is sent to and fro
    private static final double HEADROOM = 1.15;         // a region is chosen among those with room
    private double smoothedBusy;
    private double busyPeak;
    private double recentUnmet;                        // attempts that would have been out
    private double unmetPeak;

    /** {@code busy} connections carry an attempt; {@code wanted} more would, of those that were refused for want of room. */
    void addSample(double elapsedMs, int busy, double unmetAttempts) {
        double recentDecay = Math.exp(-elapsedMs / NEED_SMOOTHING_MS);
        double peakDecay = Math.exp(-elapsedMs / WANT_DECAY_MS);
        smoothedBusy += (1 - recentDecay) * (busy - smoothedBusy);
        busyPeak = Math.max(busy, busyPeak * peakDecay);
        recentUnmet = Math.max(unmetAttempts, recentUnmet * recentDecay);
        unmetPeak = Math.max(unmetAttempts, unmetPeak * peakDecay);
    }

    /** Connections that would be used now. */
    double needed() { return smoothedBusy + recentUnmet; }

    /** Connections that were of use lately. */
    double wanted() { return Math.max(needed(), busyPeak * HEADROOM + (recentUnmet > 0.5 ? unmetPeak : 0)); }
}

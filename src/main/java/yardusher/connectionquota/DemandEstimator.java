package yardusher.connectionquota;

/**
 * Estimates how many connections an ingress needs over all regions: those in use, those in use recently, which it would
 * like to keep, and its part of the requests that were refused because no region had room. The sum is estimated and not each
 * region, because a request goes to any region that has room. No I/O and no clock.
 */
final class DemandEstimator {
    private static final double NEED_SMOOTHING_MS = 60; // scarce units are divided by use, so the estimate has to be recent
    private static final double WANT_DECAY_MS = 6000; // decay by 63%; long, so that units don't move back and forth
    private static final double HEADROOM = 1.15;     // spare units: a request can only go to a region with room
    private double smoothedBusy;
    private double busyPeak;
    private double recentUnmet;                      // refused attempts that would be in progress
    private double unmetPeak;

    /** Adds a sample: {@code busy} connections carry an attempt, {@code unmetAttempts} more would if none had been refused. */
    void addSample(double elapsedMs, int busy, double unmetAttempts) {
        double recentDecay = Math.exp(-elapsedMs / NEED_SMOOTHING_MS);
        double peakDecay = Math.exp(-elapsedMs / WANT_DECAY_MS);
        smoothedBusy += (1 - recentDecay) * (busy - smoothedBusy);
        busyPeak = Math.max(busy, busyPeak * peakDecay);
        recentUnmet = Math.max(unmetAttempts, recentUnmet * recentDecay);
        unmetPeak = Math.max(unmetAttempts, unmetPeak * peakDecay);
    }

    /** Connections that would be in use now if none were refused. */
    double needed() { return smoothedBusy + recentUnmet; }

    /** Connections that were needed recently, which the ingress would like to keep. */
    double wanted() { return Math.max(needed(), busyPeak * HEADROOM + (recentUnmet > 0.5 ? unmetPeak : 0)); }
}

package yardusher.parts;

/**
 * Estimates how many connections an ingress needs over all regions: those in use, those in use recently, which it would
 * like to keep, and its part of the requests that were refused because no region had room. The sum is estimated and not each
 * region, because a request goes to any region that has room. No I/O and no clock.
 */
final class Need {
    private static final double USES_MS = 60;        // scarce units are divided by use, so the estimate has to be recent
    private static final double WANTS_FALL_MS = 6000; // decay by 63%; long, so that units don't move back and forth
    private static final double ROOM = 1.15;         // spare units: a request can only go to a region with room
    private double used;
    private double wantsPeak;
    private double unmetFast;                        // refused attempts that would be in progress
    private double unmet;

    /** Adds a sample: {@code busy} connections carry an attempt, {@code unmetAttempts} more would if none had been refused. */
    void seen(double sinceMs, int busy, double wanted) {
        double fast = Math.exp(-sinceMs / USES_MS);
        double slow = Math.exp(-sinceMs / WANTS_FALL_MS);
        used += (1 - fast) * (busy - used);
        wantsPeak = Math.max(busy, wantsPeak * slow);
        unmetFast = Math.max(wanted, unmetFast * fast);
        unmet = Math.max(wanted, unmet * slow);
    }

    /** Connections that would be in use now if none were refused. */
    double uses() { return used + unmetFast; }

    /** Connections that were needed recently, which the ingress would like to keep. */
    double wants() { return Math.max(uses(), wantsPeak * ROOM + (unmetFast > 0.5 ? unmet : 0)); }
}

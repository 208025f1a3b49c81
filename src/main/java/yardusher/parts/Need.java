package yardusher.parts;

/**
 * How many connections an ingress needs over all regions: what is in use, what it would like to keep, since it was in use
 * lately, and its part of what was turned away since no region had room. The sum is looked at and not each region, since a
 * request goes where there is room. Free of I/O and clock.
 */
final class Need {
    private static final double USES_MS = 60;        // over which it is seen what is in use: where there is too little, that counts
    private static final double WANTS_FALL_MS = 6000; // by 63%: what is kept where there is enough, so that no unit is sent to and fro
    private static final double ROOM = 1.15;         // a region is chosen among those with room
    private double used;
    private double wantsPeak;
    private double unmetFast;                        // attempts that would have been out
    private double unmet;

    /** {@code busy} connections carry an attempt; {@code wanted} more would, of those that were refused for want of room. */
    void seen(double sinceMs, int busy, double wanted) {
        double fast = Math.exp(-sinceMs / USES_MS);
        double slow = Math.exp(-sinceMs / WANTS_FALL_MS);
        used += (1 - fast) * (busy - used);
        wantsPeak = Math.max(busy, wantsPeak * slow);
        unmetFast = Math.max(wanted, unmetFast * fast);
        unmet = Math.max(wanted, unmet * slow);
    }

    /** Connections that would be used now. */
    double uses() { return used + unmetFast; }

    /** Connections that were of use lately. */
    double wants() { return Math.max(uses(), wantsPeak * ROOM + (unmetFast > 0.5 ? unmet : 0)); }
}

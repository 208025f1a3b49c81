package yardusher.parts;

/**
 * How many connections an ingress would like at a region: the most that were in use lately, with room to choose, and its part
 * of what was turned away since no region had room. Rises at once and falls slowly, so that no unit is sent to and fro.
 * Free of I/O and clock.
 */
final class Need {
    private static final double FALLS_MS = 2000;     // by 63%
    private static final double ROOM = 1.15;         // a region is chosen among those with room
    private double peak;
    private double unmet;                            // attempts that would have been out here

    /** {@code busy} connections carry an attempt; {@code wanted} more would, of those that were refused for want of room. */
    void seen(double sinceMs, int busy, double wanted) {
        double falls = Math.exp(-sinceMs / FALLS_MS);
        peak = Math.max(busy, peak * falls);
        unmet = Math.max(wanted, unmet * falls);
    }

    /** In whole connections, at least {@code least} while there is any traffic here. */
    int units(int least, boolean active) {
        double wanted = peak * ROOM + unmet;
        int units = wanted < 0.05 ? 0 : (int) Math.ceil(wanted);
        return active ? Math.max(least, units) : units;
    }
}

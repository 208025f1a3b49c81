package yardusher.rates;

/**
 * What this ingress, which a customer's reports meet at, was told of it: a sum that fades, and since when. Times in ms.
 */
final class DemandEstimate {
    final long customer;
    final int plan;
    private final double sinceMs;
    private double decayedUnits;
    private double updatedAtMs;

    DemandEstimate(long customer, int plan, double now) {
        this.customer = customer;
        this.plan = plan;
        sinceMs = now;
        updatedAtMs = now;
    }

    void add(double now, double units, double horizonMs) {
        decayedUnits = decayedUnitsAt(now, horizonMs) + units;
        updatedAtMs = now;
    }

    private double decayedUnitsAt(double now, double horizonMs) { return decayedUnits * Math.exp((updatedAtMs - now) / horizonMs); }

    /** Units a second; 0 while too little of the horizon has passed to tell. */
    double demandPerS(double now, double horizonMs) {
        double elapsedMs = now - sinceMs;
        return elapsedMs < horizonMs / 2 ? 0 : decayedUnitsAt(now, horizonMs) / horizonMs * 1000 / -Math.expm1(-elapsedMs / horizonMs);
    }

    boolean hasEnoughHistory(double now, double horizonMs) { return now - sinceMs >= horizonMs / 2; }

    boolean isExpired(double now, double horizonMs) { return now - updatedAtMs > 4 * horizonMs; }
}

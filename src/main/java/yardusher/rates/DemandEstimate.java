package yardusher.rates;

/**
 * The demand of one customer as estimated by its aggregator, the ingress that receives its reports: an exponentially decaying sum of
 * reported units. Times are in ms.
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

    /** Returns the demand in units a second; 0 during the first half horizon, when there is too little history. */
    double demandPerS(double now, double horizonMs) {
        double elapsedMs = now - sinceMs;
        return elapsedMs < horizonMs / 2 ? 0 : decayedUnitsAt(now, horizonMs) / horizonMs * 1000 / -Math.expm1(-elapsedMs / horizonMs);
    }

    boolean hasEnoughHistory(double now, double horizonMs) { return now - sinceMs >= horizonMs / 2; }

    boolean isExpired(double now, double horizonMs) { return now - updatedAtMs > 4 * horizonMs; }
}

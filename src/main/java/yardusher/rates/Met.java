package yardusher.rates;

/**
 * The demand of one customer as estimated by its aggregator, the ingress that receives its reports: an exponentially decaying sum of
 * reported units. Times are in ms.
 */
final class Met {
    final long customer;
    final int plan;
    private final double since;
    private double sum;
    private double at;

    Met(long customer, int plan, double now) {
        this.customer = customer;
        this.plan = plan;
        since = now;
        at = now;
    }

    void add(double now, double units, double horizonMs) {
        sum = faded(now, horizonMs) + units;
        at = now;
    }

    private double faded(double now, double horizonMs) { return sum * Math.exp((at - now) / horizonMs); }

    /** Returns the demand in units a second; 0 during the first half horizon, when there is too little history. */
    double perS(double now, double horizonMs) {
        double passed = now - since;
        return passed < horizonMs / 2 ? 0 : faded(now, horizonMs) / horizonMs * 1000 / -Math.expm1(-passed / horizonMs);
    }

    boolean isJudged(double now, double horizonMs) { return now - since >= horizonMs / 2; }

    boolean isForgotten(double now, double horizonMs) { return now - at > 4 * horizonMs; }
}

package yardusher.rates;

/** The fleet-wide demand of a customer as known here, relative to its quota, and when its aggregator computed it. */
final class KnownRate {
    final long customer;
    int plan;
    double ratio;                                    // 0: within its quota
    double computedAtMs;                             // on the clock of this ingress
    double priority;                                 // sending order: the root of the demand beyond the quota
    double queuedAtMs;                               // since when it waits to be gossiped
    int remainingSends;

    KnownRate(long customer) { this.customer = customer; }
}

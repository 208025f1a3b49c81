package yardusher.rates;

/** The fleet-wide demand of a customer as known here, relative to its quota, and when its aggregator computed it. */
final class Told {
    final long customer;
    int plan;
    double ratio;                                    // 0: within its quota
    double originAt;                                 // on the clock of this ingress
    double weight;                                   // sending order: the root of the demand beyond the quota
    double waitsSince;                               // since when it waits to be gossiped
    int left;                                        // remaining transmissions

    Told(long customer) { this.customer = customer; }
}

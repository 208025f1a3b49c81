package yardusher.rates;

/** What is known of a customer here: what it is asked of its quota at all ingresses, and by when that was worked out. */
final class KnownRate {
    final long customer;
    int plan;
    double ratio;                                    // 0: no more than its quota
    double computedAtMs;                                 // on this ingress's clock, ms
    double priority;                                   // what knowing it keeps out
    double queuedAtMs;                               // since when it is to be passed on
    int remainingSends;                                        // times that it is still to be passed on

    KnownRate(long customer) { this.customer = customer; }
}

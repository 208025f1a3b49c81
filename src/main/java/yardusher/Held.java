package yardusher;

import yardusher.Api.*;

/** A request that was sent on and has no final answer yet. */
final class Held {
    final Request request;
    final RequestClass of;
    final Customer customer;
    final double arrivedAt;
    int attempts;
    Host last, ranOn;                                // ranOn: first server on which it may have run
    double sentAt, ranAt;
    int lone;                                        // attempts when one that hung by itself was given up
    double waited;                                   // for that one
    boolean gone, begun;                             // begun: a streamed answer, its own deadline

    Held(Request request, RequestClass of, Customer customer, double arrivedAt) {
        this.request = request; this.of = of; this.customer = customer; this.arrivedAt = arrivedAt;
    }

    Held begin(double at) { begun = true; last.quietSince = at; return this; }

    boolean boundElsewhere(Host host) { return request.only() != null && !request.only().allows(host); }
}

package yardusher;

import yardusher.Api.*;

/** A request that was sent on and has no final answer yet. */
final class PendingRequest {
    final Request request;
    final RequestClass of;
    final Customer customer;
    final double arrivedAt;
    int attempts;
    Host last;
    double sentAt, ranAt;                            // ranAt, ranZone, ranCell: of the first attempt that may
    int ranZone, ranCell;                            // have run, also while it is out
    boolean ran;                                     // whether one that has ended may have
    int lone;                                        // attempts when one that hung by itself was given up
    double waited;                                   // for that one
    CeilingShare share;                              // of the ceiling that its units came from; null for none
    int spentAt;                                     // the attempt with which its units were taken
    boolean reserved;                                // its units: no attempt has reached a server yet
    boolean gone, begun;                             // begun: a streamed answer, its own deadline

    PendingRequest(Request request, RequestClass of, Customer customer, double arrivedAt) {
        this.request = request; this.of = of; this.customer = customer; this.arrivedAt = arrivedAt;
    }

    /** Notes the next attempt. Guards repeats against a list that moves a server meanwhile: the place is kept. */
    void sent(Host host, double at) {
        attempts++; last = host; sentAt = at; host.credit--;
        if (!ran) { ranAt = at; ranZone = host.zone; ranCell = host.cell; }
    }

    PendingRequest begin(double at) { begun = true; last.quietSince = at; return this; }

    /** By when its answer is worth all. */
    double aimAt() { return arrivedAt + of.aimMs(); }

    boolean boundElsewhere(Host host) { return request.only() != null && !request.only().allows(host); }
}

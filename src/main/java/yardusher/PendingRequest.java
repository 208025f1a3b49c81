package yardusher;

import yardusher.Api.*;

/** An admitted request that has no final answer yet. */
final class PendingRequest {
    final Request request;
    final RequestClass of;
    final Customer customer;
    final double arrivedAt;
    int attempts;
    Host last;
    double sentAt, ranAt;                            // ranAtMs, ranZone, ranCell: of the first attempt that may
    int ranZone, ranCell;                            // have run, also while it is open
    boolean ran;                                     // an ended attempt may have run
    int lone;                                        // number of attempts when one that hung alone was abandoned; 0 for none
    double waited;                                   // how long that one had waited
    CeilingShare share;                              // share of the ceiling that its units came from; null for none
    int spentAt;                                     // the attempt for which its units were taken
    boolean reserved;                                // its units are reserved: no attempt has reached a server yet
    boolean gone, begun;                             // streaming: a streamed answer has begun

    PendingRequest(Request request, RequestClass of, Customer customer, double arrivedAt) {
        this.request = request; this.of = of; this.customer = customer; this.arrivedAt = arrivedAt;
    }

    /** Records the next attempt, and its place: a retry must keep to that place even if a list moves the server meanwhile. */
    void sent(Host host, double at) {
        attempts++; last = host; sentAt = at; host.credit--;
        if (!ran) { ranAt = at; ranZone = host.zone; ranCell = host.cell; }
    }

    PendingRequest begin(double at) { begun = true; last.quietSince = at; return this; }

    /** Until when its answer has its full worth. */
    double aimAt() { return arrivedAt + of.aimMs(); }

    boolean boundElsewhere(Host host) { return request.only() != null && !request.only().allows(host); }
}

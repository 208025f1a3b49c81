package yardusher;

import yardusher.Api.*;

/** A request that was sent on and has no final answer yet. */
final class PendingRequest {
    final Request request;
    final RequestClass requestClass;
    final Customer customer;
    final double arrivedAtMs;
    int attempts;
    Host lastHost;
    double sentAtMs, ranAtMs;                            // ranAt, ranZone, ranCell: of the first attempt that may
    int ranZone, ranCell;                            // have run, also while it is out
    boolean mayHaveRun;                                     // whether one that has ended may have
    int hungAttempts;                                        // attempts when one that hung by itself was given up
    double hungMs;                                   // for that one
    CeilingShare ceilingShare;                              // of the ceiling that its units came from; null for none
    int spentAttempt;                                     // the attempt with which its units were taken
    boolean unitsReserved;                                // its units: no attempt has reached a server yet
    boolean clientGone, streaming;                             // begun: a streamed answer, its own deadline

    PendingRequest(Request request, RequestClass requestClass, Customer customer, double arrivedAtMs) {
        this.request = request; this.requestClass = requestClass; this.customer = customer; this.arrivedAtMs = arrivedAtMs;
    }

    /** Notes the next attempt. Guards repeats against a list that moves a server meanwhile: the place is kept. */
    void attemptSent(Host host, double nowMs) {
        attempts++; lastHost = host; sentAtMs = nowMs; host.coldTokens--;
        if (!mayHaveRun) { ranAtMs = nowMs; ranZone = host.zone; ranCell = host.cell; }
    }

    PendingRequest beginStreaming(double nowMs) { streaming = true; lastHost.lastAnswerAtMs = nowMs; return this; }

    /** By when its answer is worth all. */
    double aimAtMs() { return arrivedAtMs + requestClass.aimMs(); }

    boolean isBoundElsewhere(Host host) { return request.binding() != null && !request.binding().allows(host); }
}

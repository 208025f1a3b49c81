package yardusher;

import yardusher.Api.*;

/** An admitted request that has no final answer yet. */
final class PendingRequest {
    final Request request;
    final RequestClass requestClass;
    final Customer customer;
    final double arrivedAtMs;
    int attempts;
    Host lastHost;
    double sentAtMs, ranAtMs; // ranAtMs, ranZone, ranCell: of the first attempt that may
    int ranZone, ranCell; // have run, also while it is open
    boolean mayHaveRun; // an ended attempt may have run
    int hungAttempts; // number of attempts when one that hung alone was abandoned; 0 for none
    double hungMs; // how long that one had waited
    CeilingShare ceilingShare; // share of the ceiling that its units came from; null for none
    int spentAttempt; // the attempt for which its units were taken
    boolean unitsReserved; // its units are reserved: no attempt has reached a server yet
    boolean clientGone, streaming, passedOn; // of the newest attempt: its answer has begun, and is a value that is passed on

    PendingRequest(Request request, RequestClass requestClass, Customer customer, double arrivedAtMs) {
        this.request = request; this.requestClass = requestClass; this.customer = customer; this.arrivedAtMs = arrivedAtMs;
    }

    /** Records the next attempt, and its place: a retry must keep to that place even if a list moves the server meanwhile. */
    void attemptSent(Host host, double nowMs) {
        attempts++; lastHost = host; sentAtMs = nowMs; host.coldTokens--; streaming = passedOn = false;
        if (!mayHaveRun) { ranAtMs = nowMs; ranZone = host.zone; ranCell = host.cell; }
    }

    PendingRequest beginStreaming(double nowMs) { streaming = true; lastHost.lastAnswerAtMs = nowMs; return this; }

    /** Until when its answer has its full worth. */
    double aimAtMs() { return arrivedAtMs + requestClass.aimMs(); }

    boolean isBoundElsewhere(Host host) { return request.binding() != null && !request.binding().allows(host); }
}

package yardusher.connectionquota;

/**
 * Escrow account of this ingress with one peer at one region: four totals that only grow while both keep their incarnations,
 * and two remainders of earlier incarnations that only fall. A unit is the right to have one connection open. Units that were lent go
 * back to their lender and to nobody else, so their state is only ever exchanged between two ingresses.
 *
 * <p>The peer never borrows more than is recorded as lent here: {@link #granted} grows before the peer is told, and
 * {@link #returned} grows once a unit is no longer in use and before the peer is told.
 */
final class PeerAccount {
    int granted;                                     // own units lent to the peer; only grows
    int recovered;                                   // of those, returned according to the peer; only grows
    int received;                                    // the peer's units lent to this ingress, the highest total reported; only grows
    int returned;                                    // of those, returned to the peer; only grows
    int legacyBorrowed;                              // the peer's units, lent by its earlier incarnations, held here; only falls
    int maxLegacyLent;                               // units of own earlier incarnations that the peer holds at most; only falls
    int ackedGranted;                                // of granted, what the peer has acknowledged
    int ackedReturned;                               // of returned, what the peer has acknowledged
    int peerAllowance;                               // connections that the peer may have open in all, as it reports
    int peerNeeded;                                  // connections that the peer would use now
    int peerWanted;                                  // and that it would like to keep
    int requestedByPeer;                             // units that the peer asks for
    int peerReceivedAtRequest;                       // of granted, what the peer had received when it asked
    double peerRequestAtMs = Double.NEGATIVE_INFINITY;
    int redirectedForPeer;                           // units returned to their lenders for the peer since it asked
    int requestedFromPeer;                           // units that the peer was asked for
    double requestSentAtMs = Double.NEGATIVE_INFINITY;
    int beneficiary;                                 // ingress for which units were last returned to the peer, as its number plus one
    boolean isPeerRequestNew;
    int requestNumber;                               // number of the last request to the peer
    int peerRequestNumber;                           // and of its last request
    int allotted;                                    // units to be given to the peer in this round
    int previousReceived;
    int previousRecovered;
    int sentAllowance;                               // own allowance as last sent to the peer
    int sentWanted;
    int sentNeeded;
    boolean isDirty;                                 // the account is to be sent with the next message

    /** How many units of this ingress the peer may hold at most. */
    int lent() { return granted - recovered + maxLegacyLent; }

    /** How many units of the peer are held here. */
    int borrowed() { return received - returned + legacyBorrowed; }

    /** Whether the peer has not acknowledged a grant or a return yet. */
    boolean hasUnacknowledged() { return granted > ackedGranted || returned > ackedReturned; }

    /**
     * The peer has begun a new incarnation, and its earlier ones have ended: what they borrowed is back, what they lent is
     * still held here, and no further loan of theirs is accepted.
     */
    void peerRestarted() {
        legacyBorrowed += received - returned;
        received = returned = ackedReturned = 0;
        granted = recovered = ackedGranted = 0;
        peerAllowance = peerNeeded = peerWanted = requestedByPeer = requestedFromPeer = redirectedForPeer = beneficiary =
                previousReceived = previousRecovered = 0;
    }

    boolean isEmpty() { return lent() == 0 && borrowed() == 0 && !hasUnacknowledged(); }
}

package yardusher.connectionquota;

/**
 * What one ingress and one other have between them at one region, as this one knows it: four counters that only grow in a
 * pair of lives, and two remainders of earlier lives that only fall. A unit is one connection that may be open. Units lent go
 * back to whom they came from and nowhere else, so all that is ever said of them is said between two.
 *
 * <p>What is lent is never more than what stands here, and what is held never more than was lent: {@link #granted} grows
 * before it is told, and {@link #returned} grows once the unit is no longer used, before that is told.
 */
final class PeerAccount {
    int granted;                                     // mine, to it; only grows
    int recovered;                                        // of those, which it says it has given back; only grows
    int received;                                       // its, to me: the most that it said; only grows
    int returned;                                    // of those, which are given back; only grows
    int legacyBorrowed;                                         // its, lent by earlier lives of it and still held here; only falls
    int maxLegacyLent;                                       // mine, lent by earlier lives of mine: it holds no more; only falls
    int ackedGranted;                                   // of my grants, which it has heard of
    int ackedReturned;                                // of what I gave back, which it has heard of
    int peerAllowance;                                         // what it says it may have open in all
    int peerNeeded;                                        // what it would use now
    int peerWanted;                                       // and would like to keep
    int requestedByPeer;                                        // units that it asks for
    int peerReceivedAtRequest;                                   // of my grants, what it had when it asked
    double peerRequestAtMs = Double.NEGATIVE_INFINITY;
    int redirectedForPeer;                                    // units that went to a third for its sake since it asked
    int requestedFromPeer;                                      // units asked of it
    double requestSentAtMs = Double.NEGATIVE_INFINITY;
    int beneficiary;                                        // for whose sake units were given back to it last; one above the number
    boolean isPeerRequestNew;
    int requestNumber;                                         // number of the ask to it
    int peerRequestNumber;                                      // and of its ask
    int allotted;
    int previousReceived;
    int previousRecovered;
    int sentAllowance;                                     // what it was last told of this one
    int sentWanted;
    int sentNeeded;
    boolean isDirty;                                 // something of it is to be told soon

    /** How many of mine the other may hold, at the most. */
    int lent() { return granted - recovered + maxLegacyLent; }

    /** How many of the other's are held here. */
    int borrowed() { return received - returned + legacyBorrowed; }

    /** Something has been done of which the other may not have heard. */
    boolean hasUnacknowledged() { return granted > ackedGranted || returned > ackedReturned; }

    /**
     * The other begins a new life, and its earlier ones have ended: what they held is back, what they lent is still held
     * here and no more of it is taken.
     */
    void peerRestarted() {
        legacyBorrowed += received - returned;
        received = returned = ackedReturned = 0;
        granted = recovered = ackedGranted = 0;
        peerAllowance = peerNeeded = peerWanted = requestedByPeer = requestedFromPeer = redirectedForPeer = beneficiary = previousReceived = previousRecovered = 0;
    }

    boolean isEmpty() { return lent() == 0 && borrowed() == 0 && !hasUnacknowledged(); }
}

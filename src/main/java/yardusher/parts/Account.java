package yardusher.parts;

/**
 * Escrow account of this ingress with one peer at one region: four totals that only grow while both keep their incarnations,
 * and two remainders of earlier incarnations that only fall. A unit is the right to have one connection open. Units that were lent go
 * back to their lender and to nobody else, so their state is only ever exchanged between two ingresses.
 *
 * <p>The peer never borrows more than is recorded as lent here: {@link #granted} grows before the peer is told, and
 * {@link #returned} grows once a unit is no longer in use and before the peer is told.
 */
final class Account {
    int granted;                                     // own units lent to the peer; only grows
    int back;                                        // of those, returned according to the peer; only grows
    int taken;                                       // the peer's units lent to this ingress, the highest total heard; only grows
    int returned;                                    // of those, returned to the peer; only grows
    int old;                                         // the peer's units, lent by its earlier incarnations, held here; only falls
    int bound;                                       // units of own earlier incarnations that the peer holds at most; only falls
    int seenTaken;                                   // of granted, what the peer has acknowledged
    int seenReturned;                                // of returned, what the peer has acknowledged
    int has;                                         // connections that the peer may have open in all, as it reports
    int uses;                                        // connections that the peer would use now
    int wants;                                       // and that it would like to keep
    int asks;                                        // units that the peer asks for
    int asksTaken;                                   // of granted, what the peer had received when it asked
    double asksAt = Double.NEGATIVE_INFINITY;
    int sentHome;                                    // units returned to their lenders for the peer since it asked
    int asking;                                      // units that the peer was asked for
    double askingAt = Double.NEGATIVE_INFINITY;
    int sake;                                        // ingress for which units were last returned to the peer, as its number plus one
    boolean isAskNew;
    int ask;                                         // number of the last request to the peer
    int asksNo;                                      // and of its last request
    int owing;                                       // units to be given to the peer in this round
    int takenBefore;
    int backBefore;
    int toldHas;                                     // own allowance as last sent to the peer
    int toldWants;
    int toldUses;
    boolean isDirty;                                 // the account is to be sent with the next message

    /** How many units of this ingress the peer may hold at most. */
    int lent() { return granted - back + bound; }

    /** How many units of the peer are held here. */
    int held() { return taken - returned + old; }

    /** Whether the peer has not acknowledged a grant or a return yet. */
    boolean isUnheard() { return granted > seenTaken || returned > seenReturned; }

    /**
     * The peer has begun a new incarnation, and its earlier ones have ended: what they borrowed is back, what they lent is
     * still held here, and no further loan of theirs is accepted.
     */
    void reborn() {
        old += taken - returned;
        taken = returned = seenReturned = 0;
        granted = back = seenTaken = 0;
        has = uses = wants = asks = asking = sentHome = sake = takenBefore = backBefore = 0;
    }

    boolean isEmpty() { return lent() == 0 && held() == 0 && !isUnheard(); }
}

package yardusher.parts;

/**
 * What one ingress and one other have between them at one region, as this one knows it: four counters that only grow in a
 * pair of lives, and two remainders of earlier lives that only fall. A unit is one connection that may be open. Units lent go
 * back to whom they came from and nowhere else, so all that is ever said of them is said between two.
 *
 * <p>What is lent is never more than what stands here, and what is held never more than was lent: {@link #granted} grows
 * before it is told, and {@link #returned} grows once the unit is no longer used, before that is told.
 */
final class Account {
    int granted;                                     // mine, to it; only grows
    int back;                                        // of those, which it says it has given back; only grows
    int taken;                                       // its, to me: the most that it said; only grows
    int returned;                                    // of those, which are given back; only grows
    int old;                                         // its, lent by earlier lives of it and still held here; only falls
    int bound;                                       // mine, lent by earlier lives of mine: it holds no more; only falls
    int seenTaken;                                   // of my grants, which it has heard of
    int seenReturned;                                // of what I gave back, which it has heard of
    int has;                                         // what it says it may have open in all
    int uses;                                        // what it would use now
    int wants;                                       // and would like to keep
    int asks;                                        // units that it asks for
    int asksTaken;                                   // of my grants, what it had when it asked
    double asksAt = Double.NEGATIVE_INFINITY;
    int sentHome;                                    // units that went to a third for its sake since it asked
    int asking;                                      // units asked of it
    double askingAt = Double.NEGATIVE_INFINITY;
    int sake;                                        // for whose sake units were given back to it last; one above the number
    boolean isAskNew;
    int ask;                                         // number of the ask to it
    int asksNo;                                      // and of its ask
    int owing;
    int takenBefore;
    int backBefore;
    int toldHas;                                     // what it was last told of this one
    int toldWants;
    int toldUses;
    boolean isDirty;                                 // something of it is to be told soon

    /** How many of mine the other may hold, at the most. */
    int lent() { return granted - back + bound; }

    /** How many of the other's are held here. */
    int held() { return taken - returned + old; }

    /** Something has been done of which the other may not have heard. */
    boolean isUnheard() { return granted > seenTaken || returned > seenReturned; }

    /**
     * The other begins a new life, and its earlier ones have ended: what they held is back, what they lent is still held
     * here and no more of it is taken.
     */
    void reborn() {
        old += taken - returned;
        taken = returned = seenReturned = 0;
        granted = back = seenTaken = 0;
        has = uses = wants = asks = asking = sentHome = sake = takenBefore = backBefore = 0;
    }

    boolean isEmpty() { return lent() == 0 && held() == 0 && !isUnheard(); }
}

package yardusher;

import yardusher.Api.Plan;
import yardusher.Api.Settings;

/**
 * Enforces the ceilings of customers: each ingress of a customer's set owns an equal share of the ceiling's rate, burst and slack, starts
 * with an empty one and spends no more than it holds. So the sum stays within the ceiling without any message between ingresses.
 */
final class Ceilings {
    private final Settings settings;
    private final Clock clock;
    private final Peers peers;
    private double earnsSince;
    private double lentUntil;

    /** {@code bornMs} is when this process began; the previous incarnation of the ingress had ended by then. */
    Ceilings(Settings settings, Clock clock, Peers peers, double bornMs) {
        this.settings = settings;
        this.clock = clock;
        this.peers = peers;
        beginsAnew(bornMs);
    }

    /** Up to this time, the previous incarnation or the sibling process may have spent all tokens and lent all it could. */
    private void beginsAnew(double since) {
        earnsSince = since;
        lentUntil = since + CeilingShare.LEASE_MS + CeilingShare.MARGIN_MS;
    }

    /** No peer holds a loan of the previous incarnation any more: the shares earn at their full rate again. */
    void endFormerLoans(Iterable<Customer> customers) {
        lentUntil = clock.now;
        for (Customer c : customers) {
            if (c.ceilingShare != null) { c.ceilingShare.endFormerLoans(clock.now); }
        }
    }

    /** Whether loans of the previous incarnation may still be out. */
    boolean mayHaveLentBefore() { return clock.now < lentUntil; }

    /** Sets whether this process, of the two of an ingress in an upgrade, earns the shares from now on. */
    void owns(boolean owns, Iterable<Customer> customers) {
        if (owns == peers.owns) { return; }
        for (Customer c : customers) {
            if (owns) { c.ceilingShare = null; }
            if (c.ceilingShare != null) { c.ceilingShare.retire(clock.now); }
        }
        beginsAnew(clock.now);
    }

    /** A customer's state is dropped, so what it has spent or lent since the start is unknown from now on. */
    void forget(Customer c) {
        CeilingShare share = c.ceilingShare;
        if (share == null) { return; }
        earnsSince = clock.now;
        share.advance(clock.now);
        if (share.hasLeasesOut()) { beginsAnew(clock.now); }
    }

    /** Whether the customer's share has to be kept because others use a portion of it. */
    boolean hasLeasesOut(Customer c) {
        if (c.ceilingShare == null) { return false; }
        c.ceilingShare.advance(clock.now);
        return c.ceilingShare.hasLeasesOut();
    }

    /** The customer's share, advanced to the current time. */
    CeilingShare share(Customer c) {
        if (c.ceilingShare == null || !isOfSet(c)) {
            c.ceilingShare = begin(c);
            c.ceilingSpread = c.spread;
            c.ceilingFirst = c.first;
        }
        c.ceilingShare.advance(clock.now);
        return c.ceilingShare;
    }

    /** A new share. When the gateway set has changed, the tokens of the old share are void, and its loans are still out. */
    private CeilingShare begin(Customer c) {
        boolean setChanged = c.ceilingShare != null;
        if (setChanged) { return new CeilingShare(c.plan, c.spread, clock.now, clock.now + CeilingShare.LEASE_MS + CeilingShare.MARGIN_MS); }
        return new CeilingShare(c.plan, c.spread, earnsSince, canLend(c) ? lentUntil : earnsSince);
    }

    /** Whether portions of the customer's ceiling may be lent between ingresses. */
    boolean canLend(Customer c) { return c.spread > 1 && settings.limits().peers() && settings.peerIntakePerS() > 0; }

    boolean holds(Customer c, double units) {
        if (!hasCeiling(c.plan)) { return true; }
        return mayHold(c) && share(c).tokens() >= units;
    }

    /** A process that does not own the shares may spend what it earned before but creates no new share. */
    private boolean mayHold(Customer c) { return peers.owns || c.ceilingShare != null && isOfSet(c); }

    private static boolean isOfSet(Customer c) { return c.ceilingSpread == c.spread && c.ceilingFirst == c.first; }

    static boolean hasCeiling(Plan plan) { return plan.ceilingRate() > 0; }

    /** Takes the units of an admitted request. Returns the share that they came from, null without a ceiling. */
    CeilingShare spend(Customer c, double units) {
        if (!hasCeiling(c.plan)) { return null; }
        CeilingShare share = share(c);
        share.spend(units);
        return share;
    }

    /** A copy of the customer's share, advanced to the current time; changes nothing. */
    CeilingShare look(Customer c) {
        CeilingShare share = c.ceilingShare == null ? begin(c) : new CeilingShare(c.ceilingShare);
        share.advance(clock.now);
        return share;
    }
}

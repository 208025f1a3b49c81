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
    private double earnsSinceMs;
    private double lentUntilMs;

    /** {@code bornMs} is when this process began; the previous incarnation of the ingress had ended by then. */
    Ceilings(Settings settings, Clock clock, Peers peers, double bornMs) {
        this.settings = settings;
        this.clock = clock;
        this.peers = peers;
        reset(bornMs);
    }

    /** Up to this time, the previous incarnation or the sibling process may have spent all tokens and lent all it could. */
    private void reset(double sinceMs) {
        earnsSinceMs = sinceMs;
        lentUntilMs = sinceMs + CeilingShare.LEASE_MS + CeilingShare.MARGIN_MS;
    }

    /** No peer holds a loan of the previous incarnation any more: the shares earn at their full rate again. */
    void endPreviousLoans(Iterable<Customer> customers) {
        lentUntilMs = clock.now;
        for (Customer customer : customers) {
            if (customer.ceilingShare != null) { customer.ceilingShare.endPreviousLoans(clock.now); }
        }
    }

    /** Whether loans of the previous incarnation may still be out. */
    boolean mayHavePreviousLoans() { return clock.now < lentUntilMs; }

    /** Sets whether this process, of the two of an ingress in an upgrade, earns the shares from now on. */
    void setOwnership(boolean owns, Iterable<Customer> customers) {
        if (owns == peers.ownsCeilings) { return; }
        for (Customer customer : customers) {
            if (owns) { customer.ceilingShare = null; }
            if (customer.ceilingShare != null) { customer.ceilingShare.retire(clock.now); }
        }
        reset(clock.now);
    }

    /** A customer's state is dropped, so what it has spent or lent since the start is unknown from now on. */
    void forget(Customer customer) {
        CeilingShare share = customer.ceilingShare;
        if (share == null) { return; }
        earnsSinceMs = clock.now;
        share.advance(clock.now);
        if (share.hasLeasesOut()) { reset(clock.now); }
    }

    /** Whether the customer's share has to be kept because others use a portion of it. */
    boolean hasLeasesOut(Customer customer) {
        if (customer.ceilingShare == null) { return false; }
        customer.ceilingShare.advance(clock.now);
        return customer.ceilingShare.hasLeasesOut();
    }

    /** The customer's share, advanced to the current time. */
    CeilingShare share(Customer customer) {
        if (customer.ceilingShare == null || !hasCurrentSet(customer)) {
            customer.ceilingShare = newShare(customer);
            customer.ceilingGatewayCount = customer.gatewayCount;
            customer.ceilingFirstGateway = customer.firstGateway;
        }
        customer.ceilingShare.advance(clock.now);
        return customer.ceilingShare;
    }

    /** A new share. When the gateway set has changed, the tokens of the old share are void, and its loans are still out. */
    private CeilingShare newShare(Customer customer) {
        boolean setChanged = customer.ceilingShare != null;
        if (setChanged) {
            return new CeilingShare(customer.plan, customer.gatewayCount, clock.now,
                    clock.now + CeilingShare.LEASE_MS + CeilingShare.MARGIN_MS);
        }
        return new CeilingShare(customer.plan, customer.gatewayCount, earnsSinceMs, canLend(customer) ? lentUntilMs : earnsSinceMs);
    }

    /** Whether portions of the customer's ceiling may be lent between ingresses. */
    boolean canLend(Customer customer) {
        return customer.gatewayCount > 1 && settings.limits().mayMessagePeers() && settings.peerIntakePerS() > 0;
    }

    boolean canSpend(Customer customer, double units) {
        if (!hasCeiling(customer.plan)) { return true; }
        return mayUseShare(customer) && share(customer).tokens() >= units;
    }

    /** A process that does not own the shares may spend what it earned before but creates no new share. */
    private boolean mayUseShare(Customer customer) { return peers.ownsCeilings || customer.ceilingShare != null && hasCurrentSet(customer); }

    private static boolean hasCurrentSet(Customer customer) {
        return customer.ceilingGatewayCount == customer.gatewayCount && customer.ceilingFirstGateway == customer.firstGateway;
    }

    static boolean hasCeiling(Plan plan) { return plan.ceilingRatePerS() > 0; }

    /** Takes the units of an admitted request. Returns the share that they came from, null without a ceiling. */
    CeilingShare spend(Customer customer, double units) {
        if (!hasCeiling(customer.plan)) { return null; }
        CeilingShare share = share(customer);
        share.spend(units);
        return share;
    }

    /** A copy of the customer's share, advanced to the current time; changes nothing. */
    CeilingShare copyOfShare(Customer customer) {
        CeilingShare share = customer.ceilingShare == null ? newShare(customer) : new CeilingShare(customer.ceilingShare);
        share.advance(clock.now);
        return share;
    }
}

package yardusher;

import yardusher.Api.Plan;
import yardusher.Api.Settings;

/**
 * Holds the ceilings of customers: each ingress of a customer's set owns an equal share of the ceiling's rate, burst and slack, begins
 * with an empty one and spends no more than it holds. So the sum stays within the ceiling with no word between ingresses.
 */
final class Ceilings {
    private final Settings settings;
    private final Clock clock;
    private final Peers peers;
    private double earnsSinceMs;
    private double lentUntilMs;

    /** {@code bornMs} is when this process began: a former life of the ingress had ended by then. */
    Ceilings(Settings settings, Clock clock, Peers peers, double bornMs) {
        this.settings = settings;
        this.clock = clock;
        this.peers = peers;
        reset(bornMs);
    }

    /** A former life of this ingress, or another process of it, may have spent all it had and lent what it could up to this time. */
    private void reset(double sinceMs) {
        earnsSinceMs = sinceMs;
        lentUntilMs = sinceMs + CeilingShare.LEASE_MS + CeilingShare.MARGIN_MS;
    }

    /** Nobody holds anything of a former life any more: all is earned again. */
    void endPreviousLoans(Iterable<Customer> customers) {
        lentUntilMs = clock.now;
        for (Customer customer : customers) {
            if (customer.ceilingShare != null) { customer.ceilingShare.endPreviousLoans(clock.now); }
        }
    }

    /** Whether a former life may have lent what is not back yet. */
    boolean mayHavePreviousLoans() { return clock.now < lentUntilMs; }

    /** Whether this process, of the two of an ingress in an upgrade, earns its shares from now on. */
    void setOwnership(boolean owns, Iterable<Customer> customers) {
        if (owns == peers.ownsCeilings) { return; }
        for (Customer customer : customers) {
            if (owns) { customer.ceilingShare = null; }
            if (customer.ceilingShare != null) { customer.ceilingShare.retire(clock.now); }
        }
        reset(clock.now);
    }

    /** A customer's state is dropped: what it spent or lent since the start is not known any more. */
    void forget(Customer customer) {
        CeilingShare share = customer.ceilingShare;
        if (share == null) { return; }
        earnsSinceMs = clock.now;
        share.advance(clock.now);
        if (share.hasLeasesOut()) { reset(clock.now); }
    }

    /** Whether the customer's share has to be kept: others use a portion of it. */
    boolean hasLeasesOut(Customer customer) {
        if (customer.ceilingShare == null) { return false; }
        customer.ceilingShare.advance(clock.now);
        return customer.ceilingShare.hasLeasesOut();
    }

    /** The customer's share at the present time. */
    CeilingShare share(Customer customer) {
        if (customer.ceilingShare == null || !hasCurrentSet(customer)) {
            customer.ceilingShare = newShare(customer);
            customer.ceilingGatewayCount = customer.gatewayCount;
            customer.ceilingFirstGateway = customer.firstGateway;
        }
        customer.ceilingShare.advance(clock.now);
        return customer.ceilingShare;
    }

    /** Another set shares the ceiling otherwise: what was held under the old one is void, and what was lent is with others still. */
    private CeilingShare newShare(Customer customer) {
        boolean setChanged = customer.ceilingShare != null;
        if (setChanged) { return new CeilingShare(customer.plan, customer.gatewayCount, clock.now, clock.now + CeilingShare.LEASE_MS + CeilingShare.MARGIN_MS); }
        return new CeilingShare(customer.plan, customer.gatewayCount, earnsSinceMs, canLend(customer) ? lentUntilMs : earnsSinceMs);
    }

    /** Whether shares of the customer's ceiling may move between ingresses. */
    boolean canLend(Customer customer) { return customer.gatewayCount > 1 && settings.limits().mayMessagePeers() && settings.peerIntakePerS() > 0; }

    boolean canSpend(Customer customer, double units) {
        if (!hasCeiling(customer.plan)) { return true; }
        return mayUseShare(customer) && share(customer).tokens() >= units;
    }

    /** A process that does not earn has what it earned before, and begins no share. */
    private boolean mayUseShare(Customer customer) { return peers.ownsCeilings || customer.ceilingShare != null && hasCurrentSet(customer); }

    private static boolean hasCurrentSet(Customer customer) { return customer.ceilingGatewayCount == customer.gatewayCount && customer.ceilingFirstGateway == customer.firstGateway; }

    static boolean hasCeiling(Plan plan) { return plan.ceilingRatePerS() > 0; }

    /** Takes the units of an admitted request; the result is the share that they came from, null without a ceiling. */
    CeilingShare spend(Customer customer, double units) {
        if (!hasCeiling(customer.plan)) { return null; }
        CeilingShare share = share(customer);
        share.spend(units);
        return share;
    }

    /** A copy of the customer's share at the present time: looking changes nothing. */
    CeilingShare copyOfShare(Customer customer) {
        CeilingShare share = customer.ceilingShare == null ? newShare(customer) : new CeilingShare(customer.ceilingShare);
        share.advance(clock.now);
        return share;
    }
}

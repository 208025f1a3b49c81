package yardusher;

import java.util.*;
import yardusher.Api.*;

/** Admits requests by the counts of each customer, and reserves room for units used at other gateways that are not known yet. */
final class Quotas {
    private static final double RESERVED_FRACTION = 0.5; // fraction of the unknown units that is reserved, up to one slot's worth
    static final int MIN_SWEPT = 8; // least number of customers visited in a sweep; never all of them
    private final Settings settings; private final Clock clock; private final SplittableRandom random;
    private final Peers peers; private final Ceilings ceilings;
    final Map<Long, Customer> customers = new LinkedHashMap<>();

    Quotas(Settings settings, Clock clock, SplittableRandom random, Peers peers, Ceilings ceilings) {
        this.settings = settings; this.clock = clock; this.random = random;
        this.peers = peers; this.ceilings = ceilings;
    }

    Customer customer(long id, int planIndex) {
        Customer customer = customers.get(id);
        if (customer != null && customer.planIndex == planIndex) { return customer; }
        if (customer != null) { ceilings.forget(customer); }
        Customer fresh = newCustomer(id, planIndex);
        customers.put(id, fresh);
        return fresh;
    }

    /** A customer of which nothing is known; not added to the table. */
    Customer newCustomer(long id, int planIndex) { return new Customer(id, planIndex, settings, clock, peers); }

    /** Whether this process, of two of the same gateway, owns its shares of ceilings. */
    void setOwnership(boolean owns) { ceilings.setOwnership(owns, customers.values()); }

    void endPreviousLoans() { ceilings.endPreviousLoans(customers.values()); }

    /** Refuses at random the fraction of requests by which the total demand of a customer exceeds its rate. */
    private boolean isShedByExternalDemand(Customer customer) {
        boolean exceeded = clock.now - customer.externalDemandAtMs < customer.windowMs
                && customer.externalDemandPerS > customer.plan.ratePerS();
        return exceeded && random.nextDouble() * customer.externalDemandPerS > customer.plan.ratePerS();
    }

    /** Why these units must be refused, or null. */
    Reason refusalReason(Customer customer, double units) {
        Plan plan = customer.plan;
        if (plan.openCap() > 0 && customer.openAttempts() >= plan.openCap()) { return Reason.QUOTA; }
        if (plan.ratePerS() > 0) {
            if (isShedByExternalDemand(customer)) { return Reason.QUOTA; }
            double excessCost = plan.ceilingRatePerS() > 0 ? 1 : Math.min(1, plan.overQuotaCost()); // cost of excess
            double position = random.nextDouble() * excessCost;
            if (units > roomFor(customer, customer.unitsOfOthers(-1), position, RESERVED_FRACTION * excessCost) + 1e-9) { return Reason.QUOTA; }
        }
        return ceilings.canSpend(customer, units) ? null : Reason.CEILING;
    }

    /**
     * The bucket level less this fraction of the unknown use at other gateways. For an unseen customer, in the first window after
     * the start, at most this gateway's share of the limit: others may have admitted the whole burst unnoticed.
     * One request always fits, since a quota too small to divide would refuse everybody.
     */
    double roomFor(Customer customer, double[] others, double position, double reservedFraction) {
        double limit = customer.plan.burst(), unknownUnits = unknownUnits(customer, others[Row.SLOTS + 1]);
        double room = customer.room(others) - position * unknownUnits - Math.min(reservedFraction * unknownUnits, limit / Row.SLOTS);
        if (clock.now - clock.startedAtMs >= customer.windowMs || isInformed(customer)) { return room; }
        double share = Math.max(limit / customer.gatewayCount, Math.min(limit, settings.maxUnits()));
        return Math.min(Math.max(room, share), share - others[Row.SLOTS] - customer.ownRow.sum());
    }

    /** Whether counts of the customer have arrived or would have: all peers of a small set have spoken, a large set had the time to. */
    private boolean isInformed(Customer customer) {
        if (customer.heardAtMs >= customer.createdAtMs || customer.gatewayCount == 1) { return true; }
        Map<Integer, Integer> incarnations = peers.incarnations;
        if (!customer.isDirect()) { return !incarnations.isEmpty() && clock.now - clock.startedAtMs > 2 * customer.relayIntervalMs(); }
        for (int k = 0; k < customer.gatewayCount; k++) {
            if (customer.member(k) != settings.self() && !incarnations.containsKey(customer.member(k))) { return false; }
        }
        return true;
    }

    /**
     * Estimates the units used at other gateways that are not known yet. Guards against all gateways filling the same room before they
     * hear of each other. The demand at the others since the last counts is known from its rate, but not the order of the requests:
     * the caller draws this request's place among them at random, and only those before it need room. Works for sets of any size;
     * refuses too much when the others' demand has just stopped. A direct set sends what it admits within half a slot or one round of
     * messages, so a longer silence means that nothing was admitted and counts for at most two of these.
     */
    private double unknownUnits(Customer customer, double requestedAtOthers) {
        double lagMs = Math.max(customer.slotMs / 2, (settings.gateways() - 1) / Math.max(1e-9, peers.intakePerMs));
        double usualMs = customer.isDirect() || customer.relayRank >= 0 ? lagMs
                : Math.max(customer.relayIntervalMs(), customer.heardIntervalMs);
        double silentMs = customer.isDirect() ? Math.min(2 * lagMs, clock.now - customer.heardAtMs) : clock.now - customer.heardAtMs;
        double stalenessMs = Math.min(customer.windowMs, Math.max(usualMs, silentMs));
        return requestedAtOthers * stalenessMs / customer.windowMs;
    }

    boolean isNearLimit(Customer customer) {
        return customer.plan.ratePerS() > 0
                && customer.unitsOfOthers(-1)[Row.SLOTS + 1] + customer.requestedUnits(customer.ownRow) + settings.maxUnits() / 2
                        > customer.plan.burst();
    }

    /** Visits the customers whose last visit is longest ago and removes unused ones. */
    void sweep() {
        for (int i = Math.min(Math.max(MIN_SWEPT, customers.size() / 25), customers.size()); i > 0; i--) {
            Customer customer = customers.remove(customers.keySet().iterator().next());
            // Many come only once: removed when the bucket is full. A share of a ceiling would have to be earned anew, so it stays longer.
            boolean keepsShare = customer.plan.ceilingRatePerS() > 0 && clock.now - customer.usedAtMs < 60 * customer.windowMs;
            boolean kept = keepsShare || ceilings.hasLeasesOut(customer) || customer.ownRow.openAttempts > 0
                    || customer.usedUnits() > 0 || customer.baseLevel < customer.plan.burst();
            if (kept) { customers.put(customer.id, customer); } else { ceilings.forget(customer); }
        }
    }
}

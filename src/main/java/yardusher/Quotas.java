package yardusher;

import java.util.*;
import yardusher.Api.*;

/** Admits requests by the counts of each customer, and reserves room for units used at other gateways that are not known yet. */
final class Quotas {
    private static final double KEPT = 0.5;          // fraction of the unknown units that is reserved, up to one slot's worth
    static final int SWEPT = 8;                      // least number of customers visited in a sweep; never all of them
    private final Settings settings; private final Clock clock; private final SplittableRandom random;
    private final Peers peers; private final Ceilings ceilings;
    final Map<Long, Customer> customers = new LinkedHashMap<>();

    Quotas(Settings settings, Clock clock, SplittableRandom random, Peers peers, Ceilings ceilings) {
        this.settings = settings; this.clock = clock; this.random = random;
        this.peers = peers; this.ceilings = ceilings;
    }

    Customer customer(long id, int planIndex) {
        Customer c = customers.get(id);
        if (c != null && c.planIndex == planIndex) { return c; }
        if (c != null) { ceilings.forget(c); }
        Customer fresh = fresh(id, planIndex);
        customers.put(id, fresh);
        return fresh;
    }

    /** A customer of which nothing is known; not added to the table. */
    Customer fresh(long id, int planIndex) { return new Customer(id, planIndex, settings, clock, peers); }

    /** Whether this process, of two of the same gateway, owns its shares of ceilings. */
    void owns(boolean owns) { ceilings.owns(owns, customers.values()); }

    void endFormerLoans() { ceilings.endFormerLoans(customers.values()); }

    /** Refuses at random the fraction of requests by which the total demand of a customer exceeds its rate. */
    private boolean comesTooLate(Customer c) {
        boolean over = clock.now - c.askedAt < c.windowMs && c.askedPerS > c.plan.ratePerS();
        return over && random.nextDouble() * c.askedPerS > c.plan.ratePerS();
    }

    /** Why these units must be refused, or null. */
    Reason beyond(Customer c, double units) {
        Plan plan = c.plan;
        if (plan.openCap() > 0 && c.open() >= plan.openCap()) { return Reason.QUOTA; }
        if (plan.ratePerS() > 0) {
            if (comesTooLate(c)) { return Reason.QUOTA; }
            double dear = plan.ceilingRate() > 0 ? 1 : Math.min(1, plan.overCost()); // cost of excess
            double place = random.nextDouble() * dear;
            if (units > roomFor(c, c.others(-1), place, KEPT * dear) + 1e-9) { return Reason.QUOTA; }
        }
        return ceilings.holds(c, units) ? null : Reason.CEILING;
    }

    /**
     * The bucket level less this fraction of the unknown use at other gateways. For an unseen customer, in the first window after
     * the start, at most this gateway's share of the limit: others may have admitted the whole burst unnoticed.
     * One request always fits, since a quota too small to divide would refuse everybody.
     */
    double roomFor(Customer c, double[] others, double place, double kept) {
        double limit = c.plan.burst(), unheard = unheard(c, others[Row.SLOTS + 1]);
        double room = c.room(others) - place * unheard - Math.min(kept * unheard, limit / Row.SLOTS);
        if (clock.now - clock.startedAt >= c.windowMs || informed(c)) { return room; }
        double share = Math.max(limit / c.spread, Math.min(limit, settings.mostUnits()));
        return Math.min(Math.max(room, share), share - others[Row.SLOTS] - c.mine.sum());
    }

    /** Whether counts of the customer have arrived or would have: all peers of a small set have spoken, a large set had the time to. */
    private boolean informed(Customer c) {
        if (c.newsAt >= c.bornAt || c.spread == 1) { return true; }
        Map<Integer, Integer> lives = peers.lives;
        if (!c.direct()) { return !lives.isEmpty() && clock.now - clock.startedAt > 2 * c.passEvery(); }
        for (int k = 0; k < c.spread; k++) {
            if (c.member(k) != settings.self() && !lives.containsKey(c.member(k))) { return false; }
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
    private double unheard(Customer c, double askedByOthers) {
        double lag = Math.max(c.slotMs / 2, (settings.gateways() - 1) / Math.max(1e-9, peers.intake));
        double usual = c.direct() || c.rank >= 0 ? lag : Math.max(c.passEvery(), c.newsEvery);
        double silent = c.direct() ? Math.min(2 * lag, clock.now - c.newsAt) : clock.now - c.newsAt;
        double staleness = Math.min(c.windowMs, Math.max(usual, silent));
        return askedByOthers * staleness / c.windowMs;
    }

    boolean tight(Customer c) {
        return c.plan.ratePerS() > 0
                && c.others(-1)[Row.SLOTS + 1] + c.asked(c.mine) + settings.mostUnits() / 2 > c.plan.burst();
    }

    /** Visits the customers whose last visit is longest ago and removes unused ones. */
    void sweep() {
        for (int i = Math.min(Math.max(SWEPT, customers.size() / 25), customers.size()); i > 0; i--) {
            Customer c = customers.remove(customers.keySet().iterator().next());
            // Many come only once: removed when the bucket is full. A share of a ceiling would have to be earned anew, so it stays longer.
            boolean escrow = c.plan.ceilingRate() > 0 && clock.now - c.usedAt < 60 * c.windowMs;
            boolean kept = escrow || ceilings.hasLeasesOut(c) || c.mine.open > 0 || c.used() > 0 || c.base < c.plan.burst();
            if (kept) { customers.put(c.id, c); } else { ceilings.forget(c); }
        }
    }
}

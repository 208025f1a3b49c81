package yardusher;

import java.util.ArrayList;
import java.util.List;
import yardusher.Api.Plan;

/**
 * The share of one customer's ceiling that this ingress holds: a token bucket whose rate and capacity are a portion of the ceiling's.
 * Portions are lent and borrowed by leases. The sum of the portions of all ingresses never exceeds the ceiling, whatever messages are
 * lost, late or doubled, since a lender takes a portion back only after the borrower has given it up. Times are in milliseconds.
 */
final class CeilingShare {
    /** How long a borrower may use a portion, counted from its request for it. */
    static final double LEASE_MS = 500;
    /** How much longer the lender does without it: an attempt that is not yet written, a process held up, clocks that drift. */
    static final double MARGIN_MS = 450;
    /** The part of its own portion that an ingress may lend; with the rest a new life of it can begin at once. */
    static final double LENDABLE_FRACTION = 0.5;
    /** Stands for whoever a former life of this ingress may have lent to. */
    private static final int UNKNOWN = -1;

    /** A portion of the ceiling that is with another ingress, or comes from one, up to a time. */
    private record Lease(int peer, double portion, double untilMs) { }

    private final Plan plan;
    private final double ownPortion;
    private final List<Lease> lent = new ArrayList<>();
    private final List<Lease> borrowed = new ArrayList<>();
    private double tokens;
    private double reserved;
    private double updatedAtMs;
    private double retiredAtMs = Double.POSITIVE_INFINITY;
    private double capacityAtRetirement;

    /** An empty bucket that fills from {@code sinceMs} on; up to {@code lentUntilMs} a former life may have portions lent out. */
    CeilingShare(Plan plan, int spread, double sinceMs, double lentUntilMs) {
        this.plan = plan;
        ownPortion = 1.0 / spread;
        updatedAtMs = sinceMs;
        if (lentUntilMs > sinceMs) { lent.add(new Lease(UNKNOWN, LENDABLE_FRACTION * ownPortion, lentUntilMs)); }
    }

    /** One that goes its own way from here on. */
    CeilingShare(CeilingShare other) {
        plan = other.plan;
        ownPortion = other.ownPortion;
        lent.addAll(other.lent);
        borrowed.addAll(other.borrowed);
        tokens = other.tokens;
        reserved = other.reserved;
        updatedAtMs = other.updatedAtMs;
        retiredAtMs = other.retiredAtMs;
        capacityAtRetirement = other.capacityAtRetirement;
    }

    /** Nobody holds anything of a former life any more. */
    void endPreviousLoans(double now) {
        advance(now);
        lent.removeIf(lease -> lease.peer() == UNKNOWN);
    }

    /** Brings the bucket to this time: each span at the rate and capacity that its leases left. */
    void advance(double now) {
        while (updatedAtMs < now) {
            double next = Math.min(now, Math.min(earliestExpiry(lent), earliestExpiry(borrowed)));
            tokens += portion() * plan.ceilingRatePerS() / 1000 * (next - updatedAtMs);
            updatedAtMs = next;
            lent.removeIf(lease -> lease.untilMs() <= next);
            borrowed.removeIf(lease -> lease.untilMs() <= next);
            dropExcess();
        }
    }

    private static double earliestExpiry(List<Lease> leases) {
        double first = Double.POSITIVE_INFINITY;
        for (Lease lease : leases) { first = Math.min(first, lease.untilMs()); }
        return first;
    }

    /** What exceeds the capacity is lost; tokens that a request holds still stand in the bucket. */
    private void dropExcess() { tokens = Math.min(tokens, capacity() - reserved); }

    /**
     * Another process of this ingress earns its portion from now on. What was earned here may still be spent, while room for it shrinks
     * as fast as the other one earns: together they hold no more than one share.
     */
    void retire(double now) {
        advance(now);
        borrowed.clear();
        capacityAtRetirement = capacity();
        retiredAtMs = now;
        dropExcess();
    }

    /** The portion that this ingress may use now. */
    double portion() { return retiredAtMs < Double.POSITIVE_INFINITY ? 0 : Math.max(0, ownPortion - total(lent)) + total(borrowed); }

    /** The portion that it may still use at a later time, if nothing more is lent or borrowed. */
    double portionAt(double later) {
        double kept = ownPortion - total(lent.stream().filter(lease -> lease.untilMs() > later).toList());
        return Math.max(0, kept) + total(borrowed.stream().filter(lease -> lease.untilMs() > later).toList());
    }

    /** Of each peer the largest portion counts: a renewal replaces the lease before it. */
    private static double total(List<Lease> leases) {
        double total = 0;
        for (int i = 0; i < leases.size(); i++) {
            if (isLargest(leases, i)) { total += leases.get(i).portion(); }
        }
        return total;
    }

    private static boolean isLargest(List<Lease> leases, int index) {
        Lease lease = leases.get(index);
        for (int i = 0; i < leases.size(); i++) {
            Lease other = leases.get(i);
            boolean larger = other.portion() > lease.portion() || other.portion() == lease.portion() && i < index;
            if (i != index && other.peer() == lease.peer() && larger) { return false; }
        }
        return true;
    }

    /** The most tokens that the bucket holds: the ceiling's burst and slack, by portion. */
    double capacity() {
        if (retiredAtMs < Double.POSITIVE_INFINITY) { return Math.max(0, capacityAtRetirement - ownPortion * plan.ceilingRatePerS() / 1000 * (updatedAtMs - retiredAtMs)); }
        return portion() * (plan.ceilingBurst() + plan.ceilingSlack());
    }

    /** Tokens that no request holds. */
    double tokens() { return tokens; }

    /** Tokens that requests hold which wait for a connection. */
    double reserved() { return reserved; }

    double ownPortion() { return ownPortion; }

    boolean hasLeasesOut() { return !lent.isEmpty(); }

    boolean isBorrowing() { return !borrowed.isEmpty(); }

    /** The portion that a peer has lent, beyond this time. */
    double borrowedFrom(int peer, double later) {
        double largest = 0;
        for (Lease lease : borrowed) {
            if (lease.peer() == peer && lease.untilMs() > later) { largest = Math.max(largest, lease.portion()); }
        }
        return largest;
    }

    void spend(double units) { tokens -= units; }

    /** A request that has spent its units has not reached a backend yet. */
    void reserve(double units, double now) {
        advance(now);
        reserved += units;
        dropExcess();
    }

    /** It has reached one. */
    void settle(double units, double now) {
        advance(now);
        reserved -= units;
    }

    /** It never will. */
    void release(double units, double now) {
        advance(now);
        reserved -= units;
        tokens += units;
        dropExcess();
    }

    /** The largest portion that could be with this peer, old leases included, beside a portion that is to be kept. */
    double lendable(int peer, double keptPortion) {
        double toOthers = total(lent.stream().filter(lease -> lease.peer() != peer).toList());
        double heldByRequests = reserved / (plan.ceilingBurst() + plan.ceilingSlack());
        double kept = Math.max((1 - LENDABLE_FRACTION) * ownPortion, Math.max(keptPortion, heldByRequests));
        return Math.max(0, ownPortion - toOthers - kept);
    }

    /**
     * Lends a portion, with so many tokens at the most and at least those that it leaves no room for here; the result says how many.
     * Tokens move together with room for them, so none go along with a renewal: else the lender would earn them once more while the
     * borrower still holds them.
     */
    double lend(int peer, double portion, double maxTokens, double now) {
        double capacityBefore = capacity();
        lent.add(new Lease(peer, portion, now + LEASE_MS + MARGIN_MS));
        double capacityLent = capacityBefore - capacity();
        double overflow = tokens + reserved - capacity();
        double given = Math.max(0, Math.max(overflow, Math.min(Math.min(maxTokens, tokens), capacityLent)));
        tokens -= given;
        dropExcess();
        return given;
    }

    /** Gives up what a peer has lent; the result says whether no waiting request still holds tokens of that. */
    boolean returnLoans(int peer, double now) {
        advance(now);
        borrowed.removeIf(lease -> lease.peer() == peer);
        dropExcess();
        return reserved <= capacity();
    }

    /** Takes in what a peer has lent; {@code askedAt} is when it was asked for. */
    void borrow(int peer, double portion, double moreTokens, double requestedAtMs) {
        if (requestedAtMs + LEASE_MS <= updatedAtMs) { return; }
        borrowed.add(new Lease(peer, portion, requestedAtMs + LEASE_MS));
        tokens += moreTokens;
        dropExcess();
    }
}

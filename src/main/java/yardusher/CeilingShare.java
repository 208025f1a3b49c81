package yardusher;

import java.util.ArrayList;
import java.util.List;
import yardusher.Api.Plan;

/**
 * The share of one customer's ceiling that this ingress holds: a token bucket whose rate and capacity are a portion of the ceiling's.
 * Portions are lent and borrowed by leases. The sum of the portions of all ingresses never exceeds the ceiling, even if messages are
 * lost, late or duplicated, since a lender reclaims a portion only after the borrower's lease has expired. Times are in milliseconds.
 */
final class CeilingShare {
    /** How long a borrower may use a portion, counted from its request. */
    static final double LEASE_MS = 500;
    /** How much longer the lender waits before it reclaims a portion: covers attempts not yet written, process pauses and clock drift. */
    static final double MARGIN_MS = 450;
    /** Fraction of its own portion that an ingress may lend; a new incarnation can use the rest at once. */
    static final double LENDABLE_FRACTION = 0.5;
    /** Placeholder for the unknown borrowers of the previous incarnation of this ingress. */
    private static final int UNKNOWN = -1;

    /** A portion of the ceiling lent to or borrowed from a peer until a time. */
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

    /** An empty bucket that fills from {@code sinceMs} on; until {@code lentUntilMs}, loans of the previous incarnation may be out. */
    CeilingShare(Plan plan, int gatewayCount, double sinceMs, double lentUntilMs) {
        this.plan = plan;
        ownPortion = 1.0 / gatewayCount;
        updatedAtMs = sinceMs;
        if (lentUntilMs > sinceMs) { lent.add(new Lease(UNKNOWN, LENDABLE_FRACTION * ownPortion, lentUntilMs)); }
    }

    /** An independent copy. */
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

    /** All loans of the previous incarnation have been returned. */
    void endPreviousLoans(double now) {
        advance(now);
        lent.removeIf(lease -> lease.peer() == UNKNOWN);
    }

    /** Advances the bucket to this time, using for each interval between lease expiries the rate and capacity that the leases left. */
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

    /** Discards tokens above the capacity; tokens reserved by requests still occupy it. */
    private void dropExcess() { tokens = Math.min(tokens, capacity() - reserved); }

    /**
     * A sibling process of this ingress earns the portion from now on. Tokens earned here may still be spent, but the capacity shrinks
     * as fast as the sibling earns: together they hold at most one share.
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

    /** The portion that it may use at a later time if nothing more is lent or borrowed. */
    double portionAt(double later) {
        double kept = ownPortion - total(lent.stream().filter(lease -> lease.untilMs() > later).toList());
        return Math.max(0, kept) + total(borrowed.stream().filter(lease -> lease.untilMs() > later).toList());
    }

    /** Sum of the largest lease of each peer: a renewal replaces the previous lease. */
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

    /** Capacity of the bucket: the portion's part of the ceiling's burst and slack. */
    double capacity() {
        if (retiredAtMs < Double.POSITIVE_INFINITY) {
            return Math.max(0, capacityAtRetirement - ownPortion * plan.ceilingRatePerS() / 1000 * (updatedAtMs - retiredAtMs));
        }
        return portion() * (plan.ceilingBurst() + plan.ceilingSlack());
    }

    /** Tokens that are not reserved. */
    double tokens() { return tokens; }

    /** Tokens reserved by requests that wait for a connection. */
    double reserved() { return reserved; }

    double ownPortion() { return ownPortion; }

    boolean hasLeasesOut() { return !lent.isEmpty(); }

    boolean isBorrowing() { return !borrowed.isEmpty(); }

    /** The portion borrowed from a peer beyond this time. */
    double borrowedFrom(int peer, double later) {
        double largest = 0;
        for (Lease lease : borrowed) {
            if (lease.peer() == peer && lease.untilMs() > later) { largest = Math.max(largest, lease.portion()); }
        }
        return largest;
    }

    void spend(double units) { tokens -= units; }

    /** Reserves units that were spent by a request which has not reached a backend yet. */
    void reserve(double units, double now) {
        advance(now);
        reserved += units;
        dropExcess();
    }

    /** Ends a reservation: the request has reached a backend. */
    void settle(double units, double now) {
        advance(now);
        reserved -= units;
    }

    /** Ends a reservation and returns its units: the request never reached a backend. */
    void release(double units, double now) {
        advance(now);
        reserved -= units;
        tokens += units;
        dropExcess();
    }

    /** The largest portion that this peer may hold, its present leases included, while {@code keptPortion} stays here. */
    double lendable(int peer, double keptPortion) {
        double toOthers = total(lent.stream().filter(lease -> lease.peer() != peer).toList());
        double heldByRequests = reserved / (plan.ceilingBurst() + plan.ceilingSlack());
        double kept = Math.max((1 - LENDABLE_FRACTION) * ownPortion, Math.max(keptPortion, heldByRequests));
        return Math.max(0, ownPortion - toOthers - kept);
    }

    /**
     * Lends a portion with at most {@code maxTokens} tokens, but at least those that no longer fit here. Returns how many.
     * Tokens move only together with capacity, so a renewal carries none: otherwise the lender would earn them again while the
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

    /** Returns a peer's loans. The result is false while reserved tokens still exceed the remaining capacity. */
    boolean returnLoans(int peer, double now) {
        advance(now);
        borrowed.removeIf(lease -> lease.peer() == peer);
        dropExcess();
        return reserved <= capacity();
    }

    /** Adds a granted loan; {@code requestedAtMs} is when it was requested. */
    void borrow(int peer, double portion, double moreTokens, double requestedAtMs) {
        if (requestedAtMs + LEASE_MS <= updatedAtMs) { return; }
        borrowed.add(new Lease(peer, portion, requestedAtMs + LEASE_MS));
        tokens += moreTokens;
        dropExcess();
    }
}

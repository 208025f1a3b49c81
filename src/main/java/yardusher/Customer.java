package yardusher;

import java.util.*;
import yardusher.Api.*;

/**
 * A customer's counts: ten-slot rows and the store that they stand for, and which gateways it is met at.
 * State: its own row, one for each life of a gateway that told its counts, and one for each that passed on
 * the sums of all others.
 */
final class Customer {
    static final int RELAYS = 3;                 // told of each change; the source recommends two or more
    static final int MAX_DIRECT_PEERS = 12;                    // a set of no more others is told of each change at once
    private static final double RELAY_COST_FRACTION = 0.1;     // of a quota's worth, that passing on its sums may cost
    private static final double SUM_BYTES = 16;      // a customer's sums in a message, about
    private final Settings settings; private final Clock clock; private final Peers peers;
    final long id;
    final int planIndex;
    final double slotMs, windowMs, createdAtMs;
    final Row ownRow; final Plan plan;
    final List<Row> peerRows = new ArrayList<>();    // told by their sources
    final List<Row> relayedSums = new ArrayList<>();    // of all others, told by who passes them on
    long headSlot;
    int firstGateway = -1, gatewayCount = 1, relayTurn, relayRank = -1; // rank: which of the meeting peers this gateway is
    double usedAtMs, relayAtMs, heardAtMs = Double.NEGATIVE_INFINITY, heardIntervalMs;
    double sentAtMs = Double.NEGATIVE_INFINITY, sendAtMs = Double.POSITIVE_INFINITY;
    boolean ownRowChanged, peerRowsChanged;                         // own changes, others' changes not yet told
    double baseLevel;                                 // the store's level before the ten slots
    double externalDemandPerS, externalDemandAtMs = Double.NEGATIVE_INFINITY; // of all its gateways, as another part tells
    CeilingShare ceilingShare;                   // null until it is needed
    int ceilingFirstGateway, ceilingGatewayCount;             // the set that it is a share of
    final CeilingLoans.LoanState loanState;          // null where the plan has no ceiling

    Customer(long id, int planIndex, Settings settings, Clock clock, Peers peers) {
        this.settings = settings; this.clock = clock; this.peers = peers; this.id = id;
        this.planIndex = planIndex; ownRow = new Row(settings.self(), peers.incarnation);
        createdAtMs = usedAtMs = clock.now;
        plan = settings.plans().get(planIndex);
        loanState = Ceilings.hasCeiling(plan) ? new CeilingLoans.LoanState() : null;
        windowMs = plan.ratePerS() > 0 ? plan.burst() / plan.ratePerS() * 1000 : 1000; // as the source
        slotMs = windowMs / Row.SLOTS; headSlot = (long) Math.floor(clock.now / slotMs);
        // What was used before a start is not known: as if the store had been empty a window ago.
        baseLevel = clock.now - clock.startedAtMs < windowMs ? plan.burst() / Row.SLOTS : plan.burst();
    }

    void setGateways(int first, int gateways) {
        firstGateway = first; gatewayCount = Math.max(1, Math.min(gateways, settings.gateways()));
        relayRank = -1;
        for (int k = isDirect() ? RELAYS : 0; k < RELAYS; k++) {
            relayRank = relay(k) == settings.self() ? k : relayRank;
        }
    }

    /** Whether all are told of each change, twice: at a small part of a window, and of the worth. */
    boolean isDirect() {
        double affordable = RELAY_COST_FRACTION / (2 * SUM_BYTES / RowMessage.MAX_MESSAGE_BYTES * settings.peerPrice());
        return gatewayCount - 1 <= Math.max(MAX_DIRECT_PEERS, Math.min(affordable, peers.intakePerMs * windowMs / 3));
    }

    int member(int k) { return Math.floorMod(firstGateway + k, settings.gateways()); }

    /** Peers drawn by the customer's number, so that all its gateways draw the same. */
    int relay(int k) { return member((Peers.hash(id, gatewayCount) + k * (gatewayCount / RELAYS)) % gatewayCount); }

    boolean includes(int gateway) { return firstGateway >= 0 && Math.floorMod(gateway - firstGateway, settings.gateways()) < gatewayCount; }

    Row row(List<Row> rows, int gateway, int incarnation) {
        for (Row r : rows) { if (r.gateway == gateway && r.incarnation == incarnation) { return r; } }
        rows.add(new Row(gateway, incarnation));
        return rows.get(rows.size() - 1);
    }

    /** EventLoop all rows up to the present slot; what is older than ten slots drops, also after a stall. */
    void advance() {
        long slot = (long) Math.floor(clock.now / slotMs);
        if (slot == headSlot) { return; }
        int steps = (int) Math.min(Row.SLOTS, slot - headSlot);
        for (int i = 1; i <= steps; i++) {
            int index = (int) Math.floorMod(slot - steps + i, (long) Row.SLOTS);
            double direct = 0, relayed = 0;
            for (Row row : peerRows) { direct += row.slots[index]; row.slots[index] = 0; }
            for (Row row : relayedSums) { relayed = Math.max(relayed, row.slots[index]); row.slots[index] = 0; }
            baseLevel = refilled(baseLevel, ownRow.slots[index] + Math.max(direct, relayed), 1);
            ownRow.slots[index] = 0;
        }
        baseLevel = refilled(baseLevel, 0, slot - headSlot - steps); headSlot = slot;
        peerRows.removeIf(row -> row.sum() == 0 && (row.openAttempts == 0 || clock.now - row.openAtMs > windowMs)
                && clock.now - row.requestedAtMs > windowMs); // empty rows are dropped
        relayedSums.removeIf(row -> clock.now - row.requestedAtMs > windowMs);
    }

    /** The store after so many slots, in the first of which units were taken, of what this gives too. */
    double refilled(double level, double units, double slots) {
        // What went beyond a quota took nothing of it; made good where a ceiling or late sums need it.
        double debt = isDirect() && plan.ceilingRatePerS() <= 0 ? 0 : plan.burst();
        double newLevel = level - units + plan.ratePerS() * slotMs / 1000 * slots;
        return Math.min(plan.burst(), Math.max(-debt, newLevel));
    }

    /** What the store holds now: its level before the ten slots, and what these took and gave since. */
    double room(double[] others) {
        double room = baseLevel;
        for (int age = Row.SLOTS - 1; age >= 0; age--) {
            double slotFraction = age > 0 ? 1 : clock.now / slotMs - headSlot;
            room = refilled(room, others[age] + ownRow.slots[index(age)], slotFraction);
        }
        return room;
    }

    int index(int age) { return (int) Math.floorMod(headSlot - age, (long) Row.SLOTS); }

    /** Units of the others by age: as their rows tell, or as the fullest sums passed on do. */
    double[] unitsOfOthers(int except) {
        advance();
        double[] units = new double[Row.SLOTS + 2];  // then their sum, and what they were asked
        int exceptIncarnation = peers.incarnations.getOrDefault(except, -1);
        for (Row row : peerRows) { if (row.gateway != except || row.incarnation != exceptIncarnation) { add(units, row); } }
        for (Row row : relayedSums) {
            if (except < 0 && row.sum() > units[Row.SLOTS]) {
                Arrays.fill(units, 0);
                add(units, row);
            }
        }
        return units;
    }

    private void add(double[] units, Row row) {
        for (int age = 0; age < Row.SLOTS; age++) {
            units[age] += row.slots[index(age)]; units[Row.SLOTS] += row.slots[index(age)];
        }
        units[Row.SLOTS + 1] += requestedUnits(row);
    }

    double requestedUnits(Row row) { return row.requestedUnits * Math.exp((row.requestedAtMs - clock.now) / windowMs); }

    void recordRequested(double units) { ownRow.requestedUnits = requestedUnits(ownRow) + units; ownRow.requestedAtMs = clock.now; }

    double usedUnits() { return unitsOfOthers(-1)[Row.SLOTS] + ownRow.sum(); }

    void setExternalDemand(double unitsPerS) { externalDemandPerS = unitsPerS; externalDemandAtMs = clock.now; }

    void addUsed(double units) { advance(); ownRow.slots[index(0)] += units; }

    /** Attempts out at all gateways; what a silent peer told counts no longer than a window. */
    int openAttempts() {
        int open = ownRow.openAttempts;
        for (Row row : peerRows) { open += clock.now - row.openAtMs < windowMs ? row.openAttempts : 0; }
        return open;
    }

    /** Sums are passed on no oftener than part of the quota's worth pays for. */
    double relayIntervalMs() {
        if (isDirect()) { return slotMs; }
        double messageCost = gatewayCount * SUM_BYTES / RowMessage.MAX_MESSAGE_BYTES * settings.peerPrice();
        double requestsPerS = plan.ratePerS() / Math.max(1, settings.maxUnits() / 2);
        return Math.max(slotMs, Math.min(windowMs / 2, 1000 * messageCost / (RELAY_COST_FRACTION * requestsPerS)));
    }
}

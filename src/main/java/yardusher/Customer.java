package yardusher;

import java.util.*;
import yardusher.Api.*;

/**
 * A customer's counts: rows of ten slots, the token bucket that they represent, and the set of gateways that serve the customer.
 * Holds the row of this gateway, one row for each incarnation of a peer that sent its counts, and one for each peer that relayed
 * the sums of all others.
 */
final class Customer {
    static final int GOSSIP_FANOUT = 3; // peers told of each change; the Tarantool quotas README recommends two or more
    static final int MAX_DIRECT_PEERS = 12; // with at most this many other gateways, each change is sent to all at once
    private static final double RELAY_COST_FRACTION = 0.1; // fraction of a quota's worth that relaying its sums may cost
    private static final double SUM_BYTES = 16; // approximate size of a customer's sums in a message
    private final Settings settings; private final Clock clock; private final Peers peers;
    final long id;
    final int planIndex;
    final double slotMs, windowMs, createdAtMs;
    final Row ownRow; final Plan plan;
    final List<Row> peerRows = new ArrayList<>(); // counts as sent by the gateways that made them
    final List<Row> relayedSums = new ArrayList<>(); // of all other gateways, as sent by the peers that relay them
    long headSlot;
    int firstGateway = -1, gatewayCount = 1, relayTurn, relayRank = -1; // relayRank: index of this gateway among the relays, or -1
    double usedAtMs, relayAtMs, heardAtMs = Double.NEGATIVE_INFINITY, heardIntervalMs;
    double sentAtMs = Double.NEGATIVE_INFINITY, sendAtMs = Double.POSITIVE_INFINITY;
    boolean ownRowChanged, peerRowsChanged; // changes of the own row, and of peers' rows, that are not sent yet
    double baseLevel; // bucket level before the ten slots
    double externalDemandPerS, externalDemandAtMs = Double.NEGATIVE_INFINITY; // total at all its gateways, from Api.ExternalDemand
    CeilingShare ceilingShare; // null until it is needed
    int ceilingFirstGateway, ceilingGatewayCount; // the gateway set that the share belongs to
    final CeilingLoans.LoanState loanState; // null where the plan has no ceiling

    Customer(long id, int planIndex, Settings settings, Clock clock, Peers peers) {
        this.settings = settings; this.clock = clock; this.peers = peers; this.id = id;
        this.planIndex = planIndex; ownRow = new Row(settings.self(), peers.incarnation);
        createdAtMs = usedAtMs = clock.now;
        plan = settings.plans().get(planIndex);
        loanState = Ceilings.hasCeiling(plan) ? new CeilingLoans.LoanState() : null;
        windowMs = plan.ratePerS() > 0 ? plan.burst() / plan.ratePerS() * 1000 : 1000; // as in the Tarantool quotas README
        slotMs = windowMs / Row.SLOTS; headSlot = (long) Math.floor(clock.now / slotMs);
        // Use before the start is unknown: assumes that the bucket was empty a window ago.
        baseLevel = clock.now - clock.startedAtMs < windowMs ? plan.burst() / Row.SLOTS : plan.burst();
    }

    void setGateways(int first, int gateways) {
        firstGateway = first; gatewayCount = Math.max(1, Math.min(gateways, settings.gateways()));
        relayRank = -1;
        for (int k = isDirect() ? GOSSIP_FANOUT : 0; k < GOSSIP_FANOUT; k++) {
            relayRank = relay(k) == settings.self() ? k : relayRank;
        }
    }

    /** Whether each change is sent to all gateways, twice: few of them, or a small cost against the quota's worth and the window. */
    boolean isDirect() {
        double affordable = RELAY_COST_FRACTION / (2 * SUM_BYTES / RowMessage.MAX_MESSAGE_BYTES * settings.peerPrice());
        return gatewayCount - 1 <= Math.max(MAX_DIRECT_PEERS, Math.min(affordable, peers.intakePerMs * windowMs / 3));
    }

    int member(int k) { return Math.floorMod(firstGateway + k, settings.gateways()); }

    /** The k-th relay: a peer selected by a hash of the customer's id, so that all its gateways select the same. */
    int relay(int k) { return member((Peers.hash(id, gatewayCount) + k * (gatewayCount / GOSSIP_FANOUT)) % gatewayCount); }

    boolean includes(int gateway) { return firstGateway >= 0 && Math.floorMod(gateway - firstGateway, settings.gateways()) < gatewayCount; }

    Row row(List<Row> rows, int gateway, int incarnation) {
        for (Row r : rows) { if (r.gateway == gateway && r.incarnation == incarnation) { return r; } }
        rows.add(new Row(gateway, incarnation));
        return rows.get(rows.size() - 1);
    }

    /** Advances all rows to the current slot. Slots older than ten are dropped, also after a stall. */
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
                && clock.now - row.requestedAtMs > windowMs); // drops empty rows
        relayedSums.removeIf(row -> clock.now - row.requestedAtMs > windowMs);
    }

    /** The bucket level after so many slots, in the first of which units were taken, some of them perhaps from its own refill. */
    double refilled(double level, double units, double slots) {
        // Units beyond the quota took nothing of it, so the level stops at 0; under a ceiling or with relayed sums they become a debt.
        double debt = isDirect() && plan.ceilingRatePerS() <= 0 ? 0 : plan.burst();
        double newLevel = level - units + plan.ratePerS() * slotMs / 1000 * slots;
        return Math.min(plan.burst(), Math.max(-debt, newLevel));
    }

    /** Current bucket level: the level before the ten slots, less the units taken and plus the refill since. */
    double room(double[] others) {
        double room = baseLevel;
        for (int age = Row.SLOTS - 1; age >= 0; age--) {
            double slotFraction = age > 0 ? 1 : clock.now / slotMs - headSlot;
            room = refilled(room, others[age] + ownRow.slots[index(age)], slotFraction);
        }
        return room;
    }

    int index(int age) { return (int) Math.floorMod(headSlot - age, (long) Row.SLOTS); }

    /** Units used at other gateways, by age: from their rows, or from the largest relayed sums if those are higher. */
    double[] unitsOfOthers(int except) {
        advance();
        double[] units = new double[Row.SLOTS + 2]; // then their sum, and the units requested there
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

    /** Open attempts at all gateways; the count of a silent peer expires after a window. */
    int openAttempts() {
        int open = ownRow.openAttempts;
        for (Row row : peerRows) { open += clock.now - row.openAtMs < windowMs ? row.openAttempts : 0; }
        return open;
    }

    /** Interval for relaying sums, at which the messages cost no more than a fraction of the quota's worth. */
    double relayIntervalMs() {
        if (isDirect()) { return slotMs; }
        double messageCost = gatewayCount * SUM_BYTES / RowMessage.MAX_MESSAGE_BYTES * settings.peerPrice();
        double requestsPerS = plan.ratePerS() / Math.max(1, settings.maxUnits() / 2);
        return Math.max(slotMs, Math.min(windowMs / 2, 1000 * messageCost / (RELAY_COST_FRACTION * requestsPerS)));
    }
}

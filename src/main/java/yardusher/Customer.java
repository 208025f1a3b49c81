package yardusher;

import java.util.*;
import yardusher.Api.*;

/**
 * A customer's counts: rows of ten slots, the token bucket that they represent, and the set of gateways that serve the customer.
 * Holds the row of this gateway, one row for each incarnation of a peer that sent its counts, and one for each peer that relayed
 * the sums of all others.
 */
final class Customer {
    static final int NEIGHBOURS = 3;                 // peers told of each change; the Tarantool quotas README recommends two or more
    static final int DIRECT = 12;                    // with at most this many other gateways, each change is sent to all at once
    private static final double NEWS_PART = 0.1;     // fraction of a quota's worth that relaying its sums may cost
    private static final double SUM_BYTES = 16;      // approximate size of a customer's sums in a message
    private final Settings settings; private final Clock clock; private final Peers peers;
    final long id;
    final int planIndex;
    final double slotMs, windowMs, bornAt;
    final Row mine; final Plan plan;
    final List<Row> rows = new ArrayList<>();    // counts as sent by the gateways that made them
    final List<Row> sums = new ArrayList<>();    // of all other gateways, as sent by the peers that relay them
    long head;
    int first = -1, spread = 1, turn, rank = -1; // relayRank: index of this gateway among the relays, or -1
    double usedAt, passAt, newsAt = Double.NEGATIVE_INFINITY, newsEvery;
    double toldAt = Double.NEGATIVE_INFINITY, tellAt = Double.POSITIVE_INFINITY;
    boolean fresh, news;                         // changes of the own row, and of peers' rows, that are not sent yet
    double base;                                 // bucket level before the ten slots
    double askedPerS, askedAt = Double.NEGATIVE_INFINITY; // total at all its gateways, from Api.ExternalDemand
    CeilingShare ceilingShare;                   // null until it is needed
    int ceilingFirst, ceilingSpread;             // the gateway set that the share belongs to
    final CeilingLoans.Lenders lenders;          // null where the plan has no ceiling

    Customer(long id, int planIndex, Settings settings, Clock clock, Peers peers) {
        this.settings = settings; this.clock = clock; this.peers = peers; this.id = id;
        this.planIndex = planIndex; mine = new Row(settings.self(), peers.life);
        bornAt = usedAt = clock.now;
        plan = settings.plans().get(planIndex);
        lenders = Ceilings.hasCeiling(plan) ? new CeilingLoans.Lenders() : null;
        windowMs = plan.ratePerS() > 0 ? plan.burst() / plan.ratePerS() * 1000 : 1000; // as in the Tarantool quotas README
        slotMs = windowMs / Row.SLOTS; head = (long) Math.floor(clock.now / slotMs);
        // Use before the start is unknown: assumes that the bucket was empty a window ago.
        base = clock.now - clock.startedAt < windowMs ? plan.burst() / Row.SLOTS : plan.burst();
    }

    void reachedBy(int firstGateway, int gateways) {
        first = firstGateway; spread = Math.max(1, Math.min(gateways, settings.gateways()));
        rank = -1;
        for (int k = direct() ? NEIGHBOURS : 0; k < NEIGHBOURS; k++) {
            rank = meeting(k) == settings.self() ? k : rank;
        }
    }

    /** Whether each change is sent to all gateways, twice: few of them, or a small cost against the quota's worth and the window. */
    boolean direct() {
        double paid = NEWS_PART / (2 * SUM_BYTES / RowText.MOST_BYTES * settings.peerPrice());
        return spread - 1 <= Math.max(DIRECT, Math.min(paid, peers.intake * windowMs / 3));
    }

    int member(int k) { return Math.floorMod(first + k, settings.gateways()); }

    /** The k-th relay: a peer selected by a hash of the customer's id, so that all its gateways select the same. */
    int meeting(int k) { return member((Peers.drawn(id, spread) + k * (spread / NEIGHBOURS)) % spread); }

    boolean has(int g) { return first >= 0 && Math.floorMod(g - first, settings.gateways()) < spread; }

    Row row(List<Row> of, int gateway, int ofLife) {
        for (Row r : of) { if (r.gateway == gateway && r.life == ofLife) { return r; } }
        of.add(new Row(gateway, ofLife));
        return of.get(of.size() - 1);
    }

    /** Advances all rows to the current slot. Slots older than ten are dropped, also after a stall. */
    void turn() {
        long slot = (long) Math.floor(clock.now / slotMs);
        if (slot == head) { return; }
        int steps = (int) Math.min(Row.SLOTS, slot - head);
        for (int i = 1; i <= steps; i++) {
            int at = (int) Math.floorMod(slot - steps + i, (long) Row.SLOTS);
            double told = 0, passed = 0;
            for (Row row : rows) { told += row.slots[at]; row.slots[at] = 0; }
            for (Row row : sums) { passed = Math.max(passed, row.slots[at]); row.slots[at] = 0; }
            base = refilled(base, mine.slots[at] + Math.max(told, passed), 1);
            mine.slots[at] = 0;
        }
        base = refilled(base, 0, slot - head - steps); head = slot;
        rows.removeIf(row -> row.sum() == 0 && (row.open == 0 || clock.now - row.openAt > windowMs)
                && clock.now - row.askedAt > windowMs); // drops empty rows
        sums.removeIf(row -> clock.now - row.askedAt > windowMs);
    }

    /** The bucket level after so many slots, in the first of which units were taken, some of them perhaps from its own refill. */
    double refilled(double level, double units, double slots) {
        // Units beyond the quota took nothing of it, so the level stops at 0; under a ceiling or with relayed sums they become a debt.
        double debt = direct() && plan.ceilingRate() <= 0 ? 0 : plan.burst();
        double left = level - units + plan.ratePerS() * slotMs / 1000 * slots;
        return Math.min(plan.burst(), Math.max(-debt, left));
    }

    /** Current bucket level: the level before the ten slots, less the units taken and plus the refill since. */
    double room(double[] others) {
        double room = base;
        for (int age = Row.SLOTS - 1; age >= 0; age--) {
            double part = age > 0 ? 1 : clock.now / slotMs - head;
            room = refilled(room, others[age] + mine.slots[index(age)], part);
        }
        return room;
    }

    int index(int age) { return (int) Math.floorMod(head - age, (long) Row.SLOTS); }

    /** Units used at other gateways, by age: from their rows, or from the largest relayed sums if those are higher. */
    double[] others(int but) {
        turn();
        double[] units = new double[Row.SLOTS + 2];  // then their sum, and the units requested there
        int itsLife = peers.lives.getOrDefault(but, -1);
        for (Row row : rows) { if (row.gateway != but || row.life != itsLife) { add(units, row); } }
        for (Row row : sums) {
            if (but < 0 && row.sum() > units[Row.SLOTS]) {
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
        units[Row.SLOTS + 1] += asked(row);
    }

    double asked(Row row) { return row.asked * Math.exp((row.askedAt - clock.now) / windowMs); }

    void ask(double units) { mine.asked = asked(mine) + units; mine.askedAt = clock.now; }

    double used() { return others(-1)[Row.SLOTS] + mine.sum(); }

    void asks(double perS) { askedPerS = perS; askedAt = clock.now; }

    void count(double units) { turn(); mine.slots[index(0)] += units; }

    /** Open attempts at all gateways; the count of a silent peer expires after a window. */
    int open() {
        int open = mine.open;
        for (Row row : rows) { open += clock.now - row.openAt < windowMs ? row.open : 0; }
        return open;
    }

    /** Interval for relaying sums, at which the messages cost no more than a fraction of the quota's worth. */
    double passEvery() {
        if (direct()) { return slotMs; }
        double each = spread * SUM_BYTES / RowText.MOST_BYTES * settings.peerPrice();
        double requests = plan.ratePerS() / Math.max(1, settings.mostUnits() / 2);
        return Math.max(slotMs, Math.min(windowMs / 2, 1000 * each / (NEWS_PART * requests)));
    }
}

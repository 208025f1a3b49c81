package yardusher.units;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Predicate;

/**
 * The units whose home is this ingress, the longest idle first. Numbers grow within an incarnation and are given once, so a number
 * that was given and is not in the table is that of a unit that has ended; ended units need not be remembered. The latest ones are,
 * so that a repeated end gets the same answer. Does no I/O and reads no clock: times are passed in, in milliseconds.
 */
class UnitTable {
    /** Limits on open units. A unit that is idle for {@code idleMs} is abandoned; after {@code minIdleMs}, if room is needed. */
    record Bounds(int mostOpen, int mostOfCustomer, double idleMs, double leastIdleMs) { }

    /** Counts since the start. */
    static final class Counts {
        long opened;
        final long[] ended = new long[Unit.State.values().length];
        long grants;
        long refused;
        long takenOver;
        long handedOver;
        long stale;                                  // reports of older grants, without effect
    }

    private record Wake(double at, UnitName name) { }

    private static final int MOST_OVER = 4096;       // about 256 KiB

    private final String self;
    private final long life;
    private final Unit.Sink sink;
    private Bounds bounds;
    private Unit.Rules rules;
    private final LinkedHashMap<UnitName, Unit> units = new LinkedHashMap<>(); // the longest idle first
    private final Map<Long, Integer> ofCustomer = new HashMap<>();
    private final PriorityQueue<Wake> wakes = new PriorityQueue<>((a, b) -> Double.compare(a.at(), b.at())); // at most one for each unit
    private final LinkedHashMap<UnitName, Unit> outs = new LinkedHashMap<>(); // the longest without activity first
    private final LinkedHashMap<UnitName, Unit> over = new LinkedHashMap<>(); // so that a repeated end gets the same answer
    private long last;
    final Counts counts = new Counts();

    UnitTable(String self, long life, Bounds bounds, Unit.Rules rules, Unit.Sink sink) {
        this.self = self;
        this.life = life;
        this.bounds = bounds;
        this.rules = rules;
        this.sink = new Unit.Sink() {
            @Override
            public void grant(Unit unit, Ticket ticket, int grantNumber) {
                counts.grants++;
                outs.put(unit.name, unit);
                sink.grant(unit, ticket, grantNumber);
            }

            @Override
            public void refuse(Unit unit, Ticket ticket, Refusal reason, long detail) {
                counts.refused++;
                sink.refuse(unit, ticket, reason, detail);
            }

            @Override
            public void waits(Unit unit, Ticket ticket) { sink.waits(unit, ticket); }

            @Override
            public void told(Unit unit, Ticket ticket) { sink.told(unit, ticket); }

            @Override
            public void ended(Unit unit) {
                counts.ended[unit.state().ordinal()]++;
                forget(unit);
                over.put(unit.name, unit);
                if (over.size() > MOST_OVER) { over.remove(over.keySet().iterator().next()); }
                sink.ended(unit);
            }
        };
    }

    void set(Bounds newBounds, Unit.Rules newRules) {
        bounds = newBounds;
        rules = newRules;
    }

    int size() { return units.size(); }

    Unit find(UnitName name) { return units.get(name); }

    Collection<Unit> all() { return units.values(); }

    boolean isOurs(UnitName name) { return name.life() == life && name.home().equals(self); }

    /** Opens a unit; null if there is no room even after idle units were abandoned. */
    Unit open(double now, long customer, Mode mode) {
        if (ofCustomer.getOrDefault(customer, 0) >= bounds.mostOfCustomer()) { return null; }
        while (units.size() >= bounds.mostOpen()) {
            if (!giveUp(now, bounds.leastIdleMs())) { return null; }
        }
        Unit unit = new Unit(new UnitName(self, life, ++last), customer, mode, now);
        counts.opened++;
        hold(unit);
        return unit;
    }

    private void hold(Unit unit) {
        units.put(unit.name, unit);
        ofCustomer.merge(unit.customer, 1, Integer::sum);
    }

    private void forget(Unit unit) {
        outs.remove(unit.name);
        if (units.remove(unit.name) != null) { ofCustomer.computeIfPresent(unit.customer, (customer, open) -> open == 1 ? null : open - 1); }
    }

    /** Abandons the longest idle unit without a granted or waiting part; false if none has been idle that long. */
    private boolean giveUp(double now, double silentMs) {
        for (Unit unit : units.values()) {
            if (now - unit.wordAt() < silentMs) { return false; }
            unit.expire(now);                        // a request that arrived after its withdrawal would wait forever
            if (unit.state() != Unit.State.OPEN || unit.out() != null || unit.waitingCount() > 0) { continue; }
            unit.end(now, Unit.Boundary.SILENT, null, sink);
            wake(now, unit);
            return true;
        }
        return false;
    }

    /** Handles a request for a part or an end. {@code isSilent}: whether an ingress is no longer heard of. */
    void ask(double now, UnitName name, Ticket ticket, Predicate<String> silent) {
        Unit unit = units.get(name);
        if (unit == null) {
            Unit ended = over.get(name);
            if (ended != null) {
                ended.ask(now, ticket, rules, sink);
                return;
            }
            counts.refused++;
            boolean given = isOurs(name) && name.number() <= last; // then it has ended
            sink.refuse(null, ticket, given ? Refusal.ENDED : Refusal.UNKNOWN, given ? Unit.State.DONE.ordinal() : 0);
            return;
        }
        touch(unit);
        if (ticket.kind().isPart() && unit.out() != null && silent.test(unit.out().holder())) {
            counts.refused++;
            sink.refuse(unit, ticket, Refusal.HOLDER, 0);
            return;
        }
        unit.ask(now, ticket, rules, sink);
        wake(now, unit);
    }

    private void touch(Unit unit) {
        units.remove(unit.name);
        units.put(unit.name, unit);
    }

    /** Handles a holder's report; see {@link Unit#partDone}. */
    boolean done(double now, UnitName name, String holder, long lifeOf, int grant, Unit.Result result, double looseMs, long server, int zone) {
        Unit unit = units.get(name);
        if (unit == null || !unit.done(now, holder, lifeOf, grant, result, looseMs, server, zone, sink)) {
            counts.stale++;
            return false;
        }
        if (units.containsKey(name)) { touch(unit); }
        ordered(unit);
        wake(now, unit);
        return true;
    }

    void withdraw(double now, UnitName name, String holder, long lifeOf, long ask) {
        Unit unit = units.get(name);
        if (unit == null) { return; }
        unit.withdraw(now, holder, lifeOf, ask, sink);
        if (units.containsKey(name)) { touch(unit); }
        ordered(unit);
        wake(now, unit);
    }

    void end(double now, UnitName name, Unit.Boundary by) {
        Unit unit = units.get(name);
        if (unit == null) { return; }
        unit.end(now, by, null, sink);
        wake(now, unit);
    }

    /** Handles the loss of a holder's incarnation; see {@link Unit#holderLost}. */
    void died(double now, String holder, long lifeNow) {
        for (Unit unit : List.copyOf(units.values())) {
            double before = unit.wordAt();
            unit.died(now, holder, lifeNow, rules, sink);
            if (unit.wordAt() != before && units.containsKey(unit.name)) { touch(unit); }
            ordered(unit);
            wake(now, unit);
        }
    }

    private void ordered(Unit unit) {
        if (unit.out() == null) { outs.remove(unit.name); }
    }

    /**
     * Returns units whose granted part has had no activity for {@code forMs}, up to a limit, and marks them as active, so that the
     * next call returns others. The caller asks their holders, or presumes them lost.
     */
    List<Unit> longOut(double now, double forMs, int most) {
        List<Unit> found = new ArrayList<>(0);
        for (Unit unit : outs.values()) {
            if (found.size() >= most || now - unit.wordAt() < forMs) { break; }
            found.add(unit);
        }
        for (Unit unit : found) {
            unit.looked(now);
            outs.remove(unit.name);
            outs.put(unit.name, unit);
            touch(unit);                             // else it would hide the idle ones behind it
        }
        return found;
    }

    /** Presumes that the holder of a granted part is lost; see {@link Unit#holderLost}. */
    void presume(double now, Unit unit) {
        unit.died(now, unit.out().holder(), -1, rules, sink);
        if (units.containsKey(unit.name)) { touch(unit); }
        ordered(unit);
        wake(now, unit);
    }

    private void wake(double now, Unit unit) {
        double at = unit.wakeAt(now);
        if (at == Double.POSITIVE_INFINITY || unit.wakes) { return; }
        unit.wakes = true;                           // one for each unit: it is rescheduled when this one is due
        wakes.add(new Wake(at, unit.name));
    }

    /** Does what is due by time: grants, ends, and units idle for too long. Handles at most {@code limit} of each. */
    void tick(double now, int most) {
        for (int i = 0; i < most && !wakes.isEmpty() && wakes.peek().at() <= now; i++) {
            Unit unit = units.get(wakes.poll().name());
            if (unit != null) {
                unit.wakes = false;
                unit.advance(now, sink);
                wake(now, unit);
            }
        }
        for (int i = 0; i < most && giveUp(now, bounds.idleMs()); i++) { }
    }

    /** When {@link #tick} next has scheduled work; infinity for never. Idle units are not considered. */
    double nextAt() { return wakes.isEmpty() ? Double.POSITIVE_INFINITY : wakes.peek().at(); }

    /** The units that can be transferred: open ones that do not belong to a connection here. */
    List<Unit> movable() {
        List<Unit> found = new ArrayList<>();
        for (Unit unit : units.values()) {
            if (unit.mode != Mode.SESSION && unit.state() == Unit.State.OPEN) { found.add(unit); }
        }
        return found;
    }

    /** Seals a unit for transfer and removes it. */
    UnitRecord handOver(double now, Unit unit) {
        forget(unit);
        counts.handedOver++;
        return unit.handOver(now, sink);
    }

    /** Takes over a unit; false if it is held already, was opened here, or there is no room for it. */
    boolean takeOver(double now, UnitRecord record) {
        if (units.containsKey(record.name()) || isOurs(record.name()) || units.size() >= 2 * bounds.mostOpen()) { return false; }
        Unit unit = Unit.of(record, now);
        hold(unit);
        if (unit.out() != null) { outs.put(unit.name, unit); }
        counts.takenOver++;
        return true;
    }

    String line() {
        return "units_open=" + units.size() + " units_opened=" + counts.opened + " units_done=" + counts.ended[Unit.State.DONE.ordinal()]
                + " units_abandoned=" + counts.ended[Unit.State.ABANDONED.ordinal()] + " units_unknown="
                + counts.ended[Unit.State.UNKNOWN.ordinal()] + " units_grants=" + counts.grants + " units_refused=" + counts.refused
                + " units_handed_over=" + counts.handedOver + " units_taken_over=" + counts.takenOver + " units_stale=" + counts.stale;
    }
}

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
 * All units whose home is this ingress, the longest silent first. Numbers of a life are given once and only grow, so a
 * number that was given and is not held is one that is over, and no rule needs it remembered; the last ones are, for who asks twice. Free of I/O and clock.
 */
class UnitTable {
    /** Bounds: open at once, of one customer; silent for so long is given up, and before that where room is needed. */
    record Limits(int maxOpen, int maxOpenPerCustomer, double idleMs, double minIdleMs) { }

    /** Counts since the start. */
    static final class Counts {
        long opened;
        final long[] ended = new long[Unit.State.values().length];
        long grants;
        long refused;
        long takenOver;
        long handedOver;
        long staleReports;                                  // words of older grants, void
    }

    private record Wake(double atMs, UnitName name) { }

    private static final int MAX_RECENTLY_ENDED = 4096;       // a quarter of a megabyte

    private final String self;
    private final long incarnation;
    private final Unit.Listener listener;
    private Limits limits;
    private Unit.Rules rules;
    private final LinkedHashMap<UnitName, Unit> units = new LinkedHashMap<>(); // the longest without a word first
    private final Map<Long, Integer> openByCustomer = new HashMap<>();
    private final PriorityQueue<Wake> wakes = new PriorityQueue<>((a, b) -> Double.compare(a.atMs(), b.atMs())); // at most one a unit
    private final LinkedHashMap<UnitName, Unit> withGrantedPart = new LinkedHashMap<>(); // with a part in a holder's hands, the longest first
    private final LinkedHashMap<UnitName, Unit> recentlyEnded = new LinkedHashMap<>(); // the last that ended: who asks again hears the same
    private long lastNumber;
    final Counts counts = new Counts();

    UnitTable(String self, long incarnation, Limits limits, Unit.Rules rules, Unit.Listener listener) {
        this.self = self;
        this.incarnation = incarnation;
        this.limits = limits;
        this.rules = rules;
        this.listener = new Unit.Listener() {
            @Override
            public void onGrant(Unit unit, Ticket ticket, int grant) {
                counts.grants++;
                withGrantedPart.put(unit.name, unit);
                listener.onGrant(unit, ticket, grant);
            }

            @Override
            public void onRefuse(Unit unit, Ticket ticket, Refusal why, long figure) {
                counts.refused++;
                listener.onRefuse(unit, ticket, why, figure);
            }

            @Override
            public void onQueued(Unit unit, Ticket ticket) { listener.onQueued(unit, ticket); }

            @Override
            public void handleOutcome(Unit unit, Ticket ticket) { listener.handleOutcome(unit, ticket); }

            @Override
            public void onEnded(Unit unit) {
                counts.ended[unit.state().ordinal()]++;
                remove(unit);
                recentlyEnded.put(unit.name, unit);
                if (recentlyEnded.size() > MAX_RECENTLY_ENDED) { recentlyEnded.remove(recentlyEnded.keySet().iterator().next()); }
                listener.onEnded(unit);
            }
        };
    }

    void configure(Limits newLimits, Unit.Rules newRules) {
        limits = newLimits;
        rules = newRules;
    }

    int size() { return units.size(); }

    Unit find(UnitName name) { return units.get(name); }

    Collection<Unit> all() { return units.values(); }

    boolean isOpenedHere(UnitName name) { return name.incarnation() == incarnation && name.home().equals(self); }

    /** Opens a unit; null where there is no room, also after the longest silent ones were given up. */
    Unit open(double now, long customer, Mode mode) {
        if (openByCustomer.getOrDefault(customer, 0) >= limits.maxOpenPerCustomer()) { return null; }
        while (units.size() >= limits.maxOpen()) {
            if (!abandonLongestIdle(now, limits.minIdleMs())) { return null; }
        }
        Unit unit = new Unit(new UnitName(self, incarnation, ++lastNumber), customer, mode, now);
        counts.opened++;
        add(unit);
        return unit;
    }

    private void add(Unit unit) {
        units.put(unit.name, unit);
        openByCustomer.merge(unit.customer, 1, Integer::sum);
    }

    private void remove(Unit unit) {
        withGrantedPart.remove(unit.name);
        if (units.remove(unit.name) != null) { openByCustomer.computeIfPresent(unit.customer, (customer, open) -> open == 1 ? null : open - 1); }
    }

    /** Ends the longest silent unit that has nothing out or waiting; false where none has been silent that long. */
    private boolean abandonLongestIdle(double now, double idleMs) {
        for (Unit unit : units.values()) {
            if (now - unit.lastActivityMs() < idleMs) { return false; }
            unit.expireWaiting(now);                        // a question that came after its withdrawal would wait for ever
            if (unit.state() != Unit.State.OPEN || unit.granted() != null || unit.waitingCount() > 0) { continue; }
            unit.end(now, Unit.Boundary.SILENT, null, listener);
            scheduleWake(now, unit);
            return true;
        }
        return false;
    }

    /** Somebody asks for a part or an end of a unit. {@code silent}: whom nothing is heard of. */
    void submit(double now, UnitName name, Ticket ticket, Predicate<String> isSilent) {
        Unit unit = units.get(name);
        if (unit == null) {
            Unit ended = recentlyEnded.get(name);
            if (ended != null) {
                ended.submit(now, ticket, rules, listener);
                return;
            }
            counts.refused++;
            boolean wasOpened = isOpenedHere(name) && name.number() <= lastNumber; // then it is over
            listener.onRefuse(null, ticket, wasOpened ? Refusal.ENDED : Refusal.UNKNOWN, wasOpened ? Unit.State.DONE.ordinal() : 0);
            return;
        }
        moveToEnd(unit);
        if (ticket.kind().isPart() && unit.granted() != null && isSilent.test(unit.granted().holder())) {
            counts.refused++;
            listener.onRefuse(unit, ticket, Refusal.HOLDER_UNREACHABLE, 0);
            return;
        }
        unit.submit(now, ticket, rules, listener);
        scheduleWake(now, unit);
    }

    private void moveToEnd(Unit unit) {
        units.remove(unit.name);
        units.put(unit.name, unit);
    }

    /** A holder's word; see {@link Unit#partDone}. */
    boolean partDone(double now, UnitName name, String holder, long holderIncarnation, int grantNumber, Unit.Result result, double mayRunForMs, long region, int zone) {
        Unit unit = units.get(name);
        if (unit == null || !unit.partDone(now, holder, holderIncarnation, grantNumber, result, mayRunForMs, region, zone, listener)) {
            counts.staleReports++;
            return false;
        }
        if (units.containsKey(name)) { moveToEnd(unit); }
        removeIfNotGranted(unit);
        scheduleWake(now, unit);
        return true;
    }

    void withdraw(double now, UnitName name, String holder, long holderIncarnation, long requestId) {
        Unit unit = units.get(name);
        if (unit == null) { return; }
        unit.withdraw(now, holder, holderIncarnation, requestId, listener);
        if (units.containsKey(name)) { moveToEnd(unit); }
        removeIfNotGranted(unit);
        scheduleWake(now, unit);
    }

    void end(double now, UnitName name, Unit.Boundary cause) {
        Unit unit = units.get(name);
        if (unit == null) { return; }
        unit.end(now, cause, null, listener);
        scheduleWake(now, unit);
    }

    /** A name is in a new life, or will not be heard of again: see {@link Unit#holderLost}. */
    void holderLost(double now, String holder, long currentIncarnation) {
        for (Unit unit : List.copyOf(units.values())) {
            double lastActivityMs = unit.lastActivityMs();
            unit.holderLost(now, holder, currentIncarnation, rules, listener);
            if (unit.lastActivityMs() != lastActivityMs && units.containsKey(unit.name)) { moveToEnd(unit); }
            removeIfNotGranted(unit);
            scheduleWake(now, unit);
        }
    }

    private void removeIfNotGranted(Unit unit) {
        if (unit.granted() == null) { withGrantedPart.remove(unit.name); }
    }

    /**
     * Units whose part has been out for so long without a word, some at the most; each counts as looked at. Who has
     * them is asked, or held for gone.
     */
    List<Unit> takeLongGranted(double now, double forMs, int limit) {
        List<Unit> found = new ArrayList<>(0);
        for (Unit unit : withGrantedPart.values()) {
            if (found.size() >= limit || now - unit.lastActivityMs() < forMs) { break; }
            found.add(unit);
        }
        for (Unit unit : found) {
            unit.markActive(now);
            withGrantedPart.remove(unit.name);
            withGrantedPart.put(unit.name, unit);
            moveToEnd(unit);                             // else it would hide the silent ones behind it
        }
        return found;
    }

    /** The holder of a part is held for gone, by rule: see {@link Unit#holderLost}. */
    void presumeHolderLost(double now, Unit unit) {
        unit.holderLost(now, unit.granted().holder(), -1, rules, listener);
        if (units.containsKey(unit.name)) { moveToEnd(unit); }
        removeIfNotGranted(unit);
        scheduleWake(now, unit);
    }

    private void scheduleWake(double now, Unit unit) {
        double atMs = unit.nextWakeMs(now);
        if (atMs == Double.POSITIVE_INFINITY || unit.wakePending) { return; }
        unit.wakePending = true;                           // one for each unit: what comes later is seen when this one is due
        wakes.add(new Wake(atMs, unit.name));
    }

    /** Does what time alone brings: turns that come, ends that may be told, units silent for too long. At most so many a call. */
    void tick(double now, int limit) {
        for (int i = 0; i < limit && !wakes.isEmpty() && wakes.peek().atMs() <= now; i++) {
            Unit unit = units.get(wakes.poll().name());
            if (unit != null) {
                unit.wakePending = false;
                unit.advance(now, listener);
                scheduleWake(now, unit);
            }
        }
        for (int i = 0; i < limit && abandonLongestIdle(now, limits.idleMs()); i++) { }
    }

    /** When {@link #tick} has something to do, as far as is known; infinity for never. */
    double nextWakeMs() { return wakes.isEmpty() ? Double.POSITIVE_INFINITY : wakes.peek().atMs(); }

    /** Units that can go to another home: open ones that no connection here holds. */
    List<Unit> transferable() {
        List<Unit> found = new ArrayList<>();
        for (Unit unit : units.values()) {
            if (unit.mode != Mode.SESSION && unit.state() == Unit.State.OPEN) { found.add(unit); }
        }
        return found;
    }

    /** Seals a unit and forgets it. */
    UnitRecord handOver(double now, Unit unit) {
        remove(unit);
        counts.handedOver++;
        return unit.handOver(now, listener);
    }

    /** Takes a unit over; false where it is held already, or there is no room for it. */
    boolean takeOver(double now, UnitRecord record) {
        if (units.containsKey(record.name()) || isOpenedHere(record.name()) || units.size() >= 2 * limits.maxOpen()) { return false; }
        Unit unit = Unit.fromRecord(record, now);
        add(unit);
        if (unit.granted() != null) { withGrantedPart.put(unit.name, unit); }
        counts.takenOver++;
        return true;
    }

    String statusLine() {
        return "units_open=" + units.size() + " units_opened=" + counts.opened + " units_done=" + counts.ended[Unit.State.DONE.ordinal()]
                + " units_abandoned=" + counts.ended[Unit.State.ABANDONED.ordinal()] + " units_unknown="
                + counts.ended[Unit.State.UNKNOWN.ordinal()] + " units_grants=" + counts.grants + " units_refused=" + counts.refused
                + " units_handed_over=" + counts.handedOver + " units_taken_over=" + counts.takenOver + " units_stale=" + counts.staleReports;
    }
}

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
    record Limits(int maxOpen, int maxOpenPerCustomer, double idleMs, double minIdleMs) { }

    /** Counts since the start. */
    static final class Counts {
        long opened;
        final long[] ended = new long[Unit.State.values().length];
        long grants;
        long refused;
        long takenOver;
        long handedOver;
        long staleReports;                           // reports of older grants, without effect
    }

    private record Wake(double atMs, UnitName name) { }

    private static final int MAX_RECENTLY_ENDED = 4096; // about 256 KiB

    private final String self;
    private final long incarnation;
    private final Unit.Listener listener;
    private Limits limits;
    private Unit.Rules rules;
    private final LinkedHashMap<UnitName, Unit> units = new LinkedHashMap<>(); // the longest idle first
    private final Map<Long, Integer> openByCustomer = new HashMap<>();
    // At most one for each unit.
    private final PriorityQueue<Wake> wakes = new PriorityQueue<>((a, b) -> Double.compare(a.atMs(), b.atMs()));
    private final LinkedHashMap<UnitName, Unit> withGrantedPart = new LinkedHashMap<>(); // the longest without activity first
    private final LinkedHashMap<UnitName, Unit> recentlyEnded = new LinkedHashMap<>(); // so that a repeated end gets the same answer
    private long lastNumber;
    final Counts counts = new Counts();

    UnitTable(String self, long incarnation, Limits limits, Unit.Rules rules, Unit.Listener listener) {
        this.self = self;
        this.incarnation = incarnation;
        this.limits = limits;
        this.rules = rules;
        this.listener = new Unit.Listener() {
            @Override
            public void onGrant(Unit unit, Ticket ticket, int grantNumber) {
                counts.grants++;
                withGrantedPart.put(unit.name, unit);
                listener.onGrant(unit, ticket, grantNumber);
            }

            @Override
            public void onRefuse(Unit unit, Ticket ticket, Refusal reason, long detail) {
                counts.refused++;
                listener.onRefuse(unit, ticket, reason, detail);
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

    /** Opens a unit; null if there is no room even after idle units were abandoned. */
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
        if (units.remove(unit.name) != null) {
            openByCustomer.computeIfPresent(unit.customer, (customer, open) -> open == 1 ? null : open - 1);
        }
    }

    /** Abandons the longest idle unit without a granted or waiting part; false if none has been idle that long. */
    private boolean abandonLongestIdle(double now, double idleMs) {
        for (Unit unit : units.values()) {
            if (now - unit.lastActivityMs() < idleMs) { return false; }
            unit.expireWaiting(now);                 // a request that arrived after its withdrawal would wait forever
            if (unit.state() != Unit.State.OPEN || unit.granted() != null || unit.waitingCount() > 0) { continue; }
            unit.end(now, Unit.Boundary.SILENT, null, listener);
            scheduleWake(now, unit);
            return true;
        }
        return false;
    }

    /** Handles a request for a part or an end. {@code isSilent}: whether an ingress is no longer heard of. */
    void submit(double now, UnitName name, Ticket ticket, Predicate<String> isSilent) {
        Unit unit = units.get(name);
        if (unit == null) {
            Unit ended = recentlyEnded.get(name);
            if (ended != null) {
                ended.submit(now, ticket, rules, listener);
                return;
            }
            counts.refused++;
            boolean wasOpened = isOpenedHere(name) && name.number() <= lastNumber; // then it has ended
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

    /** Handles a holder's report; see {@link Unit#partDone}. */
    boolean partDone(double now, UnitName name, String holder, long holderIncarnation, int grantNumber, Unit.Result result,
            double mayRunForMs, long region, int zone) {
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

    /** Handles the loss of a holder's incarnation; see {@link Unit#holderLost}. */
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
     * Returns units whose granted part has had no activity for {@code forMs}, up to a limit, and marks them as active, so that the
     * next call returns others. The caller asks their holders, or presumes them lost.
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
            moveToEnd(unit);                         // else it would hide the idle ones behind it
        }
        return found;
    }

    /** Presumes that the holder of a granted part is lost; see {@link Unit#holderLost}. */
    void presumeHolderLost(double now, Unit unit) {
        unit.holderLost(now, unit.granted().holder(), -1, rules, listener);
        if (units.containsKey(unit.name)) { moveToEnd(unit); }
        removeIfNotGranted(unit);
        scheduleWake(now, unit);
    }

    private void scheduleWake(double now, Unit unit) {
        double atMs = unit.nextWakeMs(now);
        if (atMs == Double.POSITIVE_INFINITY || unit.wakePending) { return; }
        unit.wakePending = true;                     // one for each unit: it is rescheduled when this one is due
        wakes.add(new Wake(atMs, unit.name));
    }

    /** Does what is due by time: grants, ends, and units idle for too long. Handles at most {@code limit} of each. */
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

    /** When {@link #tick} next has scheduled work; infinity for never. Idle units are not considered. */
    double nextWakeMs() { return wakes.isEmpty() ? Double.POSITIVE_INFINITY : wakes.peek().atMs(); }

    /** The units that can be transferred: open ones that do not belong to a connection here. */
    List<Unit> transferable() {
        List<Unit> found = new ArrayList<>();
        for (Unit unit : units.values()) {
            if (unit.mode != Mode.SESSION && unit.state() == Unit.State.OPEN) { found.add(unit); }
        }
        return found;
    }

    /** Seals a unit for transfer and removes it. */
    UnitRecord handOver(double now, Unit unit) {
        remove(unit);
        counts.handedOver++;
        return unit.handOver(now, listener);
    }

    /** Takes over a unit; false if it is held already, was opened here, or there is no room for it. */
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
                + " units_handed_over=" + counts.handedOver + " units_taken_over=" + counts.takenOver + " units_stale="
                + counts.staleReports;
    }
}

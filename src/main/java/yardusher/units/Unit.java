package yardusher.units;

import java.util.ArrayList;
import java.util.List;

/**
 * The state of one unit of work at its home, the ingress that opened it or took it over. Parts are granted one at a time and in
 * order, each to one holder under a grant number; the unit ends once. Does no I/O and reads no clock: times are passed in as
 * milliseconds that never go back. Results are reported to the {@link Listener} within the call. The size of a unit does not grow
 * with the number of its parts.
 */
final class Unit {
    /** Where a unit stands. Ordinals are sent between ingresses. */
    enum State {
        OPEN,
        /** No more parts are granted; the unit waits until none of its attempts may still run. */
        ENDING,
        /** Every part that was started was served. */
        DONE,
        /** Ended by a rule, by the close of the terminal's connection, or by request. */
        ABANDONED,
        /** Ended, with a part of which it is not known whether it ran. */
        UNKNOWN;

        boolean isOver() { return ordinal() >= DONE.ordinal(); }

        /** The name as terminals and operators see it. */
        String told() { return name().toLowerCase(java.util.Locale.ROOT); }
    }

    /** The boundary that ends a unit; the first one counts. */
    enum Boundary {
        /** A terminal requested the end, or that the unit be abandoned. */
        SAID, ABANDON_SAID,
        /** The terminal's connection closed. */
        CLOSED,
        /** The unit was idle for too long, or was the longest idle one when room was needed. */
        SILENT,
        /** Its home drains and could not transfer it. */
        DRAINED,
        /** The holder of its first part failed, so the region where that part may have run is not known. */
        LOST;

        private State end(boolean doubtful, boolean whole) {
            return switch (this) {
                case SAID -> doubtful ? State.UNKNOWN : State.DONE;
                case CLOSED -> doubtful || !whole ? State.ABANDONED : State.DONE;
                case LOST -> State.UNKNOWN;
                default -> State.ABANDONED;
            };
        }
    }

    /** How a holder reports that a granted part finished. Ordinals are sent between ingresses. */
    enum Result { SERVED, NEVER_RAN, MAY_HAVE_RUN }

    /** Receives the results of a unit's transitions. */
    interface Sink {
        /** The holder may run the part, under this grant number and the unit's current binding. */
        void grant(Unit unit, Ticket ticket, int grant);

        /** The ticket is refused; {@link Refusal} says what the detail is. */
        void refuse(Unit unit, Ticket ticket, Refusal why, long figure);

        /** The ticket waits for its turn. */
        void waits(Unit unit, Ticket ticket);

        /** Answers a requested end: the unit is over. */
        void told(Unit unit, Ticket ticket);

        /** The unit is over and none of its attempts may still run. Called once for each unit. */
        void ended(Unit unit);
    }

    /** Limits of a unit: the number of waiting tickets, and how long a region may still run an abandoned attempt after its deadline. */
    record Rules(int mostWaiting, double settleMs) { }

    final UnitName name;
    final long customer;
    final Mode mode;
    private State state = State.OPEN;
    private Boundary boundary;
    private boolean whole = true;                    // no part was granted or waiting when the unit began to end
    private int epoch;                               // how often the unit was transferred
    private int next = 1;                            // the number of the part that is due
    private Ticket out;                              // the part that a holder runs, null for none
    private int grants;
    private boolean repeats;                         // the granted part was served before
    private boolean doubt;                           // the part that is due may have run
    private boolean doubtSaid;                       // and it has a number, so that its terminal can repeat it
    private boolean lastSaid;                        // the part before was served, and has a number
    private int doubts;                              // parts without a number that may have run and were skipped
    private double triedAt;                          // when the latest part was first granted
    private double looseUntil = Double.NEGATIVE_INFINITY; // an abandoned attempt may run until then
    private double wordAt;
    private int served;
    private long server = -1;
    private int zone = -1;
    boolean wakes;                                   // used by UnitTable: a wake-up is scheduled
    private List<Ticket> waiting = new ArrayList<>(0);

    Unit(UnitName name, long customer, Mode mode, double now) {
        this.name = name;
        this.customer = customer;
        this.mode = mode;
        this.wordAt = now;
    }

    State state() { return state; }

    Boundary boundary() { return boundary; }

    int epoch() { return epoch; }

    int served() { return served; }

    int next() { return next; }

    Ticket out() { return out; }

    int grants() { return grants; }

    boolean isDoubtful() { return doubt || doubts > 0; }

    long server() { return server; }

    int zone() { return zone; }

    double wordAt() { return wordAt; }

    void looked(double now) { wordAt = now; }

    double looseUntil() { return looseUntil; }

    int waitingCount() { return waiting.size(); }

    /** Whether any part was ever granted. */
    boolean isBegun() { return grants > 0; }

    boolean isBound() { return server >= 0 || zone >= 0; }

    /** Handles a request for a part or an end. */
    void ask(double now, Ticket t, Rules rules, Sink sink) {
        if (t.customer() != customer) {
            sink.refuse(this, t, Refusal.UNKNOWN, 0);
            return;
        }
        if (!t.kind().isPart()) {
            end(now, t.kind() == Ticket.Kind.END ? Boundary.SAID : Boundary.ABANDON_SAID, t, sink);
            return;
        }
        if (out != null && out.is(t.holder(), t.life(), t.ask()) || waiting.stream().anyMatch(one -> one.is(t.holder(), t.life(), t.ask()))) { return; }
        wordAt = now;
        if (state != State.OPEN) {
            sink.refuse(this, t, Refusal.ENDED, state.ordinal());
        } else if (isPast(t) && !maySendAgain(now, t)) {
            sink.refuse(this, t, Refusal.RAN, next - 1);
        } else if (waiting.size() >= rules.mostWaiting() || t.part() > next + rules.mostWaiting()) {
            sink.refuse(this, t, Refusal.ORDER, next);
        } else {
            waiting.add(t);
            advance(now, sink);
            if (waiting.contains(t)) { sink.waits(this, t); }
        }
    }

    private boolean isPast(Ticket t) { return t.part() > 0 && t.part() < next; }

    /** Whether a part may run again: it was the last one served, no later part has started, and its class allows it. */
    private boolean maySendAgain(double now, Ticket t) {
        return t.part() == next - 1 && lastSaid && !doubt && (out == null || out.part() == t.part()) && now - triedAt < t.repeatMs();
    }

    /** Grants the next part if one may run, and finishes the end if it is due. */
    void advance(double now, Sink sink) {
        expire(now);
        while (out == null && state == State.OPEN) {
            Ticket t = due();
            if (t == null) { return; }
            if (doubt && !doubtSaid && now >= looseUntil) { // without a number it cannot be repeated: skip it
                doubts++;
                doubt = false;
                lastSaid = false;
                next++;
            }
            boolean again = isPast(t) || t.part() == next && doubt && doubtSaid;
            if (isPast(t) ? !maySendAgain(now, t) : again && now - triedAt >= t.repeatMs()) {
                waiting.remove(t);
                sink.refuse(this, t, Refusal.RAN, isPast(t) ? next - 1 : next);
            } else if (t.part() == 0 && doubt && doubtSaid) {
                waiting.remove(t);
                sink.refuse(this, t, Refusal.ORDER, next); // the numbered part has to be repeated first
            } else if (!again && now < looseUntil) {
                if (t.dueMs() > looseUntil) { return; } // it can wait until then
                waiting.remove(t);
                sink.refuse(this, t, Refusal.LATER, (long) Math.ceil(looseUntil - now));
            } else {
                letOut(now, t, again, sink);
            }
        }
        if (state == State.ENDING && out == null && now >= looseUntil) { finish(sink); }
    }

    /** Drops parts whose deadline has passed; the requesting ingress has answered the terminal itself. */
    void expire(double now) { waiting.removeIf(t -> t.kind().isPart() && t.dueMs() <= now); }

    private void letOut(double now, Ticket t, boolean again, Sink sink) {
        waiting.remove(t);
        repeats = isPast(t);
        if (!again) { triedAt = now; }
        out = t;
        grants++;
        sink.grant(this, t, grants);
    }

    /** The ticket whose turn it is: a repeat of an earlier part, the part that is due, or the next one of a session. */
    private Ticket due() {
        for (Ticket t : waiting) {
            if (t.part() <= next) { return t; }
        }
        return null;
    }

    /**
     * Handles a holder's report that the granted part has finished. An abandoned attempt may run for {@code mayRunForMs} more;
     * region and zone are where the part may have run, -1 for nowhere. False, with no effect, for a report of an older grant or of
     * another holder.
     */
    boolean done(double now, String holder, long life, int grant, Result result, double looseMs, long atServer, int atZone, Sink sink) {
        if (out == null || grant != grants || out.life() != life || !out.holder().equals(holder)) { return false; }
        wordAt = now;
        Ticket was = out;
        out = null;
        if (looseMs > 0) { looseUntil = Math.max(looseUntil, now + looseMs); }
        if (result != Result.NEVER_RAN && !isBound()) {
            server = mode == Mode.SESSION ? atServer : -1;
            zone = mode == Mode.SESSION ? -1 : atZone;
        }
        if (!repeats) {
            if (result == Result.SERVED) {
                next++;
                served++;
                doubt = false;
                lastSaid = was.part() > 0;
            } else if (result == Result.MAY_HAVE_RUN) {
                doubt = true;
                doubtSaid = was.part() > 0;
            }
        }
        if (result == Result.MAY_HAVE_RUN && !isBound() && state == State.OPEN) { begin(Boundary.LOST, sink); } // region unknown
        if (result == Result.SERVED && was.kind() == Ticket.Kind.LAST && state == State.OPEN) { begin(Boundary.SAID, sink); }
        advance(now, sink);
        return true;
    }

    /** Cancels a request: drops its ticket; a part that was granted for it never ran. */
    void withdraw(double now, String holder, long life, long ask, Sink sink) {
        waiting.removeIf(t -> t.is(holder, life, ask));
        if (out != null && out.is(holder, life, ask)) { done(now, holder, life, grants, Result.NEVER_RAN, 0, -1, -1, sink); }
    }

    /** Ends the unit. {@code asker} is answered once the unit is over, null for nobody. Only the first cause counts. */
    void end(double now, Boundary by, Ticket asker, Sink sink) {
        if (asker != null && state.isOver()) {
            sink.told(this, asker);
            return;
        }
        if (asker != null) {
            waiting.removeIf(t -> !t.kind().isPart() && t.is(asker.holder(), asker.life(), asker.ask()));
            if (waiting.size() < 1000) { waiting.add(asker); }
        }
        if (state == State.OPEN) { begin(by, sink); }
        advance(now, sink);
        if (asker != null && waiting.contains(asker)) { sink.waits(this, asker); }
    }

    private void begin(Boundary by, Sink sink) {
        state = State.ENDING;
        boundary = by;
        whole = out == null && waiting.stream().noneMatch(t -> t.kind().isPart());
        for (Ticket t : List.copyOf(waiting)) {
            if (t.kind().isPart()) {
                waiting.remove(t);
                sink.refuse(this, t, Refusal.ENDED, state.ordinal());
            }
        }
    }

    private void finish(Sink sink) {
        state = boundary.end(isDoubtful(), whole);
        List<Ticket> told = waiting;
        waiting = new ArrayList<>(0);
        sink.ended(this);
        for (Ticket t : told) { sink.told(this, t); }
    }

    /**
     * Handles the loss of a holder's incarnation: a part it held may have run, and may still run until {@code settleMs} after its
     * deadline.
     */
    void died(double now, String holder, long lifeNow, Rules rules, Sink sink) {
        waiting.removeIf(t -> t.holder().equals(holder) && t.life() != lifeNow);
        if (out == null || !out.holder().equals(holder) || out.life() == lifeNow) { return; }
        if (isBound()) {
            double loose = Math.max(0, out.dueMs() - now) + rules.settleMs();
            done(now, holder, out.life(), grants, Result.MAY_HAVE_RUN, loose, -1, -1, sink);
        } else {
            doubt = true;
            doubtSaid = out.part() > 0;
            looseUntil = Math.max(looseUntil, Math.max(now, out.dueMs()) + rules.settleMs());
            out = null;
            end(now, Boundary.LOST, null, sink);
        }
    }

    /** When {@link #advance} is to be called again; infinity for never. */
    double wakeAt(double now) {
        if (out != null || now >= looseUntil) { return Double.POSITIVE_INFINITY; }
        return state == State.ENDING || !waiting.isEmpty() ? looseUntil : Double.POSITIVE_INFINITY;
    }

    /** Seals the unit for transfer: waiting requests are redirected to the new home, and nothing is granted here any more. */
    UnitRecord handOver(double now, Sink sink) {
        UnitRecord record = new UnitRecord(name, customer, mode, epoch + 1, next, grants, repeats, doubt, doubtSaid, lastSaid, doubts, now - triedAt,
                Math.max(0, looseUntil - now), served, server, zone, out == null ? null : out.holder(), out == null ? 0 : out.life(),
                out == null ? 0 : out.ask(), out == null ? 0 : out.part(), out != null && out.kind() == Ticket.Kind.LAST,
                out == null ? 0 : Math.max(0, out.dueMs() - now));
        state = State.ENDING;
        List<Ticket> told = waiting;
        waiting = new ArrayList<>(0);
        for (Ticket t : told) { sink.refuse(this, t, Refusal.MOVED, 0); }
        return record;
    }

    /** Restores a unit that another home transferred. */
    static Unit of(UnitRecord r, double now) {
        Unit unit = new Unit(r.name(), r.customer(), r.mode(), now);
        unit.epoch = r.epoch();
        unit.next = r.next();
        unit.grants = r.grants();
        unit.repeats = r.repeats();
        unit.doubt = r.doubt();
        unit.doubtSaid = r.doubtSaid();
        unit.lastSaid = r.lastSaid();
        unit.doubts = r.doubts();
        unit.triedAt = now - r.triedMs();
        unit.looseUntil = r.looseMs() > 0 ? now + r.looseMs() : Double.NEGATIVE_INFINITY;
        unit.served = r.served();
        unit.server = r.server();
        unit.zone = r.zone();
        if (r.holder() != null) {
            unit.out = new Ticket(r.ask(), r.holder(), r.life(), r.customer(), r.part(), r.last() ? Ticket.Kind.LAST : Ticket.Kind.PART,
                    now + r.dueMs(), 0);
        }
        return unit;
    }

    /** A copy, used to explore possible successor states. */
    Unit copy() {
        Unit copy = new Unit(name, customer, mode, wordAt);
        copy.state = state;
        copy.boundary = boundary;
        copy.whole = whole;
        copy.epoch = epoch;
        copy.next = next;
        copy.out = out;
        copy.grants = grants;
        copy.repeats = repeats;
        copy.doubt = doubt;
        copy.doubtSaid = doubtSaid;
        copy.lastSaid = lastSaid;
        copy.doubts = doubts;
        copy.triedAt = triedAt;
        copy.looseUntil = looseUntil;
        copy.served = served;
        copy.server = server;
        copy.zone = zone;
        copy.waiting = new ArrayList<>(waiting);
        return copy;
    }

    /** A text of all that decides the next transitions, except the grant count; equal for units that behave alike. */
    String shape(double now) {
        StringBuilder text = new StringBuilder(64).append(state.ordinal()).append(boundary == null ? "" : boundary.ordinal()).append(whole ? 'w' : 'c').append(next)
                .append(repeats ? 'r' : '-').append(doubt ? 'd' : '-').append(doubtSaid ? 's' : '-').append(lastSaid ? 'l' : '-').append(doubts > 0 ? 'p' : '-')
                .append(now < looseUntil ? 'L' : '-').append(server).append('/').append(zone).append('@').append(epoch);
        if (out != null) { text.append(" o").append(out.ask()).append(out.life()); }
        for (Ticket t : waiting) { text.append(" t").append(t.ask()).append(t.life()); }
        return text.toString();
    }

    /** One line of key=value pairs for the operators' report. */
    @Override
    public String toString() {
        StringBuilder text = new StringBuilder(128).append(name).append(" mode=").append(mode.name().toLowerCase(java.util.Locale.ROOT))
                .append(" state=").append(state.told()).append(" next=").append(next).append(" served=").append(served)
                .append(" grants=").append(grants).append(" epoch=").append(epoch);
        if (boundary != null) { text.append(" by=").append(boundary.name().toLowerCase(java.util.Locale.ROOT)).append(whole ? "" : " cut=1"); }
        if (out != null) { text.append(" out=").append(out.part()).append('@').append(out.holder()).append(out.kind() == Ticket.Kind.LAST ? " last=1" : ""); }
        if (repeats) { text.append(" repeat=1"); }
        if (isDoubtful()) { text.append(" may_have_run=").append(doubts + (doubt ? 1 : 0)); }
        if (server >= 0) { text.append(" region=s-").append(String.format("%08x", server)); }
        if (zone >= 0) { text.append(" hall=").append(zone); }
        return text.toString();
    }
}

package yardusher.units;

import java.util.ArrayList;
import java.util.List;

/**
 * One unit of work, as its home holds it: parts are let out one at a time and in their order, each to one holder under a
 * grant with a number; the unit ends once. Free of I/O and clock: times come in as milliseconds that never go back. What
 * follows from a call is told to the {@link Listener} within it. Its size does not grow with its parts.
 */
final class Unit {
    enum State {
        OPEN,
        /** Nothing more is let in; it waits until nothing of it may run. */
        ENDING,
        /** All that was begun was served. */
        DONE,
        /** Given up by rule, by a terminal that left, or by word. */
        ABANDONED,
        /** Ended, and of some part nobody knows whether it ran. */
        UNKNOWN;

        boolean isOver() { return ordinal() >= DONE.ordinal(); }

        String label() { return name().toLowerCase(java.util.Locale.ROOT); }
    }

    /** By which boundary it ends; the first that comes counts. */
    enum Boundary {
        SAID, ABANDON_SAID,
        /** The terminal's connection closed. */
        CLOSED,
        /** Nothing was heard of it for too long, or it was the longest silent where room was needed. */
        SILENT,
        /** Its home ends and could not hand it over. */
        DRAINED,
        /** Its first part went out with a holder that died: nobody knows where it may have run. */
        LOST;

        private State finalState(boolean uncertain, boolean complete) {
            return switch (this) {
                case SAID -> uncertain ? State.UNKNOWN : State.DONE;
                case CLOSED -> uncertain || !complete ? State.ABANDONED : State.DONE;
                case LOST -> State.UNKNOWN;
                default -> State.ABANDONED;
            };
        }
    }

    /** How a holder says that a part in its hands is over. */
    enum Result { SERVED, NEVER_RAN, MAY_HAVE_RUN }

    /** What a unit has to tell. */
    interface Listener {
        /** The holder may run the part, under this grant and the unit's binding as it stands. */
        void onGrant(Unit unit, Ticket ticket, int grantNumber);

        void onRefuse(Unit unit, Ticket ticket, Refusal reason, long detail);

        /** It has to wait for its turn. */
        void onQueued(Unit unit, Ticket ticket);

        /** The answer to an end that was said. */
        void handleOutcome(Unit unit, Ticket ticket);

        /** It is over and nothing of it may run: once for each unit. */
        void onEnded(Unit unit);
    }

    /** What a unit goes by: waiting tickets at the most, and how long what was given up may run on, in milliseconds. */
    record Rules(int maxWaiting, double settleMs) { }

    final UnitName name;
    final long customer;
    final Mode mode;
    private State state = State.OPEN;
    private Boundary boundary;
    private boolean complete = true;                    // nothing was cut off by the boundary
    private int epoch;                               // counts homes
    private int nextPart = 1;                            // the part that is due
    private Ticket granted;                              // the part in a holder's hands
    private int grantCount;
    private boolean repeatGranted;                         // the part that is out was served before
    private boolean nextPartUncertain;                           // the part that is due may have run
    private boolean uncertainPartNumbered;                       // and its terminal gave it its number, so that it can say it again
    private boolean lastPartNumbered;                        // the part before was served under a number its terminal gave
    private int skippedUncertain;                              // parts passed over that may have run
    private double firstGrantedAtMs;                          // when the latest part was first let out
    private double mayRunUntilMs = Double.NEGATIVE_INFINITY; // something that was given up may run until then
    private double lastActivityMs;
    private int servedParts;
    private long region = -1;
    private int zone = -1;
    boolean wakePending;                                   // for the table: a wake of it is pending
    private List<Ticket> waiting = new ArrayList<>(0);

    Unit(UnitName name, long customer, Mode mode, double now) {
        this.name = name;
        this.customer = customer;
        this.mode = mode;
        this.lastActivityMs = now;
    }

    State state() { return state; }

    Boundary boundary() { return boundary; }

    int epoch() { return epoch; }

    int servedParts() { return servedParts; }

    int nextPart() { return nextPart; }

    Ticket granted() { return granted; }

    int grantCount() { return grantCount; }

    boolean isUncertain() { return nextPartUncertain || skippedUncertain > 0; }

    long region() { return region; }

    int zone() { return zone; }

    double lastActivityMs() { return lastActivityMs; }

    void markActive(double now) { lastActivityMs = now; }

    double mayRunUntilMs() { return mayRunUntilMs; }

    int waitingCount() { return waiting.size(); }

    /** Whether any part was ever let out. */
    boolean isStarted() { return grantCount > 0; }

    boolean isBound() { return region >= 0 || zone >= 0; }

    /** Somebody asks for a part or an end. */
    void submit(double now, Ticket ticket, Rules rules, Listener listener) {
        if (ticket.customer() != customer) {
            listener.onRefuse(this, ticket, Refusal.UNKNOWN, 0);
            return;
        }
        if (!ticket.kind().isPart()) {
            end(now, ticket.kind() == Ticket.Kind.END ? Boundary.SAID : Boundary.ABANDON_SAID, ticket, listener);
            return;
        }
        if (granted != null && granted.matches(ticket.holder(), ticket.incarnation(), ticket.requestId()) || waiting.stream().anyMatch(queued -> queued.matches(ticket.holder(), ticket.incarnation(), ticket.requestId()))) { return; }
        lastActivityMs = now;
        if (state != State.OPEN) {
            listener.onRefuse(this, ticket, Refusal.ENDED, state.ordinal());
        } else if (isEarlierPart(ticket) && !mayRepeat(now, ticket)) {
            listener.onRefuse(this, ticket, Refusal.ALREADY_RUN, nextPart - 1);
        } else if (waiting.size() >= rules.maxWaiting() || ticket.part() > nextPart + rules.maxWaiting()) {
            listener.onRefuse(this, ticket, Refusal.OUT_OF_ORDER, nextPart);
        } else {
            waiting.add(ticket);
            advance(now, listener);
            if (waiting.contains(ticket)) { listener.onQueued(this, ticket); }
        }
    }

    private boolean isEarlierPart(Ticket ticket) { return ticket.part() > 0 && ticket.part() < nextPart; }

    /** Whether a past part may go once more: it was the last one served, nothing after it has begun, and its class bears it. */
    private boolean mayRepeat(double now, Ticket ticket) {
        return ticket.part() == nextPart - 1 && lastPartNumbered && !nextPartUncertain && (granted == null || granted.part() == ticket.part()) && now - firstGrantedAtMs < ticket.repeatWindowMs();
    }

    /** Lets the next part out where one may go, and ends what is to end. */
    void advance(double now, Listener listener) {
        expireWaiting(now);
        while (granted == null && state == State.OPEN) {
            Ticket ticket = nextTicket();
            if (ticket == null) { return; }
            if (nextPartUncertain && !uncertainPartNumbered && now >= mayRunUntilMs) { // nobody can say again which one it was: it is passed over
                skippedUncertain++;
                nextPartUncertain = false;
                lastPartNumbered = false;
                nextPart++;
            }
            boolean repeat = isEarlierPart(ticket) || ticket.part() == nextPart && nextPartUncertain && uncertainPartNumbered;
            if (isEarlierPart(ticket) ? !mayRepeat(now, ticket) : repeat && now - firstGrantedAtMs >= ticket.repeatWindowMs()) {
                waiting.remove(ticket);
                listener.onRefuse(this, ticket, Refusal.ALREADY_RUN, isEarlierPart(ticket) ? nextPart - 1 : nextPart);
            } else if (ticket.part() == 0 && nextPartUncertain && uncertainPartNumbered) {
                waiting.remove(ticket);
                listener.onRefuse(this, ticket, Refusal.OUT_OF_ORDER, nextPart); // the part with that number comes first
            } else if (!repeat && now < mayRunUntilMs) {
                if (ticket.deadlineMs() > mayRunUntilMs) { return; } // its turn comes
                waiting.remove(ticket);
                listener.onRefuse(this, ticket, Refusal.RETRY_LATER, (long) Math.ceil(mayRunUntilMs - now));
            } else {
                grant(now, ticket, repeat, listener);
            }
        }
        if (state == State.ENDING && granted == null && now >= mayRunUntilMs) { finish(listener); }
    }

    /** Drops who waited longer than its terminal does; its holder has told it. */
    void expireWaiting(double now) { waiting.removeIf(t -> t.kind().isPart() && t.deadlineMs() <= now); }

    private void grant(double now, Ticket ticket, boolean repeat, Listener listener) {
        waiting.remove(ticket);
        repeatGranted = isEarlierPart(ticket);
        if (!repeat) { firstGrantedAtMs = now; }
        granted = ticket;
        grantCount++;
        listener.onGrant(this, ticket, grantCount);
    }

    /** The ticket whose turn it is: a repeat of the part before, the part that is due, or a session's next. */
    private Ticket nextTicket() {
        for (Ticket ticket : waiting) {
            if (ticket.part() <= nextPart) { return ticket; }
        }
        return null;
    }

    /**
     * A holder's word on the part in its hands. What it gave up may run for {@code looseMs} more; server and zone are where
     * it may have run, -1 for nowhere. False where the word is of an older grant or another's, and changes nothing.
     */
    boolean partDone(double now, String holder, long incarnation, int grantNumber, Result result, double mayRunForMs, long atRegion, int atZone, Listener listener) {
        if (granted == null || grantNumber != grantCount || granted.incarnation() != incarnation || !granted.holder().equals(holder)) { return false; }
        lastActivityMs = now;
        Ticket ticket = granted;
        granted = null;
        if (mayRunForMs > 0) { mayRunUntilMs = Math.max(mayRunUntilMs, now + mayRunForMs); }
        if (result != Result.NEVER_RAN && !isBound()) {
            region = mode == Mode.SESSION ? atRegion : -1;
            zone = mode == Mode.SESSION ? -1 : atZone;
        }
        if (!repeatGranted) {
            if (result == Result.SERVED) {
                nextPart++;
                servedParts++;
                nextPartUncertain = false;
                lastPartNumbered = ticket.part() > 0;
            } else if (result == Result.MAY_HAVE_RUN) {
                nextPartUncertain = true;
                uncertainPartNumbered = ticket.part() > 0;
            }
        }
        if (result == Result.MAY_HAVE_RUN && !isBound() && state == State.OPEN) { beginEnding(Boundary.LOST, listener); } // nobody knows where
        if (result == Result.SERVED && ticket.kind() == Ticket.Kind.LAST_PART && state == State.OPEN) { beginEnding(Boundary.SAID, listener); }
        advance(now, listener);
        return true;
    }

    /** Who asked asks no more: its ticket goes, and a part that was let out for it never ran. */
    void withdraw(double now, String holder, long incarnation, long requestId, Listener listener) {
        waiting.removeIf(t -> t.matches(holder, incarnation, requestId));
        if (granted != null && granted.matches(holder, incarnation, requestId)) { partDone(now, holder, incarnation, grantCount, Result.NEVER_RAN, 0, -1, -1, listener); }
    }

    /** A boundary. {@code asker} is told once it is over, null for nobody; of two that cross the first counts. */
    void end(double now, Boundary cause, Ticket asker, Listener listener) {
        if (asker != null && state.isOver()) {
            listener.handleOutcome(this, asker);
            return;
        }
        if (asker != null) {
            waiting.removeIf(t -> !t.kind().isPart() && t.matches(asker.holder(), asker.incarnation(), asker.requestId()));
            if (waiting.size() < 1000) { waiting.add(asker); }
        }
        if (state == State.OPEN) { beginEnding(cause, listener); }
        advance(now, listener);
        if (asker != null && waiting.contains(asker)) { listener.onQueued(this, asker); }
    }

    private void beginEnding(Boundary cause, Listener listener) {
        state = State.ENDING;
        boundary = cause;
        complete = granted == null && waiting.stream().noneMatch(ticket -> ticket.kind().isPart());
        for (Ticket ticket : List.copyOf(waiting)) {
            if (ticket.kind().isPart()) {
                waiting.remove(ticket);
                listener.onRefuse(this, ticket, Refusal.ENDED, state.ordinal());
            }
        }
    }

    private void finish(Listener listener) {
        state = boundary.finalState(isUncertain(), complete);
        List<Ticket> askers = waiting;
        waiting = new ArrayList<>(0);
        listener.onEnded(this);
        for (Ticket asker : askers) { listener.handleOutcome(this, asker); }
    }

    /** A holder is not in the life any more in which it got the part: what it held may have run, and may run till it settles. */
    void holderLost(double now, String holder, long currentIncarnation, Rules rules, Listener listener) {
        waiting.removeIf(t -> t.holder().equals(holder) && t.incarnation() != currentIncarnation);
        if (granted == null || !granted.holder().equals(holder) || granted.incarnation() == currentIncarnation) { return; }
        if (isBound()) {
            double mayRunForMs = Math.max(0, granted.deadlineMs() - now) + rules.settleMs();
            partDone(now, holder, granted.incarnation(), grantCount, Result.MAY_HAVE_RUN, mayRunForMs, -1, -1, listener);
        } else {
            nextPartUncertain = true;
            uncertainPartNumbered = granted.part() > 0;
            mayRunUntilMs = Math.max(mayRunUntilMs, Math.max(now, granted.deadlineMs()) + rules.settleMs());
            granted = null;
            end(now, Boundary.LOST, null, listener);
        }
    }

    /** When something is to be looked at again by {@link #advance}; infinity for never. */
    double nextWakeMs(double now) {
        if (granted != null || now >= mayRunUntilMs) { return Double.POSITIVE_INFINITY; }
        return state == State.ENDING || !waiting.isEmpty() ? mayRunUntilMs : Double.POSITIVE_INFINITY;
    }

    /** Seals it for another home: who waits is to ask there, and here nothing is let out any more. */
    UnitRecord handOver(double now, Listener listener) {
        UnitRecord record = new UnitRecord(name, customer, mode, epoch + 1, nextPart, grantCount, repeatGranted, nextPartUncertain, uncertainPartNumbered, lastPartNumbered, skippedUncertain, now - firstGrantedAtMs,
                Math.max(0, mayRunUntilMs - now), servedParts, region, zone, granted == null ? null : granted.holder(), granted == null ? 0 : granted.incarnation(),
                granted == null ? 0 : granted.requestId(), granted == null ? 0 : granted.part(), granted != null && granted.kind() == Ticket.Kind.LAST_PART,
                granted == null ? 0 : Math.max(0, granted.deadlineMs() - now));
        state = State.ENDING;
        List<Ticket> queued = waiting;
        waiting = new ArrayList<>(0);
        for (Ticket ticket : queued) { listener.onRefuse(this, ticket, Refusal.MOVED, 0); }
        return record;
    }

    /** A unit as another home handed it over. */
    static Unit fromRecord(UnitRecord record, double now) {
        Unit unit = new Unit(record.name(), record.customer(), record.mode(), now);
        unit.epoch = record.epoch();
        unit.nextPart = record.nextPart();
        unit.grantCount = record.grantCount();
        unit.repeatGranted = record.repeatGranted();
        unit.nextPartUncertain = record.nextPartUncertain();
        unit.uncertainPartNumbered = record.uncertainPartNumbered();
        unit.lastPartNumbered = record.lastPartNumbered();
        unit.skippedUncertain = record.skippedUncertain();
        unit.firstGrantedAtMs = now - record.firstGrantedAgoMs();
        unit.mayRunUntilMs = record.mayRunForMs() > 0 ? now + record.mayRunForMs() : Double.NEGATIVE_INFINITY;
        unit.servedParts = record.servedParts();
        unit.region = record.region();
        unit.zone = record.zone();
        if (record.holder() != null) {
            unit.granted = new Ticket(record.requestId(), record.holder(), record.holderIncarnation(), record.customer(), record.grantedPart(), record.grantedIsLast() ? Ticket.Kind.LAST_PART : Ticket.Kind.PART,
                    now + record.deadlineInMs(), 0);
        }
        return unit;
    }

    /** The same unit once more, for those who look at what might follow. */
    Unit copy() {
        Unit copy = new Unit(name, customer, mode, lastActivityMs);
        copy.state = state;
        copy.boundary = boundary;
        copy.complete = complete;
        copy.epoch = epoch;
        copy.nextPart = nextPart;
        copy.granted = granted;
        copy.grantCount = grantCount;
        copy.repeatGranted = repeatGranted;
        copy.nextPartUncertain = nextPartUncertain;
        copy.uncertainPartNumbered = uncertainPartNumbered;
        copy.lastPartNumbered = lastPartNumbered;
        copy.skippedUncertain = skippedUncertain;
        copy.firstGrantedAtMs = firstGrantedAtMs;
        copy.mayRunUntilMs = mayRunUntilMs;
        copy.servedParts = servedParts;
        copy.region = region;
        copy.zone = zone;
        copy.waiting = new ArrayList<>(waiting);
        return copy;
    }

    /** All that decides what it does next but for the number of grants, in a text that is the same for equal units. */
    String stateKey(double now) {
        StringBuilder text = new StringBuilder(64).append(state.ordinal()).append(boundary == null ? "" : boundary.ordinal()).append(complete ? 'w' : 'c').append(nextPart)
                .append(repeatGranted ? 'r' : '-').append(nextPartUncertain ? 'd' : '-').append(uncertainPartNumbered ? 's' : '-').append(lastPartNumbered ? 'l' : '-').append(skippedUncertain > 0 ? 'p' : '-')
                .append(now < mayRunUntilMs ? 'L' : '-').append(region).append('/').append(zone).append('@').append(epoch);
        if (granted != null) { text.append(" o").append(granted.requestId()).append(granted.incarnation()); }
        for (Ticket ticket : waiting) { text.append(" t").append(ticket.requestId()).append(ticket.incarnation()); }
        return text.toString();
    }

    /** One line for operators, and for telling states apart. */
    @Override
    public String toString() {
        StringBuilder text = new StringBuilder(128).append(name).append(" mode=").append(mode.name().toLowerCase(java.util.Locale.ROOT))
                .append(" state=").append(state.label()).append(" next=").append(nextPart).append(" served=").append(servedParts)
                .append(" grants=").append(grantCount).append(" epoch=").append(epoch);
        if (boundary != null) { text.append(" by=").append(boundary.name().toLowerCase(java.util.Locale.ROOT)).append(complete ? "" : " cut=1"); }
        if (granted != null) { text.append(" out=").append(granted.part()).append('@').append(granted.holder()).append(granted.kind() == Ticket.Kind.LAST_PART ? " last=1" : ""); }
        if (repeatGranted) { text.append(" repeat=1"); }
        if (isUncertain()) { text.append(" may_have_run=").append(skippedUncertain + (nextPartUncertain ? 1 : 0)); }
        if (region >= 0) { text.append(" region=s-").append(String.format("%08x", region)); }
        if (zone >= 0) { text.append(" hall=").append(zone); }
        return text.toString();
    }
}

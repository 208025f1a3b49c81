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
        String label() { return name().toLowerCase(java.util.Locale.ROOT); }
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

        private State finalState(boolean uncertain, boolean complete) {
            return switch (this) {
                case SAID -> uncertain ? State.UNKNOWN : State.DONE;
                case CLOSED -> uncertain || !complete ? State.ABANDONED : State.DONE;
                case LOST -> State.UNKNOWN;
                default -> State.ABANDONED;
            };
        }
    }

    /** How a holder reports that a granted part finished. Ordinals are sent between ingresses. */
    enum Result { SERVED, NEVER_RAN, MAY_HAVE_RUN }

    /** Receives the results of a unit's transitions. */
    interface Listener {
        /** The holder may run the part, under this grant number and the unit's current binding. */
        void onGrant(Unit unit, Ticket ticket, int grantNumber);

        /** The ticket is refused; {@link Refusal} says what the detail is. */
        void onRefuse(Unit unit, Ticket ticket, Refusal reason, long detail);

        /** The ticket waits for its turn. */
        void onQueued(Unit unit, Ticket ticket);

        /** Answers a requested end: the unit is over. */
        void handleOutcome(Unit unit, Ticket ticket);

        /** The unit is over and none of its attempts may still run. Called once for each unit. */
        void onEnded(Unit unit);
    }

    /** Limits of a unit: the number of waiting tickets, and how long a region may still run an abandoned attempt after its deadline. */
    record Rules(int maxWaiting, double settleMs) { }

    final UnitName name;
    final long customer;
    final Mode mode;
    private State state = State.OPEN;
    private Boundary boundary;
    private boolean complete = true;                 // no part was granted or waiting when the unit began to end
    private int epoch;                               // how often the unit was transferred
    private int nextPart = 1;                        // the number of the part that is due
    private Ticket granted;                          // the part that a holder runs, null for none
    private int grantCount;
    private boolean repeatGranted;                   // the granted part was served before
    private boolean nextPartUncertain;               // the part that is due may have run
    private boolean uncertainPartNumbered;           // and it has a number, so that its terminal can repeat it
    private boolean lastPartNumbered;                // the part before was served, and has a number
    private int skippedUncertain;                    // parts without a number that may have run and were skipped
    private double firstGrantedAtMs;                 // when the latest part was first granted
    private double mayRunUntilMs = Double.NEGATIVE_INFINITY; // an abandoned attempt may run until then
    private double lastActivityMs;
    private int servedParts;
    private long region = -1;
    private int zone = -1;
    boolean wakePending;                             // used by UnitTable: a wake-up is scheduled
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

    /** Whether any part was ever granted. */
    boolean isStarted() { return grantCount > 0; }

    boolean isBound() { return region >= 0 || zone >= 0; }

    /** Handles a request for a part or an end. */
    void submit(double now, Ticket ticket, Rules rules, Listener listener) {
        if (ticket.customer() != customer) {
            listener.onRefuse(this, ticket, Refusal.UNKNOWN, 0);
            return;
        }
        if (!ticket.kind().isPart()) {
            end(now, ticket.kind() == Ticket.Kind.END ? Boundary.SAID : Boundary.ABANDON_SAID, ticket, listener);
            return;
        }
        if (granted != null && granted.matches(ticket.holder(), ticket.incarnation(), ticket.requestId())
                || waiting.stream().anyMatch(queued -> queued.matches(ticket.holder(), ticket.incarnation(), ticket.requestId()))) {
            return;
        }
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

    /** Whether a part may run again: it was the last one served, no later part has started, and its class allows it. */
    private boolean mayRepeat(double now, Ticket ticket) {
        return ticket.part() == nextPart - 1 && lastPartNumbered && !nextPartUncertain
                && (granted == null || granted.part() == ticket.part()) && now - firstGrantedAtMs < ticket.repeatWindowMs();
    }

    /** Grants the next part if one may run, and finishes the end if it is due. */
    void advance(double now, Listener listener) {
        expireWaiting(now);
        while (granted == null && state == State.OPEN) {
            Ticket ticket = nextTicket();
            if (ticket == null) { return; }
            if (nextPartUncertain && !uncertainPartNumbered && now >= mayRunUntilMs) { // without a number it cannot be repeated: skip it
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
                listener.onRefuse(this, ticket, Refusal.OUT_OF_ORDER, nextPart); // the numbered part has to be repeated first
            } else if (!repeat && now < mayRunUntilMs) {
                if (ticket.deadlineMs() > mayRunUntilMs) { return; } // it can wait until then
                waiting.remove(ticket);
                listener.onRefuse(this, ticket, Refusal.RETRY_LATER, (long) Math.ceil(mayRunUntilMs - now));
            } else {
                grant(now, ticket, repeat, listener);
            }
        }
        if (state == State.ENDING && granted == null && now >= mayRunUntilMs) { finish(listener); }
    }

    /** Drops parts whose deadline has passed; the requesting ingress has answered the terminal itself. */
    void expireWaiting(double now) { waiting.removeIf(t -> t.kind().isPart() && t.deadlineMs() <= now); }

    private void grant(double now, Ticket ticket, boolean repeat, Listener listener) {
        waiting.remove(ticket);
        repeatGranted = isEarlierPart(ticket);
        if (!repeat) { firstGrantedAtMs = now; }
        granted = ticket;
        grantCount++;
        listener.onGrant(this, ticket, grantCount);
    }

    /** The ticket whose turn it is: a repeat of an earlier part, the part that is due, or the next one of a session. */
    private Ticket nextTicket() {
        for (Ticket ticket : waiting) {
            if (ticket.part() <= nextPart) { return ticket; }
        }
        return null;
    }

    /**
     * Handles a holder's report that the granted part has finished. An abandoned attempt may run for {@code mayRunForMs} more;
     * region and zone are where the part may have run, -1 for nowhere. False, with no effect, for a report of an older grant or of
     * another holder.
     */
    boolean partDone(double now, String holder, long incarnation, int grantNumber, Result result, double mayRunForMs, long atRegion,
            int atZone, Listener listener) {
        if (granted == null || grantNumber != grantCount || granted.incarnation() != incarnation || !granted.holder().equals(holder)) {
            return false;
        }
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
        if (result == Result.MAY_HAVE_RUN && !isBound() && state == State.OPEN) { beginEnding(Boundary.LOST, listener); } // region unknown
        if (result == Result.SERVED && ticket.kind() == Ticket.Kind.LAST_PART && state == State.OPEN) {
            beginEnding(Boundary.SAID, listener);
        }
        advance(now, listener);
        return true;
    }

    /** Cancels a request: drops its ticket; a part that was granted for it never ran. */
    void withdraw(double now, String holder, long incarnation, long requestId, Listener listener) {
        waiting.removeIf(t -> t.matches(holder, incarnation, requestId));
        if (granted != null && granted.matches(holder, incarnation, requestId)) {
            partDone(now, holder, incarnation, grantCount, Result.NEVER_RAN, 0, -1, -1, listener);
        }
    }

    /** Ends the unit. {@code asker} is answered once the unit is over, null for nobody. Only the first cause counts. */
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

    /**
     * Handles the loss of a holder's incarnation: a part it held may have run, and may still run until {@code settleMs} after its
     * deadline.
     */
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

    /** When {@link #advance} is to be called again; infinity for never. */
    double nextWakeMs(double now) {
        if (granted != null || now >= mayRunUntilMs) { return Double.POSITIVE_INFINITY; }
        return state == State.ENDING || !waiting.isEmpty() ? mayRunUntilMs : Double.POSITIVE_INFINITY;
    }

    /** Seals the unit for transfer: waiting requests are redirected to the new home, and nothing is granted here any more. */
    UnitRecord handOver(double now, Listener listener) {
        UnitRecord record = new UnitRecord(name, customer, mode, epoch + 1, nextPart, grantCount, repeatGranted, nextPartUncertain,
                uncertainPartNumbered, lastPartNumbered, skippedUncertain, now - firstGrantedAtMs,
                Math.max(0, mayRunUntilMs - now), servedParts, region, zone, granted == null ? null : granted.holder(),
                granted == null ? 0 : granted.incarnation(), granted == null ? 0 : granted.requestId(),
                granted == null ? 0 : granted.part(), granted != null && granted.kind() == Ticket.Kind.LAST_PART,
                granted == null ? 0 : Math.max(0, granted.deadlineMs() - now));
        state = State.ENDING;
        List<Ticket> queued = waiting;
        waiting = new ArrayList<>(0);
        for (Ticket ticket : queued) { listener.onRefuse(this, ticket, Refusal.MOVED, 0); }
        return record;
    }

    /** Restores a unit that another home transferred. */
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
            unit.granted = new Ticket(record.requestId(), record.holder(), record.holderIncarnation(), record.customer(),
                    record.grantedPart(), record.grantedIsLast() ? Ticket.Kind.LAST_PART : Ticket.Kind.PART,
                    now + record.deadlineInMs(), 0);
        }
        return unit;
    }

    /** A copy, used to explore possible successor states. */
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

    /** A text of all that decides the next transitions, except the grant count; equal for units that behave alike. */
    String stateKey(double now) {
        StringBuilder text = new StringBuilder(64).append(state.ordinal()).append(boundary == null ? "" : boundary.ordinal())
                .append(complete ? 'w' : 'c').append(nextPart)
                .append(repeatGranted ? 'r' : '-').append(nextPartUncertain ? 'd' : '-').append(uncertainPartNumbered ? 's' : '-')
                .append(lastPartNumbered ? 'l' : '-').append(skippedUncertain > 0 ? 'p' : '-')
                .append(now < mayRunUntilMs ? 'L' : '-').append(region).append('/').append(zone).append('@').append(epoch);
        if (granted != null) { text.append(" o").append(granted.requestId()).append(granted.incarnation()); }
        for (Ticket ticket : waiting) { text.append(" t").append(ticket.requestId()).append(ticket.incarnation()); }
        return text.toString();
    }

    /** One line of key=value pairs for the operators' report. */
    @Override
    public String toString() {
        StringBuilder text = new StringBuilder(128).append(name).append(" mode=").append(mode.name().toLowerCase(java.util.Locale.ROOT))
                .append(" state=").append(state.label()).append(" next=").append(nextPart).append(" served=").append(servedParts)
                .append(" grants=").append(grantCount).append(" epoch=").append(epoch);
        if (boundary != null) {
            text.append(" by=").append(boundary.name().toLowerCase(java.util.Locale.ROOT)).append(complete ? "" : " cut=1");
        }
        if (granted != null) {
            text.append(" out=").append(granted.part()).append('@').append(granted.holder())
                    .append(granted.kind() == Ticket.Kind.LAST_PART ? " last=1" : "");
        }
        if (repeatGranted) { text.append(" repeat=1"); }
        if (isUncertain()) { text.append(" may_have_run=").append(skippedUncertain + (nextPartUncertain ? 1 : 0)); }
        if (region >= 0) { text.append(" region=s-").append(String.format("%08x", region)); }
        if (zone >= 0) { text.append(" hall=").append(zone); }
        return text.toString();
    }
}

package yardusher.journal;

import java.util.ArrayList;
import java.util.List;
import yardusher.Api;
import yardusher.core.RequestLog;

/** What the journal knows of one order. Written by {@link RequestTable}; a reader must not change it. */
final class JournaledRequest {
    /** What can be said of an order or of one attempt, from the weakest to the strongest word. */
    enum State {
        NEVER_SENT("never sent"), REFUSED("refused by the region"), INTENDED("intended, may have been sent"),
        SENT("sent"), ANSWERED("answered");

        final String text;

        State(String text) { this.text = text; }

        /** The state's name on the command line. */
        String flag() { return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-'); }
    }

    /** One attempt. Times of 0: it has not happened, or its record was lost. */
    static final class JournaledAttempt {
        int attempt;
        long region;
        long intendedUs;
        long writtenUs;
        long endedUs;
        Api.Outcome outcome;
        boolean mayHaveBeenSent;

        JournaledAttempt(int attempt) { this.attempt = attempt; }

        State state() {
            if (outcome == Api.Outcome.SERVED || outcome == Api.Outcome.SERVER_ERROR) { return State.ANSWERED; }
            if (outcome == Api.Outcome.REJECTED) { return State.REFUSED; }
            if (outcome != null && !mayHaveBeenSent) { return State.NEVER_SENT; }
            return writtenUs > 0 ? State.SENT : State.INTENDED;
        }
    }

    final long life;
    final long number;
    long acceptedUs;
    Entry.RequestFacts facts;                               // null where every record that tells it was lost
    final List<JournaledAttempt> attempts = new ArrayList<>(1);
    RequestLog.Answer answer;
    long answeredUs;
    long closedUs;                                   // when a later life found it open
    int firstBlock = -1;                             // where the segment being written or read tells of it first
    String instance = "";
    String className = "";
    String plan = "";

    JournaledRequest(long life, long number) {
        this.life = life;
        this.number = number;
    }

    /** The strongest that can be said of any attempt. */
    State state() {
        State most = State.NEVER_SENT;
        for (JournaledAttempt one : attempts) {
            State state = one.state();
            if (state.compareTo(most) > 0) { most = state; }
        }
        return most;
    }

    /** The attempt that {@link #state} speaks of; null where there is none. */
    JournaledAttempt strongest() {
        JournaledAttempt most = null;
        for (JournaledAttempt one : attempts) {
            if (most == null || one.state().compareTo(most.state()) >= 0) { most = one; }
        }
        return most;
    }

    /** Whether nothing more can be told of it: it has its answer and no attempt is out. */
    boolean isOver() {
        if (closedUs > 0) { return true; }
        if (answer == null) { return false; }
        for (JournaledAttempt one : attempts) {
            if (one.outcome == null) { return false; }
        }
        return true;
    }

    /** Whether its end is lost: a later life closed it, and an attempt may have run with no word of how it ended. */
    boolean isUnknown() {
        return closedUs > 0 && attempts.stream().anyMatch(one -> one.outcome == null);
    }

    JournaledAttempt attempt(int number) {
        for (JournaledAttempt one : attempts) {
            if (one.attempt == number) { return one; }
        }
        JournaledAttempt one = new JournaledAttempt(number);
        attempts.add(one);
        return one;
    }

    /** The earliest time that any record gives. */
    long firstUs() {
        if (acceptedUs > 0) { return acceptedUs; }
        long first = answeredUs > 0 ? answeredUs : closedUs;
        for (JournaledAttempt one : attempts) {
            for (long at : new long[] {one.intendedUs, one.writtenUs, one.endedUs}) {
                if (at > 0 && (first == 0 || at < first)) { first = at; }
            }
        }
        return first;
    }
}

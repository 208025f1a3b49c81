package yardusher.journal;

import java.util.ArrayList;
import java.util.List;
import yardusher.Api;
import yardusher.core.RequestLog;

/** The state of one request as the journal records it. Written by {@link RequestTable}; readers must not change it. */
final class JournaledRequest {
    /** What is known of a request or of one attempt, from the weakest to the strongest statement. */
    enum State {
        NEVER_SENT("never sent"), REFUSED("refused by the region"), INTENDED("intended, may have been sent"),
        SENT("sent"), ANSWERED("answered");

        final String text;

        State(String text) { this.text = text; }

        /** The state's name on the command line. */
        String flag() { return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-'); }
    }

    /** One attempt. A time of 0: the event has not happened, or its record was lost. */
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
    Entry.RequestFacts facts;                        // null if every record that holds it was lost
    final List<JournaledAttempt> attempts = new ArrayList<>(1);
    RequestLog.Answer answer;
    long answeredUs;
    long closedUs;                                   // when a later life found the request open
    int firstBlock = -1;                             // the first block of the current segment that mentions the request
    String instance = "";
    String className = "";
    String plan = "";

    JournaledRequest(long life, long number) {
        this.life = life;
        this.number = number;
    }

    /** The strongest state of any attempt. */
    State state() {
        State most = State.NEVER_SENT;
        for (JournaledAttempt one : attempts) {
            State state = one.state();
            if (state.compareTo(most) > 0) { most = state; }
        }
        return most;
    }

    /** The attempt that {@link #state} refers to; null if there is none. */
    JournaledAttempt strongest() {
        JournaledAttempt most = null;
        for (JournaledAttempt one : attempts) {
            if (most == null || one.state().compareTo(most.state()) >= 0) { most = one; }
        }
        return most;
    }

    /** Whether no further records can follow: the request is answered and no attempt is in flight. */
    boolean isOver() {
        if (closedUs > 0) { return true; }
        if (answer == null) { return false; }
        for (JournaledAttempt one : attempts) {
            if (one.outcome == null) { return false; }
        }
        return true;
    }

    /** Whether the result is lost: a later life closed the request, and the outcome of an attempt that may have run is not known. */
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

    /** The earliest time in any record. */
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

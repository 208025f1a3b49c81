package yardusher.cli;

import java.util.Locale;
import java.util.function.DoubleSupplier;
import yardusher.Api;
import yardusher.core.AnswerState;
import yardusher.core.Attempt;
import yardusher.core.Request;
import yardusher.core.RequestTrace;
import yardusher.log.Events;
import yardusher.log.RateLimitedEvents;

/** Logs what happened to single requests, at most some lines a second. */
final class RequestEvents implements RequestTrace {
    private static final int MAX_LINES_PER_SECOND = 5;

    private final RateLimitedEvents events;
    private final RateLimitedEvents givenUp;         // of its own, so that refusals and failures don't crowd it out
    private final DoubleSupplier clock;

    RequestEvents(Events events, DoubleSupplier clock) {
        this.events = new RateLimitedEvents(events, clock, MAX_LINES_PER_SECOND);
        givenUp = new RateLimitedEvents(events, clock, MAX_LINES_PER_SECOND);
        this.clock = clock;
    }

    @Override
    public void attemptFailed(Attempt attempt, Api.Outcome outcome) {
        if (!events.admits()) { return; }
        events.warn("attempt without an answer", "id", id(attempt.request), "attempt", attempt.number, "backend", attempt.backend, "outcome",
                outcome.label(), "sent", attempt.mayHaveBeenSent(), "after_ms", Math.round(clock.getAsDouble() - attempt.sentAtMs));
    }

    @Override
    public void attemptGivenUp(Attempt attempt) {
        if (!givenUp.admits()) { return; }
        AnswerState answer = attempt.answer();
        double nowMs = clock.getAsDouble();
        givenUp.warn("attempt given up", "id", id(attempt.request), "attempt", attempt.number, "backend", attempt.backend, "reason",
                answer.giveUpReason().label(), "answer", answer.stage().name().toLowerCase(Locale.ROOT), "received_bytes", answer.receivedBytes(),
                "announced_bytes", answer.announcedBytes(), "after_ms", Math.round(nowMs - attempt.sentAtMs), "first_byte_ms",
                sinceSent(attempt, answer.firstByteAtMs()), "last_byte_ms", sinceSent(attempt, answer.lastByteAtMs()), "left_ms",
                Math.round(attempt.request.deadlineMs - nowMs), "command_out", answer.isCommandOut(), "longest_pause_ms",
                Math.round(answer.longestPauseMs()));
    }

    /** Milliseconds from the sending to a moment of the answer; -1 if it has not begun. */
    private static long sinceSent(Attempt attempt, double atMs) { return attempt.answer().hasBegun() ? Math.round(atMs - attempt.sentAtMs) : -1; }

    @Override
    public void refused(Request request, Api.Reason reason) { ended("request refused", request, reason.label()); }

    @Override
    public void failed(Request request, String reason) { ended("request failed", request, reason); }

    private void ended(String text, Request request, String reason) {
        if (!events.admits()) { return; }
        events.warn(text, "id", id(request), "reason", reason, "attempts", request.attempts(), "after_ms",
                Math.round(clock.getAsDouble() - request.arrivedAtMs));
    }

    private static String id(Request request) { return String.format("%016x", request.incoming().command().id()); }
}

package yardusher.core;

import java.nio.ByteBuffer;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import yardusher.Api;

/** Fourth stage: sends the attempt and schedules its timeout, which its request's time replaces once its answer has begun. */
final class DispatchStage {
    private final EventLoop loop;
    private final Backends backends;
    private final Counters counters;
    private final RequestLog log;
    private final Consumer<Request> onUnrecorded;
    private final BiConsumer<Attempt, Attempt.Result> onEnded;

    /** {@code onUnrecorded} is called with a request whose attempt must not be sent because its intent could not be recorded. */
    DispatchStage(EventLoop loop, Backends backends, Counters counters, RequestLog log, Consumer<Request> onUnrecorded,
            BiConsumer<Attempt, Attempt.Result> onEnded) {
        this.log = log;
        this.onUnrecorded = onUnrecorded;
        this.loop = loop;
        this.backends = backends;
        this.counters = counters;
        this.onEnded = onEnded;
    }

    void send(Request request, long backend, double timeoutMs) {
        double nowMs = loop.now();
        double waitMs = Math.max(1, Math.min(timeoutMs > 0 ? timeoutMs : Double.MAX_VALUE, request.deadlineMs - nowMs));
        Attempt attempt = new Attempt(request, request.attemptCount++, backend, nowMs, (long) Math.ceil(waitMs));
        if (!request.state.park(attempt.number)) { return; }
        request.newestAttempt = attempt;
        counters.attempts++;
        counters.repeatAttempts += attempt.number > 0 ? 1 : 0;
        attempt.timeoutEntry = loop.deadlines().schedule(nowMs + waitMs, () -> expire(attempt));
        if (!request.recorded) {
            begin(attempt, attempt.waitMs);
            return;
        }
        log.recordIntent(attempt, mayBeSent -> {
            if (attempt.isOver()) { return; }        // cancelled while it was parked
            if (!mayBeSent) {
                onUnrecorded.accept(request);
            } else if (!backends.isAvailable(backend)) { // removed from the service table while it was parked
                onEnded.accept(attempt, Attempt.Result.of(Api.Outcome.NOT_SENT));
            } else {
                begin(attempt, (long) Math.max(1, Math.ceil(nowMs + waitMs - loop.now())));
            }
        });
    }

    private void begin(Attempt attempt, long waitMs) {
        if (!attempt.request.state.beginAttempt(attempt.number)) { // no attempt starts after the request's end
            onEnded.accept(attempt, Attempt.Result.of(Api.Outcome.NOT_SENT));
            return;
        }
        ByteBuffer[] command = attempt.request.incoming.command().encoded(waitMs);
        for (ByteBuffer part : command) { attempt.commandBytes += part.remaining(); }
        backends.start(attempt, command);
    }

    private void expire(Attempt attempt) {
        if (attempt.isOver() || attempt.answer().isPassedOn()) { return; } // a value that is passed on has limits of its own
        Request request = attempt.request;
        double deadlineMs = attempt.answer().hasBegun() ? request.answerDeadlineMs : request.deadlineMs;
        if (loop.now() >= deadlineMs) {
            endExpired(attempt, GiveUpReason.REQUEST_TIME);
        } else if (attempt.answer().hasBegun()) {
            attempt.timeoutEntry = loop.deadlines().schedule(deadlineMs, () -> expire(attempt));
        } else {
            backends.onceInputIsHandled(() -> endUnlessBegun(attempt)); // the first byte may lie unread while this process is held up
        }
    }

    private void endUnlessBegun(Attempt attempt) {
        if (attempt.isOver()) { return; }
        if (attempt.answer().hasBegun()) {
            expire(attempt);
        } else {
            endExpired(attempt, GiveUpReason.NO_ANSWER);
        }
    }

    private void endExpired(Attempt attempt, GiveUpReason reason) {
        attempt.giveUp(reason);
        // An attempt that was never handed to a socket cannot have run. If it was still waiting for its record, the backend
        // must not be counted as unreachable.
        Api.Outcome outcome = expiredOutcome(attempt);
        attempt.abort.run();
        onEnded.accept(attempt, Attempt.Result.of(outcome));
    }

    private static Api.Outcome expiredOutcome(Attempt attempt) {
        if (attempt.request.state.isParked(attempt.number)) { return Api.Outcome.NOT_SENT; }
        boolean local = attempt.heldUpLocally.getAsBoolean();
        if (attempt.mayHaveBeenSent()) { return local ? Api.Outcome.LOCAL_LOSS : Api.Outcome.TIMED_OUT; }
        return local ? Api.Outcome.LOCAL_FAILURE : Api.Outcome.CONNECT_FAILED;
    }
}

package yardusher.core;

import java.nio.ByteBuffer;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import yardusher.Api;

/** Fourth stage, send: the attempt goes out, and its time-out stands among the deadlines. */
final class DispatchStage {
    private final EventLoop loop;
    private final Backends backends;
    private final Counters counters;
    private final RequestLog log;
    private final Consumer<Request> onUnrecorded;
    private final BiConsumer<Attempt, Attempt.Result> onEnded;

    /** {@code unrecorded} is told of a request whose attempt may not go out since its intent has no record. */
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
            if (attempt.isOver()) { return; }        // given up while it was parked
            if (!mayBeSent) {
                onUnrecorded.accept(request);
            } else if (!backends.isAvailable(backend)) {     // left the service table while it was parked
                onEnded.accept(attempt, Attempt.Result.of(Api.Outcome.NOT_SENT));
            } else {
                begin(attempt, (long) Math.max(1, Math.ceil(nowMs + waitMs - loop.now())));
            }
        });
    }

    private void begin(Attempt attempt, long waitMs) {
        if (!attempt.request.state.beginAttempt(attempt.number)) { // nothing of it begins after the request's end
            onEnded.accept(attempt, Attempt.Result.of(Api.Outcome.NOT_SENT));
            return;
        }
        ByteBuffer[] command = attempt.request.incoming.command().encoded(waitMs);
        for (ByteBuffer part : command) { attempt.commandBytes += part.remaining(); }
        backends.start(attempt, command);
    }

    private void expire(Attempt attempt) {
        if (attempt.isOver()) { return; }
        // What was never handed to a socket cannot have run. Guards a backend against blame for what waited for its record here.
        Api.Outcome neverSent = attempt.request.state.isParked(attempt.number) ? Api.Outcome.NOT_SENT : Api.Outcome.CONNECT_FAILED;
        Api.Outcome outcome = attempt.mayHaveBeenSent() ? Api.Outcome.TIMED_OUT : neverSent;
        attempt.abort.run();
        onEnded.accept(attempt, Attempt.Result.of(outcome));
    }
}

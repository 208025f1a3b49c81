package yardusher.core;

import java.nio.ByteBuffer;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import yardusher.Api;

/** Fourth stage: sends the attempt and schedules its timeout. */
final class Dispatch {
    private final EventLoop loop;
    private final Backends backends;
    private final Counters counters;
    private final OrderLog log;
    private final Consumer<Request> unrecorded;
    private final BiConsumer<Attempt, Attempt.Result> ended;

    /** {@code onUnrecorded} is called with a request whose attempt must not be sent because its intent could not be recorded */
    Dispatch(EventLoop loop, Backends backends, Counters counters, OrderLog log, Consumer<Request> unrecorded,
            BiConsumer<Attempt, Attempt.Result> ended) {
        this.log = log;
        this.unrecorded = unrecorded;
        this.loop = loop;
        this.backends = backends;
        this.counters = counters;
        this.ended = ended;
    }

    void send(Request t, long backend, double timeoutMs) {
        double now = loop.now();
        double wait = Math.max(1, Math.min(timeoutMs > 0 ? timeoutMs : Double.MAX_VALUE, t.deadline - now));
        Attempt attempt = new Attempt(t, t.attempts++, backend, now, (long) Math.ceil(wait));
        if (!t.course.park(attempt.number)) { return; }
        t.attempt = attempt;
        counters.attempts++;
        counters.further += attempt.number > 0 ? 1 : 0;
        attempt.timeOut = loop.deadlines().at(now + wait, () -> expire(attempt));
        if (!t.recorded) {
            begin(attempt, attempt.waitMs);
            return;
        }
        log.intend(attempt, may -> {
            if (attempt.isOver()) { return; }        // cancelled while it was parked
            if (!may) {
                unrecorded.accept(t);
            } else if (!backends.knows(backend)) {     // removed from the service table while it was parked
                ended.accept(attempt, Attempt.Result.of(Api.Outcome.NOT_SENT));
            } else {
                begin(attempt, (long) Math.max(1, Math.ceil(now + wait - loop.now())));
            }
        });
    }

    private void begin(Attempt attempt, long waitMs) {
        if (!attempt.request.course.begin(attempt.number)) { // no attempt starts after the request's end
            ended.accept(attempt, Attempt.Result.of(Api.Outcome.NOT_SENT));
            return;
        }
        ByteBuffer[] command = attempt.request.order.cargo().encoded(waitMs);
        for (ByteBuffer part : command) { attempt.bytes += part.remaining(); }
        backends.begin(attempt, command);
    }

    private void expire(Attempt attempt) {
        if (attempt.isOver()) { return; }
        // An attempt that was never handed to a socket cannot have run. If it was still waiting for its record, the backend
        // must not be counted as unreachable.
        Api.Outcome never = attempt.request.course.isParked(attempt.number) ? Api.Outcome.NOT_SENT : Api.Outcome.CONNECT_FAILED;
        Api.Outcome outcome = attempt.mayHaveGone() ? Api.Outcome.TIMED_OUT : never;
        attempt.giveUp.run();
        ended.accept(attempt, Attempt.Result.of(outcome));
    }
}

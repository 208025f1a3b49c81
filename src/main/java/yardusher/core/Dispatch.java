package yardusher.core;

import java.util.function.BiConsumer;
import java.util.function.Consumer;
import yardusher.Api;

/** Fourth stage, send: the attempt goes out, and its time-out stands among the deadlines. */
final class Dispatch {
    private final Turns turns;
    private final Regions regions;
    private final Counters counters;
    private final OrderLog log;
    private final Consumer<Transaction> unrecorded;
    private final BiConsumer<Attempt, Attempt.Result> ended;

    /** {@code unrecorded} is told of a transaction whose attempt may not go out since its intent has no record. */
    Dispatch(Turns turns, Regions regions, Counters counters, OrderLog log, Consumer<Transaction> unrecorded,
            BiConsumer<Attempt, Attempt.Result> ended) {
        this.log = log;
        this.unrecorded = unrecorded;
        this.turns = turns;
        this.regions = regions;
        this.counters = counters;
        this.ended = ended;
    }

    void send(Transaction t, long region, double timeoutMs) {
        double now = turns.now();
        double wait = Math.max(1, Math.min(timeoutMs > 0 ? timeoutMs : Double.MAX_VALUE, t.deadline - now));
        Attempt attempt = new Attempt(t, t.attempts++, region, now, (long) Math.ceil(wait));
        t.attempt = attempt;
        counters.attempts++;
        counters.further += attempt.number > 0 ? 1 : 0;
        attempt.timeOut = turns.deadlines().at(now + wait, () -> expire(attempt));
        if (!t.recorded) {
            begin(attempt, attempt.waitMs);
            return;
        }
        log.intend(attempt, may -> {
            if (attempt.over) { return; }            // given up while it was parked
            if (!may) {
                unrecorded.accept(t);
            } else if (!regions.knows(region)) {     // left the service table while it was parked
                ended.accept(attempt, Attempt.Result.of(Api.Outcome.NOT_SENT));
            } else {
                begin(attempt, (long) Math.max(1, Math.ceil(now + wait - turns.now())));
            }
        });
    }

    private void begin(Attempt attempt, long waitMs) {
        attempt.begun = true;
        regions.begin(attempt, attempt.transaction.order.cargo().encoded(waitMs));
    }

    private void expire(Attempt attempt) {
        if (attempt.over) { return; }
        // What was never written whole cannot have run, so it may be refused or go elsewhere.
        Api.Outcome outcome = attempt.written ? Api.Outcome.TIMED_OUT : Api.Outcome.CONNECT_FAILED;
        attempt.giveUp.run();
        ended.accept(attempt, Attempt.Result.of(outcome));
    }
}

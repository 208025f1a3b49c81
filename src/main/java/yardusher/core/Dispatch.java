package yardusher.core;

import java.util.function.BiConsumer;
import yardusher.Api;

/** Fourth stage, send: the attempt goes out, and its time-out stands among the deadlines. */
final class Dispatch {
    private final Turns turns;
    private final Regions regions;
    private final Counters counters;
    private final BiConsumer<Attempt, Attempt.Result> ended;

    Dispatch(Turns turns, Regions regions, Counters counters, BiConsumer<Attempt, Attempt.Result> ended) {
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
        attempt.timeOut = turns.deadlines().at(now + wait, () -> expire(attempt));
        regions.begin(attempt, t.order.cargo().encoded(attempt.waitMs));
    }

    private void expire(Attempt attempt) {
        if (attempt.over) { return; }
        // What was never written whole cannot have run, so it may be refused or go elsewhere.
        Api.Outcome outcome = attempt.written ? Api.Outcome.TIMED_OUT : Api.Outcome.CONNECT_FAILED;
        attempt.giveUp.run();
        ended.accept(attempt, Attempt.Result.of(outcome));
    }
}

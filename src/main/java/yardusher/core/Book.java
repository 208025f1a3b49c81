package yardusher.core;

import java.util.Map;

/** Last stage: attempts and transactions that are over leave the books. */
final class Book {
    private final Turns turns;
    private final Map<Long, Transaction> open;
    private final Counters counters;
    private final OrderLog log;

    Book(Turns turns, Map<Long, Transaction> open, Counters counters, OrderLog log) {
        this.log = log;
        this.turns = turns;
        this.open = open;
        this.counters = counters;
    }

    void attempt(Attempt attempt, Attempt.Result result) {
        attempt.over = true;
        attempt.transaction.mayHaveRun |= !result.outcome().neverRan();
        counters.outcomes[result.outcome().ordinal()]++;
        turns.deadlines().cancel(attempt.timeOut);
        if (attempt.transaction.recorded) { log.ended(attempt, result.outcome()); }
    }

    void close(Transaction t) {
        if (open.remove(t.number) != null) { turns.deadlines().cancel(t.lastCall); }
    }
}

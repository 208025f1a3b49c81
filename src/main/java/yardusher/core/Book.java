package yardusher.core;

import java.util.Map;

/** Last stage: removes ended attempts and closed requests, with their deadlines and counts. */
final class Book {
    private final EventLoop loop;
    private final Map<Long, Request> open;
    private final Counters counters;
    private final OrderLog log;

    Book(EventLoop loop, Map<Long, Request> open, Counters counters, OrderLog log) {
        this.log = log;
        this.loop = loop;
        this.open = open;
        this.counters = counters;
    }

    /** Records the end of an attempt. */
    void attempt(Attempt attempt, Attempt.Result result) {
        counters.outcomes[result.outcome().ordinal()]++;
        loop.deadlines().cancel(attempt.timeOut);
        if (attempt.request.recorded) { log.ended(attempt, result.outcome()); }
    }

    void close(Request t) {
        if (open.remove(t.number) != null) { loop.deadlines().cancel(t.lastCall); }
    }
}

package yardusher.core;

import java.util.Map;
import java.util.function.Consumer;

/** First stage: an order becomes a request with a deadline, held until its one final answer. */
final class TakeIn {
    private final EventLoop loop;
    private final Map<Long, Request> open;
    private final Counters counters;
    private final Consumer<Request> leaves;
    private long last;

    TakeIn(EventLoop loop, Map<Long, Request> open, Counters counters, Consumer<Request> leaves) {
        this.leaves = leaves;
        this.loop = loop;
        this.open = open;
        this.counters = counters;
    }

    Request take(Order order, Runnable atDeadline, double graceMs) {
        Request request = new Request(++last, order, loop.now(), leaves);
        open.put(request.number, request);
        counters.takenIn++;
        request.lastCall = loop.deadlines().at(request.deadline + graceMs, atDeadline);
        return request;
    }
}

package yardusher.core;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import yardusher.Api;

/** First stage: creates the request with its deadline and keeps it until its one final answer. */
final class TakeIn {
    private final EventLoop loop;
    private final Map<Long, Request> open;
    private final Counters counters;
    private final Consumer<Request> leaves;
    private final List<Api.RequestClass> classes;
    private long last;

    TakeIn(EventLoop loop, List<Api.RequestClass> classes, Map<Long, Request> open, Counters counters, Consumer<Request> leaves) {
        this.classes = classes;
        this.leaves = leaves;
        this.loop = loop;
        this.open = open;
        this.counters = counters;
    }

    Request take(Order order, Runnable atDeadline, double graceMs) {
        Request request = new Request(++last, order, classes.get(order.classIndex()), loop.now(), leaves);
        open.put(request.number, request);
        counters.takenIn++;
        request.lastCall = loop.deadlines().at(request.deadline + graceMs, atDeadline);
        return request;
    }
}

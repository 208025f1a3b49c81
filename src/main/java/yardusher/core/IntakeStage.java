package yardusher.core;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import yardusher.Api;

/** First stage: creates the request with its deadline and keeps it until its one final answer. */
final class IntakeStage {
    private final EventLoop loop;
    private final Map<Long, Request> openRequests;
    private final Counters counters;
    private final Consumer<Request> onTerminalLeft;
    private final List<Api.RequestClass> classes;
    private long lastNumber;

    IntakeStage(EventLoop loop, List<Api.RequestClass> classes, Map<Long, Request> openRequests, Counters counters,
            Consumer<Request> onTerminalLeft) {
        this.classes = classes;
        this.onTerminalLeft = onTerminalLeft;
        this.loop = loop;
        this.openRequests = openRequests;
        this.counters = counters;
    }

    Request accept(IncomingRequest incoming, Runnable atDeadline, double graceMs) {
        Request request = new Request(++lastNumber, incoming, classes.get(incoming.classIndex()), loop.now(), onTerminalLeft);
        openRequests.put(request.number, request);
        counters.accepted++;
        request.deadlineEntry = loop.deadlines().schedule(request.answerDeadlineMs + graceMs, atDeadline);
        return request;
    }
}

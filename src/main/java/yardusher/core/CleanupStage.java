package yardusher.core;

import java.util.Map;

/** Last stage: attempts and requests that are over leave the books. */
final class CleanupStage {
    private final EventLoop loop;
    private final Map<Long, Request> openRequests;
    private final Counters counters;
    private final RequestLog log;

    CleanupStage(EventLoop loop, Map<Long, Request> openRequests, Counters counters, RequestLog log) {
        this.log = log;
        this.loop = loop;
        this.openRequests = openRequests;
        this.counters = counters;
    }

    /** An attempt that has just ended. */
    void attemptEnded(Attempt attempt, Attempt.Result result) {
        counters.attemptsByOutcome[result.outcome().ordinal()]++;
        loop.deadlines().cancel(attempt.timeoutEntry);
        if (attempt.request.recorded) { log.attemptEnded(attempt, result.outcome()); }
    }

    void closeRequest(Request request) {
        if (openRequests.remove(request.number) != null) { loop.deadlines().cancel(request.deadlineEntry); }
    }
}

package yardusher.core;

/** Fifth stage: the one final answer goes to the terminal. */
final class ResponseStage {
    private final Counters counters;
    private final RequestLog log;

    ResponseStage(Counters counters, RequestLog log) {
        this.counters = counters;
        this.log = log;
    }

    void served(Request request, byte[] value) {
        if (recordAnswer(request, RequestLog.Answer.SERVED)) {
            counters.served[request.incoming.classIndex()]++;
            if (request.stream != null) { request.stream.end(); } else { request.incoming.terminal().served(value); }
        }
    }

    /** A value that was passed on in part cannot be finished. */
    void streamFailed(Request request) {
        if (recordAnswer(request, RequestLog.Answer.FAILED)) {
            counters.failed[request.incoming.classIndex()]++;
            request.stream.fail();
        }
    }

    void reject(Request request, double retryAfterMs) {
        if (recordAnswer(request, RequestLog.Answer.REJECTED)) {
            counters.refused[request.incoming.classIndex()]++;
            request.incoming.terminal().reject((long) Math.ceil(retryAfterMs), request.state.endedAttemptMayHaveRun());
        }
    }

    void failed(Request request, String why) {
        if (recordAnswer(request, RequestLog.Answer.FAILED)) {
            counters.failed[request.incoming.classIndex()]++;
            request.incoming.terminal().failed(why, request.mayHaveRun());
        }
    }

    /** Guards against a second final answer, and one to a terminal that has left. */
    private boolean recordAnswer(Request request, RequestLog.Answer answer) {
        boolean first = request.state.answer();
        counters.duplicateAnswers += !first && request.state.stage() == RequestState.Stage.ANSWERED ? 1 : 0;
        if (first && request.recorded) { log.answered(request, answer); }
        return first;
    }
}

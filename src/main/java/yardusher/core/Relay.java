package yardusher.core;

/** Fifth stage: sends the one final answer to the terminal. */
final class Relay {
    private final Counters counters;
    private final OrderLog log;

    Relay(Counters counters, OrderLog log) {
        this.counters = counters;
        this.log = log;
    }

    void served(Request t, byte[] value) {
        if (first(t, OrderLog.Answer.SERVED)) {
            counters.served[t.order.classIndex()]++;
            if (t.flow != null) { t.flow.end(); } else { t.order.terminal().served(value); }
        }
    }

    /** A value that was streamed in part cannot be completed. */
    void broken(Request t) {
        if (first(t, OrderLog.Answer.FAILED)) {
            counters.failed[t.order.classIndex()]++;
            t.flow.broken();
        }
    }

    void reject(Request t, double retryAfterMs) {
        if (first(t, OrderLog.Answer.REJECTED)) {
            counters.refused[t.order.classIndex()]++;
            t.order.terminal().reject((long) Math.ceil(retryAfterMs), t.course.mayHaveRunBefore());
        }
    }

    void failed(Request t, String why) {
        if (first(t, OrderLog.Answer.FAILED)) {
            counters.failed[t.order.classIndex()]++;
            t.order.terminal().failed(why, t.mayHaveRun());
        }
    }

    /** Prevents a second final answer, and an answer to a terminal that has left. */
    private boolean first(Request t, OrderLog.Answer answer) {
        boolean first = t.course.answer();
        counters.answersSecond += !first && t.course.stage() == Course.Stage.ANSWERED ? 1 : 0;
        if (first && t.recorded) { log.answered(t, answer); }
        return first;
    }
}

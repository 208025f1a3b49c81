package yardusher.core;

/** Fifth stage: the one final answer goes to the terminal. */
final class Relay {
    private final Counters counters;

    Relay(Counters counters) { this.counters = counters; }

    void served(Transaction t, byte[] value) {
        if (first(t)) {
            counters.served++;
            t.order.terminal().served(value);
        }
    }

    void shortOnCapacity(Transaction t, double retryAfterMs) {
        if (first(t)) {
            counters.refused++;
            t.order.terminal().shortOnCapacity((long) Math.ceil(retryAfterMs), t.mayHaveRun);
        }
    }

    void failed(Transaction t, String why) {
        if (first(t)) {
            counters.failed++;
            t.order.terminal().failed(why);
        }
    }

    /** Guards against a second final answer, and one to a terminal that has left. */
    private static boolean first(Transaction t) {
        boolean first = !t.answered && !t.gone;
        t.answered = true;
        return first;
    }
}

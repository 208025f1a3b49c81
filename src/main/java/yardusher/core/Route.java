package yardusher.core;

/** Third stage: checks whether the next attempt can be sent to the backend that the module chose. */
final class Route {
    private final Backends backends;
    private final int maxAttempts;

    Route(Backends backends, int maxAttempts) {
        this.backends = backends;
        this.maxAttempts = maxAttempts;
    }

    boolean open(Request t, long backend, double now) {
        // Two attempts of a request must never be active at the same time.
        boolean alone = !t.course.isOut();
        return alone && t.course.stage() == Course.Stage.OPEN && t.attempts < maxAttempts && now < t.deadline && backends.knows(backend);
    }
}

package yardusher.core;

/** Third stage: whether the backend that the module names can get this request's next attempt. */
final class Route {
    private final Backends backends;
    private final int maxAttempts;

    Route(Backends backends, int maxAttempts) {
        this.backends = backends;
        this.maxAttempts = maxAttempts;
    }

    boolean open(Request t, long backend, double now) {
        // Guards against a second copy: never two attempts of a request out at once.
        boolean alone = !t.course.isOut();
        return alone && t.course.stage() == Course.Stage.OPEN && t.attempts < maxAttempts && now < t.deadline && backends.knows(backend);
    }
}

package yardusher.core;

/** Third stage: whether the backend that the module names can get this request's next attempt. */
final class RoutingStage {
    private final Backends backends;
    private final int maxAttempts;

    RoutingStage(Backends backends, int maxAttempts) {
        this.backends = backends;
        this.maxAttempts = maxAttempts;
    }

    boolean canSend(Request request, long backend, double nowMs) {
        // Guards against a second copy: never two attempts of a request out at once.
        boolean noActiveAttempt = !request.state.isAttemptActive();
        return noActiveAttempt && request.state.stage() == RequestState.Stage.OPEN && request.attemptCount < maxAttempts && nowMs < request.deadlineMs && backends.isAvailable(backend);
    }
}

package yardusher.core;

/** Third stage: checks whether the next attempt can be sent to the backend that the module chose. */
final class RoutingStage {
    private final Backends backends;
    private final int maxAttempts;

    RoutingStage(Backends backends, int maxAttempts) {
        this.backends = backends;
        this.maxAttempts = maxAttempts;
    }

    boolean canSend(Request request, long backend, double nowMs) {
        // Two attempts of a request must never be active at the same time.
        boolean noActiveAttempt = !request.state.isAttemptActive();
        return noActiveAttempt && !request.incoming.terminal().mayHaveLeft() && request.state.stage() == RequestState.Stage.OPEN && request.attemptCount < maxAttempts
                && nowMs < request.deadlineMs && backends.isAvailable(backend);
    }
}

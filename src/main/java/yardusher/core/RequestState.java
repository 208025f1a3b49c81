package yardusher.core;

import yardusher.Api;

/**
 * The state machine of a request and its attempts, without I/O and clock. Times are in milliseconds of one clock that never
 * goes back. A request is open until its one final answer or until its client leaves, whichever comes first; no attempt starts
 * after that. At most one attempt is active at a time, and each ends once. Methods that perform a transition return whether it
 * was performed; if not, nothing has changed.
 */
final class RequestState {
    /** State of the request. STREAMING: a large value is being streamed, and no other attempt may follow. */
    enum Stage { OPEN, STREAMING, ANSWERED, GONE }

    /**
     * State of the newest attempt. PARKED: its intent is not recorded yet; BEGUN: passed to the backend side; HANDED: handed
     * to a socket.
     */
    private enum AttemptStage { NONE, PARKED, BEGUN, HANDED }

    private final Api.Effect effect;
    private final double windowMs;
    private final double deadlineMs;
    private Stage stage = Stage.OPEN;
    private AttemptStage attemptStage = AttemptStage.NONE;
    private int newestAttempt = -1;                  // number of the newest attempt
    private double handedAtMs;
    private boolean mayHaveRun;
    private double mayHaveRunSinceMs;                // when the first attempt that may have run was handed to a socket

    RequestState(Api.RequestClass requestClass, double deadlineMs) {
        effect = requestClass.effect();
        windowMs = requestClass.windowMs();
        this.deadlineMs = deadlineMs;
    }

    Stage stage() { return stage; }

    /** Whether the request needs no further answer. */
    boolean isOver() { return stage == Stage.ANSWERED || stage == Stage.GONE; }

    /** Whether an attempt is active, from its parking to its end. */
    boolean isAttemptActive() { return attemptStage != AttemptStage.NONE; }

    boolean isActive(int attempt) { return attemptStage != AttemptStage.NONE && attempt == newestAttempt; }

    boolean isParked(int attempt) { return attemptStage == AttemptStage.PARKED && attempt == newestAttempt; }

    boolean isHanded(int attempt) { return attemptStage == AttemptStage.HANDED && attempt == newestAttempt; }

    /** Whether an attempt may have run, or is with a socket and may still run. */
    boolean mayHaveRun() { return mayHaveRun || attemptStage == AttemptStage.HANDED; }

    /** Whether an attempt that has ended may have run. */
    boolean endedAttemptMayHaveRun() { return mayHaveRun; }

    /** Parks a new attempt; its number must be higher than those before. */
    boolean park(int attempt) {
        if (stage != Stage.OPEN || attemptStage != AttemptStage.NONE || attempt <= newestAttempt) { return false; }
        newestAttempt = attempt;
        attemptStage = AttemptStage.PARKED;
        return true;
    }

    /** Passes a parked attempt to the backend side. */
    boolean beginAttempt(int attempt) {
        if (stage != Stage.OPEN || attempt != newestAttempt || attemptStage != AttemptStage.PARKED) { return false; }
        attemptStage = AttemptStage.BEGUN;
        return true;
    }

    /**
     * The attempt's bytes are handed to a socket: from here on it may have run. The repeat rules are checked at this moment,
     * since an attempt that was chosen in time may since have waited for its record or for a connection.
     */
    boolean handToSocket(int attempt, double nowMs) {
        if (stage != Stage.OPEN || attempt != newestAttempt || attemptStage != AttemptStage.BEGUN || nowMs >= deadlineMs
                || !mayRepeat(nowMs)) { return false; }
        attemptStage = AttemptStage.HANDED;
        handedAtMs = nowMs;
        return true;
    }

    private boolean mayRepeat(double nowMs) {
        return !mayHaveRun || effect == Api.Effect.IDEMPOTENT || effect == Api.Effect.DEDUPLICATED && nowMs - mayHaveRunSinceMs < windowMs;
    }

    /** The write of an attempt failed: its last byte was never accepted. */
    void writeFailed(int attempt) {
        if (isHanded(attempt)) { attemptStage = AttemptStage.BEGUN; }
    }

    /** Ends an attempt. An attempt that was never handed to a socket never ran, whatever its outcome. */
    boolean endAttempt(int attempt, Api.Outcome outcome) {
        if (!isActive(attempt)) { return false; }
        if (attemptStage == AttemptStage.HANDED && !outcome.neverRan() && !mayHaveRun) {
            mayHaveRun = true;
            mayHaveRunSinceMs = handedAtMs;
        }
        attemptStage = AttemptStage.NONE;
        return true;
    }

    /** The attempt's answer is too large to be buffered, and streaming begins. */
    boolean beginStreaming(int attempt) {
        if (stage != Stage.OPEN || !isHanded(attempt)) { return false; }
        stage = Stage.STREAMING;
        return true;
    }

    /** The only transition that gives the final answer. */
    boolean answer() {
        if (isOver()) { return false; }
        stage = Stage.ANSWERED;
        return true;
    }

    /** The client has left and gets no answer. */
    boolean abandon() {
        if (isOver()) { return false; }
        stage = Stage.GONE;
        return true;
    }
}

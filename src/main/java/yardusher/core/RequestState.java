package yardusher.core;

import yardusher.Api;

/**
 * Where a request stands, with its attempts: the one owner of that, free of I/O and clock. Times are told in milliseconds of one
 * clock that never goes back. A request is open until its one final answer or its client's leave, whichever is first; nothing of
 * it begins after that. Of its attempts one at the most is out, and each ends once. Every method that may do a thing says
 * whether it was done; false changes nothing.
 */
final class RequestState {
    /** Of the request. PASSING: a large value is being passed on, and no other attempt may follow. */
    enum Stage { OPEN, STREAMING, ANSWERED, GONE }

    /** Of the attempt that is out. PARKED: its intent is not recorded; BEGUN: with the backends' side; HANDED: to a socket. */
    private enum AttemptStage { NONE, PARKED, BEGUN, HANDED }

    private final Api.Effect effect;
    private final double windowMs;
    private final double deadlineMs;
    private Stage stage = Stage.OPEN;
    private AttemptStage attemptStage = AttemptStage.NONE;
    private int newestAttempt = -1;                         // of the newest attempt
    private double handedAtMs;
    private boolean mayHaveRun;
    private double mayHaveRunSinceMs;                            // when the first that may have run was handed over

    RequestState(Api.RequestClass requestClass, double deadlineMs) {
        effect = requestClass.effect();
        windowMs = requestClass.windowMs();
        this.deadlineMs = deadlineMs;
    }

    Stage stage() { return stage; }

    /** Whether nothing is owed any more. */
    boolean isOver() { return stage == Stage.ANSWERED || stage == Stage.GONE; }

    /** Whether an attempt is out, from its parking to its end. */
    boolean isAttemptActive() { return attemptStage != AttemptStage.NONE; }

    boolean isActive(int attempt) { return attemptStage != AttemptStage.NONE && attempt == newestAttempt; }

    boolean isParked(int attempt) { return attemptStage == AttemptStage.PARKED && attempt == newestAttempt; }

    boolean isHanded(int attempt) { return attemptStage == AttemptStage.HANDED && attempt == newestAttempt; }

    /** Whether an attempt may have run, or is out so that it may yet. */
    boolean mayHaveRun() { return mayHaveRun || attemptStage == AttemptStage.HANDED; }

    /** Whether an attempt that ended may have run. */
    boolean endedAttemptMayHaveRun() { return mayHaveRun; }

    /** An attempt is parked, with a number above those before. */
    boolean park(int attempt) {
        if (stage != Stage.OPEN || attemptStage != AttemptStage.NONE || attempt <= newestAttempt) { return false; }
        newestAttempt = attempt;
        attemptStage = AttemptStage.PARKED;
        return true;
    }

    /** A parked attempt goes to the backends' side. */
    boolean beginAttempt(int attempt) {
        if (stage != Stage.OPEN || attempt != newestAttempt || attemptStage != AttemptStage.PARKED) { return false; }
        attemptStage = AttemptStage.BEGUN;
        return true;
    }

    /**
     * Its bytes are handed to a socket: from here on it may have run. Guards the repeat: what was chosen in time may have waited
     * for a record or a dial since, and is counted at this instant.
     */
    boolean handToSocket(int attempt, double nowMs) {
        if (stage != Stage.OPEN || attempt != newestAttempt || attemptStage != AttemptStage.BEGUN || nowMs >= deadlineMs || !mayRepeat(nowMs)) { return false; }
        attemptStage = AttemptStage.HANDED;
        handedAtMs = nowMs;
        return true;
    }

    private boolean mayRepeat(double nowMs) {
        return !mayHaveRun || effect == Api.Effect.IDEMPOTENT || effect == Api.Effect.DEDUPLICATED && nowMs - mayHaveRunSinceMs < windowMs;
    }

    /** The write of an attempt failed: its last byte was never taken. */
    void writeFailed(int attempt) {
        if (isHanded(attempt)) { attemptStage = AttemptStage.BEGUN; }
    }

    /** An attempt ends. What was never handed over never ran, whatever the outcome. */
    boolean endAttempt(int attempt, Api.Outcome outcome) {
        if (!isActive(attempt)) { return false; }
        if (attemptStage == AttemptStage.HANDED && !outcome.neverRan() && !mayHaveRun) {
            mayHaveRun = true;
            mayHaveRunSinceMs = handedAtMs;
        }
        attemptStage = AttemptStage.NONE;
        return true;
    }

    /** The attempt's answer is too large to be held and begins to be passed on. */
    boolean beginStreaming(int attempt) {
        if (stage != Stage.OPEN || !isHanded(attempt)) { return false; }
        stage = Stage.STREAMING;
        return true;
    }

    /** The one transition that gives the final answer. */
    boolean answer() {
        if (isOver()) { return false; }
        stage = Stage.ANSWERED;
        return true;
    }

    /** The client has gone, and is told nothing. */
    boolean abandon() {
        if (isOver()) { return false; }
        stage = Stage.GONE;
        return true;
    }
}

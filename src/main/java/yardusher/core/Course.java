package yardusher.core;

import yardusher.Api;

/**
 * The state machine of a request and its attempts, without I/O and clock. Times are in milliseconds of one clock that never
 * goes back. A request is open until its one final answer or until its client leaves, whichever comes first; no attempt starts
 * after that. At most one attempt is active at a time, and each ends once. Methods that perform a transition return whether it
 * was performed; if not, nothing has changed.
 */
final class Course {
    /** State of the request. PASSING: a large value is being streamed, and no other attempt may follow. */
    enum Stage { OPEN, PASSING, ANSWERED, GONE }

    /**
     * State of the newest attempt. PARKED: its intent is not recorded yet; BEGUN: passed to the backend side; HANDED: written
     * to a socket.
     */
    private enum Out { NONE, PARKED, BEGUN, HANDED }

    private final Api.Effect effect;
    private final double windowMs;
    private final double deadline;
    private Stage stage = Stage.OPEN;
    private Out out = Out.NONE;
    private int number = -1;                         // number of the newest attempt
    private double handedAt;
    private boolean mayHaveRun;
    private double ranAt;                            // when the first attempt that may have run was written to a socket

    Course(Api.RequestClass of, double deadline) {
        effect = of.effect();
        windowMs = of.windowMs();
        this.deadline = deadline;
    }

    Stage stage() { return stage; }

    /** Whether the request needs no further answer. */
    boolean isOver() { return stage == Stage.ANSWERED || stage == Stage.GONE; }

    /** Whether an attempt is active, from its parking to its end. */
    boolean isOut() { return out != Out.NONE; }

    boolean isOut(int attempt) { return out != Out.NONE && attempt == number; }

    boolean isParked(int attempt) { return out == Out.PARKED && attempt == number; }

    boolean isHanded(int attempt) { return out == Out.HANDED && attempt == number; }

    /** Whether an attempt may have run, or is written and may still run. */
    boolean mayHaveRun() { return mayHaveRun || out == Out.HANDED; }

    /** Whether an attempt that has ended may have run. */
    boolean mayHaveRunBefore() { return mayHaveRun; }

    /** Parks a new attempt; its number must be higher than those before. */
    boolean park(int attempt) {
        if (stage != Stage.OPEN || out != Out.NONE || attempt <= number) { return false; }
        number = attempt;
        out = Out.PARKED;
        return true;
    }

    /** Passes a parked attempt to the backend side. */
    boolean begin(int attempt) {
        if (stage != Stage.OPEN || attempt != number || out != Out.PARKED) { return false; }
        out = Out.BEGUN;
        return true;
    }

    /**
     * The attempt's bytes are handed to a socket: from here on it may have run. The repeat rules are checked at this moment,
     * since an attempt that was chosen in time may since have waited for its record or for a connection.
     */
    boolean hand(int attempt, double now) {
        if (stage != Stage.OPEN || attempt != number || out != Out.BEGUN || now >= deadline || !mayRepeat(now)) { return false; }
        out = Out.HANDED;
        handedAt = now;
        return true;
    }

    private boolean mayRepeat(double now) {
        return !mayHaveRun || effect == Api.Effect.IDEMPOTENT || effect == Api.Effect.DEDUPLICATED && now - ranAt < windowMs;
    }

    /** The write of an attempt failed: its last byte was never accepted. */
    void unwritten(int attempt) {
        if (isHanded(attempt)) { out = Out.BEGUN; }
    }

    /** Ends an attempt. An attempt that was never handed to a socket never ran, whatever its outcome. */
    boolean end(int attempt, Api.Outcome outcome) {
        if (!isOut(attempt)) { return false; }
        if (out == Out.HANDED && !outcome.neverRan() && !mayHaveRun) {
            mayHaveRun = true;
            ranAt = handedAt;
        }
        out = Out.NONE;
        return true;
    }

    /** The attempt's answer is too large to be buffered, and streaming begins. */
    boolean pass(int attempt) {
        if (stage != Stage.OPEN || !isHanded(attempt)) { return false; }
        stage = Stage.PASSING;
        return true;
    }

    /** The only transition that gives the final answer. */
    boolean answer() {
        if (isOver()) { return false; }
        stage = Stage.ANSWERED;
        return true;
    }

    /** The client has left and gets no answer. */
    boolean leave() {
        if (isOver()) { return false; }
        stage = Stage.GONE;
        return true;
    }
}

package yardusher.core;

import yardusher.Api;

/**
 * Where a request stands, with its attempts: the one owner of that, free of I/O and clock. Times are told in milliseconds of one
 * clock that never goes back. A request is open until its one final answer or its client's leave, whichever is first; nothing of
 * it begins after that. Of its attempts one at the most is out, and each ends once. Every method that may do a thing says
 * whether it was done; false changes nothing.
 */
final class Course {
    /** Of the request. PASSING: a large value is being passed on, and no other attempt may follow. */
    enum Stage { OPEN, PASSING, ANSWERED, GONE }

    /** Of the attempt that is out. PARKED: its intent is not recorded; BEGUN: with the backends' side; HANDED: to a socket. */
    private enum Out { NONE, PARKED, BEGUN, HANDED }

    private final Api.Effect effect;
    private final double windowMs;
    private final double deadline;
    private Stage stage = Stage.OPEN;
    private Out out = Out.NONE;
    private int number = -1;                         // of the newest attempt
    private double handedAt;
    private boolean mayHaveRun;
    private double ranAt;                            // when the first that may have run was handed over

    Course(Api.RequestClass of, double deadline) {
        effect = of.effect();
        windowMs = of.windowMs();
        this.deadline = deadline;
    }

    Stage stage() { return stage; }

    /** Whether nothing is owed any more. */
    boolean isOver() { return stage == Stage.ANSWERED || stage == Stage.GONE; }

    /** Whether an attempt is out, from its parking to its end. */
    boolean isOut() { return out != Out.NONE; }

    boolean isOut(int attempt) { return out != Out.NONE && attempt == number; }

    boolean isParked(int attempt) { return out == Out.PARKED && attempt == number; }

    boolean isHanded(int attempt) { return out == Out.HANDED && attempt == number; }

    /** Whether an attempt may have run, or is out so that it may yet. */
    boolean mayHaveRun() { return mayHaveRun || out == Out.HANDED; }

    /** Whether an attempt that ended may have run. */
    boolean mayHaveRunBefore() { return mayHaveRun; }

    /** An attempt is parked, with a number above those before. */
    boolean park(int attempt) {
        if (stage != Stage.OPEN || out != Out.NONE || attempt <= number) { return false; }
        number = attempt;
        out = Out.PARKED;
        return true;
    }

    /** A parked attempt goes to the backends' side. */
    boolean begin(int attempt) {
        if (stage != Stage.OPEN || attempt != number || out != Out.PARKED) { return false; }
        out = Out.BEGUN;
        return true;
    }

    /**
     * Its bytes are handed to a socket: from here on it may have run. Guards the repeat: what was chosen in time may have waited
     * for a record or a dial since, and is counted at this instant.
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

    /** The write of an attempt failed: its last byte was never taken. */
    void unwritten(int attempt) {
        if (isHanded(attempt)) { out = Out.BEGUN; }
    }

    /** An attempt ends. What was never handed over never ran, whatever the outcome. */
    boolean end(int attempt, Api.Outcome outcome) {
        if (!isOut(attempt)) { return false; }
        if (out == Out.HANDED && !outcome.neverRan() && !mayHaveRun) {
            mayHaveRun = true;
            ranAt = handedAt;
        }
        out = Out.NONE;
        return true;
    }

    /** The attempt's answer is too large to be held and begins to be passed on. */
    boolean pass(int attempt) {
        if (stage != Stage.OPEN || !isHanded(attempt)) { return false; }
        stage = Stage.PASSING;
        return true;
    }

    /** The one transition that gives the final answer. */
    boolean answer() {
        if (isOver()) { return false; }
        stage = Stage.ANSWERED;
        return true;
    }

    /** The client has gone, and is told nothing. */
    boolean leave() {
        if (isOver()) { return false; }
        stage = Stage.GONE;
        return true;
    }
}

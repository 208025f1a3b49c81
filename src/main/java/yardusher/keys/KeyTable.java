package yardusher.keys;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import yardusher.Api;

/**
 * Decides what becomes of keyed requests at one ingress: who leads a run, who waits for it, and who gets an answer that is
 * held. A key has at most one run, and a run at most one transaction. Free of I/O and clock; times are milliseconds and
 * never go back.
 *
 * @param <W> whoever asks: a front's terminal, or in a test a number
 */
final class KeyTable<W> {
    /** What a class allows once an attempt may have run. {@code lifetimeMs}: how long its answers are held. */
    record ClassPolicy(Api.Effect effect, Api.Group group, double windowMs, double lifetimeMs) {
        /** Whether regions drop a repeat wherever it goes: else only one that the first transaction sends is safe. */
        boolean allowsRepeats() { return effect == Api.Effect.IDEMPOTENT || effect == Api.Effect.DEDUPLICATED && group == Api.Group.ALL; }
    }

    /** Bounds: keys that run at once, and who waits for one of them. */
    record Limits(int maxRunning, int maxWaiting) { }

    enum Verdict {
        /** It is to be sent on now. */
        LEAD,
        /** It waits for the one that runs. */
        JOIN,
        /** The value that is held is its answer. */
        ANSWER,
        /** It ran, and the value is held no more; it must not run again. */
        RAN,
        /** It may have run and must not run again. */
        UNKNOWN,
        /** The key is another request's. */
        CONFLICT,
        /** No room: to be refused at once. */
        FULL
    }

    record Decision(Verdict verdict, byte[] value) { }

    /** How a run's transaction ended. */
    enum RunOutcome {
        SERVED,
        /** No attempt of it ran. */
        NEVER_RAN,
        /** An attempt may have run. */
        MAY_HAVE_RUN
    }

    /** What follows from the end of a run: who gets the same answer, and who leads next, null for nobody. */
    record Next<W>(List<W> answered, W nextLeader, long key) { }

    private static final class Run<W> {
        final long fingerprint;
        final ClassPolicy rule;
        W leader;                                    // null once it has left
        final ArrayDeque<W> waiting = new ArrayDeque<>(2);
        double earliestRunMs = Double.POSITIVE_INFINITY;     // earliest that an earlier transaction of the key may have run
        double startedAtMs;

        Run(long print, ClassPolicy rule, W leader, double begunAt) {
            this.fingerprint = print;
            this.rule = rule;
            this.leader = leader;
            this.startedAtMs = begunAt;
        }
    }

    /** Counts since the start. */
    static final class Counts {
        long led;
        long joined;
        long answered;
        long ran;
        long unknown;
        long conflicts;
        long full;
        long ledAgain;
    }

    private final Map<Long, Run<W>> running = new HashMap<>();
    private final FinishedKeys finished;
    private final Limits bounds;
    final Counts counts = new Counts();

    KeyTable(FinishedKeys finished, Limits bounds) {
        this.finished = finished;
        this.bounds = bounds;
    }

    /** A request with a key comes in; {@code print} is the same for the same request. */
    Decision admit(double nowMs, long key, long print, ClassPolicy rule, W who) {
        Run<W> run = running.get(key);
        if (run != null) {
            if (run.fingerprint != print) { return decided(Verdict.CONFLICT, null); }
            if (run.waiting.size() >= bounds.maxWaiting()) { return decided(Verdict.FULL, null); }
            run.waiting.add(who);
            return decided(Verdict.JOIN, null);
        }
        FinishedKeys.FinishedRun found = finished.find(nowMs, key);
        double ranAt = Double.POSITIVE_INFINITY;
        if (found != null) {
            if (found.fingerprint() != print) { return decided(Verdict.CONFLICT, null); }
            if (found.kind() == FinishedKeys.Kind.SERVED) { return decided(Verdict.ANSWER, found.value()); }
            if (nowMs >= found.repeatUntilMs()) {
                return decided(found.kind() == FinishedKeys.Kind.RAN ? Verdict.RAN : Verdict.UNKNOWN, null);
            }
            ranAt = found.repeatUntilMs() - rule.windowMs();
        }
        if (running.size() >= bounds.maxRunning()) { return decided(Verdict.FULL, null); }
        if (found != null) { counts.ledAgain++; }
        Run<W> begun = new Run<>(print, rule, who, nowMs);
        begun.earliestRunMs = ranAt;
        running.put(key, begun);
        return decided(Verdict.LEAD, null);
    }

    private Decision decided(Verdict verdict, byte[] value) {
        switch (verdict) {
            case LEAD -> counts.led++;
            case JOIN -> counts.joined++;
            case ANSWER -> counts.answered++;
            case RAN -> counts.ran++;
            case UNKNOWN -> counts.unknown++;
            case CONFLICT -> counts.conflicts++;
            default -> counts.full++;
        }
        return new Decision(verdict, value);
    }

    /**
     * Somebody left a run, or its time is over. True when nobody is left whom the run is for: it is to be given up,
     * and told by {@link #ended}.
     */
    boolean leave(long key, W who) {
        Run<W> run = running.get(key);
        if (run == null) { return false; }
        if (who.equals(run.leader)) { run.leader = null; } else { run.waiting.remove(who); }
        return run.leader == null && run.waiting.isEmpty();
    }

    /** Whether a key runs with nobody to lead it. */
    boolean hasNoLeader(long key) {
        Run<W> run = running.get(key);
        return run != null && run.leader == null;
    }

    /**
     * A run's transaction is over. The leader's answer is its own transaction's; who waited gets what this says.
     */
    Next<W> complete(double nowMs, long key, RunOutcome ending, byte[] value) {
        Run<W> run = running.get(key);
        if (run == null) { return new Next<>(List.of(), null, key); }
        double until = nowMs + run.rule.lifetimeMs();
        if (ending == RunOutcome.SERVED) {
            running.remove(key);
            finished.put(nowMs, key, run.fingerprint, FinishedKeys.Kind.SERVED, until, 0, value);
            return new Next<>(new ArrayList<>(run.waiting), null, key);
        }
        if (ending == RunOutcome.MAY_HAVE_RUN) { run.earliestRunMs = Math.min(run.earliestRunMs, run.startedAtMs); }
        boolean mayHaveRun = run.earliestRunMs < Double.POSITIVE_INFINITY;
        double repeatUntil = !mayHaveRun || !run.rule.allowsRepeats() ? 0 : run.earliestRunMs + run.rule.windowMs();
        boolean again = !mayHaveRun || nowMs < repeatUntil;
        if (again && !run.waiting.isEmpty()) {
            // Exactly one of those that wait leads; the others go on waiting.
            run.leader = run.waiting.poll();
            run.startedAtMs = nowMs;
            counts.ledAgain++;
            return new Next<>(List.of(), run.leader, key);
        }
        running.remove(key);
        if (mayHaveRun) {
            finished.put(nowMs, key, run.fingerprint, again ? FinishedKeys.Kind.MAY_REPEAT : FinishedKeys.Kind.UNKNOWN, until, repeatUntil, null);
        } else {
            finished.remove(key);
        }
        return new Next<>(new ArrayList<>(run.waiting), null, key);
    }

    /** What a journal tells of a key's run in an earlier life; {@code ran} where it was answered. */
    void restore(double nowMs, long key, long print, ClassPolicy rule, double ranAtMs, double endedAtMs, boolean ran) {
        double until = endedAtMs + rule.lifetimeMs();
        if (until <= nowMs || running.containsKey(key)) { return; }
        double repeatUntil = rule.allowsRepeats() ? ranAtMs + rule.windowMs() : 0;
        finished.put(nowMs, key, print, ran ? FinishedKeys.Kind.RAN : FinishedKeys.Kind.UNKNOWN, until, repeatUntil, null);
    }

    int running() { return running.size(); }

    int waiting() { return running.values().stream().mapToInt(run -> run.waiting.size()).sum(); }

    FinishedKeys finished() { return finished; }

    /** What is known of a key now, in one line; null for nothing. */
    String describe(double nowMs, long key) {
        Run<W> run = running.get(key);
        if (run != null) {
            return "running for_ms=" + (long) (nowMs - run.startedAtMs) + " waiting=" + run.waiting.size() + " leader=" + (run.leader == null ? "left" : "there");
        }
        FinishedKeys.FinishedRun found = finished.find(nowMs, key);
        return found == null ? null : found.kind().name().toLowerCase(java.util.Locale.ROOT) + " held_for_ms=" + (long) (found.untilMs() - nowMs)
                + (found.value() == null ? "" : " bytes=" + found.value().length)
                + (found.repeatUntilMs() > nowMs ? " may_repeat_for_ms=" + (long) (found.repeatUntilMs() - nowMs) : "");
    }
}

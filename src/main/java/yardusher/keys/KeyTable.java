package yardusher.keys;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import yardusher.Api;

/**
 * Decides what happens to requests with an idempotency key at one ingress: which one leads a run, which ones wait for it, and
 * which ones get a stored answer. A key has at most one run, and a run at most one request in the core. Uses neither I/O nor a
 * clock; times are in milliseconds and never go back.
 *
 * @param <W> the type of a waiting request
 */
final class KeyTable<W> {
    /** What a request class allows once an attempt may have run. {@code lifetimeMs}: how long its answers are stored. */
    record ClassPolicy(Api.Effect effect, Api.Group group, double windowMs, double lifetimeMs) {
        /** Whether a repeat is safe at any region. Otherwise only a retry by the first request in the core is safe. */
        boolean allowsRepeats() { return effect == Api.Effect.IDEMPOTENT || effect == Api.Effect.DEDUPLICATED && group == Api.Group.ALL; }
    }

    /** Limits on keys that run at the same time, and on the requests that wait for one of them. */
    record Limits(int maxRunning, int maxWaiting) { }

    enum Verdict {
        /** The request is to be sent to the core. */
        LEAD,
        /** The request waits for the current run. */
        JOIN,
        /** The stored value is the answer. */
        ANSWER,
        /** It ran, but its value is no longer stored; it must not run again. */
        RAN,
        /** It may have run and must not run again. */
        UNKNOWN,
        /** The key belongs to another request. */
        CONFLICT,
        /** A limit is reached: to be refused. */
        FULL
    }

    record Decision(Verdict verdict, byte[] value) { }

    /** How the request of a run ended in the core. */
    enum RunOutcome {
        SERVED,
        /** No attempt ran. */
        NEVER_RAN,
        /** An attempt may have run. */
        MAY_HAVE_RUN
    }

    /** What follows from the end of a run: the requests that get the same answer, and the next leader or null. */
    record Next<W>(List<W> answered, W nextLeader, long key) { }

    private static final class Run<W> {
        final long fingerprint;
        final ClassPolicy rule;
        W leader;                                    // null once the leader has left
        final ArrayDeque<W> waiting = new ArrayDeque<>(2);
        double earliestRunMs = Double.POSITIVE_INFINITY; // the earliest time at which a request with the key may have run
        double startedAtMs;

        Run(long fingerprint, ClassPolicy rule, W leader, double begunAt) {
            this.fingerprint = fingerprint;
            this.rule = rule;
            this.leader = leader;
            this.startedAtMs = begunAt;
        }
    }

    /** Counters since the start. */
    static final class Counts {
        long led;                                    // requests that led a run
        long joined;                                 // requests that waited for a run
        long answered;
        long ran;
        long unknown;
        long conflicts;
        long full;
        long ledAgain;                               // runs repeated after an earlier one ended without a value
    }

    private final Map<Long, Run<W>> running = new HashMap<>();
    private final FinishedKeys finished;
    private final Limits bounds;
    final Counts counts = new Counts();

    KeyTable(FinishedKeys finished, Limits bounds) {
        this.finished = finished;
        this.bounds = bounds;
    }

    /** Decides on an incoming request with a key; {@code fingerprint} is equal for repeats of a request. */
    Decision admit(double nowMs, long key, long fingerprint, ClassPolicy rule, W request) {
        Run<W> run = running.get(key);
        if (run != null) {
            if (run.fingerprint != fingerprint) { return decided(Verdict.CONFLICT, null); }
            if (run.waiting.size() >= bounds.maxWaiting()) { return decided(Verdict.FULL, null); }
            run.waiting.add(request);
            return decided(Verdict.JOIN, null);
        }
        FinishedKeys.FinishedRun found = finished.find(nowMs, key);
        double ranAt = Double.POSITIVE_INFINITY;
        if (found != null) {
            if (found.fingerprint() != fingerprint) { return decided(Verdict.CONFLICT, null); }
            if (found.kind() == FinishedKeys.Kind.SERVED) { return decided(Verdict.ANSWER, found.value()); }
            if (nowMs >= found.repeatUntilMs()) {
                return decided(found.kind() == FinishedKeys.Kind.RAN ? Verdict.RAN : Verdict.UNKNOWN, null);
            }
            ranAt = found.repeatUntilMs() - rule.windowMs();
        }
        if (running.size() >= bounds.maxRunning()) { return decided(Verdict.FULL, null); }
        if (found != null) { counts.ledAgain++; }
        Run<W> begun = new Run<>(fingerprint, rule, request, nowMs);
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
     * Removes a request from a run, because its client left or its deadline passed. Returns true if no request is left: the run
     * is then to be cancelled, and reported by {@link #ended}.
     */
    boolean leave(long key, W request) {
        Run<W> run = running.get(key);
        if (run == null) { return false; }
        if (request.equals(run.leader)) { run.leader = null; } else { run.waiting.remove(request); }
        return run.leader == null && run.waiting.isEmpty();
    }

    /** Whether a key has a run without a leader. */
    boolean hasNoLeader(long key) {
        Run<W> run = running.get(key);
        return run != null && run.leader == null;
    }

    /**
     * Ends a run, or passes it on to the next leader. The leader has its answer from the core; the result says what the waiting
     * requests get.
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
            // One of the waiting requests becomes the leader; the others continue to wait.
            run.leader = run.waiting.poll();
            run.startedAtMs = nowMs;
            counts.ledAgain++;
            return new Next<>(List.of(), run.leader, key);
        }
        running.remove(key);
        if (mayHaveRun) {
            finished.put(nowMs, key, run.fingerprint, again ? FinishedKeys.Kind.MAY_REPEAT : FinishedKeys.Kind.UNKNOWN, until,
                    repeatUntil, null);
        } else {
            finished.remove(key);
        }
        return new Next<>(new ArrayList<>(run.waiting), null, key);
    }

    /** Restores a key's run of an earlier life from the journal; {@code ran} if it was answered as served. */
    void restore(double nowMs, long key, long fingerprint, ClassPolicy rule, double ranAtMs, double endedAtMs, boolean ran) {
        double until = endedAtMs + rule.lifetimeMs();
        if (until <= nowMs || running.containsKey(key)) { return; }
        double repeatUntil = rule.allowsRepeats() ? ranAtMs + rule.windowMs() : 0;
        finished.put(nowMs, key, fingerprint, ran ? FinishedKeys.Kind.RAN : FinishedKeys.Kind.UNKNOWN, until, repeatUntil, null);
    }

    int running() { return running.size(); }

    int waiting() { return running.values().stream().mapToInt(run -> run.waiting.size()).sum(); }

    FinishedKeys finished() { return finished; }

    /** The state of a key in one line; null if the key is not known. */
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

package yardusher.discovery;

/**
 * Decides when to connect to discovery and which watch is active. Free of I/O and clock: events come in with their time in
 * milliseconds, actions go out through {@link Actions}. At most three watches exist at once, numbered from 1: the active one, whose
 * updates apply, and two candidates to replace it.
 *
 * <p>A watch becomes active with its first object, not with an empty line (keep-alive): an agent without news of what was missed
 * may be one that does not have it. An active watch without keep-alives for {@code SILENCE_TIMEOUT_MS} is suspect until a
 * candidate has sent an object, and is still read meanwhile. A candidate is due to send within {@code RESPONSE_DUE_MS} of its
 * dial; then a second is dialled and the first kept, for {@code CANDIDATE_LIFETIME_MS} in all, so that a slow one still counts.
 * Bounds, with dials that are answered at once: 3.45 s from the start of a silence to the first dial, 2.25 s at most from one
 * dial to the next, three dials within 5.4 s of a silence, four within 3.3 s of a move or a start
 * (docs/measurements/standing.md), 0.35 s more for each if this process itself was stalled.
 */
final class WatchScheduler {
    static final double SILENCE_TIMEOUT_MS = 3000;   // a keep-alive line comes every 2 s
    static final double RECONNECT_JITTER_MS = 300;
    static final double RESPONSE_DUE_MS = 750;       // an agent sends what it has at once
    static final double CANDIDATE_LIFETIME_MS = 3000; // of a candidate that has sent no object
    static final double MIN_STEADY_MS = 1000;        // an active watch that lasted this long resets the backoff when it ends
    static final double STALL_THRESHOLD_MS = 100;    // a call this late means that this process was stalled
    static final double STALL_GRACE_MS = 250;
    private static final double NEVER = Double.POSITIVE_INFINITY;

    /** The actions of the clock; neither calls back with an event before it has returned. */
    interface Actions {
        /** Opens a watch of this number, which requests what {@link #requestsFullList} says once it is connected. */
        void dial(int watch);

        /** Closes the watch, whatever its state. */
        void close(int watch);
    }

    /** A watch that has not sent an object yet. */
    private static final class Candidate {
        final int watch;
        final double dialledAtMs;
        double dueAtMs;
        boolean graceGranted;

        Candidate(int watch, double now) {
            this.watch = watch;
            dialledAtMs = now;
            dueAtMs = now + RESPONSE_DUE_MS;
        }
    }

    private final Actions actions;
    private final Backoff backoff;
    private int lastWatch;                           // the last number assigned
    private int active;                              // number of the active watch, 0 for none
    private double lastHeardAtMs;
    private double activeSinceMs;                    // since when that watch is active
    private boolean suspect;                         // the active watch has fallen silent
    private boolean addressChanged;                  // the present address has sent no object yet
    private boolean needsFullList;                   // a candidate has sent only a keep-alive, or an unreadable object
    private Candidate first;                         // the older of two
    private Candidate second;
    private double nextDialAtMs = NEVER;
    private boolean stopped;

    WatchScheduler(Actions hands, Backoff backoff) {
        this.actions = hands;
        this.backoff = backoff;
    }

    /** Whether the present address has sent no object yet. */
    boolean isAddressChanged() { return addressChanged; }

    /** Whether this watch is a candidate: open, but not the active one. */
    boolean isCandidate(int watch) { return first != null && first.watch == watch || second != null && second.watch == watch; }

    /** Whether a watch requests the full list: revisions of another service mean nothing, and a full list begins with an object. */
    boolean requestsFullList() { return addressChanged || needsFullList; }

    /** When {@link #runDue} is due next, if nothing happens before; infinity for never. */
    double nextDueMs() {
        double next = nextDialAtMs;
        if (active != 0 && !suspect && !addressChanged) { next = Math.min(next, lastHeardAtMs + SILENCE_TIMEOUT_MS); }
        if (first != null) { next = Math.min(next, first.dialledAtMs + CANDIDATE_LIFETIME_MS); }
        Candidate newest = newestCandidate();
        if (newest != null && nextDialAtMs == NEVER && needsCandidate()) { next = Math.min(next, newest.dueAtMs); }
        return next;
    }

    void start(double now) {
        nextDialAtMs = now;
        runDue(now);
    }

    /** Discovery has moved; the old watch is read until the new address has sent its list. */
    void addressMoved(double now) {
        if (stopped) { return; }
        addressChanged = true;
        closeCandidates();
        backoff.reset();
        start(now);
    }

    void stop() {
        stopped = true;
        closeCandidates();
        nextDialAtMs = NEVER;
        if (active != 0) { actions.close(active); }
        active = 0;
    }

    /** A keep-alive (empty line): nothing has changed. */
    void keepAliveReceived(int watch, double now) {
        if (watch == active) { lastHeardAtMs = now; } else { needsFullList = needsFullList || isCandidate(watch); }
        runDue(now);
    }

    /** An object: a candidate that sends one becomes the active watch. */
    void objectReceived(int watch, double now) {
        if (isCandidate(watch)) {
            if (active != 0) { actions.close(active); }
            active = watch;
            activeSinceMs = now;
            if (first.watch == watch) { first = second; }
            second = null;
            closeCandidates();
            nextDialAtMs = NEVER;
            suspect = false;
            addressChanged = false;
            needsFullList = false;
        }
        lastHeardAtMs = now;
        runDue(now);
    }

    /** A watch sent an unreadable update and was closed; if it was a candidate, the next one requests the full list. */
    void malformedReceived(int watch, double now) {
        needsFullList = needsFullList || isCandidate(watch);
        watchEnded(watch, now);
    }

    /** A watch was refused, never connected, or ended. */
    void watchEnded(int watch, double now) {
        if (watch == active) {
            active = 0;
            resetBackoffIfSteady(now);
        } else if (first != null && watch == first.watch) {
            first = second;
            second = null;
        } else if (second != null && watch == second.watch) {
            second = null;
        }
        runDue(now);
    }

    /** Takes the actions that are due. */
    void runDue(double now) {
        if (stopped) { return; }
        if (active != 0 && !suspect && !addressChanged && now >= lastHeardAtMs + SILENCE_TIMEOUT_MS) {
            suspect = true;
            resetBackoffIfSteady(now);
            // A silence hits all ingresses at once: the jitter keeps them from reconnecting at the same moment.
            if (nextDialAtMs == NEVER && first == null) { nextDialAtMs = now + backoff.withJitter(RECONNECT_JITTER_MS); }
        }
        if (first != null && now >= first.dialledAtMs + CANDIDATE_LIFETIME_MS) {
            actions.close(first.watch);
            first = second;
            second = null;
        }
        if (nextDialAtMs == NEVER && needsCandidate() && !isStillDue(newestCandidate(), now)) {
            nextDialAtMs = now + backoff.nextDelayMs();
        }
        if (now < nextDialAtMs) { return; }
        nextDialAtMs = NEVER;
        if (second != null) { actions.close(second.watch); }
        Candidate candidate = new Candidate(++lastWatch, now);
        if (first == null) { first = candidate; } else { second = candidate; }
        actions.dial(candidate.watch);
    }

    /** Whether there is a candidate that may still send in time. */
    private static boolean isStillDue(Candidate candidate, double now) {
        if (candidate == null) { return false; }
        // If this process was stalled, the response may be waiting unread: grant it extra time once before dialling again.
        if (now >= candidate.dueAtMs + STALL_THRESHOLD_MS && !candidate.graceGranted) {
            candidate.graceGranted = true;
            candidate.dueAtMs = now + STALL_GRACE_MS;
        }
        if (now < candidate.dueAtMs) { return true; }
        candidate.graceGranted = true;
        return false;
    }

    private boolean needsCandidate() { return active == 0 || suspect || addressChanged; }

    private Candidate newestCandidate() { return second != null ? second : first; }

    /** Resets the backoff only for a watch that lasted, so that watches which send and end at once are retried less and less often. */
    private void resetBackoffIfSteady(double now) {
        if (now - activeSinceMs >= MIN_STEADY_MS) { backoff.reset(); }
    }

    private void closeCandidates() {
        if (first != null) { actions.close(first.watch); }
        if (second != null) { actions.close(second.watch); }
        first = null;
        second = null;
    }
}

package yardusher.discovery;

/**
 * When discovery is asked, and which of its watches is believed. Free of I/O and clock: what happened comes in with its time in
 * milliseconds, what is to be done goes out through {@link Actions}. At most three watches stand at once, numbered from 1: the one
 * whose news hold, and two that are to follow it.
 *
 * <p>A watch is believed from its first object on, not from an empty line: an agent that has nothing to say of what was missed may
 * be one that has not got it. One whose empty lines stop for {@code SILENT_MS} is in doubt until another has spoken, and is heard
 * meanwhile. A new one is due to speak within {@code PATIENCE_MS} of its dial; then a second is dialled and the first kept, for
 * {@code LIFE_MS} in all, so that who is merely slow is heard too. Bounds, with dials that are answered at once: 3.45 s from the
 * start of a silence to the first dial, 2.25 s at most from one dial to the next, three dials within 5.4 s of a silence and four
 * within 3.3 s of a move or a start (docs/measurements/standing.md), 0.35 s more for each where this process itself was held up.
 */
final class WatchScheduler {
    static final double SILENCE_TIMEOUT_MS = 3000;            // an empty line comes every 2 s
    static final double RECONNECT_JITTER_MS = 300;
    static final double RESPONSE_DUE_MS = 750;           // what an agent has is there at once
    static final double CANDIDATE_LIFETIME_MS = 3000;              // of a watch that has not spoken
    static final double MIN_STEADY_MS = 1000;            // of a watch whose end is one by itself
    static final double STALL_THRESHOLD_MS = 100;               // a look this late says more about this process than about discovery
    static final double STALL_GRACE_MS = 250;
    private static final double NEVER = Double.POSITIVE_INFINITY;

    /** What a decision does; neither call comes back with an event before it has returned. */
    interface Actions {
        /** Opens a watch of this number, which asks as {@link #asksWhole} says once it is connected. */
        void dial(int watch);

        /** Gives up the watch, whatever has become of it. */
        void close(int watch);
    }

    /** A watch that has not spoken. */
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
    private int lastWatch;                             // numbers given away
    private int active;                                // whose news hold, 0 for none
    private double lastHeardAtMs;
    private double activeSinceMs;                       // since when it is that one
    private boolean suspect;                         // it has fallen silent
    private boolean addressChanged;                           // nothing has been told by the present address yet
    private boolean needsFullList;                         // an heir has said an empty line and no object, or one that cannot be read
    private Candidate first;                              // the elder of two
    private Candidate second;
    private double nextDialAtMs = NEVER;
    private boolean stopped;

    WatchScheduler(Actions hands, Backoff backoff) {
        this.actions = hands;
        this.backoff = backoff;
    }

    /** Whether nothing has been told by the present address yet. */
    boolean isAddressChanged() { return addressChanged; }

    /** Whether this watch is asked, and its news are not the ones that hold. */
    boolean isCandidate(int watch) { return first != null && first.watch == watch || second != null && second.watch == watch; }

    /** Whether a watch asks for all there is: another service's versions mean nothing, and all there is always begins with an object. */
    boolean requestsFullList() { return addressChanged || needsFullList; }

    /** When {@link #look} is wanted next, if nothing happens before; infinity for never. */
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

    /** Discovery is found elsewhere from now on; the old one is heard until the new one has told its list. */
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

    /** An empty line: nothing has changed. */
    void keepAliveReceived(int watch, double now) {
        if (watch == active) { lastHeardAtMs = now; } else { needsFullList = needsFullList || isCandidate(watch); }
        runDue(now);
    }

    /** An object: who says it is believed from now on. */
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

    /** It said news that cannot be read, and is given up; of one that was just asked, all there is may be told better. */
    void malformedReceived(int watch, double now) {
        needsFullList = needsFullList || isCandidate(watch);
        watchEnded(watch, now);
    }

    /** It was refused, never came up, or ended. */
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

    /** Does what is due. */
    void runDue(double now) {
        if (stopped) { return; }
        if (active != 0 && !suspect && !addressChanged && now >= lastHeardAtMs + SILENCE_TIMEOUT_MS) {
            suspect = true;
            resetBackoffIfSteady(now);
            // Guards discovery: a silence falls on all at once, and they would ask in the same moment.
            if (nextDialAtMs == NEVER && first == null) { nextDialAtMs = now + backoff.withJitter(RECONNECT_JITTER_MS); }
        }
        if (first != null && now >= first.dialledAtMs + CANDIDATE_LIFETIME_MS) {
            actions.close(first.watch);
            first = second;
            second = null;
        }
        if (nextDialAtMs == NEVER && needsCandidate() && !isStillDue(newestCandidate(), now)) { nextDialAtMs = now + backoff.nextDelayMs(); }
        if (now < nextDialAtMs) { return; }
        nextDialAtMs = NEVER;
        if (second != null) { actions.close(second.watch); }
        Candidate heir = new Candidate(++lastWatch, now);
        if (first == null) { first = heir; } else { second = heir; }
        actions.dial(heir.watch);
    }

    /** Whether there is an heir that may still speak in time. */
    private static boolean isStillDue(Candidate heir, double now) {
        if (heir == null) { return false; }
        // Guards against asking twice where this process was held up and the answer lies unread.
        if (now >= heir.dueAtMs + STALL_THRESHOLD_MS && !heir.graceGranted) {
            heir.graceGranted = true;
            heir.dueAtMs = now + STALL_GRACE_MS;
        }
        if (now < heir.dueAtMs) { return true; }
        heir.graceGranted = true;
        return false;
    }

    private boolean needsCandidate() { return active == 0 || suspect || addressChanged; }

    private Candidate newestCandidate() { return second != null ? second : first; }

    /** Guards discovery against a watch that speaks and ends at once, over and over: only one that lasted ends the backing off. */
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

package yardusher.discovery;

/**
 * Decides when to connect to discovery and which watch is active. Free of I/O and clock: events come in with their time in
 * milliseconds, actions go out through {@link Hands}. At most three watches exist at once, numbered from 1: the active one, whose
 * updates apply, and two candidates to replace it.
 *
 * <p>A watch becomes active with its first object, not with an empty line (keep-alive): an agent without news of what was missed may
 * be one that does not have it. An active watch without keep-alives for {@code SILENT_MS} is suspect until a candidate has sent an
 * object, and is still read meanwhile. A candidate is due to send within {@code PATIENCE_MS} of its dial; then a second is dialled and
 * the first kept, for {@code LIFE_MS} in all, so that a slow one still counts. Bounds, with dials that are answered at once: 3.45 s
 * from the start of a silence to the first dial, 2.25 s at most from one dial to the next, three dials within 5.4 s of a silence, four
 * within 3.3 s of a move or a start (docs/measurements/standing.md), 0.35 s more for each if this process itself was stalled.
 */
final class WatchClock {
    static final double SILENT_MS = 3000;            // a keep-alive line comes every 2 s
    static final double SILENT_SPREAD_MS = 300;
    static final double PATIENCE_MS = 750;           // an agent sends what it has at once
    static final double LIFE_MS = 3000;              // of a candidate that has sent no object
    static final double STEADY_MS = 1000;            // an active watch that lasted this long resets the backoff when it ends
    static final double LATE_MS = 100;               // a call this late means that this process was stalled
    static final double GRACE_MS = 250;
    private static final double NEVER = Double.POSITIVE_INFINITY;

    /** The actions of the clock; neither calls back with an event before it has returned. */
    interface Hands {
        /** Opens a watch of this number, which requests what {@link #asksWhole} says once it is connected. */
        void dial(int watch);

        /** Closes the watch, whatever its state. */
        void close(int watch);
    }

    /** A watch that has not sent an object yet. */
    private static final class Heir {
        final int watch;
        final double since;
        double lookAt;
        boolean excused;

        Heir(int watch, double now) {
            this.watch = watch;
            since = now;
            lookAt = now + PATIENCE_MS;
        }
    }

    private final Hands hands;
    private final Backoff backoff;
    private int watches;                             // the last number assigned
    private int told;                                // number of the active watch, 0 for none
    private double heardAt;
    private double believedAt;                       // since when that watch is active
    private boolean doubted;                         // the active watch has fallen silent
    private boolean moved;                           // the present address has sent no object yet
    private boolean unclear;                         // a candidate has sent only a keep-alive, or an unreadable object
    private Heir first;                              // the older of two
    private Heir second;
    private double dialAt = NEVER;
    private boolean stopped;

    WatchClock(Hands hands, Backoff backoff) {
        this.hands = hands;
        this.backoff = backoff;
    }

    /** Whether the present address has sent no object yet. */
    boolean isMoved() { return moved; }

    /** Whether this watch is a candidate: open, but not the active one. */
    boolean isHeir(int watch) { return first != null && first.watch == watch || second != null && second.watch == watch; }

    /** Whether a watch requests the full list: revisions of another service mean nothing, and a full list begins with an object. */
    boolean asksWhole() { return moved || unclear; }

    /** When {@link #look} is due next, if nothing happens before; infinity for never. */
    double next() {
        double next = dialAt;
        if (told != 0 && !doubted && !moved) { next = Math.min(next, heardAt + SILENT_MS); }
        if (first != null) { next = Math.min(next, first.since + LIFE_MS); }
        Heir newest = newest();
        if (newest != null && dialAt == NEVER && wantsHeir()) { next = Math.min(next, newest.lookAt); }
        return next;
    }

    void start(double now) {
        dialAt = now;
        look(now);
    }

    /** Discovery has moved; the old watch is read until the new address has sent its list. */
    void move(double now) {
        if (stopped) { return; }
        moved = true;
        dropHeirs();
        backoff.reset();
        start(now);
    }

    void stop() {
        stopped = true;
        dropHeirs();
        dialAt = NEVER;
        if (told != 0) { hands.close(told); }
        told = 0;
    }

    /** A keep-alive (empty line): nothing has changed. */
    void empty(int watch, double now) {
        if (watch == told) { heardAt = now; } else { unclear = unclear || isHeir(watch); }
        look(now);
    }

    /** An object: a candidate that sends one becomes the active watch. */
    void object(int watch, double now) {
        if (isHeir(watch)) {
            if (told != 0) { hands.close(told); }
            told = watch;
            believedAt = now;
            if (first.watch == watch) { first = second; }
            second = null;
            dropHeirs();
            dialAt = NEVER;
            doubted = false;
            moved = false;
            unclear = false;
        }
        heardAt = now;
        look(now);
    }

    /** A watch sent an unreadable update and was closed; if it was a candidate, the next one requests the full list. */
    void spoilt(int watch, double now) {
        unclear = unclear || isHeir(watch);
        ended(watch, now);
    }

    /** A watch was refused, never connected, or ended. */
    void ended(int watch, double now) {
        if (watch == told) {
            told = 0;
            steady(now);
        } else if (first != null && watch == first.watch) {
            first = second;
            second = null;
        } else if (second != null && watch == second.watch) {
            second = null;
        }
        look(now);
    }

    /** Takes the actions that are due. */
    void look(double now) {
        if (stopped) { return; }
        if (told != 0 && !doubted && !moved && now >= heardAt + SILENT_MS) {
            doubted = true;
            steady(now);
            // A silence hits all ingresses at once: the jitter keeps them from reconnecting at the same moment.
            if (dialAt == NEVER && first == null) { dialAt = now + backoff.spread(SILENT_SPREAD_MS); }
        }
        if (first != null && now >= first.since + LIFE_MS) {
            hands.close(first.watch);
            first = second;
            second = null;
        }
        if (dialAt == NEVER && wantsHeir() && !waits(newest(), now)) { dialAt = now + backoff.next(); }
        if (now < dialAt) { return; }
        dialAt = NEVER;
        if (second != null) { hands.close(second.watch); }
        Heir heir = new Heir(++watches, now);
        if (first == null) { first = heir; } else { second = heir; }
        hands.dial(heir.watch);
    }

    /** Whether there is a candidate that may still send in time. */
    private static boolean waits(Heir heir, double now) {
        if (heir == null) { return false; }
        // If this process was stalled, the response may be waiting unread: grant it extra time once before dialling again.
        if (now >= heir.lookAt + LATE_MS && !heir.excused) {
            heir.excused = true;
            heir.lookAt = now + GRACE_MS;
        }
        if (now < heir.lookAt) { return true; }
        heir.excused = true;
        return false;
    }

    private boolean wantsHeir() { return told == 0 || doubted || moved; }

    private Heir newest() { return second != null ? second : first; }

    /** Resets the backoff only for a watch that lasted, so that watches which send and end at once are retried less and less often. */
    private void steady(double now) {
        if (now - believedAt >= STEADY_MS) { backoff.reset(); }
    }

    private void dropHeirs() {
        if (first != null) { hands.close(first.watch); }
        if (second != null) { hands.close(second.watch); }
        first = null;
        second = null;
    }
}

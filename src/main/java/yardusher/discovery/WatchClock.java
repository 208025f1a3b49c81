package yardusher.discovery;

/**
 * When discovery is asked, and which of its watches is believed. Free of I/O and clock: what happened comes in with its time in
 * milliseconds, what is to be done goes out through {@link Hands}. At most three watches stand at once, numbered from 1: the one
 * whose news hold, and two that are to follow it.
 *
 * <p>A watch is believed from its first object on, not from an empty line: an agent that has nothing to say of what was missed may
 * be one that has not got it. One whose empty lines stop for {@code SILENT_MS} is in doubt until another has spoken, and is heard
 * meanwhile. A new one is due to speak within {@code PATIENCE_MS} of its dial; then a second is dialled and the first kept, for
 * {@code LIFE_MS} in all, so that who is merely slow is heard too. Bounds, with dials that are answered at once: 3.45 s from the
 * start of a silence to the first dial, 2.25 s at most from one dial to the next, three dials within 5.4 s of a silence and four
 * within 3.3 s of a move or a start (docs/measurements/standing.md), 0.35 s more for each where this process itself was held up.
 */
final class WatchClock {
    static final double SILENT_MS = 3000;            // an empty line comes every 2 s
    static final double SILENT_SPREAD_MS = 300;
    static final double PATIENCE_MS = 750;           // what an agent has is there at once
    static final double LIFE_MS = 3000;              // of a watch that has not spoken
    static final double STEADY_MS = 1000;            // of a watch whose end is one by itself
    static final double LATE_MS = 100;               // a look this late says more about this process than about discovery
    static final double GRACE_MS = 250;
    private static final double NEVER = Double.POSITIVE_INFINITY;

    /** What a decision does; neither call comes back with an event before it has returned. */
    interface Hands {
        /** Opens a watch of this number, which asks as {@link #asksWhole} says once it is connected. */
        void dial(int watch);

        /** Gives up the watch, whatever has become of it. */
        void close(int watch);
    }

    /** A watch that has not spoken. */
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
    private int watches;                             // numbers given away
    private int told;                                // whose news hold, 0 for none
    private double heardAt;
    private double believedAt;                       // since when it is that one
    private boolean doubted;                         // it has fallen silent
    private boolean moved;                           // nothing has been told by the present address yet
    private boolean unclear;                         // an heir has said an empty line and no object, or one that cannot be read
    private Heir first;                              // the elder of two
    private Heir second;
    private double dialAt = NEVER;
    private boolean stopped;

    WatchClock(Hands hands, Backoff backoff) {
        this.hands = hands;
        this.backoff = backoff;
    }

    /** Whether nothing has been told by the present address yet. */
    boolean isMoved() { return moved; }

    /** Whether this watch is asked, and its news are not the ones that hold. */
    boolean isHeir(int watch) { return first != null && first.watch == watch || second != null && second.watch == watch; }

    /** Whether a watch asks for all there is: another service's versions mean nothing, and all there is always begins with an object. */
    boolean asksWhole() { return moved || unclear; }

    /** When {@link #look} is wanted next, if nothing happens before; infinity for never. */
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

    /** Discovery is found elsewhere from now on; the old one is heard until the new one has told its list. */
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

    /** An empty line: nothing has changed. */
    void empty(int watch, double now) {
        if (watch == told) { heardAt = now; } else { unclear = unclear || isHeir(watch); }
        look(now);
    }

    /** An object: who says it is believed from now on. */
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

    /** It said news that cannot be read, and is given up; of one that was just asked, all there is may be told better. */
    void spoilt(int watch, double now) {
        unclear = unclear || isHeir(watch);
        ended(watch, now);
    }

    /** It was refused, never came up, or ended. */
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

    /** Does what is due. */
    void look(double now) {
        if (stopped) { return; }
        if (told != 0 && !doubted && !moved && now >= heardAt + SILENT_MS) {
            doubted = true;
            steady(now);
            // Guards discovery: a silence falls on all at once, and they would ask in the same moment.
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

    /** Whether there is an heir that may still speak in time. */
    private static boolean waits(Heir heir, double now) {
        if (heir == null) { return false; }
        // Guards against asking twice where this process was held up and the answer lies unread.
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

    /** Guards discovery against a watch that speaks and ends at once, over and over: only one that lasted ends the backing off. */
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

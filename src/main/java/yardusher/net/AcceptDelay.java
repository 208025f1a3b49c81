package yardusher.net;

import java.util.ArrayDeque;

/**
 * How long connections may have waited in the backlog because accepts failed on this machine, or because there was no room for them:
 * since the first such time after the backlog was last seen empty, which an accept shows that does not end at once. Where the
 * backlog's length is known now and then, those behind it came later than that. Times in milliseconds; free of I/O and clock.
 */
final class AcceptDelay {
    private static final double AT_ONCE_MS = 20;
    private static final double MAX_BEHIND_MS = 3000; // for connections behind the first: some may have come since
    private static final double DRAIN_MS = 20;       // in which a backlog is accepted once accepts succeed again
    private static final double NONE = Double.NaN;

    private static final double SAMPLE_INTERVAL_MS = 50;
    private static final int MAX_SAMPLES = 128;

    /** All connections after that many came after that time. */
    private record Sample(double atMs, long connections) { }

    private final ArrayDeque<Sample> samples = new ArrayDeque<>();
    private double sampledAtMs = Double.NEGATIVE_INFINITY;
    private boolean wantedRoom;                      // since the backlog was last seen empty: then a busy process accepts late, too
    private long connections;                        // accepted so far
    private double begunAtMs;
    private double heldUpSinceMs = NONE;
    private boolean acceptedSince;                   // an accept succeeded since the last failure that met an empty backlog
    private double recentUntilMs = Double.NEGATIVE_INFINITY;

    /** An accept begins. */
    void begun(double nowMs) { begunAtMs = nowMs; }

    /** It failed, and is repeated after {@code waitMs}. */
    void failed(double nowMs, double waitMs) {
        boolean backlogWasEmpty = waitedForConnection(nowMs);
        if (!isHeldUp() || backlogWasEmpty) {
            heldUpSinceMs = nowMs;
            acceptedSince = false;
        }
        recentUntilMs = nowMs + waitMs + DRAIN_MS;
    }

    /** No accept begins for want of room. From then on only {@link #backlogEmpty} shows that the backlog was empty. */
    void heldBack(double nowMs) {
        wantedRoom = true;
        if (isHeldUp()) { return; }
        heldUpSinceMs = nowMs;
        acceptedSince = false;
    }

    /** The backlog was seen empty. */
    void backlogEmpty() {
        heldUpSinceMs = NONE;
        wantedRoom = false;
        samples.clear();
    }

    /** Whether to find out how long the backlog is. */
    boolean wantsSample(double nowMs) { return isHeldUp() && nowMs - sampledAtMs >= SAMPLE_INTERVAL_MS && samples.size() < MAX_SAMPLES; }

    /** After that time at most so many connections waited; no accept had begun. */
    void sampled(double atMs, int waiting) {
        sampledAtMs = atMs;
        samples.add(new Sample(atMs, connections + waiting));
    }

    /** The length of the backlog could not be found out. */
    void notSampled(double atMs) { sampledAtMs = atMs; }

    /** Whether connections may be in the backlog that have waited. */
    boolean isHeldUp() { return !Double.isNaN(heldUpSinceMs); }

    /** It succeeded: returns how long, at most, the connection may have waited. */
    double accepted(double nowMs) {
        if (waitedForConnection(nowMs)) { backlogEmpty(); }
        connections++;
        while (!samples.isEmpty() && samples.peek().connections() < connections) { heldUpSinceMs = Math.max(heldUpSinceMs, samples.poll().atMs()); }
        if (!isHeldUp()) { return 0; }
        double waitedMs = nowMs - heldUpSinceMs;
        boolean first = !acceptedSince;
        acceptedSince = true;
        return first ? waitedMs : Math.min(MAX_BEHIND_MS, waitedMs);
    }

    private boolean waitedForConnection(double nowMs) { return !wantedRoom && nowMs - begunAtMs > AT_ONCE_MS; }

    /** Whether an accept failed so recently that connections may still wait for it. */
    boolean isRecent(double nowMs) { return nowMs <= recentUntilMs; }
}

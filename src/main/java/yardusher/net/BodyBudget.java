package yardusher.net;

import java.util.ArrayDeque;
import java.util.Iterator;

/**
 * Limits the bytes that all connections together may buffer for large bodies. Requests beyond the limit wait in order. Used on
 * the event loop only.
 */
public final class BodyBudget {
    private record Waiting(long bytes, Runnable onGranted) { }

    private final long maxBytes;
    private final ArrayDeque<Waiting> waiting = new ArrayDeque<>();
    private long usedBytes;
    private long peakBytes;

    public BodyBudget(long maxBytes) { this.maxBytes = maxBytes; }

    long maxBytes() { return maxBytes; }

    /** Whether this number of bytes can be acquired at all. */
    public boolean fits(long bytes) { return bytes <= maxBytes; }

    /**
     * Acquires bytes: {@code then} runs once they are available, at once or later. The returned callback releases them or stops
     * waiting; a second call of it has no effect.
     */
    public Runnable acquire(long bytes, Runnable onGranted) {
        Waiting entry = new Waiting(bytes, onGranted);
        waiting.add(entry);
        boolean[] released = new boolean[1];
        Runnable release = () -> {
            if (released[0]) { return; }
            released[0] = true;
            if (!removeWaiting(entry)) { usedBytes -= bytes; }
            grantWaiting();
        };
        grantWaiting();
        return release;
    }

    private boolean removeWaiting(Waiting entry) {
        for (Iterator<Waiting> entries = waiting.iterator(); entries.hasNext();) {
            if (entries.next() == entry) {
                entries.remove();
                return true;
            }
        }
        return false;
    }

    private void grantWaiting() {
        for (Waiting next; (next = waiting.peek()) != null && usedBytes + next.bytes <= maxBytes;) {
            waiting.poll();
            usedBytes += next.bytes;
            peakBytes = Math.max(peakBytes, usedBytes);
            next.onGranted.run();
        }
    }

    /** The bytes in use now and their maximum so far, as counters. */
    public String countersLine() {
        return "body_kb=" + usedBytes / 1024 + " body_most_kb=" + peakBytes / 1024 + " body_waiting=" + waiting.size();
    }
}

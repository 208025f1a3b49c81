package yardusher.net;

import java.util.ArrayDeque;
import java.util.Iterator;

/** Bytes that all connections together may hold for large bodies. Who finds none left waits in turn. In turns only. */
public final class BodyBudget {
    private record Waiting(long bytes, Runnable onGranted) { }

    private final long maxBytes;
    private final ArrayDeque<Waiting> waiting = new ArrayDeque<>();
    private long usedBytes;
    private long peakBytes;

    public BodyBudget(long maxBytes) { this.maxBytes = maxBytes; }

    /** Whether so many bytes are ever to be had. */
    public boolean fits(long bytes) { return bytes <= maxBytes; }

    /**
     * Takes so many bytes: {@code then} runs once they are there, at once or later. The result gives them back, or gives up
     * waiting; a second run of it does nothing.
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

    /** Bytes taken now, and the most so far. */
    public String countersLine() { return "body_kb=" + usedBytes / 1024 + " body_most_kb=" + peakBytes / 1024 + " body_waiting=" + waiting.size(); }
}

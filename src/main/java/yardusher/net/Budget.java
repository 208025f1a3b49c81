package yardusher.net;

import java.util.ArrayDeque;
import java.util.Iterator;

/**
 * Limits the bytes that all connections together may buffer for large bodies. Requests beyond the limit wait in order. Used on
 * the event loop only.
 */
public final class Budget {
    private record Waiting(long bytes, Runnable then) { }

    private final long most;
    private final ArrayDeque<Waiting> waiting = new ArrayDeque<>();
    private long taken;
    private long peak;

    public Budget(long most) { this.most = most; }

    /** Whether this number of bytes can be acquired at all. */
    public boolean fits(long bytes) { return bytes <= most; }

    /**
     * Acquires bytes: {@code then} runs once they are available, at once or later. The returned callback releases them or stops
     * waiting; a second call of it has no effect.
     */
    public Runnable take(long bytes, Runnable then) {
        Waiting mine = new Waiting(bytes, then);
        waiting.add(mine);
        boolean[] over = new boolean[1];
        Runnable back = () -> {
            if (over[0]) { return; }
            over[0] = true;
            if (!forget(mine)) { taken -= bytes; }
            admit();
        };
        admit();
        return back;
    }

    private boolean forget(Waiting mine) {
        for (Iterator<Waiting> all = waiting.iterator(); all.hasNext();) {
            if (all.next() == mine) {
                all.remove();
                return true;
            }
        }
        return false;
    }

    private void admit() {
        for (Waiting next; (next = waiting.peek()) != null && taken + next.bytes <= most;) {
            waiting.poll();
            taken += next.bytes;
            peak = Math.max(peak, taken);
            next.then.run();
        }
    }

    /** The bytes in use now and their maximum so far, as counters. */
    public String line() { return "body_kb=" + taken / 1024 + " body_most_kb=" + peak / 1024 + " body_waiting=" + waiting.size(); }
}

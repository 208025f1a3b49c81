package yardusher.net;

import java.util.ArrayDeque;
import java.util.Iterator;

/** Bytes that all connections together may hold for large bodies. Who finds none left waits in turn. In turns only. */
public final class Budget {
    private record Waiting(long bytes, Runnable then) { }

    private final long most;
    private final ArrayDeque<Waiting> waiting = new ArrayDeque<>();
    private long taken;
    private long peak;

    public Budget(long most) { this.most = most; }

    /** Whether so many bytes are ever to be had. */
    public boolean fits(long bytes) { return bytes <= most; }

    /**
     * Takes so many bytes: {@code then} runs once they are there, at once or later. The result gives them back, or gives up
     * waiting; a second run of it does nothing.
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

    /** Bytes taken now, and the most so far. */
    public String line() { return "body_kb=" + taken / 1024 + " body_most_kb=" + peak / 1024 + " body_waiting=" + waiting.size(); }
}

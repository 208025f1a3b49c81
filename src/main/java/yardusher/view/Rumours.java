package yardusher.view;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** The queue of updates that are still gossiped: least transmitted first; an update is dropped after enough transmissions. */
final class Rumours {
    private record Waiting(Entry entry, long queued) { }

    private final List<ArrayDeque<Waiting>> byTold = new ArrayList<>();
    private long queued;
    private int size;

    boolean isEmpty() { return size == 0; }

    int size() { return size; }

    /** Queues the entry's update as if it had been transmitted that many times already. */
    void add(Entry entry, int told) {
        if (entry.queued == 0) { size++; }
        entry.told = told;
        entry.queued = ++queued;
        line(told).add(new Waiting(entry, entry.queued));
    }

    /** Stops gossiping the entry's update. */
    void remove(Entry entry) {
        if (entry.queued != 0) { size--; }
        entry.queued = 0;
    }

    private ArrayDeque<Waiting> line(int told) {
        while (byTold.size() <= told) { byTold.add(new ArrayDeque<>()); }
        return byTold.get(told);
    }

    /**
     * Takes the next update and counts it as transmitted, so the caller has to send it; null if there is none.
     * An update is dropped after {@code most} transmissions; items queued after the mark {@code before} are left.
     */
    Entry next(int most, long before) {
        for (int told = 0; told < byTold.size(); told++) {
            ArrayDeque<Waiting> line = byTold.get(told);
            for (Waiting first; (first = line.peek()) != null;) {
                Entry entry = first.entry();
                if (entry.queued != first.queued() || entry.told != told) {
                    line.poll();                     // superseded by a newer item of this entry
                    continue;
                }
                if (entry.queued > before) { break; } // already in this datagram
                line.poll();
                if (told + 1 >= most) { remove(entry); } else { add(entry, told + 1); }
                return entry;
            }
        }
        return null;
    }

    /** Returns the mark with which {@link #next} puts no update twice into one datagram. */
    long mark() { return queued; }
}

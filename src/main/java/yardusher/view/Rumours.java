package yardusher.view;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** News that is still passed on: what was told the fewest times goes first, and what was told often enough goes out of the line. */
final class Rumours {
    private record Waiting(Entry entry, long queued) { }

    private final List<ArrayDeque<Waiting>> byTold = new ArrayList<>();
    private long queued;
    private int size;

    boolean isEmpty() { return size == 0; }

    int size() { return size; }

    /** Puts a member's news in line as if it had been told so many times. */
    void add(Entry entry, int told) {
        if (entry.queued == 0) { size++; }
        entry.told = told;
        entry.queued = ++queued;
        line(told).add(new Waiting(entry, entry.queued));
    }

    /** Its news is told no further. */
    void remove(Entry entry) {
        if (entry.queued != 0) { size--; }
        entry.queued = 0;
    }

    private ArrayDeque<Waiting> line(int told) {
        while (byTold.size() <= told) { byTold.add(new ArrayDeque<>()); }
        return byTold.get(told);
    }

    /** The news that goes next; {@code most} tellings end it. Null for none. It has to be told: it counts as told now. */
    Entry next(int most, long before) {
        for (int told = 0; told < byTold.size(); told++) {
            ArrayDeque<Waiting> line = byTold.get(told);
            for (Waiting first; (first = line.peek()) != null;) {
                Entry entry = first.entry();
                if (entry.queued != first.queued() || entry.told != told) {
                    line.poll();                     // newer news of it stands elsewhere
                    continue;
                }
                if (entry.queued > before) { break; } // it is in this datagram already
                line.poll();
                if (told + 1 >= most) { remove(entry); } else { add(entry, told + 1); }
                return entry;
            }
        }
        return null;
    }

    /** What {@link #next} is given so that no news comes twice into one datagram. */
    long mark() { return queued; }
}

package yardusher.view;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** News that is still passed on: what was told the fewest times goes first, and what was told often enough goes out of the line. */
final class GossipQueue {
    private record QueueItem(MemberEntry entry, long queueNumber) { }

    private final List<ArrayDeque<QueueItem>> byTransmissions = new ArrayList<>();
    private long lastQueueNumber;
    private int size;

    boolean isEmpty() { return size == 0; }

    int size() { return size; }

    /** Puts a member's news in line as if it had been told so many times. */
    void add(MemberEntry entry, int transmissions) {
        if (entry.queueNumber == 0) { size++; }
        entry.transmissions = transmissions;
        entry.queueNumber = ++lastQueueNumber;
        queueFor(transmissions).add(new QueueItem(entry, entry.queueNumber));
    }

    /** Its news is told no further. */
    void remove(MemberEntry entry) {
        if (entry.queueNumber != 0) { size--; }
        entry.queueNumber = 0;
    }

    private ArrayDeque<QueueItem> queueFor(int transmissions) {
        while (byTransmissions.size() <= transmissions) { byTransmissions.add(new ArrayDeque<>()); }
        return byTransmissions.get(transmissions);
    }

    /** The news that goes next; {@code most} tellings end it. Null for none. It has to be told: it counts as told now. */
    MemberEntry next(int maxTransmissions, long mark) {
        for (int transmissions = 0; transmissions < byTransmissions.size(); transmissions++) {
            ArrayDeque<QueueItem> queue = byTransmissions.get(transmissions);
            for (QueueItem item; (item = queue.peek()) != null;) {
                MemberEntry entry = item.entry();
                if (entry.queueNumber != item.queueNumber() || entry.transmissions != transmissions) {
                    queue.poll();                     // newer news of it stands elsewhere
                    continue;
                }
                if (entry.queueNumber > mark) { break; } // it is in this datagram already
                queue.poll();
                if (transmissions + 1 >= maxTransmissions) { remove(entry); } else { add(entry, transmissions + 1); }
                return entry;
            }
        }
        return null;
    }

    /** What {@link #next} is given so that no news comes twice into one datagram. */
    long mark() { return lastQueueNumber; }
}

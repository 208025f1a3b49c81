package yardusher.view;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** The queue of updates that are still gossiped: least transmitted first; an update is dropped after enough transmissions. */
final class GossipQueue {
    private record QueueItem(MemberEntry entry, long queueNumber) { }

    private final List<ArrayDeque<QueueItem>> byTransmissions = new ArrayList<>();
    private long lastQueueNumber;
    private int size;

    boolean isEmpty() { return size == 0; }

    int size() { return size; }

    /** Queues the entry's update as if it had been transmitted that many times already. */
    void add(MemberEntry entry, int transmissions) {
        if (entry.queueNumber == 0) { size++; }
        entry.transmissions = transmissions;
        entry.queueNumber = ++lastQueueNumber;
        queueFor(transmissions).add(new QueueItem(entry, entry.queueNumber));
    }

    /** Stops gossiping the entry's update. */
    void remove(MemberEntry entry) {
        if (entry.queueNumber != 0) { size--; }
        entry.queueNumber = 0;
    }

    private ArrayDeque<QueueItem> queueFor(int transmissions) {
        while (byTransmissions.size() <= transmissions) { byTransmissions.add(new ArrayDeque<>()); }
        return byTransmissions.get(transmissions);
    }

    /**
     * Takes the next update and counts it as transmitted, so the caller has to send it; null if there is none.
     * An update is dropped after {@code maxTransmissions} transmissions; items queued after the mark {@code mark} are left.
     */
    MemberEntry next(int maxTransmissions, long mark) {
        for (int transmissions = 0; transmissions < byTransmissions.size(); transmissions++) {
            ArrayDeque<QueueItem> queue = byTransmissions.get(transmissions);
            for (QueueItem item; (item = queue.peek()) != null;) {
                MemberEntry entry = item.entry();
                if (entry.queueNumber != item.queueNumber() || entry.transmissions != transmissions) {
                    queue.poll();                    // superseded by a newer item of this entry
                    continue;
                }
                if (entry.queueNumber > mark) { break; } // already in this datagram
                queue.poll();
                if (transmissions + 1 >= maxTransmissions) { remove(entry); } else { add(entry, transmissions + 1); }
                return entry;
            }
        }
        return null;
    }

    /** Returns the mark with which {@link #next} puts no update twice into one datagram. */
    long mark() { return lastQueueNumber; }
}

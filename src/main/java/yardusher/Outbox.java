package yardusher;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Map;

/** What waits to be told to one gateway, each thing once, and when the first of it is due, in ms. */
final class Outbox {
    final LinkedHashSet<Object> items = new LinkedHashSet<>();
    double dueMs = Double.POSITIVE_INFINITY;

    void add(Object item, double itemDueMs) { if (items.add(item)) { dueMs = Math.min(dueMs, itemDueMs); } }

    int size() { return items.size(); }

    /** The gateway whose box is due first; of those alike, the one that waits longest. There has to be one. */
    static int earliestDue(Map<Integer, Outbox> boxes) {
        return boxes.entrySet().stream().min(Comparator.comparingDouble(box -> box.getValue().dueMs)).orElseThrow().getKey();
    }
}

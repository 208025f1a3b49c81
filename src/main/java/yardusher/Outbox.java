package yardusher;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Map;

/** Items to be sent to one gateway, without duplicates, and when the first of them is due, in milliseconds. */
final class Outbox {
    final LinkedHashSet<Object> items = new LinkedHashSet<>();
    double dueMs = Double.POSITIVE_INFINITY;

    void add(Object item, double itemDueMs) { if (items.add(item)) { dueMs = Math.min(dueMs, itemDueMs); } }

    int size() { return items.size(); }

    /** The gateway whose outbox is due first; of equal ones, the one that has waited longest. There must be at least one. */
    static int earliestDue(Map<Integer, Outbox> boxes) {
        return boxes.entrySet().stream().min(Comparator.comparingDouble(box -> box.getValue().dueMs)).orElseThrow().getKey();
    }
}

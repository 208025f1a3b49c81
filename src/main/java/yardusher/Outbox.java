package yardusher;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Map;

/** Items to be sent to one gateway, without duplicates, and when the first of them is due, in milliseconds. */
final class Outbox {
    final LinkedHashSet<Object> items = new LinkedHashSet<>();
    double due = Double.POSITIVE_INFINITY;

    void add(Object item, double itsDue) { if (items.add(item)) { due = Math.min(due, itsDue); } }

    int size() { return items.size(); }

    /** The gateway whose outbox is due first; of equal ones, the one that has waited longest. There must be at least one. */
    static int first(Map<Integer, Outbox> boxes) {
        return boxes.entrySet().stream().min(Comparator.comparingDouble(box -> box.getValue().due)).orElseThrow().getKey();
    }
}

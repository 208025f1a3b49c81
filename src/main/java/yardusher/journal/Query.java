package yardusher.journal;

import java.util.EnumMap;
import java.util.Map;
import java.util.Set;

/**
 * Which orders are asked for. Values that are left out ask for all; times are microseconds of Unix time and speak of when
 * the order came in, from the first to before the second.
 */
record Query(Map<SegmentIndex.Field, Long> values, Set<JournaledRequest.State> states, boolean unknownOnly, boolean openOnly,
        long fromUs, long toUs) {
    static final Query ALL = new Query(Map.of(), Set.of(), false, false, 0, Long.MAX_VALUE);

    Query {
        values = values.isEmpty() ? Map.of() : new EnumMap<>(values);
    }

    boolean matches(JournaledRequest order) {
        long at = order.firstUs();
        return at >= fromUs && at < toUs && (states.isEmpty() || states.contains(order.state()))
                && (!unknownOnly || order.isUnknown()) && (!openOnly || !order.isOver() || order.isUnknown())
                && values.entrySet().stream().allMatch(wanted -> has(order, wanted.getKey(), wanted.getValue()));
    }

    /** Whether an order may turn out to be asked for: its region may still be one of a later attempt. */
    boolean mayMatch(JournaledRequest order) {
        return values.entrySet().stream().allMatch(wanted -> has(order, wanted.getKey(), wanted.getValue())
                || wanted.getKey() == SegmentIndex.Field.REGION && order.facts != null && !order.isOver());
    }

    private static boolean has(JournaledRequest order, SegmentIndex.Field field, long value) {
        if (field == SegmentIndex.Field.REGION) { return order.attempts.stream().anyMatch(one -> one.region == value); }
        if (order.facts == null) { return false; }
        return switch (field) {
            case KEY -> order.facts.keyed() && order.facts.key() == value;
            case CUSTOMER -> order.facts.customer() == value;
            default -> order.facts.id() == value;
        };
    }

    /** Whether a block of an index may hold anything of an order that is asked for. */
    boolean mayMatchBlock(SegmentIndex index, int block) {
        if (!index.overlaps(block, scanFromUs(), scanToUs())) { return false; }
        for (Map.Entry<SegmentIndex.Field, Long> wanted : values.entrySet()) {
            if (!index.mayContain(block, wanted.getKey(), wanted.getValue())) { return false; }
        }
        return true;
    }

    /** An order's records lie no further apart than the longest deadline that a command may have, and a bit. */
    static final long MAX_REQUEST_SPAN_US = 660_000_000L;

    long scanFromUs() { return Math.max(0, fromUs - MAX_REQUEST_SPAN_US); }

    long scanToUs() { return toUs > Long.MAX_VALUE - MAX_REQUEST_SPAN_US ? Long.MAX_VALUE : toUs + MAX_REQUEST_SPAN_US; }
}

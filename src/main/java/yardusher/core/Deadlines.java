package yardusher.core;

import java.util.TreeSet;

/** All timers of the process in one sorted set, checked before and after each event loop task. Used on the event loop only. */
public final class Deadlines {
    /** One scheduled task, cancelled by {@link #cancel}. */
    public static final class Entry implements Comparable<Entry> {
        final double at;
        private final long order;
        private final Runnable due;

        private Entry(double at, long order, Runnable due) {
            this.at = at;
            this.order = order;
            this.due = due;
        }

        @Override
        public int compareTo(Entry other) {
            int byTime = Double.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private final TreeSet<Entry> entries = new TreeSet<>();
    private long added;

    public Entry at(double time, Runnable due) {
        Entry entry = new Entry(time, added++, due);
        entries.add(entry);
        return entry;
    }

    public void cancel(Entry entry) {
        if (entry != null) { entries.remove(entry); }
    }

    public int size() { return entries.size(); }

    /** The time of the next task; infinity if there is none. */
    double next() { return entries.isEmpty() ? Double.POSITIVE_INFINITY : entries.first().at; }

    /** Removes and returns the next task that is due; null if there is none. */
    Runnable due(double now) {
        if (entries.isEmpty() || entries.first().at > now) { return null; }
        return entries.pollFirst().due;
    }
}

package yardusher.core;

import java.util.TreeSet;

/** All deadlines of the program in one sorted structure, swept each turn. Used in turns only. */
public final class Deadlines {
    /** One deadline; cancelled by {@link #cancel}. */
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

    /** When the next one falls due; infinity for none. */
    double next() { return entries.isEmpty() ? Double.POSITIVE_INFINITY : entries.first().at; }

    /** Takes out the next one that is due, or null. */
    Runnable due(double now) {
        if (entries.isEmpty() || entries.first().at > now) { return null; }
        return entries.pollFirst().due;
    }
}

package yardusher.core;

import java.util.TreeSet;

/** All deadlines of the program in one sorted structure, swept each turn. Used in turns only. */
public final class Deadlines {
    /** One deadline; cancelled by {@link #cancel}. */
    public static final class Entry implements Comparable<Entry> {
        final double timeMs;
        private final long sequence;
        private final Runnable task;

        private Entry(double timeMs, long sequence, Runnable task) {
            this.timeMs = timeMs;
            this.sequence = sequence;
            this.task = task;
        }

        @Override
        public int compareTo(Entry other) {
            int byTime = Double.compare(timeMs, other.timeMs);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    private final TreeSet<Entry> entries = new TreeSet<>();
    private long nextSequence;

    public Entry schedule(double timeMs, Runnable task) {
        Entry entry = new Entry(timeMs, nextSequence++, task);
        entries.add(entry);
        return entry;
    }

    public void cancel(Entry entry) {
        if (entry != null) { entries.remove(entry); }
    }

    public int size() { return entries.size(); }

    /** When the next one falls due; infinity for none. */
    double nextAtMs() { return entries.isEmpty() ? Double.POSITIVE_INFINITY : entries.first().timeMs; }

    /** Takes out the next one that is due, or null. */
    Runnable pollDue(double nowMs) {
        if (entries.isEmpty() || entries.first().timeMs > nowMs) { return null; }
        return entries.pollFirst().task;
    }
}

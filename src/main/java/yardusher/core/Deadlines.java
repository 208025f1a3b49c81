package yardusher.core;

import java.util.TreeSet;

/** All timers of the process in one sorted set, checked before and after each event loop task. Used on the event loop only. */
public final class Deadlines {
    /** One scheduled task, cancelled by {@link #cancel}. */
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

    /** Schedules a task for a time in milliseconds of the event loop's clock. */
    public Entry schedule(double timeMs, Runnable task) {
        Entry entry = new Entry(timeMs, nextSequence++, task);
        entries.add(entry);
        return entry;
    }

    public void cancel(Entry entry) {
        if (entry != null) { entries.remove(entry); }
    }

    public int size() { return entries.size(); }

    /** The time of the next task; infinity if there is none. */
    double nextAtMs() { return entries.isEmpty() ? Double.POSITIVE_INFINITY : entries.first().timeMs; }

    /** Removes and returns the next task that is due; null if there is none. */
    Runnable pollDue(double nowMs) {
        if (entries.isEmpty() || entries.first().timeMs > nowMs) { return null; }
        return entries.pollFirst().task;
    }
}

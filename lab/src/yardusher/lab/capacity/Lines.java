package yardusher.lab.capacity;

import java.lang.management.ManagementFactory;
import java.util.Locale;
import java.util.Map;
import java.util.StringJoiner;
import java.util.TreeMap;
import java.util.function.Supplier;

/** Figures as JSON lines of the form that {@code yardusher.lab.scale.SlopesTable} reads; and what they are taken with. */
final class Lines {
    private static final int COLLECTIONS = 3;

    private Lines() { }

    /** Prints one run. */
    static void print(String day, long seed, double seconds, Map<String, ? extends Number> sizes, Map<String, ? extends Number> figures) {
        System.out.println("{\"kind\":\"run\",\"day\":\"" + day + "\",\"seed\":" + seed + ",\"partial\":false,\"saturated\":false,\"seconds\":"
                + seconds + ",\"sizes\":" + object(sizes) + ",\"figures\":" + object(figures) + "}");
    }

    private static String object(Map<String, ? extends Number> numbers) {
        StringJoiner all = new StringJoiner(",", "{", "}");
        new TreeMap<>(numbers).forEach((name, number) -> {
            double value = number.doubleValue();
            all.add("\"" + name + "\":" + (value == Math.rint(value) ? String.format(Locale.ROOT, "%.0f", value) : String.format(Locale.ROOT, "%.6g", value)));
        });
        return all.toString();
    }

    /** Bytes of the heap that are in use, after collections. */
    static long heap() {
        for (int i = 0; i < COLLECTIONS; i++) { System.gc(); }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    /** Bytes of the heap that what is made holds: as it comes or as it goes, whichever is more, since what went before may go late. */
    static long held(Supplier<?> made) {
        long empty = heap();
        Object[] one = {made.get()};
        long full = heap();
        one[0] = null;
        return Math.max(full - empty, full - heap());
    }

    /** Bytes that this thread has allocated so far. */
    static long allocated() {
        return ((com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean()).getThreadAllocatedBytes(Thread.currentThread().getId());
    }

    /** Processor time of this thread, in nanoseconds. */
    static long cpu() { return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime(); }
}

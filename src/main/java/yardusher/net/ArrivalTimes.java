package yardusher.net;

import java.util.Arrays;

/**
 * When the bytes arrived that a connection has read and not handled yet. Bytes are numbered from the connection's first one. Times
 * in milliseconds; free of I/O and clock. Times that are close together are merged into the earliest of them, so that the memory is
 * bounded: what is close grows with the time over which unhandled bytes have arrived.
 */
final class ArrivalTimes {
    private static final int MAX_MARKS = 64;
    private static final int FIRST_MARKS = 2;        // most connections never have more
    private static final double MIN_MERGED_MS = 5;

    private long[] ends = new long[FIRST_MARKS];     // of each mark: the number of bytes up to its last one
    private double[] timesMs = new double[FIRST_MARKS];
    private int size;
    private double mergedMs = MIN_MERGED_MS;
    private long received;

    /** The number of bytes that have arrived so far. */
    long received() { return received; }

    /** The next bytes arrived at that time. */
    void add(int bytes, double atMs) {
        received += bytes;
        if (size > 0 && atMs - timesMs[size - 1] <= mergedMs) {
            ends[size - 1] = received;
            timesMs[size - 1] = Math.min(timesMs[size - 1], atMs);
            return;
        }
        if (size == ends.length) { makeRoom(); }
        ends[size] = received;
        timesMs[size] = atMs;
        size++;
    }

    /**
     * When the last of the first {@code count} bytes arrived, at the earliest; these bytes are then forgotten. {@code nowMs} if that
     * is not known. Each call has a larger count than the one before.
     */
    double takeArrival(long count, double nowMs) {
        int first = 0;
        while (first < size && ends[first] < count) { first++; }
        double arrivedMs = first < size ? timesMs[first] : nowMs;
        if (first < size && ends[first] == count) { first++; }
        drop(first);
        return arrivedMs;
    }

    private void drop(int marks) {
        if (marks == 0) { return; }
        size -= marks;
        System.arraycopy(ends, marks, ends, 0, size);
        System.arraycopy(timesMs, marks, timesMs, 0, size);
        if (size == 0) { mergedMs = MIN_MERGED_MS; }
    }

    private void makeRoom() {
        if (size < MAX_MARKS) {
            ends = Arrays.copyOf(ends, 2 * size);
            timesMs = Arrays.copyOf(timesMs, 2 * size);
            return;
        }
        while (size == MAX_MARKS) {
            mergedMs *= 2;
            merge();
        }
    }

    private void merge() {
        int last = 0;
        for (int i = 1; i < size; i++) {
            if (timesMs[i] - timesMs[last] > mergedMs) {
                last++;
                timesMs[last] = timesMs[i];
            }
            ends[last] = ends[i];
        }
        size = last + 1;
    }
}

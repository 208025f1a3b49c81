package yardusher.journal;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.NoSuchFileException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.function.LongConsumer;
import yardusher.disk.Framing;
import yardusher.disk.Storage;

/**
 * Reads the requests of one folder in the order of their arrival, using the indexes where the query allows it. The instance
 * that writes the folder may be running: segments that it deletes are skipped, and unfinished writes are not seen.
 */
final class Scan implements Closeable {
    /** Maximum number of requests held until their last record is read; beyond it the oldest is returned as far as it is known. */
    private static final int MAX_HELD = 100_000;

    private final Storage storage;
    private final Query query;
    private final LongConsumer progress;
    private final Deque<Long> segments;
    private final RequestTable requests = new RequestTable();
    private Storage.Source source;
    private Framing<Entry>.Reader reader;
    private SegmentIndex index;
    private long segment;
    private int block;
    private boolean ended;
    private long damagedBytes;
    private long blocksRead;

    /** {@code progress} receives the size of each segment that has been read. */
    Scan(Storage storage, Query query, LongConsumer progress) throws IOException {
        this.storage = storage;
        this.query = query;
        this.progress = progress;
        segments = new ArrayDeque<>(Recovery.segments(storage));
    }

    /** Damaged bytes skipped so far, including torn tails. */
    long damagedBytes() { return damagedBytes; }

    /** The number of blocks read by way of an index. */
    long blocksRead() { return blocksRead; }

    /** The next matching request, or null at the end. */
    JournaledRequest next() throws IOException {
        for (;;) {
            Iterator<JournaledRequest> first = requests.requests().iterator();
            if (first.hasNext()) {
                JournaledRequest order = first.next();
                if (order.isOver() || ended || requests.size() > MAX_HELD) {
                    first.remove();
                    if (query.matches(order)) { return order; }
                    continue;
                }
            } else if (ended) {
                return null;
            }
            ended = !read();
        }
    }

    /** Reads some entries, after which the oldest request may be over; false at the end of the journal. */
    private boolean read() throws IOException {
        for (int i = 0; i < 64; i++) {
            Entry entry = entry();
            if (entry == null) { return false; }
            JournaledRequest order = requests.apply(entry);
            // With a wanted value, a request is found at its first record; records of other requests are not kept.
            if (order != null && !query.values().isEmpty() && !query.mayMatch(order)) { requests.remove(order); }
        }
        return true;
    }

    private Entry entry() throws IOException {
        for (;;) {
            Entry entry = reader == null ? null : reader.next();
            if (entry != null) { return entry; }
            if (nextBlock()) { continue; }
            if (source != null) {
                progress.accept(source.size());
                source.close();
                source = null;
                reader = null;
            }
            if (segments.isEmpty()) { return null; }
            open(segments.poll());
        }
    }

    private void open(long number) throws IOException {
        try {
            source = storage.open(SegmentFiles.segmentName(number));
        } catch (NoSuchFileException e) {
            return;                                  // deleted since it was listed
        }
        segment = number;
        block = 0;
        boolean narrow = !query.values().isEmpty() || query.fromUs() > 0 || query.toUs() < Long.MAX_VALUE;
        index = narrow ? SegmentIndex.read(storage, number) : null;
        // The first frame identifies the life. With an index, it is the only frame that is always read.
        reader = index == null ? SegmentFiles.reader(source, number, this::passOver)
                : SegmentFiles.reader(source, number, this::passOver, 0, SegmentFiles.MAGIC_BYTES + 1);
    }

    private boolean nextBlock() throws IOException {
        while (source != null && index != null && block < index.blocks()) {
            int at = block++;
            if (!query.mayMatchBlock(index, at) && (query.values().isEmpty() || !mayContinueIn(at))) { continue; }
            blocksRead++;
            reader = SegmentFiles.reader(source, segment, this::passOver, index.startOffset(at), index.endOffset(at));
            return true;
        }
        return false;
    }

    /** Whether a block may hold further records of a request that has been found. */
    private boolean mayContinueIn(int at) {
        for (JournaledRequest order : requests.requests()) {
            if (!order.isOver() && index.earliestUs(at) - order.firstUs() < Query.MAX_REQUEST_SPAN_US) { return true; }
        }
        return false;
    }

    private void passOver(long from, long to, boolean torn) { damagedBytes += to - from; }

    @Override
    public void close() throws IOException {
        if (source != null) { source.close(); }
        storage.close();
    }
}

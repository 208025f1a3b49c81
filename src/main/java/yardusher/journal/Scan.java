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
 * Reads the orders of one folder in the order in which they came in, with the indexes where these help. The folder's
 * instance may run meanwhile: what it retires is passed over, what it is just writing is not seen.
 */
final class Scan implements Closeable {
    /** Orders held until their ends are read; past it the oldest is given as far as it is known. */
    private static final int MAX_HELD = 100_000;

    private final Storage storage;
    private final Query query;
    private final LongConsumer progress;
    private final Deque<Long> segments;
    private final RequestTable book = new RequestTable();
    private Storage.Source source;
    private Framing<Entry>.Reader reader;
    private SegmentIndex index;
    private long segment;
    private int block;
    private boolean ended;
    private long damaged;
    private long blocksRead;

    /** {@code progress} is told the bytes of each segment that has been passed. */
    Scan(Storage storage, Query query, LongConsumer progress) throws IOException {
        this.storage = storage;
        this.query = query;
        this.progress = progress;
        segments = new ArrayDeque<>(Recovery.segments(storage));
    }

    /** Bytes of damage passed over so far, torn tails among them. */
    long damagedBytes() { return damaged; }

    /** Blocks read by way of an index. */
    long blocksRead() { return blocksRead; }

    /** The next order that is asked for, or null at the end. */
    JournaledRequest next() throws IOException {
        for (;;) {
            Iterator<JournaledRequest> first = book.requests().iterator();
            if (first.hasNext()) {
                JournaledRequest order = first.next();
                if (order.isOver() || ended || book.size() > MAX_HELD) {
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

    /** Reads entries until the oldest order held may be over; false at the end of all. */
    private boolean read() throws IOException {
        for (int i = 0; i < 64; i++) {
            Entry entry = entry();
            if (entry == null) { return false; }
            JournaledRequest order = book.apply(entry);
            // By a value an order is found where it is told first; what speaks of others is not kept.
            if (order != null && !query.values().isEmpty() && !query.mayMatch(order)) { book.remove(order); }
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
            source = storage.open(SegmentFiles.name(number));
        } catch (NoSuchFileException e) {
            return;                                  // retired since it was listed
        }
        segment = number;
        block = 0;
        boolean narrow = !query.values().isEmpty() || query.fromUs() > 0 || query.toUs() < Long.MAX_VALUE;
        index = narrow ? SegmentIndex.read(storage, number) : null;
        // The first frame tells whose life this is; with an index, it is all that is read without being looked up.
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

    /** Whether an order that is asked for goes on in the blocks that follow. */
    private boolean mayContinueIn(int at) {
        for (JournaledRequest order : book.requests()) {
            if (!order.isOver() && index.earliestUs(at) - order.firstUs() < Query.MAX_REQUEST_SPAN_US) { return true; }
        }
        return false;
    }

    private void passOver(long from, long to, boolean torn) { damaged += to - from; }

    @Override
    public void close() throws IOException {
        if (source != null) { source.close(); }
        storage.close();
    }
}

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
    private static final int MOST_HELD = 100_000;

    private final Storage storage;
    private final Query query;
    private final LongConsumer progress;
    private final Deque<Long> segments;
    private final OrderBook book = new OrderBook();
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
    Order next() throws IOException {
        for (;;) {
            Iterator<Order> first = book.orders().iterator();
            if (first.hasNext()) {
                Order order = first.next();
                if (order.isOver() || ended || book.size() > MOST_HELD) {
                    first.remove();
                    if (query.wants(order)) { return order; }
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
            Order order = book.apply(entry);
            // By a value an order is found where it is told first; what speaks of others is not kept.
            if (order != null && !query.values().isEmpty() && !query.mayWant(order)) { book.remove(order); }
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
            source = storage.open(Frames.name(number));
        } catch (NoSuchFileException e) {
            return;                                  // retired since it was listed
        }
        segment = number;
        block = 0;
        boolean narrow = !query.values().isEmpty() || query.fromUs() > 0 || query.toUs() < Long.MAX_VALUE;
        index = narrow ? SegmentIndex.read(storage, number) : null;
        // The first frame tells whose life this is; with an index, it is all that is read without being looked up.
        reader = index == null ? Frames.reader(source, number, this::passOver)
                : Frames.reader(source, number, this::passOver, 0, Frames.MAGIC_BYTES + 1);
    }

    private boolean nextBlock() throws IOException {
        while (source != null && index != null && block < index.blocks()) {
            int at = block++;
            if (!query.reads(index, at) && (query.values().isEmpty() || !awaited(at))) { continue; }
            blocksRead++;
            reader = Frames.reader(source, segment, this::passOver, index.start(at), index.end(at));
            return true;
        }
        return false;
    }

    /** Whether an order that is asked for goes on in the blocks that follow. */
    private boolean awaited(int at) {
        for (Order order : book.orders()) {
            if (!order.isOver() && index.begins(at) - order.firstUs() < Query.LONGEST_US) { return true; }
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

package yardusher.journal;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.function.DoubleSupplier;
import java.util.zip.CRC32C;
import yardusher.disk.Storage;

/**
 * The writing side of a journal: batches go to the active segment; a full one is sealed, and the next begins with a
 * snapshot of the open orders. Used by one thread, which may wait on the disk.
 */
final class Segments implements Closeable {
    static final String RESERVE_FILE = "reserve";

    /** How a batch ended: whether it stands in the journal as durable as settings say, and whether orders find room. */
    record Result(boolean written, boolean full, IOException error) { }

    private final Storage storage;
    private final JournalSettings settings;
    private final DoubleSupplier clockMs;
    private final Retention retention;
    private final Entry.Opened who;
    private final Indexer indexer;
    private final RequestTable book = new RequestTable();
    private SegmentIndex.Builder index = new SegmentIndex.Builder(); // of the active segment
    private final List<Retention.SealedSegment> sealed;
    private final ByteBuffer out = ByteBuffer.allocate(64 * 1024);
    private final CRC32C sum = new CRC32C();
    private volatile Storage.Appender active;        // the syncing thread forces it
    private volatile boolean syncFailed;                 // a sync of it failed: what it holds is not to be trusted
    private long last;                               // the highest number a segment was ever begun with
    private long number;                             // of the active segment
    private long size;
    private long[] offsets = new long[64];           // of the entries of the batch written last
    private boolean reserveHeld;
    private boolean full;
    private volatile long unwritable;

    /**
     * Begins a life behind what recovery found: the first segment carries the last life's open orders, closed.
     *
     * @throws IOException where the first segment cannot be written: nothing would be recorded
     */
    Segments(Storage storage, JournalSettings settings, Recovery.Result found, Entry.Opened who, DoubleSupplier clockMs,
            Indexer indexer) throws IOException {
        this.storage = storage;
        this.settings = settings;
        this.clockMs = clockMs;
        this.who = who;
        this.indexer = indexer;
        retention = new Retention(settings);
        sealed = new ArrayList<>(found.sealed());
        last = found.last();
        book.apply(who);                             // what is open is this life's
        storage.delete(RESERVE_FILE);                     // of a life that was killed: made anew below
        List<Entry> first = new ArrayList<>();
        for (JournaledRequest order : found.open().requests()) {
            first.add(new Entry.Carried(order.acceptedUs, order.life, order.number, order.facts, order.answer, order.attempts));
        }
        int carried = first.size();
        for (JournaledRequest order : found.open().requests()) { first.add(new Entry.Closed(nowUs(), order.life, order.number)); }
        first.add(new Entry.SnapshotEnd(nowUs(), carried));
        roll(first);
        allocateReserve();
        retire();
    }

    private long nowUs() { return (long) (clockMs.getAsDouble() * 1e3); }

    /** Writes a batch whole, or leaves the journal as it was and says why. */
    Result append(List<Entry> batch) {
        try {
            write(batch);
        } catch (IOException first) {
            if (!reserveHeld) { return new Result(false, true, first); }
            releaseReserve();                        // what is already out can still be recorded
            try {
                write(batch);
            } catch (IOException again) {
                return new Result(false, true, again);
            }
        }
        return new Result(true, isFull(), null);
    }

    private boolean isFull() { return full || !reserveHeld; }

    /** Looks again whether there is room for new orders. */
    boolean recheck() {
        if (!reserveHeld) { allocateReserve(); }
        retire();
        return isFull();
    }

    private void write(List<Entry> batch) throws IOException {
        if (active == null || syncFailed || size >= settings.segmentBytes()) { roll(book.snapshot(nowUs())); }
        long good = size;
        Storage.Appender file = active;
        try {
            size += put(file, number, batch, size);
        } catch (IOException e) {
            undo(file, good);
            throw e;
        }
        if (settings.durability() == JournalSettings.Durability.MACHINE) { force(file); }
        for (int i = 0; i < batch.size(); i++) {
            JournaledRequest order = book.apply(batch.get(i));
            index.add(batch.get(i), offsets[i], order);
            if (order != null && order.isOver()) { book.remove(order); }
        }
        if (size + total() > settings.maxBytes() - settings.reserveBytes()) { retire(); }
    }

    private long total() {
        long total = 0;
        for (Retention.SealedSegment one : sealed) { total += one.bytes(); }
        return total;
    }

    /** Writes entries from an offset on, and notes where each begins. */
    private long put(Storage.Appender file, long segment, List<Entry> batch, long offset) throws IOException {
        if (offsets.length < batch.size()) { offsets = new long[batch.size() * 2]; }
        long before = 0;
        int count = 0;
        out.clear();
        for (Entry entry : batch) {
            if (out.remaining() < SegmentFiles.HEADER_BYTES + SegmentFiles.MAX_PAYLOAD_BYTES) { before += flush(file); }
            int at = out.position();
            offsets[count++] = offset + before + at;
            try {
                SegmentFiles.put(segment, entry, out, sum);
            } catch (IOException e) {
                out.position(at);                    // longer than a frame: it would hold up all others for ever
                unwritable = unwritable + 1;
            }
        }
        return before + flush(file);
    }

    private int flush(Storage.Appender file) throws IOException {
        out.flip();
        int length = out.remaining();
        while (out.hasRemaining()) { file.write(out); }
        out.clear();
        return length;
    }

    private void undo(Storage.Appender file, long good) {
        try {
            file.truncate(good);
            size = good;
            index.truncate(good);
        } catch (IOException e) {
            abandon(file);
        }
    }

    /** Leaves a file that can be trusted no more; what stands in it is read as far as it is valid. */
    private void abandon(Storage.Appender file) {
        try {
            file.close();
        } catch (IOException e) { /* it is left either way */ }
        if (file == active) {
            sealed.add(new Retention.SealedSegment(number, size, clockMs.getAsDouble()));
            active = null;
        }
    }

    /** Makes all that was appended survive a loss of power; for a journal whose intents wait for it. */
    private void force(Storage.Appender file) throws IOException {
        try {
            file.force();
        } catch (IOException e) {
            abandon(file);                           // after a failed sync nobody knows what the disk holds
            throw e;
        }
    }

    /** The same from another thread while this one goes on; a failure spoils the segment for what comes. */
    void forceConcurrently() {
        Storage.Appender file = active;
        if (file == null) { return; }
        try {
            file.force();
        } catch (IOException e) {
            if (file == active) { syncFailed = true; }   // else sealed meanwhile, and forced with it
        }
    }

    /** Seals the active segment and begins the next. On failure all stays as it was. */
    private void roll(List<Entry> snapshot) throws IOException {
        boolean lasting = settings.durability() != JournalSettings.Durability.PROCESS;
        long next = ++last;                          // never used twice, also if this fails
        Storage.Appender old = active;
        if (old != null && lasting && !syncFailed) { force(old); }
        Storage.Appender file = null;
        long length = SegmentFiles.MAGIC_BYTES;
        SegmentIndex.Builder begun = new SegmentIndex.Builder();
        try {
            file = storage.create(SegmentFiles.name(next));
            ByteBuffer magic = ByteBuffer.allocate(SegmentFiles.MAGIC_BYTES);
            SegmentFiles.putMagic(magic);
            magic.flip();
            while (magic.hasRemaining()) { file.write(magic); }
            List<Entry> head = new ArrayList<>(snapshot.size() + 1);
            head.add(new Entry.Opened(nowUs(), who.life(), who.name(), who.classes(), who.plans()));
            head.addAll(snapshot);
            length += put(file, next, head, length);
            // The book stays as it is: it holds what the head tells, and of orders of earlier lives nothing.
            RequestTable told = new RequestTable();
            for (int i = 0; i < head.size(); i++) {
                JournaledRequest order = told.apply(head.get(i));
                begun.add(head.get(i), offsets[i], order);
                if (head.get(i) instanceof Entry.Carried e) { book.setFirstBlock(e.life(), e.order(), order.firstBlock); }
            }
            if (lasting) {
                file.force();
                storage.forceDirectory();
            }
        } catch (IOException e) {
            discard(file, next);
            throw e;
        }
        long sealedNumber = number;
        long sealedSize = size;
        SegmentIndex.Builder sealedIndex = index;
        active = file;
        number = next;
        index = begun;
        size = length;
        syncFailed = false;
        if (old != null) {
            try {
                old.close();
            } catch (IOException e) { /* written and forced as far as it goes */ }
            sealed.add(new Retention.SealedSegment(sealedNumber, sealedSize, clockMs.getAsDouble()));
            indexer.write(sealedNumber, sealedIndex, sealedSize);
            retire();
        }
    }

    private void discard(Storage.Appender file, long segment) {
        try {
            if (file != null) { file.close(); }
            storage.delete(SegmentFiles.name(segment));
        } catch (IOException e) { /* half a segment: recovery knows it by its snapshot */ }
    }

    private void retire() {
        Retention.Decision verdict = retention.decide(sealed, size, clockMs.getAsDouble());
        full = verdict.full();
        for (Retention.SealedSegment one : verdict.retire()) {
            try {
                storage.delete(SegmentFiles.indexName(one.number()));
                storage.delete(SegmentFiles.name(one.number()));
                sealed.remove(one);
            } catch (IOException e) {
                full = true;                         // what cannot go still takes its room
            }
        }
    }

    private void allocateReserve() {
        Storage.Appender file = null;
        try {
            file = storage.create(RESERVE_FILE);
            ByteBuffer zeros = ByteBuffer.allocate(settings.reserveBytes());
            while (zeros.hasRemaining()) { file.write(zeros); }
            file.force();
            file.close();
            reserveHeld = true;
        } catch (IOException e) {
            try {
                if (file != null) { file.close(); }
                storage.delete(RESERVE_FILE);
            } catch (IOException again) { /* tried anew at the next look */ }
        }
    }

    private void releaseReserve() {
        reserveHeld = false;
        try {
            storage.delete(RESERVE_FILE);
        } catch (IOException e) { /* then there is nothing to win */ }
    }

    /** Entries that no frame could hold. */
    long unwritable() { return unwritable; }

    @Override
    public void close() throws IOException {
        Storage.Appender file = active;
        active = null;
        try {
            if (file != null) {
                file.force();
                file.close();
            }
        } finally {
            storage.delete(RESERVE_FILE);
            storage.close();
        }
    }
}

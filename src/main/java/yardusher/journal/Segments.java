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
 * Writes the segments of a journal. Batches are appended to the active segment; a full segment is sealed, and the next begins
 * with a snapshot of the open requests. Used by a single thread, which may block on the disk.
 */
final class Segments implements Closeable {
    static final String RESERVE_FILE = "reserve";

    /** The result of an append: whether the batch is as durable as configured, and whether the disk is full for new requests. */
    record Result(boolean written, boolean full, IOException error) { }

    private final Storage storage;
    private final JournalSettings settings;
    private final DoubleSupplier clockMs;
    private final Retention retention;
    private final Entry.Opened opened;
    private final Indexer indexer;
    private final RequestTable requests = new RequestTable();
    private SegmentIndex.Builder index = new SegmentIndex.Builder(); // of the active segment
    private final List<Retention.SealedSegment> sealed;
    private final ByteBuffer out = ByteBuffer.allocate(64 * 1024);
    private final CRC32C sum = new CRC32C();
    private volatile Storage.Appender active;        // the sync thread forces it
    private volatile boolean syncFailed;             // a sync of the active segment failed, so its content on disk is unknown
    private long lastNumber;                         // the highest segment number ever used
    private long activeNumber;                       // of the active segment
    private long activeBytes;
    private long[] offsets = new long[64];           // of the entries of the last batch
    private boolean reserveHeld;
    private boolean full;
    private volatile long unwritable;

    /**
     * Begins a new life after recovery: the first segment carries the open requests of the last life and closes them.
     *
     * @throws IOException if the first segment cannot be written, since nothing could be recorded
     */
    Segments(Storage storage, JournalSettings settings, Recovery.Result found, Entry.Opened opened, DoubleSupplier clockMs,
            Indexer indexer) throws IOException {
        this.storage = storage;
        this.settings = settings;
        this.clockMs = clockMs;
        this.opened = opened;
        this.indexer = indexer;
        retention = new Retention(settings);
        sealed = new ArrayList<>(found.sealed());
        lastNumber = found.last();
        requests.apply(opened);                      // sets the current life
        storage.delete(RESERVE_FILE);                // left by a life that was killed; created again below
        List<Entry> first = new ArrayList<>();
        for (JournaledRequest order : found.openRequests().requests()) {
            first.add(new Entry.Carried(order.acceptedUs, order.life, order.number, order.facts, order.answer, order.attempts));
        }
        int carried = first.size();
        for (JournaledRequest order : found.openRequests().requests()) { first.add(new Entry.Closed(nowUs(), order.life, order.number)); }
        first.add(new Entry.SnapshotEnd(nowUs(), carried));
        roll(first);
        allocateReserve();
        retire();
    }

    private long nowUs() { return (long) (clockMs.getAsDouble() * 1e3); }

    /** Writes a whole batch, or leaves the journal as it was and returns the error. */
    Result append(List<Entry> batch) {
        try {
            write(batch);
        } catch (IOException first) {
            if (!reserveHeld) { return new Result(false, true, first); }
            releaseReserve();                        // frees space to record the outcomes of requests in flight
            try {
                write(batch);
            } catch (IOException again) {
                return new Result(false, true, again);
            }
        }
        return new Result(true, isFull(), null);
    }

    private boolean isFull() { return full || !reserveHeld; }

    /** Checks again whether there is space for new requests; returns whether the disk is still full. */
    boolean recheck() {
        if (!reserveHeld) { allocateReserve(); }
        retire();
        return isFull();
    }

    private void write(List<Entry> batch) throws IOException {
        if (active == null || syncFailed || activeBytes >= settings.segmentBytes()) { roll(requests.snapshot(nowUs())); }
        long good = activeBytes;
        Storage.Appender file = active;
        try {
            activeBytes += put(file, activeNumber, batch, activeBytes);
        } catch (IOException e) {
            undo(file, good);
            throw e;
        }
        if (settings.durability() == JournalSettings.Durability.MACHINE) { force(file); }
        for (int i = 0; i < batch.size(); i++) {
            JournaledRequest order = requests.apply(batch.get(i));
            index.add(batch.get(i), offsets[i], order);
            if (order != null && order.isOver()) { requests.remove(order); }
        }
        if (activeBytes + total() > settings.maxBytes() - settings.reserveBytes()) { retire(); }
    }

    private long total() {
        long total = 0;
        for (Retention.SealedSegment one : sealed) { total += one.bytes(); }
        return total;
    }

    /** Writes entries from an offset on, and notes the offset of each. */
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
                out.position(at);                    // too long for a frame: retrying would block all other entries forever
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
            activeBytes = good;
            index.truncate(good);
        } catch (IOException e) {
            abandon(file);
        }
    }

    /** Stops writing a file that is no longer reliable; readers still read its valid frames. */
    private void abandon(Storage.Appender file) {
        try {
            file.close();
        } catch (IOException e) { /* the file is no longer used */ }
        if (file == active) {
            sealed.add(new Retention.SealedSegment(activeNumber, activeBytes, clockMs.getAsDouble()));
            active = null;
        }
    }

    /** Makes all appended entries survive a power failure, for a journal whose intents wait for the sync. */
    private void force(Storage.Appender file) throws IOException {
        try {
            file.force();
        } catch (IOException e) {
            abandon(file);                           // after a failed sync the content of the disk is unknown
            throw e;
        }
    }

    /** The same from another thread, while this one continues to write; after a failure the segment is not written again. */
    void forceConcurrently() {
        Storage.Appender file = active;
        if (file == null) { return; }
        try {
            file.force();
        } catch (IOException e) {
            if (file == active) { syncFailed = true; } // otherwise it was sealed meanwhile, which forced it
        }
    }

    /** Seals the active segment and begins the next. A failure leaves everything as it was. */
    private void roll(List<Entry> snapshot) throws IOException {
        boolean lasting = settings.durability() != JournalSettings.Durability.PROCESS;
        long next = ++lastNumber;                    // never reused, even if this fails
        Storage.Appender old = active;
        if (old != null && lasting && !syncFailed) { force(old); }
        Storage.Appender file = null;
        long length = SegmentFiles.MAGIC_BYTES;
        SegmentIndex.Builder begun = new SegmentIndex.Builder();
        try {
            file = storage.create(SegmentFiles.segmentName(next));
            ByteBuffer magic = ByteBuffer.allocate(SegmentFiles.MAGIC_BYTES);
            SegmentFiles.putMagic(magic);
            magic.flip();
            while (magic.hasRemaining()) { file.write(magic); }
            List<Entry> head = new ArrayList<>(snapshot.size() + 1);
            head.add(new Entry.Opened(nowUs(), opened.life(), opened.name(), opened.classes(), opened.plans()));
            head.addAll(snapshot);
            length += put(file, next, head, length);
            // The table of this life stays unchanged: the snapshot is taken from it, and it holds no requests of earlier lives.
            RequestTable told = new RequestTable();
            for (int i = 0; i < head.size(); i++) {
                JournaledRequest order = told.apply(head.get(i));
                begun.add(head.get(i), offsets[i], order);
                if (head.get(i) instanceof Entry.Carried e) { requests.setFirstBlock(e.life(), e.requestNumber(), order.firstBlock); }
            }
            if (lasting) {
                file.force();
                storage.forceDirectory();
            }
        } catch (IOException e) {
            discard(file, next);
            throw e;
        }
        long sealedNumber = activeNumber;
        long sealedSize = activeBytes;
        SegmentIndex.Builder sealedIndex = index;
        active = file;
        activeNumber = next;
        index = begun;
        activeBytes = length;
        syncFailed = false;
        if (old != null) {
            try {
                old.close();
            } catch (IOException e) { /* already written, and forced if durability requires it */ }
            sealed.add(new Retention.SealedSegment(sealedNumber, sealedSize, clockMs.getAsDouble()));
            indexer.write(sealedNumber, sealedIndex, sealedSize);
            retire();
        }
    }

    private void discard(Storage.Appender file, long segment) {
        try {
            if (file != null) { file.close(); }
            storage.delete(SegmentFiles.segmentName(segment));
        } catch (IOException e) { /* recovery detects a partial segment by its incomplete snapshot */ }
    }

    private void retire() {
        Retention.Decision verdict = retention.decide(sealed, activeBytes, clockMs.getAsDouble());
        full = verdict.full();
        for (Retention.SealedSegment one : verdict.retire()) {
            try {
                storage.delete(SegmentFiles.indexName(one.number()));
                storage.delete(SegmentFiles.segmentName(one.number()));
                sealed.remove(one);
            } catch (IOException e) {
                full = true;                         // a segment that cannot be deleted still takes space
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
            } catch (IOException again) { /* retried at the next recheck */ }
        }
    }

    private void releaseReserve() {
        reserveHeld = false;
        try {
            storage.delete(RESERVE_FILE);
        } catch (IOException e) { /* then no space is freed */ }
    }

    /** The number of entries that were too long for a frame. */
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

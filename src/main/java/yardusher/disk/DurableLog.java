package yardusher.disk;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * A durable log of small records in numbered segments. Each segment begins with a snapshot of the current state, so older
 * segments can be deleted. Damage is never skipped: a torn tail of the last segment is dropped, since its records were
 * never acknowledged; any other damage is an {@link IOException}, and the owner must not continue as if nothing had been
 * written. Used by a single thread, which may block on the disk.
 */
public final class DurableLog implements Closeable {
    /** A record: its kind, a number above 0 that the owner assigns, and its encoded message. */
    public record LogRecord(int kind, byte[] body) { }

    /** The state that the owner of a log builds from its records. */
    public interface LoggedState {
        /**
         * Applies one record, in order, those of the snapshot first. Throws an {@link IOException} for a record that the owner
         * cannot have written.
         */
        void apply(LogRecord record) throws IOException;

        /** The current state, as the records that restore it. */
        List<LogRecord> snapshot();
    }

    private static final int SNAPSHOT_END = 0;
    private static final int MAX_RECORD_BYTES = 65_000; // bytes
    private static final Framing.Codec<LogRecord> CODEC = new Framing.Codec<>() {
        @Override
        public void encode(LogRecord line, CodedOutputStream out) throws IOException {
            out.writeUInt32(1, line.kind());
            out.writeByteArray(2, line.body());
        }

        @Override
        public LogRecord decode(CodedInputStream in) throws IOException {
            Fields f = Fields.read(in);
            return new LogRecord(f.intNumber(1), f.bytes(2));
        }
    };

    private final Storage storage;
    private final String prefix;
    private final Framing<LogRecord> framing;
    private final LoggedState state;
    private final long segmentBytes;
    private final ByteBuffer out;
    private final CRC32C sum = new CRC32C();
    private Storage.Appender active;
    private long number;
    private long size;

    private DurableLog(Storage storage, String prefix, long magic, LoggedState state, long segmentBytes) {
        this.storage = storage;
        this.prefix = prefix;
        this.framing = new Framing<>(magic, MAX_RECORD_BYTES, CODEC);
        this.state = state;
        this.segmentBytes = segmentBytes;
        out = ByteBuffer.allocate(Math.max(64 * 1024, 2 * framing.maxFrameBytes()));
    }

    /** Whether a directory holds segments of this log, complete or not. */
    public static boolean exists(Storage storage, String prefix) throws IOException {
        return !numbers(storage, prefix).isEmpty();
    }

    /** Creates a log in a directory that holds none, with a snapshot of the state. */
    public static DurableLog create(Storage storage, String prefix, long magic, LoggedState state, long segmentBytes) throws IOException {
        DurableLog log = new DurableLog(storage, prefix, magic, state, segmentBytes);
        log.roll();
        return log;
    }

    /**
     * Replays an existing log into the state, then begins a new segment.
     *
     * @throws IOException if there is none, if it is damaged, or if the next segment cannot be written
     */
    public static DurableLog open(Storage storage, String prefix, long magic, LoggedState state, long segmentBytes) throws IOException {
        DurableLog log = new DurableLog(storage, prefix, magic, state, segmentBytes);
        List<Long> numbers = numbers(storage, prefix);
        int last = numbers.size() - 1;
        // A segment with an incomplete snapshot comes from an interrupted roll; no records were appended to it.
        while (last >= 0 && log.isSnapshotIncomplete(numbers.get(last))) { last--; }
        if (last < 0) { throw new IOException("no " + prefix + " segment is complete"); }
        log.replay(numbers.get(last));
        log.number = numbers.get(numbers.size() - 1);
        log.roll();
        for (long old : numbers) { storage.delete(name(prefix, old)); }
        return log;
    }

    private static String name(String prefix, long number) { return String.format("%s-%016d.seg", prefix, number); }

    private static List<Long> numbers(Storage storage, String prefix) throws IOException {
        List<Long> numbers = new ArrayList<>();
        for (String name : storage.list()) {
            if (name.matches(prefix + "-[0-9]{16}\\.seg")) {
                numbers.add(Long.parseLong(name.substring(prefix.length() + 1, prefix.length() + 17)));
            }
        }
        numbers.sort(null);
        return numbers;
    }

    /** Whether a segment ends before the end of its snapshot, as a crash leaves it. False if there is damage before a valid frame. */
    private boolean isSnapshotIncomplete(long segment) throws IOException {
        boolean[] damaged = new boolean[1];
        try (Storage.Source source = storage.open(name(prefix, segment))) {
            Framing<LogRecord>.Reader reader = framing.new Reader(source, segment, (from, to, torn) -> damaged[0] |= !torn);
            int count = 0;
            for (LogRecord record; (record = reader.next()) != null; count++) {
                if (record.kind() == SNAPSHOT_END || damaged[0]) { return false; }
            }
        }
        return true;
    }

    private void replay(long segment) throws IOException {
        String name = name(prefix, segment);
        String[] damage = new String[1];
        long[] torn = {-1};
        try (Storage.Source source = storage.open(name)) {
            Framing<LogRecord>.Reader reader = framing.new Reader(source, segment, (from, to, tail) -> {
                if (tail) { torn[0] = from; } else { damage[0] = name + ": damaged, " + (to - from) + " bytes from " + from; }
            });
            boolean snapshotComplete = false;
            int count = 0;
            for (LogRecord record; (record = reader.next()) != null; count++) {
                if (damage[0] != null) { throw new IOException(damage[0]); }
                if (record.kind() != SNAPSHOT_END) {
                    state.apply(record);
                } else if (snapshotComplete || Fields.read(record.body()).number(1) != count) {
                    throw new IOException(name + ": its snapshot is incomplete");
                } else {
                    snapshotComplete = true;
                }
            }
            if (damage[0] != null || !snapshotComplete) {
                throw new IOException(damage[0] == null ? name + ": its snapshot is incomplete" : damage[0]);
            }
        }
    }

    /** Appends all of the records, or none of them if a write fails. They are durable once {@link #force} has returned. */
    public void append(List<LogRecord> records) throws IOException {
        if (active == null) { throw new IOException(prefix + ": not open for writing"); }
        long good = size;
        try {
            size += put(active, number, records);
        } catch (IOException e) {
            try {
                active.truncate(good);
                size = good;
            } catch (IOException again) {
                abandon();
            }
            throw e;
        }
    }

    /** Returns once all appended records survive a power failure. After a failure the log is not written again. */
    public void force() throws IOException {
        if (active == null) { throw new IOException(prefix + ": not open for writing"); }
        try {
            active.force();
        } catch (IOException e) {
            abandon();                               // after a failed sync the content of the disk is unknown
            throw e;
        }
    }

    /** Whether the segment has reached its maximum size; the owner calls {@link #roll} when its state is not changing. */
    public boolean isDueToRoll() { return size >= segmentBytes; }

    /** Begins the next segment with a durable snapshot of the state and deletes the older one. A failure leaves everything as it was. */
    public void roll() throws IOException { roll(state.snapshot()); }

    /** The same with a snapshot that was taken while the state was not changing. */
    public void roll(List<LogRecord> snapshot) throws IOException {
        long next = number + 1;
        String name = name(prefix, next);
        Storage.Appender file = null;
        long length;
        try {
            storage.delete(name);
            file = storage.create(name);
            ByteBuffer magic = ByteBuffer.allocate(Framing.MAGIC_BYTES);
            framing.putMagic(magic);
            magic.flip();
            while (magic.hasRemaining()) { file.write(magic); }
            List<LogRecord> records = new ArrayList<>(snapshot);
            records.add(new LogRecord(SNAPSHOT_END, new Fields.Writer().number(1, records.size()).toBytes()));
            length = Framing.MAGIC_BYTES + put(file, next, records);
            file.force();
            storage.forceDirectory();
        } catch (IOException e) {
            if (file != null) { file.close(); }
            storage.delete(name);
            throw e;
        }
        Storage.Appender old = active;
        long before = number;
        active = file;
        number = next;
        size = length;
        if (old != null) {
            old.close();
            storage.delete(name(prefix, before));
        }
    }

    private long put(Storage.Appender file, long segment, List<LogRecord> records) throws IOException {
        long length = 0;
        out.clear();
        for (LogRecord record : records) {
            if (out.remaining() < framing.maxFrameBytes()) { length += flush(file); }
            framing.put(segment, record, out, sum);
        }
        return length + flush(file);
    }

    private int flush(Storage.Appender file) throws IOException {
        out.flip();
        int length = out.remaining();
        while (out.hasRemaining()) { file.write(out); }
        out.clear();
        return length;
    }

    private void abandon() {
        Storage.Appender file = active;
        active = null;
        try {
            file.close();
        } catch (IOException e) { /* the file is no longer used */ }
    }

    /** Closes the active file; the directory still belongs to its owner. */
    @Override
    public void close() throws IOException {
        Storage.Appender file = active;
        active = null;
        if (file != null) { file.close(); }
    }
}

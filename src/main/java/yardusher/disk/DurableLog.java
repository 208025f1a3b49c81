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
 * A log of small records that must never be forgotten: numbered segments, of which each begins with all that still
 * counts (its base), so that the older ones can go. Nothing here passes over damage: a torn tail of the last segment is
 * cut, since what it held was never told to anyone; any other damage is an {@link IOException} in one plain line, and
 * the owner must not go on as if nothing had been written. Used by one thread, which may wait on the disk.
 */
public final class DurableLog implements Closeable {
    /** One record: what it is, in a number above 0 of its owner's, and a message. */
    public record LogRecord(int kind, byte[] body) { }

    /** What the owner of a ledger keeps of its records. */
    public interface LoggedState {
        /** One record, in order; those of a base first. An {@link IOException} for one that its owner cannot have written. */
        void apply(LogRecord line) throws IOException;

        /** What still counts, as the records that give it again. */
        List<LogRecord> snapshot();
    }

    private static final int SNAPSHOT_END = 0;
    private static final int MAX_RECORD_BYTES = 65_000;     // bytes
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
    private final LoggedState content;
    private final long segmentBytes;
    private final ByteBuffer out;
    private final CRC32C sum = new CRC32C();
    private Storage.Appender active;
    private long number;
    private long size;

    private DurableLog(Storage storage, String prefix, long magic, LoggedState content, long segmentBytes) {
        this.storage = storage;
        this.prefix = prefix;
        this.framing = new Framing<>(magic, MAX_RECORD_BYTES, CODEC);
        this.content = content;
        this.segmentBytes = segmentBytes;
        out = ByteBuffer.allocate(Math.max(64 * 1024, 2 * framing.maxFrameBytes()));
    }

    /** Whether a folder holds a ledger of this name, whole or not. */
    public static boolean exists(Storage storage, String prefix) throws IOException {
        return !numbers(storage, prefix).isEmpty();
    }

    /** Begins a ledger in a folder that holds none, with the content's base. */
    public static DurableLog create(Storage storage, String prefix, long magic, LoggedState content, long segmentBytes) throws IOException {
        DurableLog ledger = new DurableLog(storage, prefix, magic, content, segmentBytes);
        ledger.roll();
        return ledger;
    }

    /**
     * Reads what was written into the content and goes on behind it, in a segment of its own.
     *
     * @throws IOException where there is none, where it is damaged, or where the next segment cannot be written
     */
    public static DurableLog open(Storage storage, String prefix, long magic, LoggedState content, long segmentBytes) throws IOException {
        DurableLog ledger = new DurableLog(storage, prefix, magic, content, segmentBytes);
        List<Long> numbers = numbers(storage, prefix);
        int last = numbers.size() - 1;
        // A segment whose base was never ended is one of a roll that was cut off: nothing was written behind it.
        while (last >= 0 && ledger.isSnapshotIncomplete(numbers.get(last))) { last--; }
        if (last < 0) { throw new IOException("no " + prefix + " segment is whole"); }
        ledger.replay(numbers.get(last));
        ledger.number = numbers.get(numbers.size() - 1);
        ledger.roll();
        for (long old : numbers) { storage.delete(name(prefix, old)); }
        return ledger;
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

    /** Whether a segment ends before its base does, as a crash leaves it; damage before a valid frame is none of that. */
    private boolean isSnapshotIncomplete(long segment) throws IOException {
        boolean[] spoilt = new boolean[1];
        try (Storage.Source source = storage.open(name(prefix, segment))) {
            Framing<LogRecord>.Reader reader = framing.new Reader(source, segment, (from, to, torn) -> spoilt[0] |= !torn);
            int count = 0;
            for (LogRecord record; (record = reader.next()) != null; count++) {
                if (record.kind() == SNAPSHOT_END || spoilt[0]) { return false; }
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
            boolean based = false;
            int count = 0;
            for (LogRecord record; (record = reader.next()) != null; count++) {
                if (damage[0] != null) { throw new IOException(damage[0]); }
                if (record.kind() != SNAPSHOT_END) {
                    content.apply(record);
                } else if (based || Fields.read(record.body()).number(1) != count) {
                    throw new IOException(name + ": its base is not whole");
                } else {
                    based = true;
                }
            }
            if (damage[0] != null || !based) { throw new IOException(damage[0] == null ? name + ": its base is not whole" : damage[0]); }
        }
    }

    /** Writes records; where that fails nothing of them stands. Durable once {@link #force} has returned. */
    public void append(List<LogRecord> records) throws IOException {
        if (active == null) { throw new IOException(prefix + ": no longer written"); }
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

    /** Returns once all that was appended survives a loss of power. After a failure the ledger is never written again. */
    public void force() throws IOException {
        if (active == null) { throw new IOException(prefix + ": no longer written"); }
        try {
            active.force();
        } catch (IOException e) {
            abandon();                               // nobody knows what the disk holds now
            throw e;
        }
    }

    /** Whether the segment is large enough to be left; the owner calls {@link #roll} when its content is at rest. */
    public boolean isDueToRoll() { return size >= segmentBytes; }

    /** Begins the next segment with the content's base, durably, and lets the older ones go. On failure all stays as it was. */
    public void roll() throws IOException { roll(content.snapshot()); }

    /** The same with a base that was taken when the content was at rest. */
    public void roll(List<LogRecord> content) throws IOException {
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
            List<LogRecord> base = new ArrayList<>(content);
            base.add(new LogRecord(SNAPSHOT_END, new Fields.Writer().number(1, base.size()).toBytes()));
            length = Framing.MAGIC_BYTES + put(file, next, base);
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
        } catch (IOException e) { /* it is left either way */ }
    }

    /** Leaves the file; the folder stays its owner's. */
    @Override
    public void close() throws IOException {
        Storage.Appender file = active;
        active = null;
        if (file != null) { file.close(); }
    }
}

package yardusher.journal;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.zip.CRC32C;
import yardusher.disk.Framing;
import yardusher.disk.Storage;

/** The segment files of a journal: their names, and the framing of its entries. */
final class SegmentFiles {
    static final int MAGIC_BYTES = Framing.MAGIC_BYTES;
    static final int HEADER_BYTES = Framing.HEADER_BYTES;
    /** A payload is no longer; whatever claims to be is damage. */
    static final int MAX_PAYLOAD_BYTES = 4096;
    private static final long MAGIC = 0x59444A524E4C0001L; // YDJRNL and format version 1
    private static final Framing<Entry> FRAMING = new Framing<>(MAGIC, MAX_PAYLOAD_BYTES, new Framing.Codec<>() {
        @Override
        public void encode(Entry entry, CodedOutputStream out) throws IOException { EntryCodec.encode(entry, out); }

        @Override
        public Entry decode(CodedInputStream in) throws IOException { return EntryCodec.decode(in); }
    });

    private SegmentFiles() { }

    static String name(long segment) { return String.format("orders-%016d.seg", segment); }

    static String indexName(long segment) { return String.format("orders-%016d.idx", segment); }

    /** The number in a segment's file name; -1 for another file. */
    static long number(String name) {
        return name.matches("orders-[0-9]{16}\\.seg") ? Long.parseLong(name.substring(7, 23)) : -1;
    }

    static void putMagic(ByteBuffer out) { FRAMING.putMagic(out); }

    /** Appends an entry's frame, as {@link Framing#put}. */
    static void put(long segment, Entry entry, ByteBuffer out, CRC32C sum) throws IOException {
        FRAMING.put(segment, entry, out, sum);
    }

    /** Reads the frames of one segment in order, and goes on behind whatever is damaged. */
    static Framing<Entry>.Reader reader(Storage.Source source, long segment, Framing.DamageListener damage) throws IOException {
        return FRAMING.new Reader(source, segment, damage);
    }

    /** Reads the frames that begin from one offset to before another; the first must be a frame's, or 0. */
    static Framing<Entry>.Reader reader(Storage.Source source, long segment, Framing.DamageListener damage, long start, long end)
            throws IOException {
        return FRAMING.new Reader(source, segment, damage, start, end);
    }
}

package yardusher.disk;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * The framing of a segment file: eight bytes of magic, then frames of a marker, a version, a length, a CRC32C over
 * the segment's number, version, length and payload, and the payload, a message of one kind of store. The number in the
 * sum keeps a frame of one segment from being taken for one of another. Writing: {@link #put}. Reading: {@link Reader}.
 */
public final class Framing<T> {
    public static final int MAGIC_BYTES = 8;
    public static final int HEADER_BYTES = 8;
    private static final byte MARKER = (byte) 0xD5;
    private static final byte VERSION = 1;

    /** The messages of one kind of store. */
    public interface Codec<T> {
        /** Writes a message; an {@link IOException} where it is longer than a frame may be. */
        void encode(T entry, CodedOutputStream out) throws IOException;

        /** Reads one; null for a kind that a later version writes, an {@link IOException} for what is none. */
        T decode(CodedInputStream in) throws IOException;
    }

    private final long magic;
    private final int maxPayloadBytes;
    private final Codec<T> codec;

    /** {@code mostPayload}: bytes, at most 65,535; whatever claims to be longer is damage. */
    public Framing(long magic, int mostPayload, Codec<T> codec) {
        this.magic = magic;
        this.maxPayloadBytes = mostPayload;
        this.codec = codec;
    }

    /** Bytes that a frame can take. */
    public int maxFrameBytes() { return HEADER_BYTES + maxPayloadBytes; }

    public void putMagic(ByteBuffer out) { out.putLong(magic); }

    /**
     * Appends an entry's frame at the buffer's position. Needs a heap buffer with room for a whole frame.
     *
     * @throws IOException where the entry is longer than a frame may be
     */
    public void put(long segment, T entry, ByteBuffer out, CRC32C sum) throws IOException {
        int at = out.position();
        CodedOutputStream message = CodedOutputStream.newInstance(out.array(), out.arrayOffset() + at + HEADER_BYTES,
                Math.min(maxPayloadBytes, out.remaining() - HEADER_BYTES));
        codec.encode(entry, message);
        int length = message.getTotalBytesWritten();
        out.put(at, MARKER).put(at + 1, VERSION).putShort(at + 2, (short) length);
        out.putInt(at + 4, checksum(segment, out.array(), out.arrayOffset() + at, length, sum));
        out.position(at + HEADER_BYTES + length);
    }

    private static int checksum(long segment, byte[] bytes, int at, int length, CRC32C sum) {
        sum.reset();
        for (int shift = 56; shift >= 0; shift -= 8) { sum.update((int) (segment >>> shift)); }
        sum.update(bytes, at + 1, 3);
        sum.update(bytes, at + HEADER_BYTES, length);
        return (int) sum.getValue();
    }

    /** What a reader passed over. */
    public interface DamageListener {
        /** Bytes from one offset to before another that hold no valid frame; {@code torn}: nothing valid follows. */
        void onDamage(long from, long to, boolean torn);
    }

    /** Reads the frames of one segment in order, and goes on behind whatever is damaged. */
    public class Reader {
        private final Storage.Source source;
        private final long segment;
        private final DamageListener damage;
        private final CRC32C sum = new CRC32C();
        private final ByteBuffer window = ByteBuffer.allocate(256 * 1024);
        private long windowOffset;                       // the file's offset of the window's first byte
        private long frameOffset;
        private long damageStart;                           // first byte of damage not yet reported, or -1
        private final long limit;
        private boolean ended;                       // the file was read to its end

        /** Reads from the beginning. */
        public Reader(Storage.Source source, long segment, DamageListener damage) throws IOException {
            this(source, segment, damage, 0, Long.MAX_VALUE);
        }

        /** Reads the frames that begin from one offset to before another; the first must be a frame's, or 0. */
        public Reader(Storage.Source source, long segment, DamageListener damage, long start, long end) throws IOException {
            this.source = source;
            this.segment = segment;
            this.damage = damage;
            this.limit = end;
            windowOffset = start;
            damageStart = -1;
            window.limit(0);
            if (start == 0) {
                fill();
                if (window.remaining() < MAGIC_BYTES || window.getLong(window.position()) != magic) {
                    damageStart = 0;                        // a damaged magic costs itself alone: frames are found behind it
                } else {
                    window.position(MAGIC_BYTES);
                }
            }
        }

        /** The offset of the frame given last. */
        public long frameOffset() { return frameOffset; }

        /** The offset behind the frame given last. */
        public long position() { return windowOffset + window.position(); }

        /** The next entry, or null at the end. */
        public T next() throws IOException {
            for (;;) {
                if (!ended && window.remaining() < maxFrameBytes()) { fill(); }
                if (!window.hasRemaining() || windowOffset + window.position() >= limit) {
                    report(windowOffset + window.position(), true);
                    return null;
                }
                int at = window.position();
                int length = window.remaining() < HEADER_BYTES ? -1 : window.getShort(at + 2) & 0xFFFF;
                boolean whole = length >= 0 && window.get(at) == MARKER && window.get(at + 1) == VERSION
                        && length <= maxPayloadBytes && window.remaining() >= HEADER_BYTES + length
                        && window.getInt(at + 4) == checksum(segment, window.array(), at, length, sum);
                T entry = null;
                if (whole) {
                    try {
                        entry = codec.decode(CodedInputStream.newInstance(window.array(), at + HEADER_BYTES, length));
                    } catch (IOException e) {
                        whole = false;               // its sum is right and its message is not: no frame of ours
                    }
                }
                if (!whole) {
                    if (damageStart < 0) { damageStart = windowOffset + at; }
                    window.position(at + 1);
                    continue;
                }
                frameOffset = windowOffset + at;
                report(frameOffset, false);
                window.position(at + HEADER_BYTES + length);
                if (entry != null) { return entry; } // else one of a later version's kinds
            }
        }

        private void report(long to, boolean torn) {
            if (damageStart >= 0 && to > damageStart) { damage.onDamage(damageStart, to, torn); }
            damageStart = -1;
        }

        private void fill() throws IOException {
            windowOffset += window.position();
            window.compact();
            while (window.hasRemaining() && !ended) {
                ended = source.read(window, windowOffset + window.position()) < 0;
            }
            window.flip();
        }
    }
}

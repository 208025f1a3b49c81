package yardusher.keys;

import java.nio.ByteBuffer;
import org.agrona.collections.Long2LongHashMap;

/**
 * Results of keys whose run is over, in bounded memory. Records are stored in an off-heap ring buffer in the order in which
 * the runs ended, with a primitive map from key to position. The oldest records are evicted first, so a flood of keys causes
 * neither garbage nor fragmentation. Uses neither I/O nor a clock; used on the event loop only.
 */
final class FinishedKeys {
    /** How a run ended. */
    enum Kind {
        /** It was served, and its value is stored. */
        SERVED,
        /** It may have run, and may be sent again until a deadline, since regions drop the repeat. */
        MAY_REPEAT,
        /** It may have run, and must not be sent again. */
        UNKNOWN,
        /** It ran, but its value is not stored: it was lost at a restart, or was too large. */
        RAN
    }

    /** The record of a key; {@code value} is null unless the kind is SERVED. */
    record FinishedRun(long fingerprint, Kind kind, double untilMs, double repeatUntilMs, byte[] value) { }

    private static final Kind[] KINDS = Kind.values();
    private static final int HEADER_BYTES = 4 + 8 + 8 + 8 + 8 + 1;
    private static final int ABSENT = -1;
    private static final int PADDING = -1;           // marks that no record follows before the end of the ring

    private final ByteBuffer ring;
    private final Long2LongHashMap positions = new Long2LongHashMap(ABSENT);
    private long head;                               // positions only grow; modulo the capacity they are offsets in the ring
    private long tail;
    private long expired;
    private long evicted;

    /** Creates a ring of the given capacity in bytes; the map needs another 16 to 48 bytes per key. */
    FinishedKeys(int bytes) {
        if (bytes < 2 * (HEADER_BYTES + 65_536)) { throw new IllegalArgumentException("capacity is below two answers of 64 KiB"); }
        ring = ByteBuffer.allocateDirect(bytes & ~7);
    }

    private int ringOffset(long position) { return (int) (position % ring.capacity()); }

    /** The unexpired record of a key, or null. */
    FinishedRun find(double nowMs, long key) {
        expire(nowMs);
        long position = positions.get(key);
        if (position == ABSENT) { return null; }
        int at = ringOffset(position);
        double until = ring.getDouble(at + 20);
        if (until <= nowMs) { return null; }
        Kind kind = KINDS[ring.get(at + 36)];
        byte[] value = kind == Kind.SERVED ? new byte[ring.getInt(at) - HEADER_BYTES] : null;
        if (value != null) { ring.get(at + HEADER_BYTES, value); }
        return new FinishedRun(ring.getLong(at + 12), kind, until, ring.getDouble(at + 28), value);
    }

    /** Stores the record of a key, replacing an earlier one. A null value, or one too long for the ring, is stored as RAN. */
    void put(double nowMs, long key, long fingerprint, Kind kind, double untilMs, double repeatUntilMs, byte[] value) {
        expire(nowMs);
        boolean fits = kind != Kind.SERVED || value != null && value.length <= ring.capacity() / 2 - HEADER_BYTES;
        Kind held = fits ? kind : Kind.RAN;
        int length = HEADER_BYTES + (held == Kind.SERVED ? value.length : 0);
        int left = ring.capacity() - ringOffset(head);
        if (left < length) {
            makeRoom(left);
            if (left >= 4) { ring.putInt(ringOffset(head), PADDING); }
            head += left;
        }
        makeRoom(length);
        int at = ringOffset(head);
        ring.putInt(at, length).putLong(at + 4, key).putLong(at + 12, fingerprint).putDouble(at + 20, untilMs)
                .putDouble(at + 28, repeatUntilMs).put(at + 36, (byte) held.ordinal());
        if (held == Kind.SERVED) { ring.put(at + HEADER_BYTES, value); }
        positions.put(key, head);
        head += length;
    }

    /** Removes the record of a key; its bytes are freed once they are the oldest. */
    void remove(long key) { positions.remove(key); }

    private void makeRoom(int length) {
        while (ring.capacity() - (head - tail) < length) { evicted += dropOldest(); }
    }

    private void expire(double nowMs) {
        while (tail < head) {
            skipPad();
            if (tail >= head || ring.getDouble(ringOffset(tail) + 20) > nowMs) { return; }
            expired += dropOldest();
        }
    }

    private void skipPad() {
        int left = ring.capacity() - ringOffset(tail);
        if (tail < head && (left < 4 || ring.getInt(ringOffset(tail)) == PADDING)) { tail += left; }
    }

    private int dropOldest() {
        skipPad();
        int at = ringOffset(tail);
        boolean held = positions.get(ring.getLong(at + 4)) == tail;
        if (held) { positions.remove(ring.getLong(at + 4)); }
        tail += ring.getInt(at);
        return held ? 1 : 0;
    }

    int keys() { return positions.size(); }

    long bytes() { return head - tail; }

    /** The number of records that expired. */
    long expired() { return expired; }

    /** The number of records that were evicted for lack of space. */
    long evicted() { return evicted; }
}

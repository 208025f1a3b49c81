package yardusher.keys;

import java.nio.ByteBuffer;
import org.agrona.collections.Long2LongHashMap;

/**
 * What became of keys whose run is over, in a bounded number of bytes. Records lie in a ring outside the heap in the
 * order in which they ended; an index of primitives tells where. The oldest give way, so a flood of keys makes neither
 * garbage nor holes. Free of I/O and clock; used in turns only.
 */
final class FinishedKeys {
    /** How a run left its key. */
    enum Kind {
        /** Served: the value is held. */
        SERVED,
        /** It may have run, and may be sent again until a time: regions drop the repeat. */
        MAY_REPEAT,
        /** It may have run, and must not be sent again. */
        UNKNOWN,
        /** It ran before a restart, and the value went with that life. */
        RAN
    }

    /** A key's record; {@code value} is there for SERVED. */
    record FinishedRun(long fingerprint, Kind kind, double untilMs, double repeatUntilMs, byte[] value) { }

    private static final Kind[] KINDS = Kind.values();
    private static final int HEADER_BYTES = 4 + 8 + 8 + 8 + 8 + 1;
    private static final int ABSENT = -1;
    private static final int PADDING = -1;               // no more records before the ring's end

    private final ByteBuffer ring;
    private final Long2LongHashMap positions = new Long2LongHashMap(ABSENT);
    private long head;                               // positions count on and on; modulo the capacity they are places
    private long tail;
    private long expired;
    private long evicted;

    /** Holds records of so many bytes in all; the index comes on top, 16 to 48 bytes a key. */
    FinishedKeys(int bytes) {
        if (bytes < 2 * (HEADER_BYTES + 65_536)) { throw new IllegalArgumentException("room for two answers of 64 KiB at the least"); }
        ring = ByteBuffer.allocateDirect(bytes & ~7);
    }

    private int ringOffset(long position) { return (int) (position % ring.capacity()); }

    /** The record of a key that is still in time, or null. */
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

    /** Holds a key's record in place of one it had. A value that is too long for the ring, or null, is held as RAN. */
    void put(double nowMs, long key, long print, Kind kind, double untilMs, double repeatUntilMs, byte[] value) {
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
        ring.putInt(at, length).putLong(at + 4, key).putLong(at + 12, print).putDouble(at + 20, untilMs)
                .putDouble(at + 28, repeatUntilMs).put(at + 36, (byte) held.ordinal());
        if (held == Kind.SERVED) { ring.put(at + HEADER_BYTES, value); }
        positions.put(key, head);
        head += length;
    }

    /** The key has no record any more; its bytes go when they are the oldest. */
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

    /** Records that went since their time was over, and for want of room. */
    long expired() { return expired; }

    long evicted() { return evicted; }
}

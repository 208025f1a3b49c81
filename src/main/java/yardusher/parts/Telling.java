package yardusher.parts;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import yardusher.error.PartError;

/**
 * One datagram from one ingress to another. {@code sender}, the number of an ingress among {@code ingressCount}, and
 * {@code incarnation} identify the sender; {@code recipientIncarnation} is the incarnation that is addressed, 0 for any.
 * {@code settled}: the sender knows all that its earlier incarnations lent to the recipient. {@code legacyComplete}: the rows
 * include each region where the sender still holds units of the recipient's earlier incarnations. {@code needsReply}: the
 * recipient is to answer with the same rows, because the sender does not know that its totals have arrived.
 */
record Telling(int number, int count, int weight, long life, long to, int order, boolean settled, boolean whole, boolean asks,
        List<Row> rows) {
    /**
     * One region: the totals of the sender's account with the recipient, and the sender's allowance, need and wish there in all.
     * {@code recovered} and {@code received} acknowledge the recipient's own totals {@code returned} and {@code granted}.
     * {@code requested}: units that the sender asks the recipient for now, with its request {@code requestNumber}.
     * {@code beneficiary}: the ingress for which the sender last returned units, as its number plus one; 0 for none.
     */
    record Row(long region, int granted, int back, int taken, int returned, int old, int has, int uses, int wants,
            int asks, int ask, int sake) { }

    static final int MOST_BYTES = 1200;
    private static final int HEAD = 40;
    private static final int ROW = 4 + 5 * 5 + 6 * 3;
    private static final int VERSION = 1;
    /** Most units at one region; a message with a larger figure is rejected. */
    static final int MOST = 1 << 20;

    /** Number of rows that always fit into one datagram. */
    static final int ROWS = (MOST_BYTES - HEAD) / ROW;

    byte[] bytes() {
        ByteBuffer out = ByteBuffer.allocate(MOST_BYTES);
        out.put((byte) VERSION).put((byte) ((settled ? 1 : 0) | (whole ? 2 : 0) | (asks ? 4 : 0)));
        put(out, number);
        put(out, count);
        put(out, weight);
        put(out, order);
        out.putLong(life).putLong(to);
        put(out, rows.size());
        for (Row row : rows) {
            out.putInt((int) row.region);
            for (int each : new int[] {row.granted, row.back, row.taken, row.returned, row.old, row.has << 1 ^ row.has >> 31, row.uses, row.wants, row.asks, row.ask, row.sake}) { put(out, each); }
        }
        byte[] bytes = new byte[out.flip().remaining()];
        out.get(bytes);
        return bytes;
    }

    private static void put(ByteBuffer out, int value) {
        int left = value;
        for (; (left & ~0x7F) != 0; left >>>= 7) { out.put((byte) (left | 0x80)); }
        out.put((byte) left);
    }

    private static int get(ByteBuffer in) {
        int value = 0;
        for (int shift = 0; shift < 35; shift += 7) {
            byte next = in.get();
            value |= (next & 0x7F) << shift;
            if (next >= 0) { return value; }
        }
        throw new PartError.Message(null, "-", "a variable-length integer of more than 5 bytes");
    }

    private static int figure(ByteBuffer in, int most) {
        int value = get(in);
        if (value < 0 || value > most) { throw new PartError.Message(null, "-", "a value out of range: " + value); }
        return value;
    }

    /** Decodes a message; throws {@link PartError.Message} for bytes that are none. */
    static Telling of(byte[] body) {
        try {
            ByteBuffer in = ByteBuffer.wrap(body);
            if (in.get() != VERSION) { throw new PartError.Message(null, "-", "another version"); }
            int flags = in.get();
            int number = figure(in, MOST);
            int count = figure(in, MOST);
            int weight = figure(in, 1000);
            int order = get(in);
            long life = in.getLong();
            long to = in.getLong();
            int rows = figure(in, MOST_BYTES);
            List<Row> all = new ArrayList<>(rows);
            for (int i = 0; i < rows; i++) {
                long region = in.getInt() & 0xFFFFFFFFL;
                int granted = figure(in, Integer.MAX_VALUE);
                int back = figure(in, Integer.MAX_VALUE);
                int taken = figure(in, Integer.MAX_VALUE);
                int returned = figure(in, Integer.MAX_VALUE);
                int old = figure(in, MOST);
                int has = get(in);
                has = has >>> 1 ^ -(has & 1);
                if (has < -MOST || has > MOST) { throw new PartError.Message(null, "-", "has " + has); }
                int uses = figure(in, MOST);
                int wants = figure(in, MOST);
                int asked = figure(in, MOST);
                all.add(new Row(region, granted, back, taken, returned, old, has, uses, wants, asked, figure(in, MOST), figure(in, MOST)));
            }
            if (in.hasRemaining() || flags > 7 || flags < 0 || number >= count || weight < 1 || life <= 0 || to < 0) {
                throw new PartError.Message(null, "-", "flags, sender, weight or incarnation out of range");
            }
            return new Telling(number, count, weight, life, to, order, (flags & 1) != 0, (flags & 2) != 0, (flags & 4) != 0, all);
        } catch (BufferUnderflowException e) {
            throw new PartError.Message(null, "-", "cut");
        }
    }
}

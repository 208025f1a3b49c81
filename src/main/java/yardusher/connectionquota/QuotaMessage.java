package yardusher.connectionquota;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import yardusher.error.PartError;

/**
 * One datagram from one ingress to another. {@code number} of {@code count} ingresses and {@code life} say who speaks, {@code to} which life of
 * the hearer is spoken to, 0 for any. {@code settled}: the speaker knows all that its earlier lives lent to the hearer.
 * {@code whole}: each region where the speaker holds units of the hearer's earlier lives is among the rows. {@code asks}: the rows are to be
 * answered, since the speaker does not know that they were heard.
 */
record QuotaMessage(int sender, int ingressCount, int weight, long incarnation, long recipientIncarnation, int sequence, boolean settled, boolean legacyComplete, boolean needsReply,
        List<Row> rows) {
    /**
     * A region: the speaker's counters of its account with the hearer, what it has, uses and wants in all. {@code back} and {@code taken}
     * are the hearer's own counters as the speaker has heard them. {@code asks}: units that it would like of the hearer now, in its {@code ask}th ask;
     * {@code sake}: for whose sake it gave back lately, one above that number, 0 for nobody's.
     */
    record Row(long region, int granted, int recovered, int received, int returned, int legacyBorrowed, int allowance, int needed, int wanted,
            int requested, int requestNumber, int beneficiary) { }

    static final int MAX_BYTES = 1200;
    private static final int MAX_HEADER_BYTES = 40;              // at the most
    private static final int MAX_ROW_BYTES = 4 + 5 * 5 + 6 * 3;
    private static final int VERSION = 1;
    /** Figures of one region at the most; what is above is made up. */
    static final int MAX_UNITS = 1 << 20;

    /** How many rows are sure to fit one datagram. */
    static final int MAX_ROWS = (MAX_BYTES - MAX_HEADER_BYTES) / MAX_ROW_BYTES;

    byte[] encode() {
        ByteBuffer out = ByteBuffer.allocate(MAX_BYTES);
        out.put((byte) VERSION).put((byte) ((settled ? 1 : 0) | (legacyComplete ? 2 : 0) | (needsReply ? 4 : 0)));
        putVarint(out, sender);
        putVarint(out, ingressCount);
        putVarint(out, weight);
        putVarint(out, sequence);
        out.putLong(incarnation).putLong(recipientIncarnation);
        putVarint(out, rows.size());
        for (Row row : rows) {
            out.putInt((int) row.region);
            for (int value : new int[] {row.granted, row.recovered, row.received, row.returned, row.legacyBorrowed, row.allowance << 1 ^ row.allowance >> 31, row.needed, row.wanted, row.requested, row.requestNumber, row.beneficiary}) { putVarint(out, value); }
        }
        byte[] bytes = new byte[out.flip().remaining()];
        out.get(bytes);
        return bytes;
    }

    private static void putVarint(ByteBuffer out, int value) {
        int remaining = value;
        for (; (remaining & ~0x7F) != 0; remaining >>>= 7) { out.put((byte) (remaining | 0x80)); }
        out.put((byte) remaining);
    }

    private static int getVarint(ByteBuffer in) {
        int value = 0;
        for (int shift = 0; shift < 35; shift += 7) {
            byte next = in.get();
            value |= (next & 0x7F) << shift;
            if (next >= 0) { return value; }
        }
        throw new PartError.Message(null, "-", "a figure too long");
    }

    private static int getVarintUpTo(ByteBuffer in, int max) {
        int value = getVarint(in);
        if (value < 0 || value > max) { throw new PartError.Message(null, "-", "a figure of " + value); }
        return value;
    }

    /** Reads a body; a {@link PartError.Message} for one that is none. */
    static QuotaMessage decode(byte[] body) {
        try {
            ByteBuffer in = ByteBuffer.wrap(body);
            if (in.get() != VERSION) { throw new PartError.Message(null, "-", "another version"); }
            int flags = in.get();
            int sender = getVarintUpTo(in, MAX_UNITS);
            int ingressCount = getVarintUpTo(in, MAX_UNITS);
            int weight = getVarintUpTo(in, 1000);
            int sequence = getVarint(in);
            long incarnation = in.getLong();
            long recipientIncarnation = in.getLong();
            int rowCount = getVarintUpTo(in, MAX_BYTES);
            List<Row> rows = new ArrayList<>(rowCount);
            for (int i = 0; i < rowCount; i++) {
                long region = in.getInt() & 0xFFFFFFFFL;
                int granted = getVarintUpTo(in, Integer.MAX_VALUE);
                int recovered = getVarintUpTo(in, Integer.MAX_VALUE);
                int received = getVarintUpTo(in, Integer.MAX_VALUE);
                int returned = getVarintUpTo(in, Integer.MAX_VALUE);
                int legacyBorrowed = getVarintUpTo(in, MAX_UNITS);
                int allowance = getVarint(in);
                allowance = allowance >>> 1 ^ -(allowance & 1);
                if (allowance < -MAX_UNITS || allowance > MAX_UNITS) { throw new PartError.Message(null, "-", "has " + allowance); }
                int needed = getVarintUpTo(in, MAX_UNITS);
                int wanted = getVarintUpTo(in, MAX_UNITS);
                int requested = getVarintUpTo(in, MAX_UNITS);
                rows.add(new Row(region, granted, recovered, received, returned, legacyBorrowed, allowance, needed, wanted, requested, getVarintUpTo(in, MAX_UNITS), getVarintUpTo(in, MAX_UNITS)));
            }
            if (in.hasRemaining() || flags > 7 || flags < 0 || sender >= ingressCount || weight < 1 || incarnation <= 0 || recipientIncarnation < 0) {
                throw new PartError.Message(null, "-", "not a telling");
            }
            return new QuotaMessage(sender, ingressCount, weight, incarnation, recipientIncarnation, sequence, (flags & 1) != 0, (flags & 2) != 0, (flags & 4) != 0, rows);
        } catch (BufferUnderflowException e) {
            throw new PartError.Message(null, "-", "cut");
        }
    }
}

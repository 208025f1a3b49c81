package yardusher.rates;

import java.nio.ByteBuffer;

/**
 * The messages of rates as they are spelled: one byte for the kind, then items of equal length. Reading gives nothing for what
 * is cut short, too long or of no kind.
 */
final class RateCodec {
    /** REPORTS: units asked, to a customer's meeting ingress. RATES: what customers are asked at all ingresses. ASK: for a slice of them. TABLE: that slice. */
    enum Kind { REPORTS, RATES, SLICE_REQUEST, SLICE }

    static final int REPORT_BYTES = 8;
    static final int RATE_BYTES = 9;
    static final int MAX_AGE_MS = 6_553_500;
    private static final double LOG_UNITS_STEP = 0.0005; // reported units go as a logarithm of two bytes: 0.05% apart
    private static final double MIN_UNITS = 1e-4;
    private static final double LOG_RATIO_STEP = 0.04;
    private static final double AGE_STEP_MS = 100;

    private RateCodec() { }

    static ByteBuffer newMessage(Kind kind, int maxBytes) { return ByteBuffer.allocate(maxBytes).put((byte) kind.ordinal()); }

    /** Null for none of ours. */
    static Kind readKind(ByteBuffer in) {
        int kind = in.hasRemaining() ? in.get() : -1;
        return kind >= 0 && kind < Kind.values().length ? Kind.values()[kind] : null;
    }

    private static void putCustomer(ByteBuffer out, long customer) { out.put((byte) (customer >>> 32)).putInt((int) customer); }

    private static long readCustomer(ByteBuffer in) { return (in.get() & 0xffL) << 32 | in.getInt() & 0xffffffffL; }

    /** Units above 0; what is told is within 0.03% of them, between 1e-4 and 1.7e10. */
    static void putReport(ByteBuffer out, long customer, int plan, double units) {
        putCustomer(out, customer);
        long steps = Math.round(Math.log(units / MIN_UNITS) / LOG_UNITS_STEP);
        out.put((byte) plan).putShort((short) Math.max(0, Math.min(0xffff, steps)));
    }

    /** A report as read. */
    record Report(long customer, int plan, double units) { }

    static Report readReport(ByteBuffer in) {
        long customer = readCustomer(in);
        int plan = in.get() & 0xff;
        return new Report(customer, plan, MIN_UNITS * Math.exp(LOG_UNITS_STEP * (in.getShort() & 0xffff)));
    }

    /** {@code ratio}: of the quota, 0 for a customer that asks no more than that. An age is rounded up, so that a copy is never newer. */
    static void putRate(ByteBuffer out, long customer, int plan, double ratio, double ageMs) {
        putCustomer(out, customer);
        int steps = ratio <= 0 ? 0 : (int) Math.max(1, Math.min(255, Math.round(Math.log(ratio) / LOG_RATIO_STEP)));
        out.put((byte) plan).put((byte) steps).putShort((short) Math.min(0xffff, Math.ceil(Math.max(0, ageMs) / AGE_STEP_MS)));
    }

    /** A rate as read. */
    record Rate(long customer, int plan, double ratio, double ageMs) { }

    static Rate readRate(ByteBuffer in) {
        long customer = readCustomer(in);
        int plan = in.get() & 0xff, steps = in.get() & 0xff;
        return new Rate(customer, plan, steps == 0 ? 0 : Math.exp(LOG_RATIO_STEP * steps), (in.getShort() & 0xffff) * AGE_STEP_MS);
    }
}

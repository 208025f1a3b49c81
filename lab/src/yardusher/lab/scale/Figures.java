package yardusher.lab.scale;

import java.nio.ByteBuffer;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.zip.DataFormatException;
import org.HdrHistogram.Histogram;

/** What a run has measured, by name, in the order in which it is told; and the two forms in which it is. */
final class Figures {
    private final Map<String, Double> all = new LinkedHashMap<>();

    /** What is not a number was not measured, and is left out. */
    void put(String name, double value) {
        if (!Double.isNaN(value) && !Double.isInfinite(value)) { all.put(name, value); }
    }

    Double get(String name) { return all.get(name); }

    Map<String, Double> all() { return all; }

    static String json(Map<String, ? extends Number> of) {
        StringBuilder out = new StringBuilder("{");
        of.forEach((name, value) -> out.append(out.length() == 1 ? "" : ",").append('"').append(name).append("\":").append(number(value)));
        return out.append('}').toString();
    }

    static String number(Number value) {
        if (value instanceof Integer || value instanceof Long) { return value.toString(); }
        double exact = value.doubleValue();
        if (exact == Math.rint(exact) && Math.abs(exact) < 1e15) { return String.valueOf((long) exact); }
        return new java.math.BigDecimal(exact).round(new java.math.MathContext(6)).stripTrailingZeros().toPlainString();
    }

    /** A line for each figure. */
    static String table(Map<String, ? extends Number> sizes, Map<String, ? extends Number> figures) {
        StringBuilder out = new StringBuilder();
        sizes.forEach((name, value) -> out.append(String.format(Locale.ROOT, "  %-28s %16s%n", name, number(value))));
        out.append(String.format("  %-28s %16s%n", "--", "--"));
        figures.forEach((name, value) -> out.append(String.format(Locale.ROOT, "  %-28s %16s%n", name, number(value))));
        return out.toString();
    }

    /** Adds a histogram as a process has told it. */
    static void add(Histogram to, String text) {
        try {
            to.add(Histogram.decodeFromCompressedByteBuffer(ByteBuffer.wrap(Base64.getDecoder().decode(text)), 0));
        } catch (DataFormatException e) {
            throw new IllegalArgumentException(e);
        }
    }

    static double ms(Histogram of, double percentile) { return of.getTotalCount() == 0 ? Double.NaN : of.getValueAtPercentile(percentile) / 1000.0; }
}

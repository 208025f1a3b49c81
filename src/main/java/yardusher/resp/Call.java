package yardusher.resp;

import java.nio.charset.StandardCharsets;
import yardusher.core.Cargo;

/**
 * A platform command, CALL.GET or CALL.POST, decoded once: customer, id, the list of names and values, body.
 * A region gets it unchanged but for {@code d}, which says how long this ingress will wait.
 */
public final class Call implements Cargo {
    private static final byte[] GET = "CALL.GET".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] POST = "CALL.POST".getBytes(StandardCharsets.US_ASCII);

    private final byte[][] words;
    private final String list;
    public final long customer;
    public final String className;
    public final String plan;
    public final long waitMs;
    public final double units;
    public final int spread;
    public final int first;

    private Call(byte[][] words, String list, long customer, String className, String plan, long waitMs,
            double units, int spread, int first) {
        this.words = words;
        this.list = list;
        this.customer = customer;
        this.className = className;
        this.plan = plan;
        this.waitMs = waitMs;
        this.units = units;
        this.spread = spread;
        this.first = first;
    }

    /** Whether the words are a platform command at all, well-formed or not. */
    public static boolean is(byte[][] words) { return word(words[0], GET) || word(words[0], POST); }

    /** Whether it is the form for classes that are safe to repeat. */
    public boolean isGet() { return word(words[0], GET); }

    /** Reads a command; an {@link IllegalArgumentException} says what is wrong with it. */
    public static Call of(byte[][] words) {
        if (words.length < 4 || words.length > 5) { throw new IllegalArgumentException("wrong number of arguments"); }
        long customer = hex(words[1]);
        if (words[2].length == 0 || words[2].length > 64) { throw new IllegalArgumentException("bad request id"); }
        if (words[3].length > 512) { throw new IllegalArgumentException("list too long"); }
        String list = new String(words[3], StandardCharsets.ISO_8859_1);
        String c = null;
        String t = null;
        long d = -1;
        double units = 1;
        int spread = 1;
        int first = 0;
        for (int from = 0; from < list.length();) {
            int comma = list.indexOf(',', from);
            int to = comma < 0 ? list.length() : comma;
            int is = list.indexOf('=', from);
            if (is < 0 || is > to) { throw new IllegalArgumentException("bad list"); }
            String value = list.substring(is + 1, to);
            switch (list.substring(from, is)) {
                case "c" -> c = value;
                case "t" -> t = value;
                case "d" -> d = whole(value, 600_000);
                case "units" -> units = units(value);
                case "spread" -> spread = (int) whole(value, 10_000);
                case "first" -> first = (int) whole(value, 10_000);
                default -> { }
            }
            from = to + 1;
        }
        if (c == null || t == null || d < 0) { throw new IllegalArgumentException("c, t and d are needed"); }
        return new Call(words, list, customer, c, t, d, units, spread, first);
    }

    private static double units(String value) {
        try {
            double units = Double.parseDouble(value);
            if (units >= 0 && units <= 1e6) { return units; }
        } catch (NumberFormatException e) { /* said below */ }
        throw new IllegalArgumentException("bad units");
    }

    private static long whole(String value, long most) {
        long number = -1;
        try {
            number = Long.parseLong(value);
        } catch (NumberFormatException e) { /* said below */ }
        if (number < 0 || number > most) { throw new IllegalArgumentException("bad number in list"); }
        return number;
    }

    private static long hex(byte[] digits) {
        if (digits.length == 0 || digits.length > 16) { throw new IllegalArgumentException("bad customer"); }
        long number = 0;
        for (byte b : digits) {
            int digit = Character.digit(b, 16);
            if (digit < 0) { throw new IllegalArgumentException("bad customer"); }
            number = number << 4 | digit;
        }
        if (number < 0 || number >= 1L << 33) { throw new IllegalArgumentException("bad customer"); }
        return number;
    }

    private static boolean word(byte[] given, byte[] wanted) {
        if (given.length != wanted.length) { return false; }
        for (int i = 0; i < given.length; i++) {
            int c = given[i] >= 'a' && given[i] <= 'z' ? given[i] - 32 : given[i];
            if (c != wanted[i]) { return false; }
        }
        return true;
    }

    @Override
    public byte[] encoded(long wait) {
        int size = 96 + list.length() + (words.length > 4 ? words[4].length : 0);
        Encoder out = new Encoder(size).array(words.length).bulk(words[0]).bulk(words[1]).bulk(words[2]);
        int d = list.startsWith("d=") ? 0 : list.indexOf(",d=") + 1;
        int end = list.indexOf(',', d);
        String told = list.substring(0, d) + "d=" + wait + (end < 0 ? "" : list.substring(end));
        out.bulk(told.getBytes(StandardCharsets.ISO_8859_1));
        if (words.length > 4) { out.bulk(words[4]); }
        return out.toBytes();
    }
}

package yardusher.resp;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import net.openhft.hashing.LongHashFunction;
import yardusher.core.BackendCommand;
import yardusher.core.UnitDirective;
import yardusher.error.CommandError;

/**
 * A platform command, CALL.GET or CALL.POST, decoded once: customer, id, the list of names and values, body.
 * A region gets it unchanged but for {@code d}, which says how long this ingress will wait.
 */
public final class Call implements BackendCommand {
    private static final byte[] GET = "CALL.GET".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] POST = "CALL.POST".getBytes(StandardCharsets.US_ASCII);

    private static final byte[] LINE_END = {'\r', '\n'};
    private static final int MAX_LIST_BYTES = 512;
    private static final long MAX_WAIT_MS = 86_400_000; // as the settings allow it for a class

    private final byte[][] words;
    private final String list;
    private final UnitDirective unit;                     // null where it says nothing of one
    public final long id;
    public final String key;
    public final long customer;
    public final String className;
    public final String plan;
    public final long waitMs;
    public final double units;
    public final int spread;
    public final int first;

    private Call(byte[][] words, String list, long id, String key, long customer, String className, String plan, long waitMs,
            double units, int spread, int first, UnitDirective unit) {
        this.unit = unit;
        this.words = words;
        this.list = list;
        this.id = id;
        this.key = key;
        this.customer = customer;
        this.className = className;
        this.plan = plan;
        this.waitMs = waitMs;
        this.units = units;
        this.spread = spread;
        this.first = first;
    }

    /** Whether the words are a platform command at all, well-formed or not. */
    public static boolean isCall(byte[][] words) { return isWord(words[0], GET) || isWord(words[0], POST); }

    /** Whether it is the form for classes that are safe to repeat. */
    public boolean isGet() { return isWord(words[0], GET); }

    /** Whether it brings a body. */
    public boolean hasBody() { return words.length == 5; }

    /**
     * Reads a command; a {@link CommandError} says what is wrong with it. Guards the regions, which
     * take a form that no client sends as a fault of the ingress: every word is read to its end.
     */
    public static Call parse(byte[][] words) {
        if (words.length < 4 || words.length > 5) { throw new CommandError.Argument("wrong number of arguments"); }
        long customer = parseHex(words[1], "customer");
        if (customer < 0 || customer >= 1L << 33) { throw new CommandError.Argument("bad customer"); }
        long id = parseHex(words[2], "request id");
        if (words[3].length > MAX_LIST_BYTES) { throw new CommandError.Argument("list too long"); }
        String list = new String(words[3], StandardCharsets.ISO_8859_1);
        String className = null;
        String plan = null;
        String key = null;
        long waitMs = -1;
        double units = 0;
        int spread = -1;
        int first = -1;
        int seenNames = 0;
        for (int from = 0; from <= list.length();) {
            int comma = list.indexOf(',', from);
            int to = comma < 0 ? list.length() : comma;
            int equals = list.indexOf('=', from);
            if (equals < 0 || equals >= to - 1) { throw new CommandError.Argument("bad list"); }
            String name = list.substring(from, equals);
            String value = list.substring(equals + 1, to);
            int bit = 1 << LIST_NAMES.indexOf(name);
            if (!LIST_NAMES.contains(name)) { throw new CommandError.Argument("unknown name in list"); }
            if ((seenNames & bit) != 0) { throw new CommandError.Argument("a name stands twice in the list"); }
            seenNames |= bit;
            switch (name) {
                case "c" -> className = parseName(value);
                case "t" -> plan = parseName(value);
                case "k" -> key = requireVisible(value);
                case "d" -> waitMs = parseWhole(value, MAX_WAIT_MS);
                case "units" -> units = parseUnits(value);
                case "spread" -> spread = (int) parseWhole(value, 10_000);
                case "first" -> first = (int) parseWhole(value, 10_000);
                default -> parseWhole(value, 1);          // r
            }
            from = to + 1;
        }
        if (className == null || plan == null || waitMs < 1) { throw new CommandError.Argument("c, t and d are needed"); }
        if (units <= 0 || spread < 0 || first < 0) { throw new CommandError.Argument("units, spread and first are needed"); }
        if (key != null) { parseHex(key.getBytes(StandardCharsets.ISO_8859_1), "k"); }
        return new Call(words, list, id, key, customer, className, plan, waitMs, units, spread, first, null);
    }

    /**
     * Reads a command whose list may also say what it is to a unit of work: {@code u} the unit's name, {@code p} the part's
     * number, {@code b} a boundary. These are taken out of what a region is told unless {@code passOn}. An
     * {@link CommandError.Argument} says what is wrong.
     */
    public static Call parseWithUnit(byte[][] words, boolean forwardUnit) {
        if (words.length < 4 || words[3].length > MAX_LIST_BYTES) { return parse(words); } // says what is wrong
        String list = new String(words[3], StandardCharsets.ISO_8859_1);
        String[] unitValues = new String[3];
        StringBuilder remaining = null;
        for (int from = 0; from <= list.length();) {
            int comma = list.indexOf(',', from);
            int to = comma < 0 ? list.length() : comma;
            int unitIndex = from + 1 < to && list.charAt(from + 1) == '=' ? "upb".indexOf(list.charAt(from)) : -1;
            if (unitIndex >= 0) {
                if (unitValues[unitIndex] != null) { throw new CommandError.Argument("a name stands twice in the list"); }
                unitValues[unitIndex] = requireVisible(list.substring(from + 2, to));
                if (remaining == null) { remaining = new StringBuilder(list.length()).append(list, 0, Math.max(0, from - 1)); }
            } else if (remaining != null) {
                remaining.append(remaining.length() == 0 ? "" : ",").append(list, from, to);
            }
            from = to + 1;
        }
        if (remaining == null) { return parse(words); }
        byte[][] without = words.clone();
        without[3] = remaining.toString().getBytes(StandardCharsets.ISO_8859_1);
        Call call = parse(without);
        UnitDirective unit = parseUnit(unitValues[0], unitValues[1], unitValues[2]);
        return new Call(without, forwardUnit ? list : call.list, call.id, call.key, call.customer, call.className, call.plan, call.waitMs,
                call.units, call.spread, call.first, unit);
    }

    private static UnitDirective parseUnit(String unitName, String partText, String boundaryText) {
        int part = partText == null ? 0 : (int) parseWhole(partText, 1_000_000);
        UnitDirective.Boundary boundary = boundaryText == null ? UnitDirective.Boundary.NONE : switch (boundaryText) {
            case "open" -> UnitDirective.Boundary.OPEN;
            case "end" -> UnitDirective.Boundary.END;
            case "abandon" -> UnitDirective.Boundary.ABANDON;
            default -> throw new CommandError.Argument("b is open, end or abandon");
        };
        boolean consistent = switch (boundary) {
            case OPEN -> partText == null;                  // with u it is an opening inside a unit, which has its own answer
            case NONE -> unitName != null && part > 0;
            case END -> unitName != null && (partText == null || part > 0);
            case ABANDON -> unitName != null && partText == null;
        };
        if (!consistent || unitName != null && (unitName.isEmpty() || unitName.length() > 120)) { throw new CommandError.Argument("u, p and b do not go together"); }
        return new UnitDirective(unitName, part, boundary);
    }

    private static final List<String> LIST_NAMES = List.of("c", "t", "d", "k", "units", "spread", "first", "r");

    private static String requireVisible(String value) {
        for (int i = 0; i < value.length(); i++) {
            if (value.charAt(i) <= ' ' || value.charAt(i) > '~') { throw new CommandError.Argument("bad list"); }
        }
        return value;
    }

    /**
     * A name of the settings, as UTF-8 gives it; the settings decide whether there is such a one, so any character may stand
     * in it but those of control.
     */
    private static String parseName(String value) {
        boolean ascii = true;
        for (int i = 0; i < value.length(); i++) {
            if (value.charAt(i) < ' ' || value.charAt(i) == 127) { throw new CommandError.Argument("bad list"); }
            ascii &= value.charAt(i) < 128;
        }
        return ascii ? value : new String(value.getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8);
    }

    private static double parseUnits(String value) {
        if (value.length() > 12 || !value.matches("[0-9]+(\\.[0-9]+)?")) { throw new CommandError.Argument("bad units"); }
        return Double.parseDouble(value);
    }

    private static long parseWhole(String value, long max) {
        long number = 0;
        for (int i = 0; i < value.length(); i++) {
            int digit = value.charAt(i) - '0';
            number = number * 10 + digit;
            if (digit < 0 || digit > 9 || number > max) { throw new CommandError.Argument("bad number in list"); }
        }
        return number;
    }

    /** Sixteen digits, as every number of this protocol is written. */
    private static long parseHex(byte[] digits, String what) {
        long number = 0;
        for (byte b : digits) {
            int digit = b >= '0' && b <= '9' ? b - '0' : b >= 'a' && b <= 'f' ? b - 'a' + 10 : -1;
            if (digit < 0) { throw new CommandError.Argument("bad " + what); }
            number = number << 4 | digit;
        }
        if (digits.length != 16) { throw new CommandError.Argument("bad " + what); }
        return number;
    }

    private static boolean isWord(byte[] given, byte[] wanted) {
        if (given.length != wanted.length) { return false; }
        for (int i = 0; i < given.length; i++) {
            int c = given[i] >= 'a' && given[i] <= 'z' ? given[i] - 32 : given[i];
            if (c != wanted[i]) { return false; }
        }
        return true;
    }

    @Override
    public UnitDirective unit() { return unit; }

    @Override
    public long id() { return id; }

    @Override
    public String key() { return key; }

    @Override
    public long fingerprint() {
        LongHashFunction hash = LongHashFunction.xx3();
        long body = words.length > 4 ? hash.hashBytes(words[4]) : 0;
        return hash.hashLongs(new long[] {customer, Double.doubleToLongBits(units), hash.hashChars(className), body});
    }

    @Override
    public ByteBuffer[] encoded(long waitMs) {
        boolean largeBody = words.length > 4 && words[4].length > Decoder.MAX_BULK_BYTES;
        int size = 96 + list.length() + (words.length > 4 && !largeBody ? words[4].length : 0);
        Encoder out = new Encoder(size).array(words.length).bulk(isGet() ? GET : POST).bulk(words[1]).bulk(words[2]);
        int waitStart = list.startsWith("d=") ? 0 : list.indexOf(",d=") + 1;
        int waitEnd = list.indexOf(',', waitStart);
        String forwardedList = list.substring(0, waitStart) + "d=" + waitMs + (waitEnd < 0 ? "" : list.substring(waitEnd));
        out.bulk(forwardedList.getBytes(StandardCharsets.ISO_8859_1));
        if (largeBody) {                                 // never copied: every attempt is written from where it was read
            return new ByteBuffer[] {ByteBuffer.wrap(out.bulkHead(words[4].length).toBytes()), ByteBuffer.wrap(words[4]),
                ByteBuffer.wrap(LINE_END)};
        }
        if (words.length > 4) { out.bulk(words[4]); }
        return new ByteBuffer[] {ByteBuffer.wrap(out.toBytes())};
    }
}

package yardusher.units;

/**
 * A unit's name: the ingress that opened it, that ingress's life, and a number counted up in that life. Who knows the name
 * knows where the unit lives, with nobody asked: {@code n2.3f19c0a84d21.1f}.
 */
record UnitName(String home, long incarnation, long number) {
    static final int MAX_LENGTH = 100;                     // characters

    /** Reads a name; null for a text that is none. */
    static UnitName parse(String text) {
        int last = text.lastIndexOf('.');
        int middle = last < 0 ? -1 : text.lastIndexOf('.', last - 1);
        if (middle < 1 || text.length() > MAX_LENGTH) { return null; }
        long incarnation = parseHex(text, middle + 1, last);
        long number = parseHex(text, last + 1, text.length());
        return incarnation <= 0 || number <= 0 ? null : new UnitName(text.substring(0, middle), incarnation, number);
    }

    private static long parseHex(String text, int from, int to) {
        if (to - from < 1 || to - from > 15) { return -1; }
        long value = 0;
        for (int i = from; i < to; i++) {
            int digit = "0123456789abcdef".indexOf(text.charAt(i));
            if (digit < 0) { return -1; }
            value = value << 4 | digit;
        }
        return value;
    }

    @Override
    public String toString() { return home + "." + Long.toHexString(incarnation) + "." + Long.toHexString(number); }
}

package yardusher;

/** Encodes integers as text of one byte per character, for the short messages between ingresses. */
final class Digits {
    /** Values of a character; the characters 7 to 126 are used, so that each takes one byte in UTF-8. */
    static final int BASE = 120;
    private static final int FIRST_CHARACTER = 7;
    private final String text;
    private int position;

    /** Reads a text from this index on. */
    Digits(String text, int from) {
        this.text = text;
        position = from;
    }

    /** Appends a number below {@code BASE} to the power of {@code width}, least significant digit first. */
    static void put(StringBuilder body, long value, int width) {
        for (; width > 0; width--, value /= BASE) { body.append((char) (FIRST_CHARACTER + value % BASE)); }
    }

    /** Reads the next number of {@code width} digits. Returns -1 if the text is truncated or has an invalid digit; then nothing follows. */
    long get(int width) {
        long value = 0;
        for (long scale = 1; width > 0; width--, scale *= BASE) {
            int digit = position < text.length() ? text.charAt(position++) - FIRST_CHARACTER : -1;
            if (digit < 0 || digit >= BASE) {
                position = Integer.MAX_VALUE;
                return -1;
            }
            value += scale * digit;
        }
        return value;
    }

    boolean hasMore() { return position < text.length(); }
}

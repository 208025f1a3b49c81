package yardusher.resp;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The RESP2 parser for commands and replies. Bytes are read into its buffer as they arrive; a value is taken out once it is
 * complete. All sizes are limited: line, bulk string, number of items, nesting depth and the value as a whole.
 */
public final class Decoder implements Inbound {
    /** Maximum length of a bulk string, except for large values and bodies (by the platform's protocol). */
    public static final int MOST_BULK = 64 * 1024;
    private static final int MOST_VALUE = MOST_BULK + 8 * 1024;
    private static final int MOST_ITEMS = 64;
    private static final int MOST_DEPTH = 4;
    private static final int MOST_LINE = 512;
    private static final int SMALL = 1024;
    /** Maximum number of bytes per call of {@link #add}. */
    public static final int ROOM = SMALL;
    /** Maximum length of a large value or body. */
    public static final long MOST_LARGE = 4 << 20;
    private static final int BODY = 4;               // the index of the body in a platform command
    private static final int PART = 16 * SMALL;      // chunk of a large value: the size of a cached native buffer

    private byte[] bytes = new byte[SMALL];
    private int start;
    private int end;
    private int at;
    private int largeAt;                             // where the bytes of a large value begin
    private long large;                              // the length of a large value, 0 for none
    private boolean shrinks;
    private byte[][] bodied;                         // a command whose last word is a large body that is being read
    private long bodyLength;                         // the length of that body, 0 for none
    private int bodyFilled;
    private boolean intoBody;                        // the buffer last returned by readBuffer is part of that body
    private int largeItems;                          // items after the large value in its array

    @Override
    public ByteBuffer room() {
        byte[] body = bodied == null ? null : bodied[bodied.length - 1];
        intoBody = body != null && bodyFilled < body.length;
        if (intoBody) { return ByteBuffer.wrap(body, bodyFilled, Math.min(PART, body.length - bodyFilled)); }
        shrink();
        fits(SMALL / 4);
        return ByteBuffer.wrap(bytes, end, bytes.length - end);
    }

    private void fits(int count) {
        if (bytes.length - end >= count) { return; }
        if (start > 0) {
            System.arraycopy(bytes, start, bytes, 0, end - start);
            end -= start;
            start = 0;
        }
        if (bytes.length - end < count) { bytes = Arrays.copyOf(bytes, bytes.length * 2); }
    }

    /**
     * Releases the memory of a large value if the buffer is empty. Not to be called while a read into {@link #readBuffer} is
     * pending.
     */
    public void shrink() {
        if (start != end) { return; }
        start = end = 0;
        // a large value keeps no memory after it
        if (bytes.length > PART || bytes.length > SMALL && large == 0 && shrinks) { bytes = new byte[SMALL]; }
        shrinks = false;
    }

    @Override
    public void filled(int count) {
        if (intoBody) {
            bodyFilled += count;
        } else {
            end += count;
            soak();
        }
    }

    /** Copies input from an array instead of {@link #readBuffer}, at most {@link #MAX_ADD_BYTES}. */
    public void add(byte[] from, int count) {
        shrink();
        fits(ROOM);
        System.arraycopy(from, 0, bytes, end, count);
        end += count;
        soak();
    }

    /** Moves the bytes of a large body that were read before its buffer was allocated. */
    private void soak() {
        byte[] body = bodied == null ? null : bodied[bodied.length - 1];
        if (body == null) { return; }
        int count = Math.min(body.length - bodyFilled, end - start);
        System.arraycopy(bytes, start, body, bodyFilled, count);
        start += count;
        bodyFilled += count;
    }

    /** The number of buffered bytes, without a large body. */
    public int held() { return end - start; }

    /** Drops all buffered input. */
    public void discard() {
        start = end;
        bodied = null;
    }

    public boolean isEmpty() { return start == end && bodied == null; }

    /**
     * The length of the large body at the end of the command that is being read, else 0. No more of it is read before {@link
     * #allocateBody} is called.
     */
    public long bodyLength() { return bodied == null ? 0 : bodyLength; }

    /** Allocates the large body, so that its bytes are read into place. */
    public void openBody() {
        bodied[bodied.length - 1] = new byte[(int) bodyLength];
        bodyFilled = 0;
        soak();
    }

    private byte[][] bodied() throws Malformed {
        byte[] body = bodied[bodied.length - 1];
        if (body == null || bodyFilled < body.length || end - start < 2) { return null; }
        if (bytes[start] != '\r' || bytes[start + 1] != '\n') { throw new Malformed("bulk string without its end"); }
        start += 2;
        byte[][] whole = bodied;
        bodied = null;
        return whole;
    }

    /** Returns the next command as its words, or null while it is incomplete. */
    public byte[][] command() throws Malformed {
        if (bodied != null) { return bodied(); }
        if (start == end) { return null; }
        at = start;
        if (bytes[at] != '*') { throw new Malformed("expected '*'"); }
        at++;
        long count = number();
        if (count == NOT_YET) { return incomplete(); }
        if (count < 1 || count > MOST_ITEMS) { throw new Malformed("invalid multibulk length"); }
        byte[][] words = new byte[(int) count][];
        for (int i = 0; i < count; i++) {
            if (at == end) { return incomplete(); }
            if (bytes[at] != '$') { throw new Malformed("expected '$'"); }
            at++;
            long length = number();
            if (length == NOT_YET) { return incomplete(); }
            if (length < 0) { throw new Malformed("invalid bulk length"); }
            if (i == BODY && count == BODY + 1 && length > MOST_BULK && length <= MOST_LARGE && Call.is(words)) {
                bodied = words;
                bodyLength = length;
                start = at;
                return null;
            }
            words[i] = bulk(length);
            if (words[i] == null) { return incomplete(); }
        }
        if (at - start > MOST_VALUE) { throw new Malformed("value too large"); } // regardless of how much of it came in one read
        start = at;
        return words;
    }

    /**
     * Returns the length of a large value if the reply that begins here is an array that begins with one ({@link #nextValue}
     * then returned null), else 0. Its bytes are then read by {@link #nextChunk}, and the items after it by {@link
     * #finishLargeValue}.
     */
    public long openLarge() {
        if (large == 0) { return 0; }
        start = largeAt;
        if (bytes.length < PART) { bytes = Arrays.copyOf(bytes, PART); }
        return large;
    }

    /**
     * Returns buffered bytes of a large value, at most {@code max}, or null for none. They are valid until the next {@link
     * #readBuffer}.
     */
    public ByteBuffer part(long most) {
        int count = (int) Math.min(most, end - start);
        if (count == 0) { return null; }
        start += count;
        return ByteBuffer.wrap(bytes, start - count, count);
    }

    /** Returns the items after a large value in its array, or null while they are incomplete. */
    public List<Value> rest() throws Malformed {
        at = start;
        if (end - at < 2) { return null; }
        if (bytes[at] != '\r' || bytes[at + 1] != '\n') { throw new Malformed("bulk string without its end"); }
        at += 2;
        List<Value> items = new ArrayList<>(2);
        for (int i = 0; i < largeItems; i++) {
            Value item = value(1);
            if (item == null) {
                incomplete();
                return null;
            }
            items.add(item);
        }
        start = at;
        large = 0;
        shrinks = true;
        return items;
    }

    /** Returns the next reply, or null while it is incomplete. */
    public Value value() throws Malformed {
        at = start;
        large = 0;
        Value value = value(0);
        if (value == null) {
            incomplete();
        } else {
            start = at;
        }
        return value;
    }

    private byte[][] incomplete() throws Malformed {
        // A peer that never completes a value must not grow the buffer without limit.
        if (end - start > MOST_VALUE) { throw new Malformed("value too large"); }
        return null;
    }

    private Value value(int depth) throws Malformed {
        if (at == end) { return null; }
        if (depth > MOST_DEPTH) { throw new Malformed("nested too deep"); }
        byte kind = bytes[at++];
        switch (kind) {
            case '+', '-' -> {
                int from = at;
                int to = line();
                if (to < 0) { return null; }
                String text = new String(bytes, from, to - from, StandardCharsets.UTF_8);
                return kind == '+' ? new Value.Simple(text) : new Value.Failure(text);
            }
            case ':' -> {
                long number = number();
                return number == NOT_YET ? null : new Value.Whole(number);
            }
            case '$' -> {
                long length = number();
                if (length == NOT_YET) { return null; }
                if (length == -1) { return new Value.Bulk(null); }
                byte[] body = bulk(length);
                return body == null ? null : new Value.Bulk(body);
            }
            case '*' -> {
                long count = number();
                if (count == NOT_YET) { return null; }
                if (count == -1) { return new Value.Many(null); }
                if (count < 0 || count > MOST_ITEMS) { throw new Malformed("invalid multibulk length"); }
                List<Value> items = new ArrayList<>((int) count);
                for (int i = 0; i < count; i++) {
                    if (i == 0 && depth == 0 && opensLarge((int) count)) { return null; }
                    Value item = value(depth + 1);
                    if (item == null) { return null; }
                    items.add(item);
                }
                return new Value.Many(items);
            }
            default -> throw new Malformed("unknown kind of value");
        }
    }

    /** Whether a bulk string longer than MAX_BULK_BYTES and up to MAX_LARGE_BYTES begins here. */
    private boolean opensLarge(int count) throws Malformed {
        int from = at;
        if (at < end && bytes[at] == '$') {
            at++;
            long length = number();
            if (length > MOST_BULK && length <= MOST_LARGE) {
                large = length;
                largeAt = at;
                largeItems = count - 1;
                return true;
            }
        }
        at = from;
        return false;
    }

    private byte[] bulk(long length) throws Malformed {
        if (length < 0 || length > MOST_BULK) { throw new Malformed("invalid bulk length"); }
        if (end - at < length + 2) { return null; }
        int after = at + (int) length;
        if (bytes[after] != '\r' || bytes[after + 1] != '\n') { throw new Malformed("bulk string without its end"); }
        byte[] body = Arrays.copyOfRange(bytes, at, after);
        at = after + 2;
        return body;
    }

    private static final long NOT_YET = Long.MIN_VALUE;

    private long number() throws Malformed {
        int from = at;
        int to = line();
        if (to < 0) { return NOT_YET; }
        int i = from < to && bytes[from] == '-' ? from + 1 : from;
        if (i == to || to - i > 18) { throw new Malformed("invalid number"); }
        long number = 0;
        for (int k = i; k < to; k++) {
            int digit = bytes[k] - '0';
            if (digit < 0 || digit > 9) { throw new Malformed("invalid number"); }
            number = number * 10 + digit;
        }
        return i > from ? -number : number;
    }

    /** Skips a line; returns the end of its text, or -1 while it is incomplete. */
    private int line() throws Malformed {
        for (int i = at; i < end; i++) {
            if (bytes[i] == '\n') {
                if (i == at || bytes[i - 1] != '\r') { throw new Malformed("line without CR"); }
                at = i + 1;
                return i - 1;
            }
            if (i - at > MOST_LINE) { throw new Malformed("line too long"); }
        }
        return -1;
    }
}

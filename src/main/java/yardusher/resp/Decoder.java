package yardusher.resp;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The one RESP2 parser, for commands and for replies. Bytes are read into its buffer as they come; a value is
 * taken out once it is whole. Everything is bounded: line, bulk string, items, depth and the value as a whole.
 */
public final class Decoder implements Inbound {
    /** A bulk string holds no more (PROTOCOL). */
    public static final int MOST_BULK = 64 * 1024;
    private static final int MOST_VALUE = MOST_BULK + 8 * 1024;
    private static final int MOST_ITEMS = 64;
    private static final int MOST_DEPTH = 4;
    private static final int MOST_LINE = 512;
    private static final int SMALL = 1024;
    /** What {@link #add} takes at once, at the most. */
    public static final int ROOM = SMALL;
    /** A value that comes in parts holds no more. */
    public static final long MOST_LARGE = 4 << 20;
    private static final int BODY = 4;               // the place of a platform command's body
    private static final int PART = 16 * SMALL;      // what is passed on at once: the size of a cached native buffer

    private byte[] bytes = new byte[SMALL];
    private int start;
    private int end;
    private int at;
    private int largeAt;                             // where a large value's bytes begin
    private long large;                              // and how many they are; 0 for none
    private boolean shrinks;
    private byte[][] bodied;                         // a command whose last word is a large body still to come
    private long bodyLength;                         // the body's bytes; 0 for no such command
    private int bodyFilled;
    private boolean intoBody;                        // the room last given lies in that body
    private int largeItems;                          // what follows it in its array

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

    /** Where nothing is held, gives back what a large value took. Not while a read into {@link #room} is under way. */
    public void shrink() {
        if (start != end) { return; }
        start = end = 0;
        if (bytes.length > PART || bytes.length > SMALL && large == 0 && shrinks) { bytes = new byte[SMALL]; } // one large value keeps no memory
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

    /** Takes so many bytes, no more than {@link #ROOM}, from the front of an array instead of the room. */
    public void add(byte[] from, int count) {
        shrink();
        fits(ROOM);
        System.arraycopy(from, 0, bytes, end, count);
        end += count;
        soak();
    }

    /** What was read before a body had its room goes there. */
    private void soak() {
        byte[] body = bodied == null ? null : bodied[bodied.length - 1];
        if (body == null) { return; }
        int count = Math.min(body.length - bodyFilled, end - start);
        System.arraycopy(bytes, start, body, bodyFilled, count);
        start += count;
        bodyFilled += count;
    }

    /** Bytes that were read and not taken out, a large body's apart. */
    public int held() { return end - start; }

    /** Nothing of what was read is wanted any more. */
    public void discard() {
        start = end;
        bodied = null;
    }

    public boolean isEmpty() { return start == end && bodied == null; }

    /**
     * The bytes of a large body that the command now being read ends with, else 0. No more of it is read before room for
     * them is given by {@link #openBody}.
     */
    public long bodyLength() { return bodied == null ? 0 : bodyLength; }

    /** Room for the large body is there: its bytes are read into place. */
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

    /** The next command as its words, or null while it is not whole. */
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
        if (at - start > MOST_VALUE) { throw new Malformed("value too large"); } // however much of it came at once
        start = at;
        return words;
    }

    /**
     * The bytes of a large value, where the reply that begins here is an array that begins with one (then {@link #value}
     * gives null), else 0. From now on its bytes come by {@link #part}, and what is behind them by {@link #rest}.
     */
    public long openLarge() {
        if (large == 0) { return 0; }
        start = largeAt;
        if (bytes.length < PART) { bytes = Arrays.copyOf(bytes, PART); }
        return large;
    }

    /** What is there of a large value, no more than so many bytes; null for nothing. It stays until {@link #room}. */
    public ByteBuffer part(long most) {
        int count = (int) Math.min(most, end - start);
        if (count == 0) { return null; }
        start += count;
        return ByteBuffer.wrap(bytes, start - count, count);
    }

    /** What follows a large value in its array, or null while it is not whole. */
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

    /** The next reply, or null while it is not whole. */
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
        // Guards against a peer that never ends a value: the buffer would grow without bound.
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

    /** Whether a bulk string of more than MOST_BULK and no more than MOST_LARGE bytes begins here. */
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

    /** Passes over a line; returns where its text ends, or -1 while it is not whole. */
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

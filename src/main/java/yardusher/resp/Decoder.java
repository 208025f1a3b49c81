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
public final class Decoder implements InboundBuffer {
    /** A bulk string holds no more (PROTOCOL). */
    public static final int MAX_BULK_BYTES = 64 * 1024;
    private static final int MAX_VALUE_BYTES = MAX_BULK_BYTES + 8 * 1024;
    private static final int MAX_ITEMS = 64;
    private static final int MAX_DEPTH = 4;
    private static final int MAX_LINE_BYTES = 512;
    private static final int SMALL_BUFFER_BYTES = 1024;
    /** What {@link #add} takes at once, at the most. */
    public static final int MAX_ADD_BYTES = SMALL_BUFFER_BYTES;
    /** A value that comes in parts holds no more. */
    public static final long MAX_LARGE_BYTES = 4 << 20;
    private static final int BODY_INDEX = 4;               // the place of a platform command's body
    private static final int CHUNK_BYTES = 16 * SMALL_BUFFER_BYTES;      // what is passed on at once: the size of a cached native buffer

    private byte[] bytes = new byte[SMALL_BUFFER_BYTES];
    private int start;
    private int end;
    private int position;
    private int largeStart;                             // where a large value's bytes begin
    private long largeLength;                              // and how many they are; 0 for none
    private boolean shrinkPending;
    private byte[][] bodyCommand;                         // a command whose last word is a large body still to come
    private long bodyLength;                         // the body's bytes; 0 for no such command
    private int bodyFilled;
    private boolean readingBody;                        // the room last given lies in that body
    private int itemsAfterLarge;                          // what follows it in its array

    @Override
    public ByteBuffer readBuffer() {
        byte[] body = bodyCommand == null ? null : bodyCommand[bodyCommand.length - 1];
        readingBody = body != null && bodyFilled < body.length;
        if (readingBody) { return ByteBuffer.wrap(body, bodyFilled, Math.min(CHUNK_BYTES, body.length - bodyFilled)); }
        shrink();
        ensureRoom(SMALL_BUFFER_BYTES / 4);
        return ByteBuffer.wrap(bytes, end, bytes.length - end);
    }

    private void ensureRoom(int count) {
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
        if (bytes.length > CHUNK_BYTES || bytes.length > SMALL_BUFFER_BYTES && largeLength == 0 && shrinkPending) { bytes = new byte[SMALL_BUFFER_BYTES]; } // one large value keeps no memory
        shrinkPending = false;
    }

    @Override
    public void advance(int count) {
        if (readingBody) {
            bodyFilled += count;
        } else {
            end += count;
            fillBody();
        }
    }

    /** Takes so many bytes, no more than {@link #ROOM}, from the front of an array instead of the room. */
    public void add(byte[] from, int count) {
        shrink();
        ensureRoom(MAX_ADD_BYTES);
        System.arraycopy(from, 0, bytes, end, count);
        end += count;
        fillBody();
    }

    /** What was read before a body had its room goes there. */
    private void fillBody() {
        byte[] body = bodyCommand == null ? null : bodyCommand[bodyCommand.length - 1];
        if (body == null) { return; }
        int count = Math.min(body.length - bodyFilled, end - start);
        System.arraycopy(bytes, start, body, bodyFilled, count);
        start += count;
        bodyFilled += count;
    }

    /** Bytes that were read and not taken out, a large body's apart. */
    public int bufferedBytes() { return end - start; }

    /** Nothing of what was read is wanted any more. */
    public void discard() {
        start = end;
        bodyCommand = null;
    }

    public boolean isEmpty() { return start == end && bodyCommand == null; }

    /**
     * The bytes of a large body that the command now being read ends with, else 0. No more of it is read before room for
     * them is given by {@link #openBody}.
     */
    public long bodyLength() { return bodyCommand == null ? 0 : bodyLength; }

    /** Room for the large body is there: its bytes are read into place. */
    public void allocateBody() {
        bodyCommand[bodyCommand.length - 1] = new byte[(int) bodyLength];
        bodyFilled = 0;
        fillBody();
    }

    private byte[][] completeBodyCommand() throws MalformedRespException {
        byte[] body = bodyCommand[bodyCommand.length - 1];
        if (body == null || bodyFilled < body.length || end - start < 2) { return null; }
        if (bytes[start] != '\r' || bytes[start + 1] != '\n') { throw new MalformedRespException("bulk string without its end"); }
        start += 2;
        byte[][] whole = bodyCommand;
        bodyCommand = null;
        return whole;
    }

    /** The next command as its words, or null while it is not whole. */
    public byte[][] nextCommand() throws MalformedRespException {
        if (bodyCommand != null) { return completeBodyCommand(); }
        if (start == end) { return null; }
        position = start;
        if (bytes[position] != '*') { throw new MalformedRespException("expected '*'"); }
        position++;
        long count = parseNumber();
        if (count == INCOMPLETE) { return incomplete(); }
        if (count < 1 || count > MAX_ITEMS) { throw new MalformedRespException("invalid multibulk length"); }
        byte[][] words = new byte[(int) count][];
        for (int i = 0; i < count; i++) {
            if (position == end) { return incomplete(); }
            if (bytes[position] != '$') { throw new MalformedRespException("expected '$'"); }
            position++;
            long length = parseNumber();
            if (length == INCOMPLETE) { return incomplete(); }
            if (length < 0) { throw new MalformedRespException("invalid bulk length"); }
            if (i == BODY_INDEX && count == BODY_INDEX + 1 && length > MAX_BULK_BYTES && length <= MAX_LARGE_BYTES && Call.isCall(words)) {
                bodyCommand = words;
                bodyLength = length;
                start = position;
                return null;
            }
            words[i] = parseBulk(length);
            if (words[i] == null) { return incomplete(); }
        }
        if (position - start > MAX_VALUE_BYTES) { throw new MalformedRespException("value too large"); } // however much of it came at once
        start = position;
        return words;
    }

    /**
     * The bytes of a large value, where the reply that begins here is an array that begins with one (then {@link #value}
     * gives null), else 0. From now on its bytes come by {@link #part}, and what is behind them by {@link #rest}.
     */
    public long beginLargeValue() {
        if (largeLength == 0) { return 0; }
        start = largeStart;
        if (bytes.length < CHUNK_BYTES) { bytes = Arrays.copyOf(bytes, CHUNK_BYTES); }
        return largeLength;
    }

    /** What is there of a large value, no more than so many bytes; null for nothing. It stays until {@link #room}. */
    public ByteBuffer nextChunk(long max) {
        int count = (int) Math.min(max, end - start);
        if (count == 0) { return null; }
        start += count;
        return ByteBuffer.wrap(bytes, start - count, count);
    }

    /** What follows a large value in its array, or null while it is not whole. */
    public List<Value> finishLargeValue() throws MalformedRespException {
        position = start;
        if (end - position < 2) { return null; }
        if (bytes[position] != '\r' || bytes[position + 1] != '\n') { throw new MalformedRespException("bulk string without its end"); }
        position += 2;
        List<Value> items = new ArrayList<>(2);
        for (int i = 0; i < itemsAfterLarge; i++) {
            Value item = parseValue(1);
            if (item == null) {
                incomplete();
                return null;
            }
            items.add(item);
        }
        start = position;
        largeLength = 0;
        shrinkPending = true;
        return items;
    }

    /** The next reply, or null while it is not whole. */
    public Value nextValue() throws MalformedRespException {
        position = start;
        largeLength = 0;
        Value value = parseValue(0);
        if (value == null) {
            incomplete();
        } else {
            start = position;
        }
        return value;
    }

    private byte[][] incomplete() throws MalformedRespException {
        // Guards against a peer that never ends a value: the buffer would grow without bound.
        if (end - start > MAX_VALUE_BYTES) { throw new MalformedRespException("value too large"); }
        return null;
    }

    private Value parseValue(int depth) throws MalformedRespException {
        if (position == end) { return null; }
        if (depth > MAX_DEPTH) { throw new MalformedRespException("nested too deep"); }
        byte kind = bytes[position++];
        switch (kind) {
            case '+', '-' -> {
                int from = position;
                int to = skipLine();
                if (to < 0) { return null; }
                String text = new String(bytes, from, to - from, StandardCharsets.UTF_8);
                return kind == '+' ? new Value.SimpleString(text) : new Value.ErrorReply(text);
            }
            case ':' -> {
                long number = parseNumber();
                return number == INCOMPLETE ? null : new Value.IntegerValue(number);
            }
            case '$' -> {
                long length = parseNumber();
                if (length == INCOMPLETE) { return null; }
                if (length == -1) { return new Value.BulkString(null); }
                byte[] body = parseBulk(length);
                return body == null ? null : new Value.BulkString(body);
            }
            case '*' -> {
                long count = parseNumber();
                if (count == INCOMPLETE) { return null; }
                if (count == -1) { return new Value.ArrayValue(null); }
                if (count < 0 || count > MAX_ITEMS) { throw new MalformedRespException("invalid multibulk length"); }
                List<Value> items = new ArrayList<>((int) count);
                for (int i = 0; i < count; i++) {
                    if (i == 0 && depth == 0 && beginsLargeValue((int) count)) { return null; }
                    Value item = parseValue(depth + 1);
                    if (item == null) { return null; }
                    items.add(item);
                }
                return new Value.ArrayValue(items);
            }
            default -> throw new MalformedRespException("unknown kind of value");
        }
    }

    /** Whether a bulk string of more than MOST_BULK and no more than MOST_LARGE bytes begins here. */
    private boolean beginsLargeValue(int count) throws MalformedRespException {
        int from = position;
        if (position < end && bytes[position] == '$') {
            position++;
            long length = parseNumber();
            if (length > MAX_BULK_BYTES && length <= MAX_LARGE_BYTES) {
                largeLength = length;
                largeStart = position;
                itemsAfterLarge = count - 1;
                return true;
            }
        }
        position = from;
        return false;
    }

    private byte[] parseBulk(long length) throws MalformedRespException {
        if (length < 0 || length > MAX_BULK_BYTES) { throw new MalformedRespException("invalid bulk length"); }
        if (end - position < length + 2) { return null; }
        int bodyEnd = position + (int) length;
        if (bytes[bodyEnd] != '\r' || bytes[bodyEnd + 1] != '\n') { throw new MalformedRespException("bulk string without its end"); }
        byte[] body = Arrays.copyOfRange(bytes, position, bodyEnd);
        position = bodyEnd + 2;
        return body;
    }

    private static final long INCOMPLETE = Long.MIN_VALUE;

    private long parseNumber() throws MalformedRespException {
        int from = position;
        int to = skipLine();
        if (to < 0) { return INCOMPLETE; }
        int firstDigit = from < to && bytes[from] == '-' ? from + 1 : from;
        if (firstDigit == to || to - firstDigit > 18) { throw new MalformedRespException("invalid number"); }
        long number = 0;
        for (int k = firstDigit; k < to; k++) {
            int digit = bytes[k] - '0';
            if (digit < 0 || digit > 9) { throw new MalformedRespException("invalid number"); }
            number = number * 10 + digit;
        }
        return firstDigit > from ? -number : number;
    }

    /** Passes over a line; returns where its text ends, or -1 while it is not whole. */
    private int skipLine() throws MalformedRespException {
        for (int i = position; i < end; i++) {
            if (bytes[i] == '\n') {
                if (i == position || bytes[i - 1] != '\r') { throw new MalformedRespException("line without CR"); }
                position = i + 1;
                return i - 1;
            }
            if (i - position > MAX_LINE_BYTES) { throw new MalformedRespException("line too long"); }
        }
        return -1;
    }
}

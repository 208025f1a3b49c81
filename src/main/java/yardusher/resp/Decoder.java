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
public final class Decoder implements InboundBuffer {
    /** Maximum length of a bulk string, except for large values and bodies (by the platform's protocol). */
    public static final int MAX_BULK_BYTES = 64 * 1024;
    private static final int MAX_VALUE_BYTES = MAX_BULK_BYTES + 8 * 1024;
    private static final int MAX_ITEMS = 64;
    private static final int MAX_DEPTH = 4;
    private static final int MAX_LINE_BYTES = 512;
    private static final int SMALL_BUFFER_BYTES = 1024;
    private static final int MAX_KEPT_BYTES = 4 * SMALL_BUFFER_BYTES; // of an empty buffer
    /** Maximum number of bytes per call of {@link #add}. */
    public static final int MAX_ADD_BYTES = SMALL_BUFFER_BYTES;
    /** Maximum length of a large value or body. */
    public static final long MAX_LARGE_BYTES = 4 << 20;
    private static final int LINE_END_BYTES = 2;
    private static final int BODY_INDEX = 4;         // the index of the body in a platform command
    private static final int CHUNK_BYTES = 16 * SMALL_BUFFER_BYTES; // chunk of a large value: the size of a cached native buffer

    private static final byte[] NO_BYTES = {};

    private byte[] bytes = new byte[SMALL_BUFFER_BYTES];
    private int start;
    private int end;
    private int position;
    private int largeStart;                          // where the bytes of a large value begin
    private long largeLength;                        // the length of a large value, 0 for none
    private int maxBufferedValue = MAX_BULK_BYTES;   // a longer value is a large one
    private int expectedBytes;                       // from the start to the end of the incomplete word of a command; 0 while unknown
    private int announcedBytes;                      // the length of the incomplete value at the start of an array
    private int topLevelItems;                       // how many items a reply that is an array must have; 0 for any number
    private boolean shrinkPending;
    private byte[][] bodyCommand;                    // a command whose last word is a large body that is being read
    private long bodyLength;                         // the length of that body, 0 for none
    private int bodyFilled;
    private long bytesToSkip;                        // of a body that is not wanted, with its line end
    private boolean readingBody;                     // the buffer last returned by readBuffer is part of that body
    private int itemsAfterLarge;                     // items after the large value in its array
    private int offeredBytes;                        // of the buffer last returned by readBuffer
    private boolean lastReadFilled;                  // that buffer was filled, so more of a large value may have arrived

    @Override
    public ByteBuffer readBuffer() {
        byte[] body = bodyCommand == null ? null : bodyCommand[bodyCommand.length - 1];
        readingBody = body != null && bodyFilled < body.length;
        if (readingBody) { return ByteBuffer.wrap(body, bodyFilled, Math.min(CHUNK_BYTES, body.length - bodyFilled)); }
        shrink();
        ensureRoom(SMALL_BUFFER_BYTES / 4);
        offeredBytes = bytes.length - end;
        return ByteBuffer.wrap(bytes, end, bytes.length - end);
    }

    private void ensureRoom(int count) {
        if (bytes.length - end >= count) { return; }
        if (start > 0) {
            System.arraycopy(bytes, start, bytes, 0, end - start);
            end -= start;
            start = 0;
        }
        if (bytes.length - end < count) { bytes = Arrays.copyOf(bytes, Math.max(end + count, grownLength())); }
    }

    /** Twice the length, but not past the end of a word whose length is known. */
    private int grownLength() { return expectedBytes > end ? Math.min(expectedBytes, bytes.length * 2) : bytes.length * 2; }

    /** Gives the buffer up. To be called once no more input will be handled. */
    public void release() {
        discard();
        start = end = 0;
        bytes = NO_BYTES;
    }

    /**
     * Releases the memory of a large value if the buffer is empty. Not to be called while a read into {@link #readBuffer} is
     * pending.
     */
    public void shrink() {
        if (start != end) { return; }
        start = end = 0;
        // a large value keeps no memory after it, and little while it pauses
        boolean isTooLarge = bytes.length > MAX_KEPT_BYTES || bytes.length > SMALL_BUFFER_BYTES && shrinkPending;
        if (largeLength > 0 ? bytes.length != nextReadBytes() : isTooLarge) {
            bytes = new byte[largeLength > 0 ? nextReadBytes() : SMALL_BUFFER_BYTES];
        }
        shrinkPending = false;
    }

    /** How long the buffer for the next bytes of a large value is once those before are taken out. */
    public int nextReadBytes() { return lastReadFilled ? CHUNK_BYTES : SMALL_BUFFER_BYTES; }

    @Override
    public void advance(int count) {
        lastReadFilled = count == offeredBytes;
        if (readingBody) {
            bodyFilled += count;
        } else {
            end += count;
            fillBody();
        }
    }

    /** Copies input from an array instead of {@link #readBuffer}, at most {@link #MAX_ADD_BYTES}. */
    public void add(byte[] from, int count) {
        shrink();
        ensureRoom(MAX_ADD_BYTES);
        System.arraycopy(from, 0, bytes, end, count);
        end += count;
        fillBody();
    }

    /** Moves the bytes of a large body that were read before its buffer was allocated. */
    private void fillBody() {
        byte[] body = bodyCommand == null ? null : bodyCommand[bodyCommand.length - 1];
        if (body == null) { return; }
        int count = Math.min(body.length - bodyFilled, end - start);
        System.arraycopy(bytes, start, body, bodyFilled, count);
        start += count;
        bodyFilled += count;
    }

    /** The number of buffered bytes, without a large body. */
    public int bufferedBytes() { return end - start; }

    /** The memory that is allocated for buffered bytes beyond the buffer that each decoder has; without a large body. */
    public int allocatedBytes() { return Math.max(0, bytes.length - SMALL_BUFFER_BYTES); }

    /** The first bytes that are buffered and not handled yet, at most so many, without a large body. */
    public byte[] bufferedInput(int maxBytes) { return Arrays.copyOfRange(bytes, start, Math.min(end, start + maxBytes)); }

    /** Drops all buffered input. */
    public void discard() {
        start = end;
        expectedBytes = 0;
        bodyCommand = null;
        bytesToSkip = 0;
    }

    public boolean isEmpty() { return start == end && bodyCommand == null && bytesToSkip == 0; }

    /**
     * The length of the large body at the end of the command that is being read, else 0. No more of it is read before
     * {@link #allocateBody} is called.
     */
    public long bodyLength() { return bodyCommand == null ? 0 : bodyLength; }

    /** The command whose large body is being read, or waits to be; its last word is null until it is allocated. Null for none. */
    public byte[][] bodyCommand() { return bodyCommand; }

    /** Whether all of a large body that is not allocated yet was read. */
    public boolean hasWholeBody() { return bodyCommand != null && bufferedBytes() >= bodyLength + LINE_END_BYTES; }

    /**
     * Gives up a large body that is not allocated yet: its bytes are dropped as they come, and the next command follows them.
     * Returns the words of its command; the last one is null.
     */
    public byte[][] skipBody() {
        byte[][] command = bodyCommand;
        bytesToSkip = bodyLength + LINE_END_BYTES;
        bodyCommand = null;
        return command;
    }

    /** Whether bytes of a body that is not wanted are still to come. */
    public boolean isSkipping() { return bytesToSkip > 0; }

    private void skipBytes() {
        int count = (int) Math.min(bytesToSkip, end - start);
        start += count;
        bytesToSkip -= count;
    }

    /** Allocates the large body, so that its bytes are read into place. */
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
        byte[][] command = bodyCommand;
        bodyCommand = null;
        return command;
    }

    /** Returns the next command as its words, or null while it is incomplete. */
    public byte[][] nextCommand() throws MalformedRespException {
        if (bodyCommand != null) { return completeBodyCommand(); }
        skipBytes();
        if (start == end || end - start < expectedBytes) { return null; }
        expectedBytes = 0;
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
            if (words[i] == null) { return incomplete(length); }
        }
        // Regardless of how much of it came in one read.
        if (position - start > MAX_VALUE_BYTES) { throw new MalformedRespException("value too large"); }
        start = position;
        return words;
    }

    /** Whether bytes of a large value have arrived, and not only its head, after {@link #nextValue} returned null. */
    public boolean hasLargeValueBegun() { return largeLength > 0 && end > largeStart; }

    /**
     * Returns the length of a large value if the reply that begins here is an array that begins with one ({@link #nextValue}
     * then returned null), else 0. Its bytes are then read by {@link #nextChunk}, and the items after it by
     * {@link #finishLargeValue}.
     */
    public long beginLargeValue() {
        if (largeLength == 0) { return 0; }
        start = largeStart;
        return largeLength;
    }

    /** From now on a reply that is an array must have this many items: another count is malformed before the items arrive. */
    public void expectItems(int count) { topLevelItems = count; }

    /** Sets the length above which a value at the start of an array is a large one; at most {@link #MAX_BULK_BYTES}. */
    public void setMaxBufferedValue(int bytes) { maxBufferedValue = bytes; }

    /** The length of the value that begins an incomplete array, after {@link #nextValue} returned null; 0 while it is unknown, and for a large one. */
    public int announcedBytes() { return announcedBytes; }

    /** The length of the value that begins an incomplete array, large or not; 0 while it is unknown. */
    public long announcedLength() { return largeLength > 0 ? largeLength : announcedBytes; }

    /** Makes room for a value of this length at once. Not to be called while a read into {@link #readBuffer} is pending. */
    public void expect(int valueBytes) { ensureRoom(Math.max(0, valueBytes + SMALL_BUFFER_BYTES - (end - start))); }

    /**
     * Returns buffered bytes of a large value, at most {@code max}, or null for none. They are valid until the next
     * {@link #readBuffer}.
     */
    public ByteBuffer nextChunk(long max) {
        int count = (int) Math.min(max, end - start);
        if (count == 0) { return null; }
        start += count;
        return ByteBuffer.wrap(bytes, start - count, count);
    }

    /** Returns the items after a large value in its array, or null while they are incomplete. */
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

    /** Returns the next reply, or null while it is incomplete. */
    public Value nextValue() throws MalformedRespException {
        position = start;
        largeLength = 0;
        announcedBytes = 0;
        Value value = parseValue(0);
        if (value == null) {
            incomplete();
        } else {
            start = position;
        }
        return value;
    }

    /** A word of that length has begun at the current position. */
    private byte[][] incomplete(long length) throws MalformedRespException {
        expectedBytes = position - start + (int) length + LINE_END_BYTES;
        if (expectedBytes > MAX_VALUE_BYTES) { throw new MalformedRespException("value too large"); }
        return incomplete();
    }

    private byte[][] incomplete() throws MalformedRespException {
        // A peer that never completes a value must not grow the buffer without limit.
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
                if (depth == 0 && topLevelItems > 0 && count != topLevelItems) { throw new MalformedRespException("not an answer"); }
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

    /** Whether a bulk string begins here that is longer than what is buffered as a whole, and up to MAX_LARGE_BYTES. */
    private boolean beginsLargeValue(int count) throws MalformedRespException {
        int from = position;
        if (position < end && bytes[position] == '$') {
            position++;
            long length = parseNumber();
            boolean isLarge = length > maxBufferedValue && length <= MAX_LARGE_BYTES;
            announcedBytes = isLarge ? 0 : (int) Math.max(0, Math.min(length, MAX_BULK_BYTES));
            if (isLarge) {
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

    /** Skips a line; returns the end of its text, or -1 while it is incomplete. */
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

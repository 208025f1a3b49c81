package yardusher.discovery;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.nio.ChunkDecoder;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseFactory;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseParser;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * Reads the lines of an HTTP/1.x answer as its bytes come: of a chunked one, of one with a length, and of one without any, which
 * lasts until its connection ends. Heads and chunks are read by HttpCore's parsers, which need no transport of theirs: the bytes
 * are those of our own reads. Bounded: 64 lines of 8 KiB of a head, 8 interim heads (1xx) before the answer's, 4 MiB of a line of
 * the list. What is not such an answer, or not of code 200, is an {@link IOException}; after one, nothing more is fed.
 */
final class HttpLineReader {
    private static final int MAX_HEAD_LINE_BYTES = 8 * 1024;
    private static final int MAX_FEED_BYTES = 8 * 1024;    // bytes at a time; more is fed in parts
    private static final int MAX_LINE_BYTES = 4 << 20;
    private static final int MAX_INTERIM_HEADS = 8;
    private static final long UNKNOWN_LENGTH = Long.MAX_VALUE;
    private static final Http1Config LIMITS = Http1Config.custom().setMaxLineLength(MAX_HEAD_LINE_BYTES).setMaxHeaderCount(64).build();

    private final InputBuffer bytes = new InputBuffer();
    private final DefaultHttpResponseParser<HttpResponse> head = new DefaultHttpResponseParser<>(DefaultHttpResponseFactory.INSTANCE, LIMITS);
    private int interimHeads;                             // heads before the answer's own
    private boolean headComplete;                           // the head is whole
    private ChunkDecoder chunks;                     // null where the body is not chunked
    private long bodyBytesLeft;                               // bytes of a body that is not chunked, UNSTATED up to its connection's end
    private final ByteBuffer part = ByteBuffer.allocate(4096);
    private final ByteArrayOutputStream line = new ByteArrayOutputStream(4096);
    private final ArrayDeque<String> lines = new ArrayDeque<>();

    void feed(byte[] fed, int count) throws IOException {
        for (int from = 0; from < count; from += MAX_FEED_BYTES) {
            bytes.add(fed, from, Math.min(MAX_FEED_BYTES, count - from));
            try {
                if (!headComplete) { parseHead(); }
                if (headComplete) { parseBody(); }
            } catch (HttpException | RuntimeException e) { // the latter of a chunk's size below nothing
                throw new IOException("no answer of HTTP/1.1: " + e.getMessage(), e);
            }
        }
    }

    private void parseHead() throws IOException, HttpException {
        HttpResponse answer = head.parse(bytes, false);
        while (answer != null && answer.getCode() >= 100 && answer.getCode() < 200 && answer.getCode() != 101) {
            if (++interimHeads > MAX_INTERIM_HEADS) { throw new IOException("answered " + answer.getCode() + " over and over"); }
            head.reset();
            answer = head.parse(bytes, false);
        }
        if (answer == null) { return; }
        if (answer.getCode() != 200) { throw new IOException("answered " + answer.getCode() + " " + answer.getReasonPhrase()); }
        headComplete = true;
        String coding = answer.containsHeader("Transfer-Encoding") ? header(answer, "Transfer-Encoding") : "identity";
        if (coding.equalsIgnoreCase("chunked")) {
            chunks = new ChunkDecoder(bytes, bytes, LIMITS, new BasicHttpTransportMetrics());
        } else if (!coding.equalsIgnoreCase("identity")) {
            throw new IOException("answer is coded as " + coding);
        } else if (answer.containsHeader("Content-Length")) {
            String length = header(answer, "Content-Length");
            if (!length.matches("[0-9]{1,18}")) { throw new IOException("answer has the length " + length); }
            bodyBytesLeft = Long.parseLong(length);
        } else {
            bodyBytesLeft = UNKNOWN_LENGTH;
        }
    }

    /** A header's one value, without its parameters; the same one twice is one. */
    private static String header(HttpResponse answer, String name) throws IOException {
        String value = null;
        for (Header header : answer.getHeaders(name)) {
            for (String one : header.getValue().split(",", -1)) {
                String next = one.split(";", 2)[0].strip();
                if (value != null && !value.equalsIgnoreCase(next)) { throw new IOException("answer has two of " + name); }
                value = next;
            }
        }
        return value;
    }

    private void parseBody() throws IOException {
        while (!isComplete()) {
            part.clear();
            if (chunks == null) { part.limit((int) Math.min(part.limit(), bodyBytesLeft)); }
            if ((chunks == null ? bytes.read(part) : chunks.read(part)) <= 0) { return; }
            part.flip();
            if (chunks == null && bodyBytesLeft != UNKNOWN_LENGTH) { bodyBytesLeft -= part.remaining(); }
            while (part.hasRemaining()) { appendByte(part.get()); }
        }
    }

    private void appendByte(byte b) throws IOException {
        if (b == '\n') {
            lines.add(line.toString(StandardCharsets.UTF_8));
            line.reset();
            return;
        }
        line.write(b);
        if (line.size() > MAX_LINE_BYTES) { throw new IOException("line too long"); }
    }

    String nextLine() { return lines.poll(); }

    /** Whether the answer is whole. One of no stated length never is by itself. */
    boolean isComplete() { return headComplete && (chunks != null ? chunks.isCompleted() : bodyBytesLeft == 0); }

    /** Takes what stands without a line's end, once no more will come; null for nothing. */
    String takeUnterminatedLine() {
        if (line.size() == 0) { return null; }
        String rest = line.toString(StandardCharsets.UTF_8);
        line.reset();
        return rest;
    }

    /** What was fed and not yet read: never more than a line of a head or of a chunk's size, and one feed. It is filled by us alone. */
    private static final class InputBuffer implements SessionInputBuffer, ReadableByteChannel {
        private final ByteBuffer buffer = ByteBuffer.allocate(MAX_HEAD_LINE_BYTES + MAX_FEED_BYTES).flip();

        void add(byte[] fed, int from, int count) { buffer.compact().put(fed, from, count).flip(); }

        @Override
        public boolean readLine(CharArrayBuffer into, boolean end) throws IOException {
            for (int i = buffer.position(); i < buffer.limit(); i++) {
                if (buffer.get(i) != '\n') { continue; }
                int to = i > buffer.position() && buffer.get(i - 1) == '\r' ? i - 1 : i;
                into.append(buffer.array(), buffer.position(), to - buffer.position());
                buffer.position(i + 1);
                return true;
            }
            if (buffer.remaining() >= MAX_HEAD_LINE_BYTES) { throw new IOException("answer's head too long"); }
            return false;
        }

        @Override
        public int read(ByteBuffer into, int most) {
            int count = Math.min(Math.min(into.remaining(), most), buffer.remaining());
            into.put(buffer.slice(buffer.position(), count));
            buffer.position(buffer.position() + count);
            return count;
        }

        @Override
        public int read(ByteBuffer into) { return read(into, Integer.MAX_VALUE); }

        @Override
        public int read() { return buffer.get() & 255; }

        @Override
        public boolean hasData() { return buffer.hasRemaining(); }

        @Override
        public int length() { return buffer.remaining(); }

        @Override
        public int fill(ReadableByteChannel from) { return 0; }

        @Override
        public int read(WritableByteChannel into, int most) { throw new UnsupportedOperationException(); }

        @Override
        public int read(WritableByteChannel into) { throw new UnsupportedOperationException(); }

        @Override
        public boolean isOpen() { return true; }

        @Override
        public void close() { /* nothing is held */ }
    }
}

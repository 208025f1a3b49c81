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
 * Incremental reader for the lines of an HTTP/1.x response: chunked, with a Content-Length, or without either, in which case it
 * lasts until the connection ends. HttpCore's parsers read heads and chunks from the bytes that are fed, without its transport.
 * Bounds: 64 head lines of 8 KiB, 8 interim (1xx) heads before the final one, 4 MiB per line of the body. Anything else, or a
 * status other than 200, is an {@link IOException}, after which nothing more may be fed.
 */
final class HttpLineReader {
    private static final int MAX_HEAD_LINE_BYTES = 8 * 1024;
    private static final int MAX_FEED_BYTES = 8 * 1024; // bytes; longer input is split
    private static final int MAX_LINE_BYTES = 4 << 20;
    private static final int MAX_INTERIM_HEADS = 8;
    private static final long UNKNOWN_LENGTH = Long.MAX_VALUE;
    private static final Http1Config LIMITS = Http1Config.custom().setMaxLineLength(MAX_HEAD_LINE_BYTES).setMaxHeaderCount(64).build();

    private final InputBuffer bytes = new InputBuffer();
    private final DefaultHttpResponseParser<HttpResponse> head = new DefaultHttpResponseParser<>(DefaultHttpResponseFactory.INSTANCE, LIMITS);
    private int interimHeads;                        // interim (1xx) heads received
    private boolean headComplete;                    // the head is complete
    private ChunkDecoder chunks;                     // null if the body is not chunked
    private long bodyBytesLeft;                      // remaining bytes of a body that is not chunked, or UNKNOWN_LENGTH
    private final ByteBuffer chunk = ByteBuffer.allocate(4096);
    private final ByteArrayOutputStream line = new ByteArrayOutputStream(4096);
    private final ArrayDeque<String> lines = new ArrayDeque<>();

    void feed(byte[] fed, int count) throws IOException {
        for (int from = 0; from < count; from += MAX_FEED_BYTES) {
            bytes.add(fed, from, Math.min(MAX_FEED_BYTES, count - from));
            try {
                if (!headComplete) { parseHead(); }
                if (headComplete) { parseBody(); }
            } catch (HttpException | RuntimeException e) { // the latter for a negative chunk size
                throw new IOException("malformed HTTP/1.1 response: " + e.getMessage(), e);
            }
        }
    }

    private void parseHead() throws IOException, HttpException {
        HttpResponse answer = head.parse(bytes, false);
        while (answer != null && answer.getCode() >= 100 && answer.getCode() < 200 && answer.getCode() != 101) {
            if (++interimHeads > MAX_INTERIM_HEADS) { throw new IOException("too many interim responses (" + answer.getCode() + ")"); }
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
            throw new IOException("unsupported Transfer-Encoding " + coding);
        } else if (answer.containsHeader("Content-Length")) {
            String length = header(answer, "Content-Length");
            if (!length.matches("[0-9]{1,18}")) { throw new IOException("invalid Content-Length " + length); }
            bodyBytesLeft = Long.parseLong(length);
        } else {
            bodyBytesLeft = UNKNOWN_LENGTH;
        }
    }

    /** The single value of a header without its parameters; equal repeated values count as one. */
    private static String header(HttpResponse answer, String name) throws IOException {
        String value = null;
        for (Header header : answer.getHeaders(name)) {
            for (String one : header.getValue().split(",", -1)) {
                String next = one.split(";", 2)[0].strip();
                if (value != null && !value.equalsIgnoreCase(next)) { throw new IOException("conflicting values of header " + name); }
                value = next;
            }
        }
        return value;
    }

    private void parseBody() throws IOException {
        while (!isComplete()) {
            chunk.clear();
            if (chunks == null) { chunk.limit((int) Math.min(chunk.limit(), bodyBytesLeft)); }
            if ((chunks == null ? bytes.read(chunk) : chunks.read(chunk)) <= 0) { return; }
            chunk.flip();
            if (chunks == null && bodyBytesLeft != UNKNOWN_LENGTH) { bodyBytesLeft -= chunk.remaining(); }
            while (chunk.hasRemaining()) { appendByte(chunk.get()); }
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

    /** Whether the response is complete; never true for one of unstated length. */
    boolean isComplete() { return headComplete && (chunks != null ? chunks.isCompleted() : bodyBytesLeft == 0); }

    /** Takes the last, unterminated line once no more input will come; null if there is none. */
    String takeUnterminatedLine() {
        if (line.size() == 0) { return null; }
        String rest = line.toString(StandardCharsets.UTF_8);
        line.reset();
        return rest;
    }

    /** Bytes fed and not yet parsed: at most one line of a head or chunk size plus one feed. Only {@link #add} fills it. */
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
            if (buffer.remaining() >= MAX_HEAD_LINE_BYTES) { throw new IOException("response head too long"); }
            return false;
        }

        @Override
        public int read(ByteBuffer into, int max) {
            int count = Math.min(Math.min(into.remaining(), max), buffer.remaining());
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
        public int read(WritableByteChannel into, int max) { throw new UnsupportedOperationException(); }

        @Override
        public int read(WritableByteChannel into) { throw new UnsupportedOperationException(); }

        @Override
        public boolean isOpen() { return true; }

        @Override
        public void close() { /* holds no resource */ }
    }
}

package yardusher.list;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Locale;

/** Reads the lines of a chunked HTTP/1.1 answer as its bytes come. Bounded in head, chunk line and line. */
final class ChunkedLines {
    private static final int MOST_HEAD = 16 * 1024;
    private static final int MOST_LINE = 4 << 20;

    private enum State { HEAD, SIZE, DATA, DATA_END, ENDED }

    private State state = State.HEAD;
    private final ByteArrayOutputStream part = new ByteArrayOutputStream(256);
    private final ByteArrayOutputStream line = new ByteArrayOutputStream(4096);
    private final ArrayDeque<String> lines = new ArrayDeque<>();
    private long left;

    void feed(byte[] bytes, int count) throws IOException {
        for (int i = 0; i < count; i++) {
            byte b = bytes[i];
            switch (state) {
                case HEAD -> {
                    part.write(b);
                    if (part.size() > MOST_HEAD) { throw new IOException("answer's head too long"); }
                    if (b == '\n' && part.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) { head(); }
                }
                case SIZE -> size(b);
                case DATA -> {
                    data(b);
                    if (--left == 0) { state = State.DATA_END; }
                }
                case DATA_END -> {
                    if (b == '\n') { state = State.SIZE; }
                }
                default -> { return; }
            }
        }
    }

    private void head() throws IOException {
        String head = part.toString(StandardCharsets.ISO_8859_1);
        part.reset();
        if (!head.matches("(?s)HTTP/1\\.1 200[ \r].*")) {
            throw new IOException("answered " + head.lines().findFirst().orElse(""));
        }
        if (!head.toLowerCase(Locale.ROOT).contains("transfer-encoding: chunked")) {
            throw new IOException("answer is not chunked");
        }
        state = State.SIZE;
    }

    private void size(byte b) throws IOException {
        if (b != '\n') {
            part.write(b);
            if (part.size() > 64) { throw new IOException("bad chunk"); }
            return;
        }
        String digits = part.toString(StandardCharsets.ISO_8859_1).split(";")[0].trim();
        part.reset();
        try {
            left = Long.parseLong(digits, 16);
        } catch (NumberFormatException e) {
            throw new IOException("bad chunk", e);
        }
        if (left < 0 || left > MOST_LINE) { throw new IOException("bad chunk"); }
        state = left == 0 ? State.ENDED : State.DATA;
    }

    private void data(byte b) throws IOException {
        if (b == '\n') {
            lines.add(line.toString(StandardCharsets.UTF_8));
            line.reset();
            return;
        }
        line.write(b);
        if (line.size() > MOST_LINE) { throw new IOException("line too long"); }
    }

    String next() { return lines.poll(); }

    boolean ended() { return state == State.ENDED; }
}

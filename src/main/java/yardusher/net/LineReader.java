package yardusher.net;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import yardusher.error.WireError;
import yardusher.resp.InboundBuffer;

/** Takes lines out of bytes cut anywhere. One fixed buffer, the longest line and its end. */
public final class LineReader implements InboundBuffer {
    private final byte[] bytes;
    private int start;
    private int end;

    /** For lines of so many bytes at the most, without their end. */
    public LineReader(int maxBytes) { bytes = new byte[maxBytes + 2]; }

    @Override
    public ByteBuffer readBuffer() {
        System.arraycopy(bytes, start, bytes, 0, end - start);
        end -= start;
        start = 0;
        return ByteBuffer.wrap(bytes, end, bytes.length - end);
    }

    @Override
    public void advance(int count) { end += count; }

    public boolean isEmpty() { return start == end; }

    /**
     * The next line without its end (LF or CR LF), or null while it is not whole. A {@link WireError}
     * for one that is too long.
     */
    public String nextLine() {
        for (int i = start; i < end; i++) {
            if (bytes[i] != '\n') { continue; }
            int to = i > start && bytes[i - 1] == '\r' ? i - 1 : i;
            String line = new String(bytes, start, to - start, StandardCharsets.ISO_8859_1);
            start = i + 1;
            return line;
        }
        if (end - start == bytes.length) { throw new WireError.Malformed(null, "line longer than " + (bytes.length - 2) + " bytes"); }
        return null;
    }
}

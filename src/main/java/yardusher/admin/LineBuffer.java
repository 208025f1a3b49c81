package yardusher.admin;

import java.nio.ByteBuffer;
import java.util.Arrays;
import yardusher.resp.Inbound;

/** Gathers one line from bytes cut anywhere. A fixed buffer, a line's most and its end. */
final class LineBuffer implements Inbound {
    private final byte[] bytes = new byte[AdminCall.MOST_LINE + 2];
    private int end;

    @Override
    public ByteBuffer room() { return ByteBuffer.wrap(bytes, end, bytes.length - end); }

    @Override
    public void filled(int count) { end += count; }

    /**
     * The line without its end (LF or CR LF), or null while it is not whole. An {@link IllegalArgumentException} for one that
     * is too long, and for anything behind it: a connection carries one line.
     */
    byte[] line() {
        for (int i = 0; i < end; i++) {
            if (bytes[i] != '\n') { continue; }
            if (i + 1 < end) { throw new IllegalArgumentException("one line to a connection"); }
            return Arrays.copyOf(bytes, i > 0 && bytes[i - 1] == '\r' ? i - 1 : i);
        }
        if (end == bytes.length) { throw new IllegalArgumentException("line longer than " + AdminCall.MOST_LINE + " bytes"); }
        return null;
    }
}

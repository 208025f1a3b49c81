package yardusher.resp;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** The one RESP2 encoder: values are appended to a growing array. */
public final class Encoder {
    private byte[] bytes;
    private int length;

    public Encoder(int expected) { bytes = new byte[Math.max(16, expected)]; }

    public Encoder array(int items) { return header('*', items); }

    public Encoder integer(long number) { return header(':', number); }

    public Encoder bulk(byte[] body) {
        header('$', body.length);
        return raw(body).raw(CRLF);
    }

    /** The head of a bulk string whose bytes, and line end, are to follow apart. */
    public Encoder bulkHead(long length) { return header('$', length); }

    public Encoder bulk(String text) { return bulk(text.getBytes(StandardCharsets.UTF_8)); }

    public Encoder simpleString(String text) { return ascii('+').text(text).raw(CRLF); }

    /** An error line; line ends in the text would break the framing and become spaces. */
    public Encoder error(String text) {
        return ascii('-').text(text.replace('\r', ' ').replace('\n', ' ')).raw(CRLF);
    }

    private static final byte[] CRLF = {'\r', '\n'};

    private Encoder header(char kind, long number) { return ascii(kind).text(Long.toString(number)).raw(CRLF); }

    private Encoder ascii(char c) {
        grow(1);
        bytes[length++] = (byte) c;
        return this;
    }

    private Encoder text(String text) { return raw(text.getBytes(StandardCharsets.UTF_8)); }

    public Encoder raw(byte[] added) {
        grow(added.length);
        System.arraycopy(added, 0, bytes, length, added.length);
        length += added.length;
        return this;
    }

    private void grow(int added) {
        if (length + added > bytes.length) { bytes = Arrays.copyOf(bytes, Math.max(length + added, bytes.length * 2)); }
    }

    public byte[] toBytes() { return length == bytes.length ? bytes : Arrays.copyOf(bytes, length); }
}

package yardusher.resp;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** The RESP2 encoder; appends values to a growing array. */
public final class Encoder {
    private byte[] bytes;
    private int length;

    public Encoder(int expected) { bytes = new byte[Math.max(16, expected)]; }

    public Encoder array(int items) { return header('*', items); }

    public Encoder whole(long number) { return header(':', number); }

    public Encoder bulk(byte[] body) {
        header('$', body.length);
        return raw(body).raw(CRLF);
    }

    /** Writes the head of a bulk string. Its bytes and the line end follow separately. */
    public Encoder bulkHead(long length) { return header('$', length); }

    public Encoder bulk(String text) { return bulk(text.getBytes(StandardCharsets.UTF_8)); }

    public Encoder simple(String text) { return ascii('+').text(text).raw(CRLF); }

    /** Writes an error line. Line ends in the text would break the framing and become spaces. */
    public Encoder failure(String text) {
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

    public Encoder raw(byte[] more) {
        grow(more.length);
        System.arraycopy(more, 0, bytes, length, more.length);
        length += more.length;
        return this;
    }

    private void grow(int more) {
        if (length + more > bytes.length) { bytes = Arrays.copyOf(bytes, Math.max(length + more, bytes.length * 2)); }
    }

    public byte[] toBytes() { return length == bytes.length ? bytes : Arrays.copyOf(bytes, length); }
}

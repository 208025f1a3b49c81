package yardusher.register;

import java.io.IOException;
import yardusher.disk.Fields;

/**
 * The register's reply to an operation.
 *
 * @param ok whether the operation took effect, now or when it was first submitted
 * @param token the token granted with the work, or the newer token because of which the operation was refused
 * @param text a description for operators: what was done, or why it was refused
 * @param state the whole state of the register, if it was requested; else null
 */
public record Answer(boolean ok, long token, String text, byte[] state) {
    static Answer accepted(long token, String text) { return new Answer(true, token, text, null); }

    static Answer rejected(long token, String text) { return new Answer(false, token, text, null); }

    public byte[] encode() {
        return new Fields.Writer().flag(1, ok).number(2, token).text(3, text).bytes(4, state).toBytes();
    }

    public static Answer decode(byte[] bytes) throws IOException {
        Fields f = Fields.read(bytes);
        return new Answer(f.flag(1), f.number(2), f.text(3), f.has(4) ? f.bytes(4) : null);
    }
}

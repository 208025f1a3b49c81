package yardusher.register;

import java.io.IOException;
import yardusher.disk.Fields;

/**
 * What the register says to an operation.
 *
 * @param ok whether it took effect, now or when it was first asked for
 * @param token the work's token where one was granted, or the newer one by which it was refused
 * @param text for people: what was done, or why not
 * @param state the register's whole state, where that was asked for; else null
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

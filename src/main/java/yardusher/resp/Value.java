package yardusher.resp;

import java.nio.charset.StandardCharsets;
import java.util.List;

/** One decoded RESP2 value. A null bulk string or array holds null. */
public sealed interface Value {
    record SimpleString(String text) implements Value { }

    record ErrorReply(String text) implements Value { }

    record IntegerValue(long number) implements Value { }

    record BulkString(byte[] bytes) implements Value {
        public String text() {
            return bytes == null ? null : new String(bytes, StandardCharsets.UTF_8);
        }
    }

    record ArrayValue(List<Value> items) implements Value { }
}

package yardusher.resp;

import java.nio.charset.StandardCharsets;
import java.util.List;

/** A decoded RESP2 value. A null bulk string or array holds null. */
public sealed interface Value {
    record Simple(String text) implements Value { }

    record Failure(String text) implements Value { }

    record Whole(long number) implements Value { }

    record Bulk(byte[] bytes) implements Value {
        public String text() {
            return bytes == null ? null : new String(bytes, StandardCharsets.UTF_8);
        }
    }

    record Many(List<Value> items) implements Value { }
}

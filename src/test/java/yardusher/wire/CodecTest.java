package yardusher.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.exc.StreamConstraintsException;
import java.io.IOException;
import org.junit.jupiter.api.Test;

class CodecTest {
    private static Object read(String text) throws IOException {
        try (JsonParser parser = new JsonFactory().createParser(text)) {
            parser.nextToken();
            return Codec.readValue(parser);
        }
    }

    private static String nested(int levels) { return "[".repeat(levels) + "]".repeat(levels); }

    /** Guards against input that is nested so deep that reading it overflows the stack of a small thread. */
    @Test
    void inputThatIsNestedTooDeepIsRefused() throws IOException {
        assertThat(read(nested(64))).isNotNull();
        assertThatThrownBy(() -> read(nested(65))).isInstanceOf(StreamConstraintsException.class).hasMessageContaining("64 levels");
        assertThatThrownBy(() -> read("{\"a\":".repeat(100_000))).isInstanceOf(StreamConstraintsException.class);
    }
}

package yardusher.admin;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Calls and lines of the second address, without a socket. */
class AdminCallTest {
    private static AdminCall call(String line) { return AdminCall.of(line.getBytes(StandardCharsets.ISO_8859_1)); }

    @Test
    void everyCallIsReadFromTheLineThatItWrites() {
        for (AdminCall.Verb verb : AdminCall.Verb.values()) {
            AdminCall call = new AdminCall(verb, verb.namesRegion() ? "s-5be2a07c" : null);
            assertThat(call(call.line())).isEqualTo(call);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"", " ", "HEALTH", "healthy", "health ", "health now", "cordon", "cordon ", "cordon a b", "uncordon",
        "cordon  s-1", "h\u0000alth", "cordon \u00e9", "\u0001"})
    void whatIsNoCallSaysWhy(String line) {
        assertThatIllegalArgumentException().isThrownBy(() -> call(line)).withMessageMatching("[ -~]+");
    }

    @Test
    void aLineIsWholeHoweverItIsCut() {
        for (String end : new String[] {"\n", "\r\n"}) {
            LineBuffer line = new LineBuffer();
            byte[] bytes = ("health" + end).getBytes(StandardCharsets.US_ASCII);
            for (byte b : bytes) {
                assertThat(line.line()).isNull();
                line.room().put(b);
                line.filled(1);
            }
            assertThat(line.line()).isEqualTo("health".getBytes(StandardCharsets.US_ASCII));
        }
    }

    @Test
    void twoLinesAtOnceAndAnOverlongOneAreTold() {
        LineBuffer two = new LineBuffer();
        two.room().put("health\nhealth\n".getBytes(StandardCharsets.US_ASCII));
        two.filled(14);
        assertThatIllegalArgumentException().isThrownBy(two::line).withMessageContaining("one line");
        LineBuffer endless = new LineBuffer();
        for (ByteBuffer room; (room = endless.room()).hasRemaining();) {
            assertThat(endless.line()).isNull();
            room.put((byte) 'x');
            endless.filled(1);
        }
        assertThatIllegalArgumentException().isThrownBy(endless::line).withMessageContaining("256");
    }
}

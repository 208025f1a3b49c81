package yardusher.admin;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import yardusher.error.CommandError;
import yardusher.error.WireError;
import yardusher.net.Lines;

/** Calls and lines of the second address, without a socket. */
class AdminCallTest {
    private static AdminCall call(String line) { return AdminCall.of(line); }

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
        assertThatThrownBy(() -> call(line)).isInstanceOf(CommandError.class).hasMessageMatching("[ -~]+");
    }

    @Test
    void aLineIsWholeHoweverItIsCut() {
        for (String end : new String[] {"\n", "\r\n"}) {
            Lines line = new Lines(256);
            byte[] bytes = ("health" + end).getBytes(StandardCharsets.US_ASCII);
            for (byte b : bytes) {
                assertThat(line.next()).isNull();
                line.room().put(b);
                line.filled(1);
            }
            assertThat(line.next()).isEqualTo("health");
        }
    }

    @Test
    void anOverlongLineIsToldAndLinesBehindEachOtherComeInTurn() {
        Lines two = new Lines(256);
        two.room().put("health\r\nresume\nco".getBytes(StandardCharsets.US_ASCII));
        two.filled(17);
        assertThat(two.next()).isEqualTo("health");
        assertThat(two.next()).isEqualTo("resume");
        assertThat(two.next()).isNull();
        assertThat(two.isEmpty()).isFalse();
        Lines endless = new Lines(256);
        for (ByteBuffer room; (room = endless.room()).hasRemaining();) {
            assertThat(endless.next()).isNull();
            room.put((byte) 'x');
            endless.filled(1);
        }
        assertThatThrownBy(endless::next).isInstanceOf(WireError.class).hasMessageContaining("256");
        assertThatThrownBy(() -> call("x".repeat(257))).isInstanceOf(CommandError.class).hasMessageContaining("256");
    }
}

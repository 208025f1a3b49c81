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
import yardusher.net.LineReader;

/** Calls and lines of the second address, without a socket. */
class AdminCallTest {
    private static AdminCall call(String line) { return AdminCall.parse(line); }

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
            LineReader line = new LineReader(256);
            byte[] bytes = ("health" + end).getBytes(StandardCharsets.US_ASCII);
            for (byte b : bytes) {
                assertThat(line.nextLine()).isNull();
                line.readBuffer().put(b);
                line.advance(1);
            }
            assertThat(line.nextLine()).isEqualTo("health");
        }
    }

    @Test
    void anOverlongLineIsToldAndLinesBehindEachOtherComeInTurn() {
        LineReader two = new LineReader(256);
        two.readBuffer().put("health\r\nresume\nco".getBytes(StandardCharsets.US_ASCII));
        two.advance(17);
        assertThat(two.nextLine()).isEqualTo("health");
        assertThat(two.nextLine()).isEqualTo("resume");
        assertThat(two.nextLine()).isNull();
        assertThat(two.isEmpty()).isFalse();
        LineReader endless = new LineReader(256);
        for (ByteBuffer room; (room = endless.readBuffer()).hasRemaining();) {
            assertThat(endless.nextLine()).isNull();
            room.put((byte) 'x');
            endless.advance(1);
        }
        assertThatThrownBy(endless::nextLine).isInstanceOf(WireError.class).hasMessageContaining("256");
        assertThatThrownBy(() -> call("x".repeat(257))).isInstanceOf(CommandError.class).hasMessageContaining("256");
    }
}

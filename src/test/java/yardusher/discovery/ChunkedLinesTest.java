package yardusher.discovery;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ChunkedLinesTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private static String chunk(String text) { return Integer.toHexString(text.getBytes(StandardCharsets.UTF_8).length) + "\r\n" + text + "\r\n"; }

    /** Feeds it in parts of these sizes, again and again. */
    private static ChunkedLines fed(byte[] bytes, List<Integer> sizes) throws IOException {
        ChunkedLines lines = new ChunkedLines();
        for (int from = 0, i = 0; from < bytes.length; i++) {
            int count = Math.min(sizes.get(i % sizes.size()), bytes.length - from);
            byte[] part = new byte[count];
            System.arraycopy(bytes, from, part, 0, count);
            lines.feed(part, count);
            from += count;
        }
        return lines;
    }

    private static ChunkedLines fed(String text) throws IOException { return fed(text.getBytes(StandardCharsets.ISO_8859_1), List.of(text.length())); }

    private static List<String> all(ChunkedLines lines) {
        List<String> all = new ArrayList<>();
        for (String line; (line = lines.next()) != null;) { all.add(line); }
        return all;
    }

    @Property(tries = 200)
    void whereverItIsCutTheSameLinesCome(@ForAll @Size(min = 1, max = 8) List<@IntRange(min = 1, max = 20_000) Integer> sizes) throws IOException {
        String large = "x".repeat(30_000);
        String text = HEAD + chunk("{\"a\":") + chunk("1}\n\n") + chunk(large + "\nr\u00e9") + chunk("gion\n") + "0\r\n\r\n";
        ChunkedLines lines = fed(text.getBytes(StandardCharsets.UTF_8), sizes);
        assertThat(all(lines)).containsExactly("{\"a\":1}", "", large, "r\u00e9gion");
        assertThat(lines.ended()).isTrue();
    }

    @Property(tries = 500)
    void madeUpBytesAreAnErrorOrNothing(@ForAll byte[] bytes, @ForAll boolean afterAHead) throws IOException {
        byte[] head = (afterAHead ? HEAD : "HTTP/1.1 200 OK\r\n").getBytes(StandardCharsets.US_ASCII);
        ChunkedLines lines = new ChunkedLines();
        lines.feed(head, head.length);
        try {
            lines.feed(bytes, bytes.length);
        } catch (IOException e) {
            assertThat(e.getMessage()).isNotBlank();
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK\r\ntransfer-encoding:chunked\r\n\r\n", "HTTP/1.1 200 \r\nTransfer-Encoding:   Chunked  \r\n\r\n",
        "HTTP/1.1 200 OK\r\nServer: a\r\n b\r\nTransfer-Encoding: chunked\r\n\r\n"})
    void aHeadInAnyLegalWritingIsTaken(String head) throws IOException {
        assertThat(all(fed(head + "2;name=value\r\na\n\r\n"))).containsExactly("a");
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", "+PONG\r\n+PONG\r\n",
        HEAD + "zz\r\n", HEAD + "2\r\nabcd", HEAD + "-5\r\n"})
    void whatIsNoSuchAnswerIsAnError(String text) {
        assertThatThrownBy(() -> fed(text + "\r\n".repeat(20))).as(text).isInstanceOf(IOException.class);
    }

    @Test
    void nothingGrowsWithoutABound() throws IOException {
        assertThatThrownBy(() -> fed("HTTP/1.1 200 OK\r\nX: " + "y".repeat(20_000))).isInstanceOf(IOException.class);
        assertThatThrownBy(() -> fed("HTTP/1.1 200 OK\r\n" + "X: y\r\n".repeat(100))).isInstanceOf(IOException.class);
        String part = chunk("x".repeat(1 << 20));
        ChunkedLines lines = fed(HEAD + part.repeat(4));
        assertThatThrownBy(() -> lines.feed(part.getBytes(StandardCharsets.US_ASCII), part.length())).hasMessage("line too long");
    }
}

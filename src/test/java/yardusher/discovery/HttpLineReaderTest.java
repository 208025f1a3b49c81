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

class HttpLineReaderTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private static String chunk(String text) { return Integer.toHexString(text.getBytes(StandardCharsets.UTF_8).length) + "\r\n" + text + "\r\n"; }

    /** Feeds it in parts of these sizes, again and again. */
    private static HttpLineReader fed(byte[] bytes, List<Integer> sizes) throws IOException {
        HttpLineReader lines = new HttpLineReader();
        for (int from = 0, i = 0; from < bytes.length; i++) {
            int count = Math.min(sizes.get(i % sizes.size()), bytes.length - from);
            byte[] part = new byte[count];
            System.arraycopy(bytes, from, part, 0, count);
            lines.feed(part, count);
            from += count;
        }
        return lines;
    }

    private static HttpLineReader fed(String text) throws IOException { return fed(text.getBytes(StandardCharsets.ISO_8859_1), List.of(text.length())); }

    private static List<String> all(HttpLineReader lines) {
        List<String> all = new ArrayList<>();
        for (String line; (line = lines.nextLine()) != null;) { all.add(line); }
        return all;
    }

    @Property(tries = 200)
    void whereverItIsCutTheSameLinesCome(@ForAll @Size(min = 1, max = 8) List<@IntRange(min = 1, max = 20_000) Integer> sizes) throws IOException {
        String large = "x".repeat(30_000);
        String text = HEAD + chunk("{\"a\":") + chunk("1}\n\n") + chunk(large + "\nr\u00e9") + chunk("gion\n") + "0\r\n\r\n";
        HttpLineReader lines = fed(text.getBytes(StandardCharsets.UTF_8), sizes);
        assertThat(all(lines)).containsExactly("{\"a\":1}", "", large, "r\u00e9gion");
        assertThat(lines.isComplete()).isTrue();
    }

    @Property(tries = 500)
    void madeUpBytesAreAnErrorOrNothing(@ForAll byte[] bytes, @ForAll boolean afterAHead) throws IOException {
        byte[] head = (afterAHead ? HEAD : "HTTP/1.1 200 OK\r\n").getBytes(StandardCharsets.US_ASCII);
        HttpLineReader lines = new HttpLineReader();
        lines.feed(head, head.length);
        try {
            lines.feed(bytes, bytes.length);
        } catch (IOException e) {
            assertThat(e.getMessage()).isNotBlank();
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK\r\ntransfer-encoding:chunked\r\n\r\n", "HTTP/1.1 200 \r\nTransfer-Encoding:   Chunked  \r\n\r\n",
        "HTTP/1.1 200 OK\r\nServer: a\r\n b\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.0 200 OK\r\nTransfer-Encoding: CHUNKED;a=b\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 9\r\n\r\n"})
    void aHeadInAnyLegalWritingIsTaken(String head) throws IOException {
        assertThat(all(fed(head + "2;name=value\r\na\n\r\n"))).containsExactly("a");
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\nabc", "+PONG\r\n+PONG\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
        "HTTP/1.1 302 Found\r\nLocation: http://127.0.0.1:1/\r\n\r\n", "HTTP/1.1 204 No Content\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: a\r\n\r\nabc",
        HEAD + "zz\r\n", HEAD + "2\r\nabcd", HEAD + "-5\r\n"})
    void whatIsNoSuchAnswerIsAnError(String text) {
        assertThatThrownBy(() -> fed(text + "\r\n".repeat(20))).as(text).isInstanceOf(IOException.class);
    }

    /** What stands without a line's end is given once nothing more can come, of an answer of any length. */
    @Property(tries = 200)
    void anAnswerWithALengthOrWithoutAnyIsReadWhereverItIsCut(@ForAll @Size(min = 1, max = 8) List<@IntRange(min = 1, max = 20_000) Integer> sizes,
            @ForAll boolean counted, @ForAll boolean old) throws IOException {
        String large = "x".repeat(30_000);
        String text = "{\"a\":\n1}\r\n\n" + large + "\nlast";
        String head = "HTTP/1." + (old ? 0 : 1) + " 200 OK\r\nserver: a\r\n" + (counted ? "content-length: " + text.length() + "\r\n" : "") + "\r\n";
        HttpLineReader lines = fed((head + text).getBytes(StandardCharsets.US_ASCII), sizes);
        assertThat(all(lines)).containsExactly("{\"a\":", "1}\r", "", large);
        assertThat(lines.isComplete()).as("without a length it lasts as long as its connection").isEqualTo(counted);
        assertThat(lines.takeUnterminatedLine()).isEqualTo("last");
        assertThat(lines.takeUnterminatedLine()).isNull();
    }

    @Test
    void anAnswerOfNoLengthAtAllEndsAtOnceAndOneWithoutItsHeadNever() throws IOException {
        assertThat(fed("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").isComplete()).isTrue();
        assertThat(fed("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n").isComplete()).isFalse();
        assertThat(fed("HTTP/1.1 200 OK\r\n").takeUnterminatedLine()).isNull();
        assertThatThrownBy(() -> fed("HTTP/1.1 100 Continue\r\n\r\n".repeat(20))).isInstanceOf(IOException.class);
    }

    @Test
    void nothingGrowsWithoutABound() throws IOException {
        assertThatThrownBy(() -> fed("HTTP/1.1 200 OK\r\nX: " + "y".repeat(20_000))).isInstanceOf(IOException.class);
        assertThatThrownBy(() -> fed("HTTP/1.1 200 OK\r\n" + "X: y\r\n".repeat(100))).isInstanceOf(IOException.class);
        String part = chunk("x".repeat(1 << 20));
        HttpLineReader lines = fed(HEAD + part.repeat(4));
        assertThatThrownBy(() -> lines.feed(part.getBytes(StandardCharsets.US_ASCII), part.length())).hasMessage("line too long");
    }
}

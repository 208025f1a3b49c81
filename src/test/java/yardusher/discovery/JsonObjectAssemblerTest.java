package yardusher.discovery;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.Chars;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import yardusher.wire.Codec;

class JsonObjectAssemblerTest {
    /** What each object holds, whole, from the lines of a feed; empty lines are left out. */
    private static List<Object> read(String feed) throws IOException {
        JsonObjectAssembler lines = new JsonObjectAssembler();
        List<Object> read = new ArrayList<>();
        for (String line : feed.split("\n", -1)) {
            String object = lines.add(line);
            if (object == null || object.isBlank()) { continue; }
            try (JsonParser parser = new JsonFactory().createParser(object)) {
                parser.nextToken();
                read.add(((Codec.JsonObject) Codec.readValue(parser)).text("id"));
            }
        }
        return read;
    }

    /** Line ends and blanks wherever JSON lets them stand, drawn by seed. */
    private static String loosened(String json, Random random) {
        StringBuilder out = new StringBuilder();
        boolean inText = false;
        for (int i = 0; i < json.length(); i++) {
            char c = json.charAt(i);
            if (c == '"' && (i == 0 || json.charAt(i - 1) != '\\')) { inText = !inText; }
            boolean mark = !inText && "{}[],:".indexOf(c) >= 0;
            out.append(c);
            if (mark && i < json.length() - 1 && random.nextInt(3) == 0) { out.append(random.nextBoolean() ? "\r\n\t" : "\n   "); }
        }
        return out.toString();
    }

    /** An object is the same however it is laid out, also with braces, quotes and backslashes in its texts. */
    @Property(tries = 300)
    void theLayoutOfAnObjectSaysNothing(@ForAll @Size(max = 5) List<@AlphaChars @Chars({'{', '}', '[', ']', '"', '\\', ' '}) String> ids,
            @ForAll @IntRange(max = 1000) int seed) throws IOException {
        StringBuilder feed = new StringBuilder("\n");
        Random random = new Random(seed);
        for (String id : ids) {
            String text = id.replace("\\", "/").replace("\"", "\\\"");
            feed.append(loosened("{\"revision\":4,\"id\":\"" + text + "\",\"members\":[{\"a\":[]},{\"b\":{}}]}", random)).append("\n\n");
        }
        assertThat(read(feed.toString())).containsExactlyElementsOf(ids.stream().map(id -> (Object) id.replace("\\", "/")).toList());
    }

    @Test
    void whatIsNoObjectIsGivenOnAsItIs() throws IOException {
        JsonObjectAssembler lines = new JsonObjectAssembler();
        assertThat(lines.add("not JSON")).isEqualTo("not JSON");
        assertThat(lines.add("[1]")).isEqualTo("[1]");
        assertThat(lines.add("")).isEmpty();
        assertThat(lines.add("{\"a\":")).isNull();
        assertThat(lines.add("1}")).isEqualToIgnoringWhitespace("{\"a\":1}");
        assertThatThrownBy(() -> lines.add("{\"a")).isInstanceOf(IOException.class).hasMessageContaining("cut off");
        JsonObjectAssembler large = new JsonObjectAssembler();
        assertThatThrownBy(() -> {
            String line = "{\"a\":\"" + "x".repeat(1 << 20) + "\",\"b\":[";
            for (int i = 0; i < 5; i++) { large.add(line); }
        }).isInstanceOf(IOException.class).hasMessageContaining("too long");
    }

    @Test
    void whatIsNestedDeeplyIsNotReadOn() {
        assertThatThrownBy(() -> new JsonObjectAssembler().add("{\"a\":" + "[".repeat(100_000))).isInstanceOf(IOException.class).hasMessageContaining("deep");
    }
}

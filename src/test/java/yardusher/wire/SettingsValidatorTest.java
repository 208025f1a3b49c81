package yardusher.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import yardusher.error.YardusherError;

/** Settings that no deployment can have, and what is told of those that are not used. */
class SettingsValidatorTest {
    private static Codec.JsonObject settings(String from, String to) throws IOException {
        String text = Files.readString(Path.of("src/test/resources/ingress.json"));
        assertThat(text).containsPattern(from);
        try (JsonParser parser = new JsonFactory().createParser(text.replaceFirst(from, to))) {
            parser.nextToken();
            return ((Codec.JsonObject) Codec.readValue(parser)).object("settings");
        }
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "\"me\": \\d+              | \"me\": 9              | me is 9, allowed is 0 to",
        "\"zone\": \\d+            | \"zone\": 7            | zone is 7, allowed is 0 to",
        "\"max_attempts\": \\d+    | \"max_attempts\": 0    | limits.max_attempts is 0, allowed is 1 to",
        "\"cold_from\": [0-9.]+    | \"cold_from\": 1.5     | rules.cold_from is 1.5, allowed is 0 to 1",
        "\"aim_ms\": 1000.0        | \"aim_ms\": -1         | classes[0].aim_ms is -1, allowed is",
        "\"peak_units\": 8.0       | \"peak_units\": 0      | contracts[0].peak_units is 0, allowed is",
        "\"effect\": \"idempotent\" | \"effect\": \"odd\"   | unknown effect"})
    void outOfRangeSettingsAreRejectedWithTheAllowedRange(String from, String to, String message) throws IOException {
        Codec.JsonObject config = settings(from, to);
        assertThatThrownBy(() -> SettingsValidator.validate(Codec.parseSettings(config), 3)).isInstanceOf(YardusherError.class).hasMessageContaining(message);
    }

    @Test
    void onlyUnusedSettingsAreReported() throws IOException {
        List<String> notes = SettingsValidator.listUnused(settings("\"second_copies\": false", "\"second_copies\": true"));
        assertThat(notes).anyMatch(note -> note.startsWith("limits.second_copies"))
                .anyMatch(note -> note.startsWith("domain.counter")).anyMatch(note -> note.startsWith("clients.marks_retry"))
                .noneMatch(note -> note.startsWith("domain.meter_ms") || note.contains("aim_stretch"));
    }
}

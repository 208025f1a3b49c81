package yardusher.view;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import yardusher.settings.Settings;

/** The table view of our settings. */
class ViewSettingsTest {
    private static final String GOOD = "[view]\nlisten = \"127.0.0.1:7946\"\ninstallation = \"site\"\nseeds = [\"127.0.0.2:7946\"]\n";
    @TempDir
    private Path folder;

    private Settings read(String text) throws IOException {
        Path file = folder.resolve("own.toml");
        Files.writeString(file, text);
        return Settings.read(file);
    }

    @Test
    void defaultsApply() throws IOException {
        ViewSettings view = read(GOOD).view();
        assertThat(view.probeMs()).isEqualTo(300);
        assertThat(view.suspicionRounds()).isEqualTo(4);
        assertThat(view.rememberS()).isEqualTo(600);
        assertThat(view.settleMs()).isEqualTo(300);
        assertThat(view.advertise()).isNull();
        assertThat(view.hall()).isNull();
        assertThat(view).isEqualTo(new ViewSettings(view.listen(), view.installation(), view.seeds()));
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {"probe_ms = 10|view.probe_ms", "probe_ms = \"x\"|view.probe_ms", "suspicion = 1|view.suspicion", "remember_s = 0|view.remember_s",
        "settle_ms = -1|view.settle_ms", "hall = \"a b\"|view.hall", "advertise = \"host:1\"|view.advertise", "advertise = \"127.0.0.1:0\"|view.advertise",
        "probe = 3|view.probe"})
    void invalidValueIsReportedInOneLineWithFileAndKey(String line, String key) {
        assertThatThrownBy(() -> read(GOOD + line + "\n")).hasMessageMatching("[ -~]+").hasMessageContaining("own.toml").hasMessageContaining(key);
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {"127.0.0.1:7946|nonsense", "127.0.0.2:7946|127.0.0.2:0", "site|", "127.0.0.1:7946|0.0.0.0:7946"})
    void invalidAddressOrInstallationIsReported(String good, String bad) {
        assertThatThrownBy(() -> read(GOOD.replace(good, bad == null ? "" : bad))).hasMessageMatching("[ -~]+").hasMessageContaining("view.");
    }
}

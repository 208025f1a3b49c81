package yardusher.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import yardusher.error.ConfigError;

/** The tables of what several ingresses keep together: wrong values are one line with file, key and what is allowed. */
class TablesTogetherTest {
    private static final String VIEW = "[view]\nlisten = \"127.0.0.1:7946\"\ninstallation = \"hall\"\n";
    @TempDir
    Path folder;

    private Settings read(String text) throws IOException {
        return Settings.read(Files.writeString(folder.resolve("own.toml"), text));
    }

    @Test
    void allThreeAreReadTogether() throws IOException {
        Settings own = read(VIEW + "[units]\n[[units.mode]]\nplan = \"basis\"\nmode = \"unit\"\n[parts]\nconnections = 8\n");
        assertThat(own.view().installation()).isEqualTo("hall");
        assertThat(own.units()).isNotNull();
        assertThat(own.connectionQuota().connections()).isEqualTo(8);
    }

    @Test
    void aWrongValueOfTheViewIsToldWithItsKey() {
        String[][] cases = {
            {"listen = \"here:1\"", "view.listen must be an address in digits and a port"},
            {"listen = \"127.0.0.1:99999\"", "view.listen must be an address in digits and a port"},
            {"seeds = [\"127.0.0.1:0\"]", "view.seeds must be an address in digits and a port"},
            {"installation = \"\"", "view.installation must be 1 to 64 visible characters"},
            {"probe_ms = 1", "view.probe_ms must be a whole number from 50 to 60000"},
            {"settle_ms = \"soon\"", "view.settle_ms must be a whole number"},
            {"sead = 1", "unknown key view.sead, allowed are"},
            {"advertise = \"0.0.0.0:7\"", "view.advertise must be an address"}};
        for (String[] one : cases) {
            String line = one[0];
            String key = line.substring(0, line.indexOf(' '));
            String text = VIEW.lines().filter(set -> !set.startsWith(key + " ")).reduce("", (a, b) -> a + b + "\n") + line + "\n";
            assertThatThrownBy(() -> read(text)).isInstanceOf(ConfigError.class).hasMessageContaining("own.toml").hasMessageContaining(one[1]);
        }
    }

    @Test
    void aWrongValueOfTheOthersToo() {
        String[][] cases = {
            {"[units]\nmost_open = 0", "units.most_open must be a whole number"},
            {"[units]\nwhen_unsure = \"maybe\"", "units.when_unsure must be one of refuse, send"},
            {"[[units.mode]]\nplan = \"basis\"\nmode = \"pool\"", "mode must be one of session, unit, single"},
            {"[parts]\nconnections = 0", "parts.connections must be a whole number from 1 to 30000"},
            {"[[parts.region]]\nconnections = 3", "either an id or a zone in parts.region"},
            {"[parts]\nmore = 1", "unknown key parts.more"},
            {"[rates]\nbytes_per_s = 100", "rates.bytes_per_s must be a whole number from 200 to 100000"},
            {"[rates]\nfrom = 1", "rates.from must be a whole number from 2 to 10000"},
            {"[rates]\nhorizon_s = \"long\"", "rates.horizon_s must be a whole number from 2 to 600"},
            {"[rates]\nbytes = 1", "unknown key rates.bytes"}};
        for (String[] one : cases) {
            String lines = one[0];
            assertThatThrownBy(() -> read(VIEW + lines + "\n")).isInstanceOf(ConfigError.class).hasMessageContaining("own.toml")
                    .hasMessageContaining(one[1]);
        }
    }

    @Test
    void neitherUnitsNorPartsNorRatesStandWithoutAView() {
        assertThatThrownBy(() -> read("[units]\n")).isInstanceOf(ConfigError.class).hasMessageContaining("units needs a table view");
        assertThatThrownBy(() -> read("[parts]\n")).isInstanceOf(ConfigError.class).hasMessageContaining("parts needs a table view");
        assertThatThrownBy(() -> read("[rates]\n")).isInstanceOf(ConfigError.class).hasMessageContaining("rates needs a table view");
    }
}

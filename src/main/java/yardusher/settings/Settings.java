package yardusher.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import yardusher.error.ConfigError;
import yardusher.file.Toml;
import yardusher.journal.JournalSettings;
import yardusher.keys.KeySettings;
import yardusher.log.LogSettings;
import yardusher.connectionquota.ConnectionQuotaSettings;
import yardusher.rates.RateSettings;
import yardusher.units.UnitSettings;
import yardusher.view.ViewSettings;

/**
 * Our own settings, deploy/yardusher.toml: a table for each subsystem, which is off where its table is left out. The
 * platform's file says nothing of them.
 */
public record Settings(JournalSettings journal, KeySettings keys, LogSettings log, boolean fenced, ViewSettings view,
        UnitSettings units, ConnectionQuotaSettings connectionQuota, RateSettings rates) {
    /** Everything off. */
    public static final Settings OFF = new Settings(null, null, null, false, null, null, null, null);
    private static final Set<String> TABLES = Set.of("journal", "keys", "log", "fleet", "view", "units", "parts", "rates");

    /**
     * Reads a file; null and a file that says nothing are {@link #OFF}, and load no parser.
     *
     * @throws yardusher.error.ConfigError in one plain line that names the file, the key and what is allowed
     */
    public static Settings read(Path file) {
        if (file == null || hasNoSettings(file)) { return OFF; }
        return Toml.read(file, toml -> {
            Settings all = new Settings(JournalSettings.of(toml.allowOnly(TABLES)), KeySettings.of(toml), LogSettings.of(toml), fenced(toml),
                    ViewSettings.of(toml), UnitSettings.of(toml), ConnectionQuotaSettings.of(toml), RateSettings.of(toml));
            String lone = all.view != null ? null : all.units != null ? "units" : all.connectionQuota != null ? "parts" : all.rates != null ? "rates" : null;
            if (lone != null) { throw new ConfigError.Conflict(null, lone, lone + " needs a table view, by which ingresses reach one another"); }
            return all;
        });
    }

    /** Whether this ingress takes orders of the fleet's work at its second address. */
    private static boolean fenced(Toml file) {
        Toml table = file.table("fleet");
        return table != null && table.allowOnly(Set.of("orders")).flag("orders", true);
    }

    private static boolean hasNoSettings(Path file) {
        try {
            return Files.readString(file).lines().map(String::strip).allMatch(line -> line.isEmpty() || line.startsWith("#"));
        } catch (IOException e) {
            throw new ConfigError.Unreadable(file, e);
        }
    }
}

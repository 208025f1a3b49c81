package yardusher.log;

import java.util.Set;
import yardusher.file.Toml;

/** What deploy/yardusher.toml says in its table {@code log}. */
public record LogSettings(boolean json, String level) {
    /** Reads the table; a {@link yardusher.error.ConfigError} names the key and what is allowed. Null where it is left out. */
    public static LogSettings of(Toml file) {
        Toml table = file.table("log");
        if (table == null) { return null; }
        table.allowOnly(Set.of("format", "level"));
        return new LogSettings(table.choice("format", "plain", "plain", "json").equals("json"),
                table.choice("level", "info", "debug", "info", "warn", "error"));
    }
}

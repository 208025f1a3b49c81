package yardusher.journal;

import java.nio.file.Path;
import java.util.Set;
import yardusher.error.ConfigError;
import yardusher.file.Toml;

/**
 * What deploy/yardusher.toml says in its table {@code journal}. Times are milliseconds where their name does not say
 * otherwise, sizes are bytes.
 */
public record JournalSettings(Path folder, Durability durability, double windowMs, double flushMs, double stallMs,
        long segmentBytes, long maxBytes, int reserveBytes, double keepHours, double minKeepMinutes, boolean refusesWhenFull,
        double retryAfterMs, boolean recordsUnattempted) {
    /** What an intent survives before its attempt goes out. */
    public enum Durability {
        /** The end of the process, by any signal. */
        PROCESS,
        /** That, and a loss of power but for the last {@code window_ms} and the time of one sync. */
        GROUP,
        /** A loss of power. */
        MACHINE
    }

    private static final Set<String> KEYS = Set.of("folder", "durability", "window_ms", "flush_ms", "stall_ms", "segment_kb",
            "max_mb", "reserve_kb", "keep_hours", "keep_least_minutes", "when_full", "retry_after_ms",
            "record_untried");

    /** Reads the table; a {@link ConfigError} names the key and what is allowed. Null where it is left out. */
    public static JournalSettings of(Toml file) {
        Toml table = file.table("journal");
        if (table == null) { return null; }
        table.allowOnly(KEYS);
        JournalSettings settings = new JournalSettings(Path.of(table.text("folder")),
                Durability.valueOf(table.choice("durability", "process", "process", "group", "machine").toUpperCase(java.util.Locale.ROOT)),
                table.integer("window_ms", 50, 1, 60_000), table.integer("flush_ms", 5, 1, 1000),
                table.integer("stall_ms", 200, 10, 60_000), 1024L * table.integer("segment_kb", 8192, 64, 1 << 20),
                (1L << 20) * table.integer("max_mb", 1024, 1, 1 << 20), 1024 * table.integer("reserve_kb", 256, 64, 65_536),
                table.integer("keep_hours", 72, 1, 100_000), table.integer("keep_least_minutes", 60, 0, 1_000_000),
                table.choice("when_full", "refuse", "refuse", "unjournaled").equals("refuse"),
                table.integer("retry_after_ms", 500, 1, 60_000),
                table.flag("record_untried", false));
        if (settings.maxBytes < 2 * settings.segmentBytes + settings.reserveBytes) {
            throw new ConfigError.Conflict(null, "journal.max_mb", "journal.max_mb must hold two segments of segment_kb and reserve_kb");
        }
        return settings;
    }
}

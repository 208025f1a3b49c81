package yardusher.keys;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import yardusher.error.ConfigError;
import yardusher.file.Toml;

/**
 * The table {@code keys} of deploy/yardusher.toml. Answers are stored off-heap in {@code answerBytes}, each for the lifetime of
 * its class in milliseconds.
 */
public record KeySettings(int answerBytes, int maxRunning, int maxWaiting, double lifetimeMs, Map<String, Double> lifetimesMs,
        double retryAfterMs) {
    /** Reads the table; null if it is absent. A {@link ConfigError} names the invalid key and the allowed values. */
    public static KeySettings of(Toml file) {
        Toml table = file.table("keys");
        if (table == null) { return null; }
        table.allowOnly(java.util.Set.of("answers_kb", "most_running", "most_waiting", "lifetime_s", "lifetime", "retry_after_ms"));
        Map<String, Double> lifetimes = new HashMap<>();
        for (Toml one : table.tables("lifetime")) {
            one.allowOnly(java.util.Set.of("class", "seconds"));
            if (lifetimes.put(one.text("class"), 1000.0 * one.integer("seconds", 600, 1, 86_400)) != null) {
                throw new ConfigError.Conflict(null, "keys.lifetime", "keys.lifetime names the class " + one.text("class") + " twice");
            }
        }
        return new KeySettings(1024 * table.integer("answers_kb", 8192, 256, 1 << 20), table.integer("most_running", 10_000, 1, 1_000_000),
                table.integer("most_waiting", 32, 1, 10_000), 1000.0 * table.integer("lifetime_s", 600, 1, 86_400), lifetimes,
                table.integer("retry_after_ms", 200, 1, 60_000));
    }

    /** Rejects a lifetime for a class that is not configured. */
    public void checkClasses(List<String> classes) {
        for (String name : lifetimesMs.keySet()) {
            if (!classes.contains(name)) { throw new ConfigError.UnknownName(null, "keys.lifetime", "keys.lifetime names the unknown class " + name); }
        }
    }

    double lifetimeMs(String className) { return lifetimesMs.getOrDefault(className, lifetimeMs); }
}

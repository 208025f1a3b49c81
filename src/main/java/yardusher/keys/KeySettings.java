package yardusher.keys;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import yardusher.error.ConfigError;
import yardusher.file.Toml;

/**
 * What deploy/yardusher.toml says in its table {@code keys}. Answers are held in {@code answerBytes} outside the heap, a
 * class's for its lifetime in milliseconds.
 */
public record KeySettings(int answerBytes, int maxRunning, int maxWaiting, double lifetimeMs, Map<String, Double> lifetimesMs,
        double retryAfterMs) {
    /** Reads the table; a {@link ConfigError} names the key and what is allowed. Null where it is left out. */
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

    /** Complains of a lifetime for a class that the site does not have. */
    public void checkClasses(List<String> classes) {
        for (String name : lifetimesMs.keySet()) {
            if (!classes.contains(name)) { throw new ConfigError.UnknownName(null, "keys.lifetime", "keys.lifetime names the unknown class " + name); }
        }
    }

    double lifetimeMs(String className) { return lifetimesMs.getOrDefault(className, lifetimeMs); }
}

package yardusher.units;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import yardusher.error.ConfigError;
import yardusher.file.Toml;

/**
 * What deploy/yardusher.toml says in its table {@code units}; times in milliseconds. {@code modes} by the plan's name, the
 * others are single. {@code settleMs}: how long a region may still run what was given up. {@code sendsUnsure}: a part whose
 * holder is silent counts as over once its time and that are past, instead of blocking its unit till the holder is heard.
 */
public record UnitSettings(Map<String, Mode> modes, int maxOpen, int maxOpenPerCustomer, int maxWaiting, double idleMs, double homeTimeoutMs,
        double settleMs, double handOverMs, int handOverBytes, boolean proceedsWhenUnsure, boolean forwardsUnitFields, boolean trace) {
    private static final int MIN_IDLE_MS = 1000;

    /** Reads the table; the error names the key and what is allowed. Null where it is left out. */
    public static UnitSettings of(Toml file) {
        Toml table = file.table("units");
        if (table == null) { return null; }
        table.allowOnly(Set.of("mode", "most_open", "most_open_of_customer", "most_waiting", "idle_ms", "ask_ms", "settle_ms", "hand_over_ms",
                "hand_over_kb", "when_unsure", "pass_on", "trace"));
        Map<String, Mode> modes = new HashMap<>();
        for (Toml entry : table.tables("mode")) {
            entry.allowOnly(Set.of("plan", "mode"));
            Mode mode = Mode.valueOf(entry.choice("mode", "single", "session", "unit", "single").toUpperCase(java.util.Locale.ROOT));
            if (modes.put(entry.text("plan"), mode) != null) {
                throw new ConfigError.Conflict(null, "units.mode", "units.mode names the plan " + entry.text("plan") + " twice");
            }
        }
        return new UnitSettings(modes, table.integer("most_open", 100_000, 1, 1_000_000), table.integer("most_open_of_customer", 1000, 1, 1_000_000),
                table.integer("most_waiting", 16, 1, 1000), table.integer("idle_ms", 30_000, MIN_IDLE_MS, 86_400_000),
                table.integer("ask_ms", 400, 10, 60_000), table.integer("settle_ms", 2000, 0, 600_000), table.integer("hand_over_ms", 2000, 0, 60_000),
                1024 * table.integer("hand_over_kb", 4096, 1, 1 << 20), table.choice("when_unsure", "refuse", "refuse", "send").equals("send"),
                table.flag("pass_on", false), table.flag("trace", false));
    }

    /** Complains of a mode for a plan that the site does not have. */
    public void check(List<String> plans) {
        for (String name : modes.keySet()) {
            if (!plans.contains(name)) { throw new ConfigError.UnknownName(null, "units.mode", "units.mode names the unknown plan " + name + ", there are " + String.join(", ", plans)); }
        }
    }

    Mode modeOf(String plan) { return modes.getOrDefault(plan, Mode.SINGLE); }

    UnitTable.Limits limits() { return new UnitTable.Limits(maxOpen, maxOpenPerCustomer, idleMs, Math.min(idleMs, MIN_IDLE_MS)); }

    Unit.Rules rules() { return new Unit.Rules(maxWaiting, settleMs); }
}

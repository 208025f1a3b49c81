package yardusher.connectionquota;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import yardusher.Api;
import yardusher.error.ConfigError;
import yardusher.file.Toml;
import yardusher.discovery.DiscoveredBackends;

/**
 * What deploy/yardusher.toml says in its table {@code parts}. {@code connections} is how many a region holds, of all ingresses
 * together; {@code regions} are exceptions, by id before those by zone. {@code least}: wanted in all while there is
 * traffic; {@code movesPerS}: units that one ingress gives away at a region; {@code endedMs}: how long regions take to notice
 * that a process has died; {@code coldPercent}: of the number, for a region that is not warm yet; {@code ingresses}: how many are
 * configured, 0 for what the platform's settings say; {@code folder}: null for the environment's TMPDIR; {@code begins}: what a
 * folder without a file means, that this ingress never ran.
 */
public record ConnectionQuotaSettings(int connections, List<RegionOverride> overrides, int minUnits, int weight, int maxMovesPerS, int crashDetectionMs, int coldPercent,
        int ingressCount, String folder, boolean absentMeansFirstStart) {
    /** A region by its id, or all of a zone; the other is null. */
    public record RegionOverride(String id, String zone, int connections) { }

    private static final int MAX_CONNECTIONS = 30_000;          // of one region: it is written down in two bytes
    private static final Set<String> KEYS = Set.of("connections", "region", "least", "weight", "moves_per_s", "ended_ms", "cold_percent", "ingresses", "folder", "absent");

    /** Reads the table; a {@link ConfigError} names the key and what is allowed. Null where it is left out. */
    public static ConnectionQuotaSettings of(Toml file) {
        Toml table = file.table("parts");
        if (table == null) { return null; }
        table.only(KEYS);
        List<RegionOverride> overrides = new ArrayList<>();
        for (Toml entry : table.tables("region")) {
            entry.only(Set.of("id", "zone", "connections"));
            String id = entry.text("id", null);
            String zone = entry.text("zone", null);
            if ((id == null) == (zone == null)) { throw new ConfigError.Missing(null, "parts.region", "either an id or a zone in parts.region"); }
            int connections = entry.whole("connections", -1, 1, MAX_CONNECTIONS);
            if (connections < 0) { throw new ConfigError.Missing(null, "parts.region.connections", "a whole number in parts.region.connections"); }
            overrides.add(new RegionOverride(id, zone, connections));
        }
        return new ConnectionQuotaSettings(table.whole("connections", 64, 1, MAX_CONNECTIONS), List.copyOf(overrides), table.whole("least", 1, 0, 100),
                table.whole("weight", 1, 1, 100), table.whole("moves_per_s", 200, 1, 10_000), table.whole("ended_ms", 1000, 0, 600_000),
                table.whole("cold_percent", 100, 1, 100), table.whole("ingresses", 0, 0, 1000), table.text("folder", null),
                table.choice("absent", "ask", "ask", "begin").equals("begin"));
    }

    /** How many connections a region holds now. */
    int limitOf(Api.Server region, List<String> zones, double nowMs, double warmAfterMs) {
        int limit = connections;
        boolean foundById = false;
        for (RegionOverride override : overrides) {
            if (override.id != null && DiscoveredBackends.numericId(override.id) == region.id()) {
                limit = override.connections;
                foundById = true;
            } else if (!foundById && override.zone != null && region.zone() >= 0 && region.zone() < zones.size() && override.zone.equals(zones.get(region.zone()))) {
                limit = override.connections;
            }
        }
        boolean isCold = coldPercent < 100 && nowMs - region.startedAtMs() < warmAfterMs;
        return isCold ? Math.max(1, limit * coldPercent / 100) : limit;
    }
}

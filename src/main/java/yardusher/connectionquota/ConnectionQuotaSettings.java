package yardusher.connectionquota;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import yardusher.Api;
import yardusher.error.ConfigError;
import yardusher.file.Toml;
import yardusher.discovery.DiscoveredBackends;

/**
 * The table {@code parts} of the settings file, described in deploy/yardusher.toml.
 *
 * @param connections limit of a region, for all ingresses together
 * @param overrides limits of single regions or zones; one by id comes before one by zone
 * @param minUnits units that an ingress wants in all while there is traffic
 * @param maxMovesPerS units per second that one ingress gives away at a region
 * @param crashDetectionMs how long regions take to notice that a process has died
 * @param coldPercent percentage of the limit for a region that is not warm yet
 * @param ingressCount configured ingresses; 0 for the number in the platform's settings
 * @param folder folder of the claim file; null for TMPDIR of the environment
 * @param absentMeansFirstStart a missing claim file means that this ingress has never run
 */
public record ConnectionQuotaSettings(int connections, List<RegionOverride> overrides, int minUnits, int weight, int maxMovesPerS,
        int crashDetectionMs, int coldPercent, int ingressCount, String folder, boolean absentMeansFirstStart) {
    /** Limit of one region, by id, or of all regions of a zone; the other one is null. */
    public record RegionOverride(String id, String zone, int connections) { }

    private static final int MAX_CONNECTIONS = 30_000; // of one region: the claim file stores it in two bytes
    private static final Set<String> KEYS = Set.of("connections", "region", "least", "weight", "moves_per_s", "ended_ms", "cold_percent",
            "ingresses", "folder", "absent");

    /** Reads the table, null if it is missing. Throws a {@link ConfigError} that names the key and what is allowed. */
    public static ConnectionQuotaSettings of(Toml file) {
        Toml table = file.table("parts");
        if (table == null) { return null; }
        table.allowOnly(KEYS);
        List<RegionOverride> overrides = new ArrayList<>();
        for (Toml entry : table.tables("region")) {
            entry.allowOnly(Set.of("id", "zone", "connections"));
            String id = entry.text("id", null);
            String zone = entry.text("zone", null);
            if ((id == null) == (zone == null)) {
                throw new ConfigError.Missing(null, "parts.region", "either an id or a zone in parts.region");
            }
            int connections = entry.integer("connections", -1, 1, MAX_CONNECTIONS);
            if (connections < 0) {
                throw new ConfigError.Missing(null, "parts.region.connections", "a whole number in parts.region.connections");
            }
            overrides.add(new RegionOverride(id, zone, connections));
        }
        return new ConnectionQuotaSettings(table.integer("connections", 64, 1, MAX_CONNECTIONS), List.copyOf(overrides),
                table.integer("least", 1, 0, 100), table.integer("weight", 1, 1, 100),
                table.integer("moves_per_s", 200, 1, 10_000), table.integer("ended_ms", 1000, 0, 600_000),
                table.integer("cold_percent", 100, 1, 100), table.integer("ingresses", 0, 0, 1000), table.text("folder", null),
                table.choice("absent", "ask", "ask", "begin").equals("begin"));
    }

    /** How many connections a region may hold now, of all ingresses together. */
    int limitOf(Api.Server region, List<String> zones, double nowMs, double warmAfterMs) {
        int limit = connections;
        boolean foundById = false;
        for (RegionOverride override : overrides) {
            if (override.id != null && DiscoveredBackends.numericId(override.id) == region.id()) {
                limit = override.connections;
                foundById = true;
            } else if (!foundById && override.zone != null && region.zone() >= 0 && region.zone() < zones.size()
                    && override.zone.equals(zones.get(region.zone()))) {
                limit = override.connections;
            }
        }
        boolean isCold = coldPercent < 100 && nowMs - region.startedAtMs() < warmAfterMs;
        return isCold ? Math.max(1, limit * coldPercent / 100) : limit;
    }
}

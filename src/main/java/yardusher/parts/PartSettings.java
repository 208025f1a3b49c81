package yardusher.parts;

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
public record PartSettings(int connections, List<Special> regions, int least, int weight, int movesPerS, int endedMs, int coldPercent,
        int ingresses, String folder, boolean begins) {
    /** A region by its id, or all of a zone; the other is null. */
    public record Special(String id, String zone, int connections) { }

    private static final int MOST = 30_000;          // of one region: it is written down in two bytes
    private static final Set<String> KEYS = Set.of("connections", "region", "least", "weight", "moves_per_s", "ended_ms", "cold_percent", "ingresses", "folder", "absent");

    /** Reads the table; a {@link ConfigError} names the key and what is allowed. Null where it is left out. */
    public static PartSettings of(Toml file) {
        Toml table = file.table("parts");
        if (table == null) { return null; }
        table.only(KEYS);
        List<Special> regions = new ArrayList<>();
        for (Toml one : table.tables("region")) {
            one.only(Set.of("id", "zone", "connections"));
            String id = one.text("id", null);
            String zone = one.text("zone", null);
            if ((id == null) == (zone == null)) { throw new ConfigError.Missing(null, "parts.region", "either an id or a zone in parts.region"); }
            int connections = one.whole("connections", -1, 1, MOST);
            if (connections < 0) { throw new ConfigError.Missing(null, "parts.region.connections", "a whole number in parts.region.connections"); }
            regions.add(new Special(id, zone, connections));
        }
        return new PartSettings(table.whole("connections", 64, 1, MOST), List.copyOf(regions), table.whole("least", 1, 0, 100),
                table.whole("weight", 1, 1, 100), table.whole("moves_per_s", 200, 1, 10_000), table.whole("ended_ms", 1000, 0, 600_000),
                table.whole("cold_percent", 100, 1, 100), table.whole("ingresses", 0, 0, 1000), table.text("folder", null),
                table.choice("absent", "ask", "ask", "begin").equals("begin"));
    }

    /** How many connections a region holds now. */
    int number(Api.Server region, List<String> zones, double now, double warmAfterMs) {
        int number = connections;
        boolean byId = false;
        for (Special one : regions) {
            if (one.id != null && DiscoveredBackends.id(one.id) == region.id()) {
                number = one.connections;
                byId = true;
            } else if (!byId && one.zone != null && region.zone() >= 0 && region.zone() < zones.size() && one.zone.equals(zones.get(region.zone()))) {
                number = one.connections;
            }
        }
        boolean cold = coldPercent < 100 && now - region.startedAtMs() < warmAfterMs;
        return cold ? Math.max(1, number * coldPercent / 100) : number;
    }
}

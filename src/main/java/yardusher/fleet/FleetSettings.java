package yardusher.fleet;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import yardusher.error.ConfigError;
import yardusher.file.Toml;
import yardusher.net.Sockets;
import yardusher.register.Member;

/**
 * The table {@code fleet} of an agent's file. Without it, an agent manages its own machine only.
 *
 * @param installation the fleet's name, the same at all its agents
 * @param member this agent's name, which is never used again once it is forgotten
 * @param folder where it keeps its durable state
 * @param leaseMs how long a holder may go without a renewal
 * @param heartbeatMs heartbeat period of the register's leader
 * @param clockErrorPermille by how much the rates of two clocks may differ
 * @param pauseMs added to the wait before taking over from a silent holder
 * @param patienceMs after which a work that waits for an unreachable member fails
 * @param readyMs within which an instance has to answer after it was started
 * @param leaveInstances whether instances keep running when the agent ends
 * @param members names and addresses of the agents, this one among them, in the file's order
 */
public record FleetSettings(String installation, String member, Path folder, int leaseMs, int heartbeatMs, int clockErrorPermille,
        int pauseMs, int patienceMs, int readyMs, boolean leaveInstances, Map<String, String> members) {
    private static final Set<String> KEYS = Set.of("installation", "member", "folder", "lease_ms", "heartbeat_ms", "clock_error_permille",
            "pause_ms", "patience_ms", "ready_ms", "leave_instances", "members");
    private static final Set<String> MEMBER_KEYS = Set.of("name", "address");

    /** Reads the table; null if it is absent. Throws {@link ConfigError} that names the key and the allowed values. */
    public static FleetSettings of(Toml file) {
        Toml table = file.table("fleet");
        if (table == null) { return null; }
        table.allowOnly(KEYS);
        String installation = name(table, "installation");
        String member = name(table, "member");
        Map<String, String> members = new LinkedHashMap<>();
        for (Toml one : table.tables("members")) {
            one.allowOnly(MEMBER_KEYS);
            String name = name(one, "name");
            String address = one.text("address");
            Sockets.parseAddress(address);
            if (members.containsKey(name)) { throw new ConfigError.Conflict(null, "fleet.members", "fleet.members: " + name + " is listed twice"); }
            if (members.containsValue(address)) { throw new ConfigError.Conflict(null, "fleet.members", "fleet.members: two members at " + address); }
            members.put(name, address);
        }
        if (!members.containsKey(member)) { throw new ConfigError.Conflict(null, "fleet.members", "fleet.members must include fleet.member, " + member); }
        if (members.size() > 7) { throw new ConfigError.Value(null, "fleet.members", "at most 7"); }
        int heartbeat = table.integer("heartbeat_ms", 200, 20, 10_000);
        return new FleetSettings(installation, member, Path.of(table.text("folder")), table.integer("lease_ms", 1500, 200, 600_000), heartbeat,
                table.integer("clock_error_permille", 10, 0, 200), table.integer("pause_ms", 100, 0, 60_000),
                table.integer("patience_ms", 60_000, 1000, 86_400_000), table.integer("ready_ms", 15_000, 100, 600_000), table.flag("leave_instances", true), members);
    }

    private static String name(Toml table, String key) {
        String name = table.text(key);
        if (!name.matches(Member.PATTERN)) {
            throw new ConfigError.Value(null, "fleet." + key, "up to 32 letters, digits, '.', '_' and '-', a letter or digit first");
        }
        return name;
    }
}

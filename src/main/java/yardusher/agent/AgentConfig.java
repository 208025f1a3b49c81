package yardusher.agent;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import yardusher.error.ConfigError;
import yardusher.file.Toml;
import yardusher.fleet.FleetSettings;
import yardusher.net.Sockets;

/**
 * The agent's file: its control address, the command that starts instances, the instances, and the fleet settings, or
 * null.
 */
public record AgentConfig(String control, List<String> command, long stopMs, List<Entry> instances, FleetSettings fleet) {
    /** One instance: its name, its address, and its configuration, limits and settings files. */
    public record Entry(String name, String address, String config, String limits, String settings) { }

    private static final Set<String> KEYS = Set.of("control", "command", "stop_ms", "instance", "fleet");
    private static final Set<String> INSTANCE_KEYS = Set.of("name", "address", "config", "limits", "settings");

    /** Reads the file. Throws {@link ConfigError} with the reason in one line. */
    public static AgentConfig read(Path file) { return Toml.read(file, AgentConfig::of); }

    private static AgentConfig of(Toml toml) {
        toml.allowOnly(KEYS);
        List<Entry> entries = new ArrayList<>();
        for (Toml one : toml.tables("instance")) {
            one.allowOnly(INSTANCE_KEYS);
            Entry entry = new Entry(one.text("name"), one.text("address"), one.text("config"), one.text("limits", "none"),
                    one.text("settings", "none"));
            Sockets.parseAddress(entry.address());
            if (!entry.name().matches("[A-Za-z0-9._-]{1,64}")) { throw new ConfigError.Value(null, "instance.name", "1 to 64 letters, digits, '.', '_' and '-'"); }
            if (entries.stream().anyMatch(other -> other.name().equals(entry.name()))) {
                throw new ConfigError.Conflict(null, "instance.name", "instance " + entry.name() + " is listed twice");
            }
            entries.add(entry);
        }
        FleetSettings fleet = FleetSettings.of(toml);
        // An agent without instances can still be a member of the register's quorum.
        if (entries.isEmpty() && fleet == null) { throw new ConfigError.Missing(null, "instance", "an instance or a table fleet"); }
        String control = toml.text("control");
        Sockets.parseAddress(control);
        List<String> command = toml.texts("command");
        return new AgentConfig(control, command.isEmpty() ? ownCommand() : command,
                toml.integer("stop_ms", 10_000, 1, 600_000), entries, fleet);
    }

    /** The command line of this program, with JVM options for a small ingress. */
    private static List<String> ownCommand() {
        String program = System.getProperty("java.class.path");
        List<String> command = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx64m", "-Xss256k"));
        command.addAll(program.endsWith(".jar") && !program.contains(java.io.File.pathSeparator) ? List.of("-jar", program)
                : List.of("-cp", program, "yardusher.cli.Main"));
        return command;
    }
}

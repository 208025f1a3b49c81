package yardusher.agent;

import com.electronwill.nightconfig.core.UnmodifiableConfig;
import com.electronwill.nightconfig.core.io.ParsingException;
import com.electronwill.nightconfig.toml.TomlParser;
import java.io.IOException;
import java.io.Reader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import yardusher.net.Sockets;

/** The agent's file: where it listens, how instances are started, and which there are. */
public record AgentConfig(String control, List<String> command, long stopMs, List<Entry> instances) {
    /** One instance: its name, its address, and its configuration and limits files. */
    public record Entry(String name, String address, String config, String limits) { }

    private static final Set<String> KEYS = Set.of("control", "command", "stop_ms", "instance");
    private static final Set<String> INSTANCE_KEYS = Set.of("name", "address", "config", "limits");

    /** Reads the file; an {@link IllegalArgumentException} says in one line what is wrong with it. */
    public static AgentConfig read(Path file) {
        try (Reader text = Files.newBufferedReader(file)) {
            return of(new TomlParser().parse(text));
        } catch (IOException e) {
            throw new IllegalArgumentException(file + ": cannot be read", e);
        } catch (ParsingException | ClassCastException | IllegalArgumentException e) {
            throw new IllegalArgumentException(file + ": " + String.valueOf(e.getMessage()).lines().findFirst().orElse(""), e);
        }
    }

    private static AgentConfig of(UnmodifiableConfig toml) {
        only(toml, KEYS);
        List<Entry> entries = new ArrayList<>();
        List<UnmodifiableConfig> tables = toml.getOrElse("instance", List.of());
        for (UnmodifiableConfig one : tables) {
            only(one, INSTANCE_KEYS);
            Entry entry = new Entry(text(one, "name"), text(one, "address"), text(one, "config"),
                    one.contains("limits") ? text(one, "limits") : "none");
            Sockets.address(entry.address());
            if (!entry.name().matches("[A-Za-z0-9._-]{1,64}")) { throw new IllegalArgumentException("bad name " + entry.name()); }
            if (entries.stream().anyMatch(other -> other.name().equals(entry.name()))) {
                throw new IllegalArgumentException("instance " + entry.name() + " stands twice");
            }
            entries.add(entry);
        }
        if (entries.isEmpty()) { throw new IllegalArgumentException("names no instance"); }
        String control = text(toml, "control");
        Sockets.address(control);
        List<Object> words = toml.getOrElse("command", List.of());
        List<String> command = new ArrayList<>();
        for (Object word : words) { command.add((String) word); }
        Number stopMs = toml.getOrElse("stop_ms", 10_000);
        if (stopMs.longValue() < 1 || stopMs.longValue() > 600_000) { throw new IllegalArgumentException("bad stop_ms"); }
        return new AgentConfig(control, command.isEmpty() ? ownCommand() : command, stopMs.longValue(), entries);
    }

    /** This very program, with the flags of a small ingress. */
    private static List<String> ownCommand() {
        String program = System.getProperty("java.class.path");
        List<String> command = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx64m", "-Xss256k"));
        command.addAll(program.endsWith(".jar") && !program.contains(java.io.File.pathSeparator) ? List.of("-jar", program)
                : List.of("-cp", program, "yardusher.cli.Main"));
        return command;
    }

    private static String text(UnmodifiableConfig from, String key) {
        if (from.get(key) instanceof String text) { return text; }
        throw new IllegalArgumentException("needs a text in " + key);
    }

    private static void only(UnmodifiableConfig table, Set<String> keys) {
        for (String key : table.valueMap().keySet()) {
            if (!keys.contains(key)) { throw new IllegalArgumentException("unknown key " + key); }
        }
    }
}

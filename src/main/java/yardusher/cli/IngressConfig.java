package yardusher.cli;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import yardusher.Api;
import yardusher.discovery.DiscoveredBackends;
import yardusher.error.ConfigError;
import yardusher.net.Sockets;
import yardusher.wire.Codec;
import yardusher.wire.SettingsValidator;

/**
 * The configuration of an ingress: the JSON file that RELAY_CONFIG names. {@code admin} may be null. {@code settingsSource} is what
 * {@code settings} were read from.
 */
public record IngressConfig(String name, InetSocketAddress listen, InetSocketAddress admin, InetSocketAddress discovery, long seed, int sockets,
        InetSocketAddress peerListen, List<InetSocketAddress> peers, Codec.JsonObject known, Api.Settings settings, Codec.JsonObject settingsSource,
        List<String> classes, List<String> plans, List<String> zones, double idleMs, double dialMs, List<String> unused) {
    private static final long MAX_FILE_BYTES = 4 << 20; // 10,000 backends and as many peers fit
    private static final int MIN_SOCKETS = 32;       // of which the JVM, the listeners and the watch need half
    private static final Set<String> KEYS = Set.of("name", "listen", "admin_addr", "discovery", "seed", "limits", "peer_listen", "peers",
            "peers_all", "counter", "known", "settings");
    private static final Set<String> MACHINE_KEYS = Set.of("cores", "memory_mb", "sockets");

    /** Reads the file; a {@link ConfigError} names it and describes the problem in one line. */
    public static IngressConfig read(String file) {
        try (JsonParser parser = new JsonFactory().createParser(text(Path.of(file)))) {
            if (parser.nextToken() == null || !(Codec.readValue(parser) instanceof Codec.JsonObject json)) {
                throw new ConfigError.Syntax(file, "not a JSON object");
            }
            // Trailing content means a new file that was partly written over an old one.
            if (parser.nextToken() != null) { throw new ConfigError.Syntax(file, "not one JSON object: more follows it"); }
            return of(json);
        } catch (JsonProcessingException e) {
            throw new ConfigError.Syntax(file, "not JSON: " + e.getOriginalMessage(), e);
        } catch (IOException e) {
            throw new ConfigError.Unreadable(file, e);
        } catch (ConfigError e) {
            throw e.in(file);
        } catch (RuntimeException e) {
            throw new ConfigError.Syntax(file, String.valueOf(e.getMessage()).lines().findFirst().orElse(""), e);
        }
    }

    /** Limits the size, so that a file which is no configuration cannot exhaust a small heap, also of a running ingress. */
    private static String text(Path file) throws IOException {
        if (Files.size(file) > MAX_FILE_BYTES) {
            throw new ConfigError.Syntax(null, "larger than " + MAX_FILE_BYTES / (1 << 20) + " MB: not a configuration");
        }
        return Files.readString(file);
    }

    static IngressConfig of(Codec.JsonObject json) {
        Codec.JsonObject settings = json.object("settings");
        Codec.JsonObject limits = settings.object("limits");
        List<InetSocketAddress> peers = new ArrayList<>();
        for (String peer : json.texts("peers")) { peers.add(Sockets.parseAddress(peer)); }
        List<String> zones = settings.texts("zones");
        Api.Settings decoded = SettingsValidator.validate(Codec.parseSettings(settings), zones.size());
        String name = json.text("name");
        if (name.isEmpty() || SettingsValidator.hasControlCharacter(name)) {
            throw new ConfigError.Value(null, "name", "a text that is not empty, without control characters");
        }
        Codec.JsonObject machine = json.objectOrEmpty("limits");
        return new IngressConfig(name, address(json, "listen"), json.has("admin_addr") ? address(json, "admin_addr") : null,
                address(json, "discovery"), seed(json.text("seed")),
                (int) SettingsValidator.requireRange("limits.sockets", machine.number("sockets", 1024), MIN_SOCKETS, 1 << 24),
                json.has("peer_listen") ? address(json, "peer_listen") : null, peers,
                known(json.objectOrEmpty("known")), decoded, settings, SettingsValidator.readNames(settings, "classes"), SettingsValidator.readNames(settings, "contracts"),
                zones, SettingsValidator.requireRange("settings.limits.conn_idle_ms", limits.number("conn_idle_ms", 30_000), 1, 86_400_000),
                SettingsValidator.requireRange("settings.limits.dial_timeout_ms", limits.number("dial_timeout_ms", 250), 1, 600_000), listUnused(json, settings));
    }

    /** The settings of the whole file that are not used, with a short reason each. */
    private static List<String> listUnused(Codec.JsonObject json, Codec.JsonObject settings) {
        List<String> notes = SettingsValidator.listUnused(settings);
        int peers = json.has("peers") ? json.list("peers").size() : 0;
        if (settings.object("limits").flag("peers") && peers != settings.number("peers_total")) {
            notes.add("peers (" + peers + " addresses for " + (long) settings.number("peers_total") + " ingresses: who has none is not told)");
        }
        if (json.has("counter") && !settings.object("domain").flag("counter")) { notes.add("counter (an address, and domain.counter is off)"); }
        for (String key : json.keys()) {
            if (!KEYS.contains(key)) { notes.add(key + " (not known here)"); }
        }
        for (String key : json.objectOrEmpty("limits").keys()) {
            if (!MACHINE_KEYS.contains(key)) { notes.add("limits." + key + " (of the machine; not known here)"); }
        }
        return notes;
    }

    private static InetSocketAddress address(Codec.JsonObject json, String key) {
        try {
            return Sockets.parseAddress(json.text(key));
        } catch (ConfigError.Address e) {
            throw new ConfigError.Value(null, key, "digits and a port, as 127.0.0.4:19000, not \"" + json.text(key) + "\"");
        }
    }

    /** The list of backends as last known; without one, nothing is known and the watch requests the full list. */
    private static Codec.JsonObject known(Codec.JsonObject known) {
        known.number("revision", 0);
        known.flag("complete");
        for (Codec.JsonObject member : known.objectsOrEmpty("members")) { DiscoveredBackends.validate(member); }
        return known;
    }

    /**
     * Whether everything that a reload cannot change is the same in another reading of the file. Compares the settings as they were
     * read: the first comparison of two records loads some hundred classes of the JDK.
     */
    boolean sameExceptReloadable(IngressConfig next) {
        return name.equals(next.name) && listen.equals(next.listen) && java.util.Objects.equals(admin, next.admin) && sockets == next.sockets
                && java.util.Objects.equals(peerListen, next.peerListen) && peers.equals(next.peers)
                && settingsSource.equals(next.settingsSource);
    }

    /** Number of backends listed in the configuration. */
    int memberCount() { return known.objectsOrEmpty("members").size(); }

    private static long seed(String hex) {
        try {
            return Long.parseUnsignedLong(hex, 16);
        } catch (NumberFormatException e) {
            throw new ConfigError.Value(null, "seed", "1 to 16 hex digits");
        }
    }
}

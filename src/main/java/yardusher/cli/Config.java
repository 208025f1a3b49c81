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
import yardusher.Api;
import yardusher.error.ConfigError;
import yardusher.net.Sockets;
import yardusher.wire.Codec;
import yardusher.wire.SettingsNotes;

/** What an ingress is told at its start: the JSON file that RELAY_CONFIG names. {@code admin} may be null. */
public record Config(String name, InetSocketAddress listen, InetSocketAddress admin, InetSocketAddress discovery, long seed, int sockets,
        InetSocketAddress peerListen, List<InetSocketAddress> peers, Codec.Fields known, Api.Settings settings,
        List<String> classes, List<String> plans, List<String> zones, double idleMs, double dialMs, List<String> unused) {
    /** Reads the file; a {@link ConfigError} names it and says in one line what is wrong. */
    public static Config read(String file) {
        try (JsonParser parser = new JsonFactory().createParser(Files.readString(Path.of(file)))) {
            if (parser.nextToken() == null || !(Codec.read(parser) instanceof Codec.Fields json)) {
                throw new ConfigError.Syntax(file, "not a JSON object");
            }
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

    static Config of(Codec.Fields json) {
        Codec.Fields settings = json.object("settings");
        Codec.Fields limits = settings.object("limits");
        List<InetSocketAddress> peers = new ArrayList<>();
        if (json.has("peers")) {
            for (Object peer : json.list("peers")) { peers.add(Sockets.address(String.valueOf(peer))); }
        }
        List<String> zones = new ArrayList<>();
        for (Object zone : settings.list("zones")) { zones.add(String.valueOf(zone)); }
        Api.Settings decoded = SettingsNotes.verified(Codec.settings(settings), zones.size());
        return new Config(json.text("name"), Sockets.address(json.text("listen")),
                json.has("admin_addr") ? Sockets.address(json.text("admin_addr")) : null,
                Sockets.address(json.text("discovery")), seed(json.text("seed")),
                json.has("limits") ? (int) json.object("limits").number("sockets", 1024) : 1024,
                json.has("peer_listen") ? Sockets.address(json.text("peer_listen")) : null, peers,
                json.object("known"), decoded, names(settings, "classes"), names(settings, "contracts"), zones,
                limits.number("conn_idle_ms", 30_000), limits.number("dial_timeout_ms", 250),
                SettingsNotes.unused(settings));
    }

    /** Whether all that holds from the start to the end is the same in another reading of the file. */
    boolean sameBut(Config next) {
        return name.equals(next.name) && listen.equals(next.listen) && java.util.Objects.equals(admin, next.admin) && sockets == next.sockets
                && java.util.Objects.equals(peerListen, next.peerListen) && peers.equals(next.peers)
                && settings.equals(next.settings) && classes.equals(next.classes) && plans.equals(next.plans)
                && zones.equals(next.zones) && idleMs == next.idleMs && dialMs == next.dialMs;
    }

    /** How many regions the configuration knows; an entry that cannot be used is a {@link yardusher.error.YardusherError}. */
    int members() {
        int count = 0;
        for (Codec.Fields member : known.objects("members")) {
            Sockets.address(member.text("host_port"));
            member.text("id");
            member.text("phase");
            count++;
        }
        return count;
    }

    private static long seed(String hex) {
        try {
            return Long.parseUnsignedLong(hex, 16);
        } catch (NumberFormatException e) {
            throw new ConfigError.Value(null, "seed", "1 to 16 hex digits");
        }
    }

    private static List<String> names(Codec.Fields settings, String key) {
        List<String> names = new ArrayList<>();
        for (Codec.Fields one : settings.objects(key)) { names.add(one.text("name")); }
        return names;
    }
}

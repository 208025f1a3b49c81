package yardusher.discovery;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import yardusher.Api;
import yardusher.net.Sockets;
import yardusher.servers.BackendPool;
import yardusher.wire.Codec;

/** The service table: discovery's list as it was last told, and what each word of it means to the module. */
public final class DiscoveredBackends {
    private static final JsonFactory JSON = new JsonFactory();
    private static final int MOST_TOLD = 4096;       // ids remembered, also of regions that have gone

    private final List<String> zones;
    private final BackendPool pool;
    private final Map<Long, InetSocketAddress> known = new LinkedHashMap<>();
    /** Ids as they were told, for as long as there are no more than MOST_TOLD newer ones. */
    private final Set<String> told = new LinkedHashSet<>();
    private final Map<Long, Api.Server> listed = new LinkedHashMap<>();
    private Runnable follower;                       // null for none
    private long revision;

    public DiscoveredBackends(List<String> zones, BackendPool pool) {
        this.zones = zones;
        this.pool = pool;
    }

    public long revision() { return revision; }

    /** How many regions are listed now. */
    public int size() { return known.size(); }

    /** The regions listed now, as they were told last. */
    public Map<Long, Api.Server> listed() { return listed; }

    /** Runs after each change, before the module is told of it. */
    public void follow(Runnable next) { follower = next; }

    /** A region as it was last told, null where it is not listed. */
    public Api.Server listed(long id) { return listed.get(id); }

    /** Whether a zone has a region listed that is not on its way out. */
    public boolean hasZone(int zone) {
        return listed.values().stream().anyMatch(one -> one.zone() == zone && one.readiness() == Api.Readiness.READY);
    }

    /** Whether a region of this id is listed or was once, among the last 4,096 told. */
    public boolean everListed(String id) { return told.contains(id); }

    /** Reads one JSON object of a watch. */
    public Api.ServerList line(String text) throws IOException {
        try (JsonParser parser = JSON.createParser(text)) {
            if (parser.nextToken() == null || !(Codec.read(parser) instanceof Codec.Fields fields)) {
                throw new IOException("not an object");
            }
            return take(fields, null);
        } catch (RuntimeException e) {
            throw new IOException("bad entry: " + e.getMessage(), e);
        }
    }

    /** Takes news in; {@code as} null goes by the object's own word on whether it is complete. */
    public Api.ServerList take(Codec.Fields news, Api.ListKind as) {
        boolean complete = news.flag("complete");
        List<Api.Server> servers = new ArrayList<>();
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (Codec.Fields member : news.objects("members")) { // read whole before anything is changed
            Api.Readiness readiness = switch (member.text("phase")) {
                case "Ready" -> Api.Readiness.READY;
                case "Gone" -> Api.Readiness.GONE;
                default -> Api.Readiness.DRAINING;   // also a phase not known yet: send it nothing new
            };
            servers.add(new Api.Server(id(member.text("id")), zone(member), (int) member.number("cell", 0),
                    member.number("size", 1), member.number("up_since_ms", 0), readiness));
            addresses.add(readiness == Api.Readiness.GONE ? null : Sockets.address(member.text("host_port")));
        }
        for (Codec.Fields member : news.objects("members")) {
            told.remove(member.text("id"));          // the newest stand last
            told.add(member.text("id"));
            if (told.size() > MOST_TOLD) { told.remove(told.iterator().next()); }
        }
        replaced(servers, addresses);
        Set<Long> absent = complete ? new HashSet<>(known.keySet()) : new HashSet<>();
        for (int i = 0; i < servers.size(); i++) {
            Api.Server server = servers.get(i);
            absent.remove(server.id());
            if (server.readiness() == Api.Readiness.GONE) {
                forget(server.id());
                continue;
            }
            known.put(server.id(), addresses.get(i));
            listed.put(server.id(), server);
            pool.place(server.id(), addresses.get(i));
            if (server.readiness() == Api.Readiness.DRAINING) { pool.leave(server.id(), false); }
        }
        absent.forEach(this::forget);
        revision = (long) news.number("revision", revision);
        if (follower != null) { follower.run(); }
        return new Api.ServerList(as != null ? as : complete ? Api.ListKind.FULL : Api.ListKind.DELTA, servers);
    }

    /**
     * Guards against attempts for a region that has gone which reach the one that has its address now: where a new
     * id comes at the address of a known one that these news do not name, the known one is gone.
     */
    private void replaced(List<Api.Server> servers, List<InetSocketAddress> addresses) {
        Set<Long> named = new HashSet<>();
        for (Api.Server server : servers) { named.add(server.id()); }
        for (int i = servers.size() - 1; i >= 0; i--) {
            InetSocketAddress address = addresses.get(i);
            if (address == null || known.containsKey(servers.get(i).id())) { continue; }
            known.forEach((id, at) -> {
                if (at.equals(address) && named.add(id)) {
                    servers.add(new Api.Server(id, 0, 0, 1, 0, Api.Readiness.GONE));
                    addresses.add(null);
                }
            });
        }
    }

    private void forget(long id) {
        known.remove(id);
        listed.remove(id);
        pool.leave(id, true);
    }

    /** Ids are the same at every ingress; as numbers they fit the module's messages. */
    public static long id(String text) {
        int dash = text.lastIndexOf('-');
        try {
            return Long.parseLong(text.substring(dash + 1), 16) & 0xFFFFFFFFL;
        } catch (NumberFormatException e) {
            return text.hashCode() & 0xFFFFFFFFL;
        }
    }

    private int zone(Codec.Fields member) {
        String locality = member.text("locality");
        for (int i = 0; i < zones.size(); i++) {
            if (zones.get(i).equals(locality) || zones.get(i).endsWith("-" + locality)) { return i; }
        }
        return locality.length() == 1 ? locality.charAt(0) - 'a' : 0;
    }
}

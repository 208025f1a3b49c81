package yardusher.discovery;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import yardusher.Api;
import yardusher.error.WireError;
import yardusher.net.Sockets;
import yardusher.servers.BackendPool;
import yardusher.wire.Codec;

/** The service table: discovery's list as it was last told, and what each word of it means to the module. */
public final class DiscoveredBackends {
    private static final JsonFactory JSON = new JsonFactory();
    private static final int MOST_TOLD = 4096;       // ids remembered, also of regions that have gone
    private static final double MOST_REVISION = 0x1p62;

    private final List<String> zones;
    private final BackendPool pool;
    private final Map<Long, InetSocketAddress> known = new LinkedHashMap<>();
    /** Ids as they were told, for as long as there are no more than MOST_TOLD newer ones. */
    private final Set<String> told = new LinkedHashSet<>();
    private final Map<Long, Api.Server> listed = new LinkedHashMap<>();
    private Runnable follower;                       // null for none
    private long revision;
    private int unread;                              // entries of the last news

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

    /** Reads one JSON object of a watch and takes it in; an {@link IOException} where nothing in it can be used, which changes nothing. */
    public Api.ServerList line(String text) throws IOException { return take(read(text)); }

    /** One JSON object of a watch, with a version that can be asked for. */
    static Codec.Fields read(String text) throws IOException {
        try (JsonParser parser = JSON.createParser(text)) {
            if (parser.nextToken() != JsonToken.START_OBJECT || !(Codec.read(parser) instanceof Codec.Fields fields)) {
                throw new IOException("not an object");
            }
            fields.list("members");
            if (fields.has("revision") && !(fields.number("revision") >= 0 && fields.number("revision") < MOST_REVISION)) {
                throw new IOException("bad revision");
            }
            return fields;
        } catch (RuntimeException e) {
            throw new IOException("bad news: " + e.getMessage(), e);
        }
    }

    /** The version that news tell, or the one known where they name none. */
    long revision(Codec.Fields news) { return news.has("revision") ? news.whole("revision") : revision; }

    /** How many entries of the last news could not be read. */
    int unread() { return unread; }

    /** Takes news in, as {@link #take(Codec.Fields, Api.ListKind)} does with {@code as} null. */
    Api.ServerList take(Codec.Fields news) throws IOException { return takeBut(news, Set.of()); }

    /** The same of news that are older than what is known of these backends: they go untouched, and nobody is forgotten for being absent. */
    Api.ServerList takeBut(Codec.Fields news, Set<Long> newer) throws IOException {
        try {
            return take(news, null, newer);
        } catch (RuntimeException e) {
            throw new IOException("bad entry: " + e.getMessage(), e);
        }
    }

    /**
     * Takes news in; {@code as} null goes by the object's own word on whether it is complete. Entries that cannot be read are passed
     * over and counted in {@link #unread}; nothing is forgotten then, the version known stays, and a backend known by such an entry's
     * id gets nothing new until it is told of again. Where {@code as} is given, where no entry can be read, or where a complete list without entries
     * would end all that is known, it is a {@link yardusher.error.YardusherError} that changes nothing.
     */
    public Api.ServerList take(Codec.Fields news, Api.ListKind as) { return take(news, as, Set.of()); }

    private Api.ServerList take(Codec.Fields news, Api.ListKind as, Set<Long> newer) {
        boolean complete = news.flag("complete") && newer.isEmpty();
        long next = newer.isEmpty() ? revision(news) : revision;
        List<Api.Server> servers = new ArrayList<>();
        List<InetSocketAddress> addresses = new ArrayList<>();
        List<String> ids = new ArrayList<>();
        List<?> members = news.list("members");
        RuntimeException bad = null;
        int unreadable = 0;
        for (Object member : members) {              // read whole before anything is changed
            try {
                Codec.Fields entry = entry(member);
                Api.Server server = server(entry);
                if (newer.contains(server.id())) { continue; }
                addresses.add(server.readiness() == Api.Readiness.GONE ? null : Sockets.address(entry.text("host_port")));
                servers.add(server);
                ids.add(entry.text("id"));
            } catch (RuntimeException e) {
                bad = e;
                unreadable++;
            }
        }
        if (bad != null && (as != null || unreadable == members.size())) { throw bad; }
        // Guards the service against a list that was lost and not emptied: who has lost it tells of nothing at all.
        if (complete && as == null && members.isEmpty() && !known.isEmpty()) { throw new WireError.Malformed(null, "lists nothing at all"); }
        unread = unreadable;
        if (bad != null) {
            complete = false;
            next = revision;                         // what could not be read is told again
            doubtful(members, ids, servers, addresses);
        }
        for (String id : ids) {
            told.remove(id);                         // the newest stand last
            told.add(id);
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
        revision = next;
        if (follower != null) { follower.run(); }
        return new Api.ServerList(as != null ? as : complete ? Api.ListKind.FULL : Api.ListKind.DELTA, servers);
    }

    private static Codec.Fields entry(Object member) {
        if (member instanceof Codec.Fields entry) { return entry; }
        throw new WireError.Malformed(null, "needs objects in \"members\"");
    }

    private Api.Server server(Codec.Fields entry) {
        Api.Readiness readiness = switch (entry.text("phase")) {
            case "Ready" -> Api.Readiness.READY;
            case "Gone" -> Api.Readiness.GONE;
            default -> Api.Readiness.DRAINING;       // also a phase not known yet: send it nothing new
        };
        return new Api.Server(id(entry.text("id")), zone(entry), (int) entry.number("cell", 0),
                entry.number("size", 1), entry.number("up_since_ms", 0), readiness);
    }

    /** Adds as draining who is known and whose entry, of a legible id, was not read. */
    private void doubtful(List<?> members, List<String> read, List<Api.Server> servers, List<InetSocketAddress> addresses) {
        Set<String> named = new HashSet<>(read);
        for (Object member : members) {
            if (!(member instanceof Codec.Fields entry) || !(entry.has("id") && isText(entry))) { continue; }
            Api.Server before = listed.get(id(entry.text("id")));
            if (before == null || !named.add(entry.text("id"))) { continue; }
            servers.add(new Api.Server(before.id(), before.zone(), before.cell(), before.size(), before.startedAtMs(), Api.Readiness.DRAINING));
            addresses.add(known.get(before.id()));
        }
    }

    private static boolean isText(Codec.Fields entry) {
        try {
            return entry.text("id") != null;
        } catch (WireError e) {
            return false;
        }
    }

    /**
     * Guards against attempts for a region that has gone which reach the one that has its address now: where a new
     * id comes at the address of a known one that these news do not name, the known one is gone.
     */
    private void replaced(List<Api.Server> servers, List<InetSocketAddress> addresses) {
        Map<InetSocketAddress, List<Long>> at = null;
        Set<Long> named = new HashSet<>();
        for (Api.Server server : servers) { named.add(server.id()); }
        for (int i = servers.size() - 1; i >= 0; i--) {
            InetSocketAddress address = addresses.get(i);
            if (address == null || known.containsKey(servers.get(i).id())) { continue; }
            if (at == null) {                        // once: each entry of a long list may be new
                at = new HashMap<>();
                for (Map.Entry<Long, InetSocketAddress> one : known.entrySet()) {
                    at.computeIfAbsent(one.getValue(), none -> new ArrayList<>()).add(one.getKey());
                }
            }
            for (long id : at.getOrDefault(address, List.of())) {
                if (!named.add(id)) { continue; }
                servers.add(new Api.Server(id, 0, 0, 1, 0, Api.Readiness.GONE));
                addresses.add(null);
            }
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
        String locality = member.has("locality") ? member.text("locality") : ""; // a deployment without zones names none
        for (int i = 0; i < zones.size(); i++) {
            if (zones.get(i).equals(locality) || zones.get(i).endsWith("-" + locality)) { return i; }
        }
        return locality.length() == 1 ? locality.charAt(0) - 'a' : 0;
    }
}

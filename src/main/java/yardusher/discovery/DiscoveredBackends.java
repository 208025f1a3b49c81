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
    private static final int MAX_REMEMBERED_IDS = 4096;       // ids remembered, also of regions that have gone
    private static final double MAX_REVISION = 0x1p62;

    private final List<String> zones;
    private final BackendPool pool;
    private final Map<Long, InetSocketAddress> addressById = new LinkedHashMap<>();
    /** Ids as they were told, for as long as there are no more than MOST_TOLD newer ones. */
    private final Set<String> reportedIds = new LinkedHashSet<>();
    private final Map<Long, Api.Server> serverById = new LinkedHashMap<>();
    private Runnable changeListener;                       // null for none
    private long revision;
    private int unreadableEntries;                              // entries of the last news

    public DiscoveredBackends(List<String> zones, BackendPool pool) {
        this.zones = zones;
        this.pool = pool;
    }

    public long revision() { return revision; }

    /** How many regions are listed now. */
    public int size() { return addressById.size(); }

    /** The regions listed now, as they were told last. */
    public Map<Long, Api.Server> listed() { return serverById; }

    /** Runs after each change, before the module is told of it. */
    public void setChangeListener(Runnable next) { changeListener = next; }

    /** A region as it was last told, null where it is not listed. */
    public Api.Server listed(long id) { return serverById.get(id); }

    /** Whether a zone has a region listed that is not on its way out. */
    public boolean hasZone(int zone) {
        return serverById.values().stream().anyMatch(one -> one.zone() == zone && one.readiness() == Api.Readiness.READY);
    }

    /** Whether a region of this id is listed or was once, among the last 4,096 told. */
    public boolean wasEverListed(String id) { return reportedIds.contains(id); }

    /** Reads one JSON object of a watch and takes it in; an {@link IOException} where nothing in it can be used, which changes nothing. */
    public Api.ServerList applyLine(String text) throws IOException { return apply(parse(text)); }

    /** One JSON object of a watch, with a version that can be asked for. */
    static Codec.JsonObject parse(String text) throws IOException {
        try (JsonParser parser = JSON.createParser(text)) {
            if (parser.nextToken() != JsonToken.START_OBJECT || !(Codec.readValue(parser) instanceof Codec.JsonObject fields)) {
                throw new IOException("not an object");
            }
            fields.list("members");
            if (fields.has("revision") && !(fields.number("revision") >= 0 && fields.number("revision") < MAX_REVISION)) {
                throw new IOException("bad revision");
            }
            return fields;
        } catch (RuntimeException e) {
            throw new IOException("bad news: " + e.getMessage(), e);
        }
    }

    /** The version that news tell, or the one known where they name none. */
    long revision(Codec.JsonObject news) { return news.has("revision") ? news.wholeNumber("revision") : revision; }

    /** How many entries of the last news could not be read. */
    int unreadableEntries() { return unreadableEntries; }

    /** Takes news in, as {@link #take(Codec.Fields, Api.ListKind)} does with {@code as} null. */
    Api.ServerList apply(Codec.JsonObject news) throws IOException { return applyExcept(news, Set.of()); }

    /** The same of news that are older than what is known of these backends: they go untouched, and nobody is forgotten for being absent. */
    Api.ServerList applyExcept(Codec.JsonObject news, Set<Long> newer) throws IOException {
        try {
            return apply(news, null, newer);
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
    public Api.ServerList apply(Codec.JsonObject news, Api.ListKind as) { return apply(news, as, Set.of()); }

    private Api.ServerList apply(Codec.JsonObject news, Api.ListKind as, Set<Long> newer) {
        boolean complete = news.flag("complete") && newer.isEmpty();
        long next = newer.isEmpty() ? revision(news) : revision;
        List<Api.Server> servers = new ArrayList<>();
        List<InetSocketAddress> addresses = new ArrayList<>();
        List<String> ids = new ArrayList<>();
        List<?> members = as == Api.ListKind.CACHED ? news.objectsOrEmpty("members") : news.list("members");
        RuntimeException bad = null;
        int unreadable = 0;
        for (Object member : members) {              // read whole before anything is changed
            try {
                Codec.JsonObject entry = asObject(member);
                Api.Server server = parseServer(entry, zoneNumber(entry));
                if (newer.contains(server.id())) { continue; }
                addresses.add(server.readiness() == Api.Readiness.GONE ? null : Sockets.parseAddress(entry.text("host_port")));
                servers.add(server);
                ids.add(entry.text("id"));
            } catch (RuntimeException e) {
                bad = e;
                unreadable++;
            }
        }
        if (bad != null && (as != null || unreadable == members.size())) { throw bad; }
        // Guards the service against a list that was lost and not emptied: who has lost it tells of nothing at all.
        if (complete && as == null && members.isEmpty() && !addressById.isEmpty()) { throw new WireError.Malformed(null, "lists nothing at all"); }
        unreadableEntries = unreadable;
        if (bad != null) {
            complete = false;
            next = revision;                         // what could not be read is told again
            addUnreadableAsDraining(members, ids, servers, addresses);
        }
        for (String id : ids) {
            reportedIds.remove(id);                         // the newest stand last
            reportedIds.add(id);
            if (reportedIds.size() > MAX_REMEMBERED_IDS) { reportedIds.remove(reportedIds.iterator().next()); }
        }
        addReplacedAsGone(servers, addresses);
        Set<Long> absent = complete ? new HashSet<>(addressById.keySet()) : new HashSet<>();
        for (int i = 0; i < servers.size(); i++) {
            Api.Server server = servers.get(i);
            absent.remove(server.id());
            if (server.readiness() == Api.Readiness.GONE) {
                remove(server.id());
                continue;
            }
            addressById.put(server.id(), addresses.get(i));
            serverById.put(server.id(), server);
            pool.addOrUpdate(server.id(), addresses.get(i));
            if (server.readiness() == Api.Readiness.DRAINING) { pool.retire(server.id(), false); }
        }
        absent.forEach(this::remove);
        revision = next;
        if (changeListener != null) { changeListener.run(); }
        return new Api.ServerList(as != null ? as : complete ? Api.ListKind.FULL : Api.ListKind.DELTA, servers);
    }

    private static Codec.JsonObject asObject(Object member) {
        if (member instanceof Codec.JsonObject entry) { return entry; }
        throw new WireError.Malformed(null, "needs objects in \"members\"");
    }

    /** Adds as draining who is known and whose entry, of a legible id, was not read. */
    private void addUnreadableAsDraining(List<?> members, List<String> read, List<Api.Server> servers, List<InetSocketAddress> addresses) {
        Set<String> named = new HashSet<>(read);
        for (Object member : members) {
            if (!(member instanceof Codec.JsonObject entry) || !(entry.has("id") && isText(entry))) { continue; }
            Api.Server before = serverById.get(numericId(entry.text("id")));
            if (before == null || !named.add(entry.text("id"))) { continue; }
            servers.add(new Api.Server(before.id(), before.zone(), before.cell(), before.size(), before.startedAtMs(), Api.Readiness.DRAINING));
            addresses.add(addressById.get(before.id()));
        }
    }

    private static boolean isText(Codec.JsonObject entry) {
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
    private void addReplacedAsGone(List<Api.Server> servers, List<InetSocketAddress> addresses) {
        Map<InetSocketAddress, List<Long>> at = null;
        Set<Long> named = new HashSet<>();
        for (Api.Server server : servers) { named.add(server.id()); }
        for (int i = servers.size() - 1; i >= 0; i--) {
            InetSocketAddress address = addresses.get(i);
            if (address == null || addressById.containsKey(servers.get(i).id())) { continue; }
            if (at == null) {                        // once: each entry of a long list may be new
                at = new HashMap<>();
                for (Map.Entry<Long, InetSocketAddress> one : addressById.entrySet()) {
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

    private void remove(long id) {
        addressById.remove(id);
        serverById.remove(id);
        pool.retire(id, true);
    }

    /** An entry that cannot be used is a {@link yardusher.error.YardusherError} that says why. */
    public static void validate(Codec.JsonObject member) {
        if (parseServer(member, 0).readiness() != Api.Readiness.GONE) { Sockets.parseAddress(member.text("host_port")); }
        if (member.has("locality")) { member.text("locality"); }
    }

    private static Api.Server parseServer(Codec.JsonObject member, int zone) {
        Api.Readiness readiness = switch (member.text("phase")) {
            case "Ready" -> Api.Readiness.READY;
            case "Gone" -> Api.Readiness.GONE;
            default -> Api.Readiness.DRAINING;       // also a phase not known yet: send it nothing new
        };
        long id = numericId(member.text("id"));
        // Guards against repeats to a backend that never saw the key: those of which no cell is told share none.
        int cell = member.has("cell") ? (int) member.number("cell") : uniqueNumber(id);
        return new Api.Server(id, zone, cell, member.number("size", 1), member.number("up_since_ms", 0), readiness);
    }

    /**
     * Ids are the same at every ingress; as numbers they fit the module's messages. Ids of the platform's form are their
     * digits. Any other is drawn whole: of {@code web-1} and {@code db-1} each is itself.
     */
    public static long numericId(String text) {
        if (text.startsWith("s-") && text.length() > 2 && text.length() <= 10) {
            try {
                return Long.parseUnsignedLong(text, 2, text.length(), 16);
            } catch (NumberFormatException e) { /* of another form */ }
        }
        return hash32(text);
    }

    /** 32 bits that tell one text from another, the same everywhere. */
    private static long hash32(String text) {
        long bits = 0xCBF29CE484222325L;             // FNV-1a, mixed at the end
        for (int i = 0; i < text.length(); i++) { bits = (bits ^ text.charAt(i)) * 0x100000001B3L; }
        bits = (bits ^ bits >>> 32) * 0xD6E8FEB86659FD93L;
        return bits >>> 32;
    }

    /** A zone or cell that no other backend has, far beyond the told ones. */
    private static int uniqueNumber(long id) { return 1 << 30 | (int) (id & 0x3FFFFFFF); }

    /**
     * The number of a backend's zone. A locality is the zone's name, or the end of just one zone's name behind a dash, or,
     * where no name tells, its letter in the alphabet. One that the settings don't name is a zone of its own, the same at
     * every ingress; a backend with none is alone in its zone, unless there is only one.
     */
    private int zoneNumber(Codec.JsonObject member) {
        if (!member.has("locality")) { return zones.size() <= 1 ? 0 : uniqueNumber(numericId(member.text("id"))); }
        String locality = member.text("locality");
        int named = zones.indexOf(locality), ends = 0, at = -1;
        if (named >= 0) { return named; }
        boolean lettered = false;                    // some zone's name tells its letter
        for (int i = 0; i < zones.size(); i++) {
            String zone = zones.get(i);
            if (zone.endsWith("-" + locality)) {
                ends++;
                at = i;
            }
            lettered |= zone.length() == 1 || zone.length() > 1 && zone.charAt(zone.length() - 2) == '-';
        }
        if (ends == 1) { return at; }
        int letter = locality.length() == 1 && !lettered ? locality.charAt(0) - 'a' : -1;
        return letter >= 0 && letter < zones.size() ? letter : zones.size() + (int) (hash32(locality) >>> 2);
    }
}

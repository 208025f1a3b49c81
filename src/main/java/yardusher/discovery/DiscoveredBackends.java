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

/** The service table: the backends last reported by discovery, decoded into the module's messages. */
public final class DiscoveredBackends {
    private static final JsonFactory JSON = new JsonFactory();
    private static final int MAX_REMEMBERED_IDS = 4096; // ids remembered, including those of removed regions
    private static final double MAX_REVISION = 0x1p62;

    private final List<String> zones;
    private final BackendPool pool;
    private final Map<Long, InetSocketAddress> addressById = new LinkedHashMap<>();
    /** The last MAX_REMEMBERED_IDS ids that were reported, oldest first. */
    private final Set<String> reportedIds = new LinkedHashSet<>();
    private final Map<Long, Api.Server> serverById = new LinkedHashMap<>();
    private Runnable changeListener;                 // null if there is none
    private long revision;
    private int unreadableEntries;                   // unreadable entries of the last update

    public DiscoveredBackends(List<String> zones, BackendPool pool) {
        this.zones = zones;
        this.pool = pool;
    }

    public long revision() { return revision; }

    /** Number of regions listed now. */
    public int size() { return addressById.size(); }

    /** The regions listed now, as last reported. */
    public Map<Long, Api.Server> listed() { return serverById; }

    /** Sets a listener that runs after each change, before the module is notified. */
    public void setChangeListener(Runnable next) { changeListener = next; }

    /** A region as last reported, null if it is not listed. */
    public Api.Server listed(long id) { return serverById.get(id); }

    /** Whether a zone has a listed region that is ready. */
    public boolean hasZone(int zone) {
        return serverById.values().stream().anyMatch(one -> one.zone() == zone && one.readiness() == Api.Readiness.READY);
    }

    /** Whether a region of this id is listed or was among the last 4,096 reported. */
    public boolean wasEverListed(String id) { return reportedIds.contains(id); }

    /** Parses and applies one JSON object of a watch; an {@link IOException} if it is unusable, and then nothing changes. */
    public Api.ServerList applyLine(String text) throws IOException { return apply(parse(text)); }

    /** Parses one JSON object of a watch and checks its revision. */
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
            throw new IOException("invalid update: " + e.getMessage(), e);
        }
    }

    /** The revision of an update, or the known one if it names none. */
    long revision(Codec.JsonObject update) { return update.has("revision") ? update.wholeNumber("revision") : revision; }

    /** Number of entries of the last update that could not be read. */
    int unreadableEntries() { return unreadableEntries; }

    /** Applies an update as {@link #apply(Codec.JsonObject, Api.ListKind)} does with {@code forcedKind} null. */
    Api.ServerList apply(Codec.JsonObject update) throws IOException { return applyExcept(update, Set.of()); }

    /** The same for an update older than what is known of the {@code newer} backends: these stay unchanged, and absent ones are kept. */
    Api.ServerList applyExcept(Codec.JsonObject update, Set<Long> newer) throws IOException {
        try {
            return apply(update, null, newer);
        } catch (RuntimeException e) {
            throw new IOException("invalid entry: " + e.getMessage(), e);
        }
    }

    /**
     * Applies an update; with {@code forcedKind} null the object's own field says whether it is complete. Unreadable entries are skipped
     * and counted in {@link #unreadableEntries}; then no backend is removed, the known revision stays, and a known backend with such an entry
     * gets no new attempts until it is reported again. If {@code forcedKind} is given, no entry is readable, or a complete list without entries
     * would remove all backends, a {@link yardusher.error.YardusherError} is thrown and nothing changes.
     */
    public Api.ServerList apply(Codec.JsonObject update, Api.ListKind forcedKind) { return apply(update, forcedKind, Set.of()); }

    private Api.ServerList apply(Codec.JsonObject update, Api.ListKind forcedKind, Set<Long> newer) {
        boolean complete = update.flag("complete") && newer.isEmpty();
        long next = newer.isEmpty() ? revision(update) : revision;
        List<Api.Server> servers = new ArrayList<>();
        List<InetSocketAddress> addresses = new ArrayList<>();
        List<String> ids = new ArrayList<>();
        List<?> members = forcedKind == Api.ListKind.CACHED ? update.objectsOrEmpty("members") : update.list("members");
        RuntimeException bad = null;
        int unreadable = 0;
        for (Object member : members) {              // everything is parsed before anything is changed
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
        if (bad != null && (forcedKind != null || unreadable == members.size())) { throw bad; }
        // An empty complete list more likely means that discovery lost its data than that all backends are gone.
        if (complete && forcedKind == null && members.isEmpty() && !addressById.isEmpty()) {
            throw new WireError.Malformed(null, "complete list without entries");
        }
        unreadableEntries = unreadable;
        if (bad != null) {
            complete = false;
            next = revision;                         // so that unreadable entries are sent again
            addUnreadableAsDraining(members, ids, servers, addresses);
        }
        for (String id : ids) {
            reportedIds.remove(id);                  // moves it to the newest end
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
        return new Api.ServerList(forcedKind != null ? forcedKind : complete ? Api.ListKind.FULL : Api.ListKind.DELTA, servers);
    }

    private static Codec.JsonObject asObject(Object member) {
        if (member instanceof Codec.JsonObject entry) { return entry; }
        throw new WireError.Malformed(null, "needs objects in \"members\"");
    }

    /** Adds, as draining, each known backend whose entry has a readable id but could not be read otherwise. */
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
     * Marks a known backend as gone if a new id appears at its address and the update does not name the known one. Otherwise
     * attempts for the former region would reach the one that has its address now.
     */
    private void addReplacedAsGone(List<Api.Server> servers, List<InetSocketAddress> addresses) {
        Map<InetSocketAddress, List<Long>> at = null;
        Set<Long> named = new HashSet<>();
        for (Api.Server server : servers) { named.add(server.id()); }
        for (int i = servers.size() - 1; i >= 0; i--) {
            InetSocketAddress address = addresses.get(i);
            if (address == null || addressById.containsKey(servers.get(i).id())) { continue; }
            if (at == null) {                        // built once: each entry of a long list may be new
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

    /** Validates an entry; a {@link yardusher.error.YardusherError} says why it is unusable. */
    public static void validate(Codec.JsonObject member) {
        if (parseServer(member, 0).readiness() != Api.Readiness.GONE) { Sockets.parseAddress(member.text("host_port")); }
        if (member.has("locality")) { member.text("locality"); }
    }

    private static Api.Server parseServer(Codec.JsonObject member, int zone) {
        Api.Readiness readiness = switch (member.text("phase")) {
            case "Ready" -> Api.Readiness.READY;
            case "Gone" -> Api.Readiness.GONE;
            default -> Api.Readiness.DRAINING;       // also for an unknown phase: no new attempts
        };
        long id = numericId(member.text("id"));
        // Backends without a cell share none, so that no retry goes to a backend that never saw the key.
        int cell = member.has("cell") ? (int) member.number("cell") : uniqueNumber(id);
        return new Api.Server(id, zone, cell, member.number("size", 1), member.number("up_since_ms", 0), readiness);
    }

    /**
     * Converts an id to the number used in the module's messages, the same at every ingress. An id of the platform's form
     * is its hex digits; any other is hashed as a whole, so that {@code web-1} and {@code db-1} differ.
     */
    public static long numericId(String text) {
        if (text.startsWith("s-") && text.length() > 2 && text.length() <= 10) {
            try {
                return Long.parseUnsignedLong(text, 2, text.length(), 16);
            } catch (NumberFormatException e) { /* not of the platform's form */ }
        }
        return hash32(text);
    }

    /** A 32-bit hash of a text, the same at every ingress. */
    private static long hash32(String text) {
        long bits = 0xCBF29CE484222325L;             // FNV-1a with a final mix
        for (int i = 0; i < text.length(); i++) { bits = (bits ^ text.charAt(i)) * 0x100000001B3L; }
        bits = (bits ^ bits >>> 32) * 0xD6E8FEB86659FD93L;
        return bits >>> 32;
    }

    /** A zone or cell number that no other backend has, far above the reported ones. */
    private static int uniqueNumber(long id) { return 1 << 30 | (int) (id & 0x3FFFFFFF); }

    /**
     * The number of a backend's zone. A locality matches a zone by its full name, or as the suffix behind a dash of exactly one
     * zone's name, or, if no zone's name carries a letter, by its position in the alphabet. An unmatched locality is a zone of its
     * own, the same at every ingress; a backend without a locality is alone in its zone, unless at most one zone is configured.
     */
    private int zoneNumber(Codec.JsonObject member) {
        if (!member.has("locality")) { return zones.size() <= 1 ? 0 : uniqueNumber(numericId(member.text("id"))); }
        String locality = member.text("locality");
        int named = zones.indexOf(locality), ends = 0, at = -1;
        if (named >= 0) { return named; }
        boolean lettered = false;                    // some zone's name ends in a letter behind a dash or is one letter
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

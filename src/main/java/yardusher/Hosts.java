package yardusher;

import java.util.*;
import yardusher.Api.*;

/** The listed servers and the operator's bans. Health and choice are in {@link Servers}. */
final class Hosts {
    private final Settings settings;
    private final Clock clock;
    final Map<Long, Host> byId = new LinkedHashMap<>();
    List<Host> ready = new ArrayList<>();
    private final Map<Long, Double> bans = new HashMap<>(); // banned ids and since when; kept when a server leaves the list

    Hosts(Settings settings, Clock clock) {
        this.settings = settings;
        this.clock = clock;
    }

    /** Applies a list. Returns its ready servers that are new or have started again since the previous list. */
    List<Host> list(ServerList list) {
        List<Host> started = new ArrayList<>();
        if (list.kind() == ListKind.FULL || list.kind() == ListKind.CACHED) {
            byId.values().forEach(host -> { host.ready = false; host.gone = true; });
        }
        for (Server server : list.servers()) {
            Host host = byId.computeIfAbsent(server.id(), id -> new Host(id, bans.containsKey(id), settings, clock));
            host.place(server);
            if (host.ready && server.startedAtMs() > host.startedAt) {
                host.startedAt = server.startedAtMs();
                started.add(host);
            }
        }
        ready = new ArrayList<>(byId.values().stream().filter(host -> host.ready).toList());
        return started;
    }

    void bound(long id, int most) { byId.computeIfPresent(id, (key, host) -> host.bound(most)); }

    void ban(long id, boolean out) {
        Host host = byId.get(id);
        Double since = out ? bans.putIfAbsent(id, clock.now) : bans.remove(id);
        if (host == null) { return; }
        if (out) { host.banned = true; } else if (since != null) { host.readmit(since); }
    }

    /** Number of listed servers that get no attempts now, because they are banned or ejected in every class. */
    int avoided(double nowMs) {
        return (int) byId.values().stream().filter(host -> !host.gone && (host.banned
                || Arrays.stream(host.outUntil).allMatch(until -> nowMs < until))).count();
    }

    /** Removes servers that have left the list and have no open attempts; new servers have new ids. */
    void forget() { byId.values().removeIf(host -> host.gone && host.open == 0); }
}

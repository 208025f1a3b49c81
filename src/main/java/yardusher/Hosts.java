package yardusher;

import java.util.*;
import yardusher.Api.*;

/** The listed servers and the operator's bans. Health and choice are in {@link Servers}. */
final class Hosts {
    private final Settings settings;
    private final Clock clock;
    final Map<Long, Host> byId = new LinkedHashMap<>();
    List<Host> ready = new ArrayList<>();
    private final Map<Long, Double> bannedSinceMs = new HashMap<>(); // banned ids and since when; kept when a server leaves the list

    Hosts(Settings settings, Clock clock) {
        this.settings = settings;
        this.clock = clock;
    }

    /** Applies a list. Returns its ready servers that are new or have started again since the previous list. */
    List<Host> update(ServerList list) {
        List<Host> started = new ArrayList<>();
        if (list.kind() == ListKind.FULL || list.kind() == ListKind.CACHED) {
            byId.values().forEach(host -> { host.ready = false; host.gone = true; });
        }
        for (Server server : list.servers()) {
            Host host = byId.computeIfAbsent(server.id(), id -> new Host(id, bannedSinceMs.containsKey(id), settings, clock));
            host.update(server);
            if (host.ready && server.startedAtMs() > host.startedAtMs) {
                host.startedAtMs = server.startedAtMs();
                started.add(host);
            }
        }
        ready = new ArrayList<>(byId.values().stream().filter(host -> host.ready).toList());
        return started;
    }

    void limitOpen(long id, int maxOpen) { byId.computeIfPresent(id, (key, host) -> host.limitOpen(maxOpen)); }

    void ban(long id, boolean banned) {
        Host host = byId.get(id);
        Double since = banned ? bannedSinceMs.putIfAbsent(id, clock.now) : bannedSinceMs.remove(id);
        if (host == null) { return; }
        if (banned) { host.banned = true; } else if (since != null) { host.readmit(since); }
    }

    /** Number of listed servers that get no attempts now, because they are banned or ejected in every class. */
    int countAvoided(double nowMs) {
        return (int) byId.values().stream().filter(host -> !host.gone && (host.banned
                || Arrays.stream(host.ejectedUntilMs).allMatch(until -> nowMs < until))).count();
    }

    /** Removes servers that have left the list and have no open attempts; new servers have new ids. */
    void removeGone() { byId.values().removeIf(host -> host.gone && host.openAttempts == 0); }
}

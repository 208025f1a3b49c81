package yardusher.net;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The connections of a frontend, within a limit: which are silent, idle, flushing or closing, and which to evict for a new one,
 * so that connections that are kept open unused do not lock out other clients. The time is passed in.
 */
final class Crowd {
    // Until the end of a connection's first command, or of any command that has begun: a slow client may take 2 s, and a faulty
    // one must get a reply within 3 s.
    private static final double SILENT_MS = 2500;
    private static final double IDLE_MS = 2000;    // an idle connection may be closed after this
    private static final double CALM_IDLE_MS = 10_000; // the same where at most half of the connections are in use
    private static final double SILENT_WAY_MS = 30; // without free connections, a silent one may be evicted after this
    private static final double IDLE_WAY_MS = 250; // and an idle one after this
    private static final double LAST_MS = 300;     // time for a client to read the last bytes, where all connections close
    private static final double SHORT_IDLE_MS = 100; // with too many idle connections, the longest idle is closed after this

    private final Set<ClientConnection> terminals = new LinkedHashSet<>();
    /**
     * Connections without an open command, longest first: silent are those that never completed a command, idle are the others.
     */
    private final Set<ClientConnection> silent = new LinkedHashSet<>();
    private final Set<ClientConnection> idle = new LinkedHashSet<>();
    /** Connections without an open command whose last reply bytes the system has not accepted. */
    private final Set<ClientConnection> taking = new LinkedHashSet<>();
    /** Closing connections and since when, in ms. They still hold descriptors, so their number is limited too. */
    private final Map<Link, Double> leaving = new LinkedHashMap<>();
    private int mostTerminals;
    private int mostLeaving;
    private int mostIdle;

    /** Sets the maximum number of connections. Connections above the limit are closed, longest idle first. */
    void limit(int most) {
        mostLeaving = Math.max(2, most / 5);
        mostTerminals = Math.max(1, most - mostLeaving);
        mostIdle = Math.max(1, mostTerminals / 4);
        for (ClientConnection terminal : new ArrayList<>(idle)) {
            if (terminals.size() > mostTerminals) { terminal.finish(); }
        }
    }

    int size() { return terminals.size(); }

    /** The number of connections, including those that are closing. */
    int held() { return terminals.size() + leaving.size(); }

    List<ClientConnection> all() { return new ArrayList<>(terminals); }

    /** Whether a connection can be added. {@code doubled} allows twice the limit. */
    boolean hasRoom(boolean twice) {
        int most = twice ? 2 * mostTerminals : mostTerminals;
        return terminals.size() < most && terminals.size() + leaving.size() < most + mostLeaving;
    }

    /**
     * The connection to evict for a new one, or null: the longest silent, then the longest idle, then the one slowest with its
     * first command.
     */
    ClientConnection givesWay(double now) {
        ClientConnection longest = first(mute(), SILENT_WAY_MS, now);
        if (longest == null) { longest = first(idle, IDLE_WAY_MS, now); }
        return longest == null ? first(silent, SILENT_WAY_MS, now) : longest;
    }

    /** The longest silent connection that has not begun a command, if any. */
    private Set<ClientConnection> mute() {
        for (ClientConnection one : silent) {
            if (!one.hasBegun()) { return Set.of(one); }
        }
        return Set.of();
    }

    private static ClientConnection first(Set<ClientConnection> of, double quietMs, double now) {
        ClientConnection first = of.isEmpty() ? null : of.iterator().next();
        return first != null && now - first.quietSince() >= quietMs ? first : null;
    }

    void joins(ClientConnection terminal) {
        terminals.add(terminal);
        silent.add(terminal);
    }

    /** The connection has an open command. */
    void isBusy(ClientConnection terminal) {
        silent.remove(terminal);
        idle.remove(terminal);
        taking.remove(terminal);
    }

    /** The connection has no open command, but the system has not accepted its last reply: it cannot be evicted. */
    void isTaking(ClientConnection terminal) {
        isBusy(terminal);
        taking.add(terminal);
    }

    /** The connection has no open command, and all replies are sent. */
    void isIdle(ClientConnection terminal, double now) {
        taking.remove(terminal);
        idle.add(terminal);
        // Clients that open a connection for each request and keep the old ones would use up their connections with idle ones
        // and find none left for new requests.
        ClientConnection longest = idle.size() > mostIdle ? first(idle, SHORT_IDLE_MS, now) : null;
        if (longest != null) { longest.finish(); }
    }

    /** Removes a connection. Returns true if this makes room for a new one. */
    boolean leaves(ClientConnection terminal) {
        isBusy(terminal);
        return terminals.remove(terminal) && terminals.size() == mostTerminals - 1;
    }

    /** Closes a connection after its last bytes are flushed. {@code all}: all connections may do so at once. */
    void finishes(Link link, double now, boolean many) {
        leaving.put(link, now);
        link.finish(() -> leaving.remove(link));
        if (leaving.size() > (many ? mostTerminals : mostLeaving)) { mostDone().close(); }
    }

    /** The closing connection to cut off first: the longest one that is flushed, or the longest of all. */
    private Link mostDone() {
        for (Link link : leaving.keySet()) {
            if (link.queued() == 0) { return link; }
        }
        return leaving.keySet().iterator().next();
    }

    /** The number of closing connections with bytes that the system has not accepted. */
    int unsent() {
        int count = 0;
        for (Link link : leaving.keySet()) { count += link.queued() > 0 ? 1 : 0; }
        return count;
    }

    /** Closes connections that are flushed and whose client has had time to read the last bytes. */
    void closeLeaving(double now) {
        for (Map.Entry<Link, Double> one : new ArrayList<>(leaving.entrySet())) {
            if (one.getKey().queued() == 0 && now - one.getValue() >= LAST_MS) { one.getKey().close(); }
        }
    }

    /** Closes connections that have been silent or idle too long, and those that never complete a command. */
    void reap(double now) {
        boolean crowded = terminals.size() > mostTerminals / 2;
        reap(silent, now - SILENT_MS, now - SILENT_MS);
        // A client that sends requests and reads no replies is not idle, and would keep its connection for ever.
        for (ClientConnection terminal : new ArrayList<>(taking)) {
            if (terminal.takesNothing(CALM_IDLE_MS, now)) { terminal.finish(); }
        }
        reap(idle, now - (crowded ? IDLE_MS : CALM_IDLE_MS), now - SILENT_MS);
    }

    private void reap(Set<ClientConnection> of, double quietBefore, double begunBefore) {
        for (ClientConnection terminal : new ArrayList<>(of)) {
            // A client that has begun a command is not closed without a reply: a silent one gets an error, an idle one has its
            // full time.
            boolean begun = terminal.hasBegun();
            if (terminal.begunAt() < begunBefore || begun && of == silent && terminal.quietSince() < quietBefore) {
                terminal.lose("command not ended");
            } else if (!begun && terminal.quietSince() < quietBefore) {
                terminal.finish();
            }
        }
    }
}

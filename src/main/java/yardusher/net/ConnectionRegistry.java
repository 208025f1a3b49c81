package yardusher.net;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The connections that a front holds, within a bound: who has said nothing yet, who is idle, who only gets its last bytes, and
 * who gives way to a newcomer. Guards the usual clients against connections that are kept and not used. Times are passed in.
 */
final class ConnectionRegistry {
    // To the end of a connection's first command, or of any begun: a slow client may take 2 s, and a bad one is owed
    // an answer in 3 s.
    private static final double SILENT_TIMEOUT_MS = 2500;
    private static final double IDLE_TIMEOUT_MS = 2000;    // a connection with nothing open may be closed after this
    private static final double UNCROWDED_IDLE_TIMEOUT_MS = 10_000; // and is, where there is room for others
    private static final double SILENT_EVICTION_MS = 30; // where no room is left, these give way to a newcomer:
    private static final double IDLE_EVICTION_MS = 250; // who connected and said nothing, then who is idle
    private static final double FINAL_READ_MS = 300;     // to take the last bytes, where all connections are to end
    private static final double EXCESS_IDLE_MS = 100; // where many are idle, the longest so is closed after this

    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    /** Terminals with nothing open, the longest so first: those that never ended a command, and the others. */
    private final Set<ClientConnection> silent = new LinkedHashSet<>();
    private final Set<ClientConnection> idle = new LinkedHashSet<>();
    /** Terminals with nothing open whose last answers the system has not taken. */
    private final Set<ClientConnection> flushing = new LinkedHashSet<>();
    /** Connections that get their last bytes, and since when, in ms. They still hold descriptors, so they have a bound too. */
    private final Map<Connection, Double> closing = new LinkedHashMap<>();
    private int maxConnections;
    private int maxClosing;
    private int maxIdle;

    /** How many connections are held at the most; the longest idle beyond that close. */
    void setMaxConnections(int max) {
        maxClosing = Math.max(2, max / 5);
        maxConnections = Math.max(1, max - maxClosing);
        maxIdle = Math.max(1, maxConnections / 4);
        for (ClientConnection connection : new ArrayList<>(idle)) {
            if (connections.size() > maxConnections) { connection.finish(); }
        }
    }

    int size() { return connections.size(); }

    /** Also those that get their last bytes. */
    int totalCount() { return connections.size() + closing.size(); }

    List<ClientConnection> all() { return new ArrayList<>(connections); }

    /** {@code twice}: twice as many may be here. */
    boolean hasRoom(boolean doubled) {
        int max = doubled ? 2 * maxConnections : maxConnections;
        return connections.size() < max && connections.size() + closing.size() < max + maxClosing;
    }

    /** Who is to give way to a newcomer, or null: who said nothing for longest, then who is idle, then who is slow at its first command. */
    ClientConnection evictionCandidate(double nowMs) {
        ClientConnection longest = firstQuietFor(firstWithoutCommand(), SILENT_EVICTION_MS, nowMs);
        if (longest == null) { longest = firstQuietFor(idle, IDLE_EVICTION_MS, nowMs); }
        return longest == null ? firstQuietFor(silent, SILENT_EVICTION_MS, nowMs) : longest;
    }

    /** The longest silent that has not begun a command, if any. */
    private Set<ClientConnection> firstWithoutCommand() {
        for (ClientConnection connection : silent) {
            if (!connection.hasBegunCommand()) { return Set.of(connection); }
        }
        return Set.of();
    }

    private static ClientConnection firstQuietFor(Set<ClientConnection> candidates, double quietMs, double nowMs) {
        ClientConnection first = candidates.isEmpty() ? null : candidates.iterator().next();
        return first != null && nowMs - first.quietSinceMs() >= quietMs ? first : null;
    }

    void add(ClientConnection connection) {
        connections.add(connection);
        silent.add(connection);
    }

    /** It has something open. */
    void markBusy(ClientConnection connection) {
        silent.remove(connection);
        idle.remove(connection);
        flushing.remove(connection);
    }

    /** It has nothing open any more, but the system has not taken its last answers: it gives way to nobody. */
    void markFlushing(ClientConnection connection) {
        markBusy(connection);
        flushing.add(connection);
    }

    /** It has nothing open any more. */
    void markIdle(ClientConnection connection, double nowMs) {
        flushing.remove(connection);
        idle.add(connection);
        // Guards clients that use a new connection for each request and keep the old one: what they hold
        // idle is out of what they may hold at all, and they would find none left for their requests.
        ClientConnection longest = idle.size() > maxIdle ? firstQuietFor(idle, EXCESS_IDLE_MS, nowMs) : null;
        if (longest != null) { longest.finish(); }
    }

    /** It is none of the terminals any more; true where one more has room for that. */
    boolean remove(ClientConnection connection) {
        markBusy(connection);
        return connections.remove(connection) && connections.size() == maxConnections - 1;
    }

    /** Ends a connection once its last bytes are taken. {@code many}: all may do so at once. */
    void closeAfterFlush(Connection connection, double nowMs, boolean all) {
        closing.put(connection, nowMs);
        connection.finish(() -> closing.remove(connection));
        if (closing.size() > (all ? maxConnections : maxClosing)) { closingToCutOff().close(); }
    }

    /** The longest leaving that the system has taken all bytes of, or the longest of all. */
    private Connection closingToCutOff() {
        for (Connection connection : closing.keySet()) {
            if (connection.queuedBytes() == 0) { return connection; }
        }
        return closing.keySet().iterator().next();
    }

    /** How many that leave have bytes that the system has not taken. */
    int unflushedCount() {
        int count = 0;
        for (Connection connection : closing.keySet()) { count += connection.queuedBytes() > 0 ? 1 : 0; }
        return count;
    }

    /** Closes those that have had their last bytes and a moment to take them. */
    void closeFlushed(double nowMs) {
        for (Map.Entry<Connection, Double> entry : new ArrayList<>(closing.entrySet())) {
            if (entry.getKey().queuedBytes() == 0 && nowMs - entry.getValue() >= FINAL_READ_MS) { entry.getKey().close(); }
        }
    }

    /** Closes what has been silent or idle too long, and what never ends a command it has begun. */
    void reap(double nowMs) {
        boolean crowded = connections.size() > maxConnections / 2;
        reap(silent, nowMs - SILENT_TIMEOUT_MS, nowMs - SILENT_TIMEOUT_MS);
        // Guards the places against who asks and takes no answer: it is not idle, and would be held for ever.
        for (ClientConnection connection : new ArrayList<>(flushing)) {
            if (connection.hasReadNothing(UNCROWDED_IDLE_TIMEOUT_MS, nowMs)) { connection.finish(); }
        }
        reap(idle, nowMs - (crowded ? IDLE_TIMEOUT_MS : UNCROWDED_IDLE_TIMEOUT_MS), nowMs - SILENT_TIMEOUT_MS);
    }

    private void reap(Set<ClientConnection> candidates, double quietBeforeMs, double begunBeforeMs) {
        for (ClientConnection connection : new ArrayList<>(candidates)) {
            // Guards who has begun a command against an end without a word: a silent one is told, an idle one has its time.
            boolean hasBegun = connection.hasBegunCommand();
            if (connection.commandBegunAtMs() < begunBeforeMs || hasBegun && candidates == silent && connection.quietSinceMs() < quietBeforeMs) {
                connection.closeWithError("command not ended");
            } else if (!hasBegun && connection.quietSinceMs() < quietBeforeMs) {
                connection.finish();
            }
        }
    }
}

package yardusher.net;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The connections of a frontend, within a limit: which are silent, idle, flushing or closing, and which to evict for a new one,
 * so that connections that are kept open unused do not lock out other clients. The time is passed in.
 */
final class ConnectionRegistry {
    // Until the end of a connection's first command, or of any command that has begun: a slow client may take 2 s, and a faulty
    // one must get a reply within 3 s.
    private static final double SILENT_TIMEOUT_MS = 2500;
    private static final double IDLE_TIMEOUT_MS = 2000; // an idle connection may be closed after this
    private static final double UNCROWDED_IDLE_TIMEOUT_MS = 10_000; // the same where at most half of the connections are in use
    private static final double SILENT_EVICTION_MS = 30; // without free connections, a silent one may be evicted after this
    private static final double IDLE_EVICTION_MS = 250; // and an idle one after this
    private static final double FINAL_READ_MS = 300; // time for a client to read the last bytes, where all connections close
    private static final double STALL_MS = 250;      // silence within a command after which it gives way where memory is short
    private static final double EXCESS_IDLE_MS = 100; // with too many idle connections, the longest idle is closed after this

    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    /**
     * Connections without an open command, longest first: silent are those that never completed a command, unused are those that only
     * kept their connection alive, and idle are the others.
     */
    private final Set<ClientConnection> silent = new LinkedHashSet<>();
    private final Set<ClientConnection> unused = new LinkedHashSet<>();
    private final Set<ClientConnection> idle = new LinkedHashSet<>();
    /** Connections without an open command whose last reply bytes the system has not accepted. */
    private final Set<ClientConnection> flushing = new LinkedHashSet<>();
    /** Closing connections and since when, in ms. They still hold descriptors, so their number is limited too. */
    private final Map<Connection, Double> closing = new LinkedHashMap<>();
    private int maxConnections;
    private int maxClosing;
    private int maxIdle;

    /** Sets the maximum number of connections. Connections above the limit are closed, longest idle first. */
    void setMaxConnections(int max) {
        maxClosing = Math.max(2, max / 5);
        maxConnections = Math.max(1, max - maxClosing);
        maxIdle = Math.max(1, maxConnections / 4);
        int excess = connections.size() - maxConnections;
        List<ClientConnection> resting = new ArrayList<>(unused);
        resting.addAll(idle);
        for (ClientConnection connection : resting) {
            if (excess-- > 0) { connection.endUnlessUsed(CloseReason.LIMIT_LOWERED); }
        }
    }

    int size() { return connections.size(); }

    /** The number of connections, including those that are closing. */
    int totalCount() { return connections.size() + closing.size(); }

    List<ClientConnection> all() { return new ArrayList<>(connections); }

    /** Whether a connection can be added. {@code doubled} allows twice the limit. */
    boolean hasRoom(boolean doubled) {
        int max = doubled ? 2 * maxConnections : maxConnections;
        return connections.size() < max && connections.size() + closing.size() < max + maxClosing;
    }

    /**
     * The connection to evict for a new one, or null: the longest silent, then the longest unused, then the longest idle, then the
     * one slowest with its first command.
     */
    ClientConnection evictionCandidate(double nowMs) {
        ClientConnection longest = firstQuietFor(firstWithoutCommand(), SILENT_EVICTION_MS, nowMs);
        if (longest == null) { longest = firstQuietFor(unused, SILENT_EVICTION_MS, nowMs); }
        if (longest == null) { longest = firstQuietFor(idle, IDLE_EVICTION_MS, nowMs); }
        return longest == null ? firstQuietFor(silent, SILENT_EVICTION_MS, nowMs) : longest;
    }

    /** The longest silent connection that has not begun a command, if any. */
    private Set<ClientConnection> firstWithoutCommand() {
        for (ClientConnection connection : silent) {
            if (!connection.hasBegunCommand()) { return Set.of(connection); }
        }
        return Set.of();
    }

    private static ClientConnection firstQuietFor(Set<ClientConnection> candidates, double quietMs, double nowMs) {
        for (ClientConnection first : candidates) {
            if (first.isWaitingForRoom()) { continue; } // its silence is not the client's
            return nowMs - first.quietSinceMs() >= quietMs ? first : null;
        }
        return null;
    }

    void add(ClientConnection connection) {
        connections.add(connection);
        silent.add(connection);
    }

    /** The connection has an open command. */
    void markBusy(ClientConnection connection) {
        silent.remove(connection);
        unused.remove(connection);
        idle.remove(connection);
        flushing.remove(connection);
    }

    /** The connection has no open command, but the system has not accepted its last reply: it cannot be evicted. */
    void markFlushing(ClientConnection connection) {
        markBusy(connection);
        flushing.add(connection);
    }

    /** The connection has no open command, and all replies are sent. */
    void markIdle(ClientConnection connection, double nowMs) {
        flushing.remove(connection);
        Set<ClientConnection> resting = connection.hasAsked() ? idle : unused;
        resting.add(connection);
        // Clients that open a connection for each request and keep the old ones would use up their connections with idle ones
        // and find none left for new requests.
        boolean tooMany = unused.size() + idle.size() > maxIdle;
        ClientConnection longest = tooMany ? firstQuietFor(unused.isEmpty() ? idle : unused, EXCESS_IDLE_MS, nowMs) : null;
        if (longest != null) { longest.endUnlessUsed(CloseReason.EXCESS_IDLE); }
    }

    /** Connections that hold input and whose clients have stopped within a command, the longest silent first. */
    List<ClientConnection> stalledWithinCommand(double nowMs) {
        List<ClientConnection> stalled = new ArrayList<>();
        for (ClientConnection connection : connections) {
            if (connection.isStalledWithinCommand(nowMs - STALL_MS)) { stalled.add(connection); }
        }
        stalled.sort(Comparator.comparingDouble(ClientConnection::lastInputAtMs));
        return stalled;
    }

    /** Removes a connection. Returns true if this makes room for a new one. */
    boolean remove(ClientConnection connection) {
        markBusy(connection);
        return connections.remove(connection) && connections.size() == maxConnections - 1;
    }

    /** Closes a connection after its last bytes are flushed. {@code all}: all connections may do so at once. */
    void closeAfterFlush(Connection connection, double nowMs, boolean all) {
        closing.put(connection, nowMs);
        connection.finish(() -> closing.remove(connection));
        if (closing.size() > (all ? maxConnections : maxClosing)) { closingToCutOff().cutOff(); }
    }

    /** The closing connection to cut off first: the longest one that is flushed, or the longest of all. */
    private Connection closingToCutOff() {
        for (Connection connection : closing.keySet()) {
            if (connection.queuedBytes() == 0) { return connection; }
        }
        return closing.keySet().iterator().next();
    }

    /** The number of closing connections with bytes that the system has not accepted. */
    int unflushedCount() {
        int count = 0;
        for (Connection connection : closing.keySet()) { count += connection.queuedBytes() > 0 ? 1 : 0; }
        return count;
    }

    /** Closes connections that are flushed and whose client has had time to read the last bytes. */
    void closeFlushed(double nowMs) {
        for (Map.Entry<Connection, Double> entry : new ArrayList<>(closing.entrySet())) {
            if (entry.getKey().queuedBytes() == 0 && nowMs - entry.getValue() >= FINAL_READ_MS) { entry.getKey().close(); }
        }
    }

    /** Closes connections that have been silent or idle too long, and those that never complete a command. */
    void reap(double nowMs) {
        boolean crowded = connections.size() > maxConnections / 2;
        reap(silent, nowMs - SILENT_TIMEOUT_MS, nowMs - SILENT_TIMEOUT_MS);
        // A client that sends requests and reads no replies is not idle, and would keep its connection for ever.
        for (ClientConnection connection : new ArrayList<>(flushing)) {
            if (connection.hasReadNothing(UNCROWDED_IDLE_TIMEOUT_MS, nowMs)) { connection.finish(CloseReason.REPLIES_UNREAD); }
        }
        double idleSinceMs = nowMs - (crowded ? IDLE_TIMEOUT_MS : UNCROWDED_IDLE_TIMEOUT_MS);
        reap(unused, idleSinceMs, nowMs - SILENT_TIMEOUT_MS);
        reap(idle, idleSinceMs, nowMs - SILENT_TIMEOUT_MS);
    }

    private void reap(Set<ClientConnection> candidates, double quietBeforeMs, double begunBeforeMs) {
        for (ClientConnection connection : new ArrayList<>(candidates)) {
            // A client that has begun a command is not closed without a reply: a silent one gets an error, an idle one has its
            // full time.
            boolean hasBegun = connection.hasBegunCommand();
            if (connection.commandBegunAtMs() < begunBeforeMs
                    || hasBegun && candidates == silent && connection.quietSinceMs() < quietBeforeMs) {
                connection.endWithErrorUnlessUsed("command not ended");
            } else if (!hasBegun && connection.quietSinceMs() < quietBeforeMs) {
                connection.endUnlessUsed(candidates == silent ? CloseReason.SILENT : CloseReason.IDLE);
            }
        }
    }
}

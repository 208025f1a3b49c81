package yardusher.servers;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;
import yardusher.core.Attempt;

/** A backend of the service table, its idle connections, and the attempts that wait for a connection. */
final class PooledBackend {
    InetSocketAddress address;
    boolean draining;
    final ArrayDeque<BackendConnection> idle = new ArrayDeque<>();
    final Set<Attempt> dialling = new HashSet<>();   // with an allowance only
    final ArrayDeque<WaitingAttempt> waiting = new ArrayDeque<>(); // the longest waiting first
    final ArrayDeque<Dial> dials = new ArrayDeque<>(); // the oldest first
    int open;                                        // connections, counted from before the dial to the close
    int closing;

    PooledBackend(InetSocketAddress address) { this.address = address; }

    /** The number of idle connections that no attempt waits for. */
    int unclaimedIdle() { return Math.max(0, idle.size() - waiting.size()); }
}

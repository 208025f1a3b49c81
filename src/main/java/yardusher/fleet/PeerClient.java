package yardusher.fleet;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import yardusher.core.Deadlines;
import yardusher.core.EventLoop;
import yardusher.net.Connection;
import yardusher.net.Sockets;
import yardusher.resp.MalformedRespException;
import yardusher.resp.Value;

/**
 * The way to one other agent: RESP commands on one connection, answered in their order. What is not answered in time is
 * given up, its answer dropped when it comes. Bounded; a member that is slow or away costs nobody else anything. In loop.
 */
final class PeerClient implements Connection.Owner {
    private static final int MAX_PENDING_REQUESTS = 64;
    private static final int MAX_QUEUED_BYTES = 512 * 1024; // bytes not yet taken by the system
    private static final double CONNECT_TIMEOUT_MS = 500;
    private static final double MIN_RECONNECT_WAIT_MS = 30;
    private static final double MAX_RECONNECT_WAIT_MS = 1000;
    private static final double STUCK_MS = 2000;     // nothing at all is answered for so long

    private static final class PendingRequest {
        final byte[] command;
        Consumer<Value> then;
        Runnable orElse;
        Deadlines.Entry limit;

        PendingRequest(byte[] command) { this.command = command; }
    }

    private final Sockets sockets;
    private final EventLoop loop;
    private final RandomGenerator random;
    private InetSocketAddress address;
    private final ArrayDeque<PendingRequest> pendingRequests = new ArrayDeque<>(); // written and unwritten, in order
    private Connection connection;
    private boolean connecting;
    private double reconnectWaitMs;                           // before the next dial; 0 after a success
    private double nextConnectAtMs;
    private double lastAnswerAtMs;
    private boolean closed;

    PeerClient(Sockets sockets, InetSocketAddress address, RandomGenerator random) {
        this.sockets = sockets;
        this.loop = sockets.loop();
        this.address = address;
        this.random = random;
    }

    /** The member has moved. */
    void move(InetSocketAddress to) {
        if (to.equals(address)) { return; }
        address = to;
        if (connection != null) { connection.close(); }
        connectionLost();
    }

    /** Whether there is a connection, or one is worth trying. */
    boolean isLikely() { return connection != null || connecting || loop.now() >= nextConnectAtMs; }

    /** Asks; one of the two is run later, in a turn, and {@code orElse} after so many ms at the latest. */
    void ask(byte[] command, double withinMs, Consumer<Value> then, Runnable orElse) {
        boolean full = pendingRequests.size() >= MAX_PENDING_REQUESTS || connection != null && connection.queuedBytes() > MAX_QUEUED_BYTES;
        if (closed || full || connection == null && !connecting && loop.now() < nextConnectAtMs) {
            loop.defer(orElse);
            return;
        }
        PendingRequest one = new PendingRequest(command);
        one.then = then;
        one.orElse = orElse;
        one.limit = loop.deadlines().schedule(loop.now() + withinMs, () -> {
            giveUp(one);
            if (connection != null && loop.now() - lastAnswerAtMs > STUCK_MS) {
                connection.close();
                connectionLost();
            }
        });
        pendingRequests.add(one);
        if (connection != null) { connection.write(command); } else { connect(); }
    }

    private static void giveUp(PendingRequest one) {
        Runnable orElse = one.orElse;
        one.then = null;
        one.orElse = null;
        if (orElse != null) { orElse.run(); }
    }

    private void connect() {
        if (connecting) { return; }
        connecting = true;
        sockets.connect(address, CONNECT_TIMEOUT_MS, channel -> {
            connecting = false;
            connection = new Connection(channel, loop, this);
            lastAnswerAtMs = loop.now();
            pendingRequests.removeIf(one -> one.then == null);  // given up before they were written
            for (PendingRequest one : pendingRequests) { connection.write(one.command); }
            connection.readMore();
        }, () -> {
            connecting = false;
            connectionLost();
        });
    }

    /** The connection is gone, and what was asked on it; the next is dialled after a wait that grows. */
    private void connectionLost() {
        connection = null;
        reconnectWaitMs = Math.min(MAX_RECONNECT_WAIT_MS, reconnectWaitMs == 0 ? MIN_RECONNECT_WAIT_MS : reconnectWaitMs * 2);
        nextConnectAtMs = loop.now() + reconnectWaitMs * (0.5 + random.nextDouble() / 2);
        ArrayDeque<PendingRequest> left = new ArrayDeque<>(pendingRequests);
        pendingRequests.clear();
        for (PendingRequest one : left) {
            loop.deadlines().cancel(one.limit);
            giveUp(one);
        }
    }

    @Override
    public boolean onReadable(Connection from) {
        if (from != connection) { return false; }
        try {
            for (Value answer; (answer = from.decoder().nextValue()) != null;) {
                PendingRequest one = pendingRequests.poll();
                lastAnswerAtMs = loop.now();
                reconnectWaitMs = 0;
                if (one == null) { throw new MalformedRespException("an answer that nobody asked for"); }
                loop.deadlines().cancel(one.limit);
                Consumer<Value> then = one.then;
                if (then != null) { then.accept(answer); }
                if (connection != from) { return false; }
            }
            return true;
        } catch (MalformedRespException e) {
            from.close();
            connectionLost();
            return false;
        }
    }

    @Override
    public void onClosed(Connection from) {
        if (from == connection) { connectionLost(); }
    }

    void close() {
        closed = true;
        if (connection != null) { connection.close(); }
        for (Iterator<PendingRequest> all = pendingRequests.iterator(); all.hasNext();) {
            loop.deadlines().cancel(all.next().limit);
            all.remove();
        }
    }
}

package yardusher.servers;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import yardusher.Api;
import yardusher.core.Attempt;
import yardusher.core.Counters;
import yardusher.core.Deadlines;
import yardusher.core.ResponseStream;
import yardusher.core.Ingress;
import yardusher.core.Backends;
import yardusher.net.Connection;
import yardusher.net.Sockets;

/**
 * Connections to all backends. Each carries one attempt at a time: responses arrive in order, so a slow one would delay
 * those behind it, and cancelling an attempt closes the connection. The most recently used idle connection is taken first.
 */
public final class BackendPool implements Backends {
    private static final double MAX_IDLE_FRACTION = 0.7;  // fraction of the configured idle time, so as not to race the backend's own close
    private static final double IDLE_CHECK_INTERVAL_MS = 1000;
    private static final double MIN_IDLE_MS = 30;     // an idle connection is not reused before this time
    private static final double ORPHAN_DIAL_TIMEOUT_MS = 2000;      // time limit of a dial that no attempt waits for any more
    private static final int MAX_ORPHAN_DIALS = 2;          // such dials, and idle connections kept from them, per backend
    private static final double SECOND_DIAL_FRACTION = 0.2;   // fraction of the dial timeout after which a second dial starts in parallel
    private static final double LOSS_WEIGHT = 0.05;        // weight of one attempt in the moving average of lost attempts
    private static final double LOSS_TOLERANCE = 0.05;        // tolerated excess of the loss rate of reused connections over that of new ones
    private static final int REUSE_PROBE_INTERVAL = 8;              // beyond that, one in this many attempts still tries a reused connection

    final Sockets sockets;
    final Counters counters;
    final double stallMs;
    private final double dialMs;
    private final double maxIdleMs;
    private int maxConnections;
    final List<Api.Metric> report;
    private final Map<Long, PooledBackend> pooledBackends = new HashMap<>();
    private final Set<Long> banned = new HashSet<>(); // by an operator
    private double reusedLossRate;                         // recent fraction of attempts lost on reused connections
    private double newLossRate;                          // and on new connections
    private int startedAttempts;
    private Ingress ingress;
    private ConnectionAllowance allowance;                     // null if connections are not limited per backend
    int connections;
    private int closing;                             // of these, closed locally and not yet by the backend

    /** A backend of the service table, its idle connections, and the attempts that wait for a connection. */
    static final class PooledBackend {
        InetSocketAddress address;
        boolean draining;
        final ArrayDeque<BackendConnection> idle = new ArrayDeque<>();
        final Set<Attempt> dialling = new HashSet<>(); // with an allowance only
        final ArrayDeque<WaitingAttempt> waiting = new ArrayDeque<>(); // the longest waiting first
        final ArrayDeque<Dial> dials = new ArrayDeque<>(); // the oldest first
        int open;                                    // connections, counted from before the dial to the close
        int closing;

        PooledBackend(InetSocketAddress address) { this.address = address; }
    }

    /** An attempt that waits for the next available connection to its backend. */
    private static final class WaitingAttempt {
        final Attempt attempt;
        final ByteBuffer[] cargo;
        Deadlines.Entry limit;
        Deadlines.Entry secondDial;
        boolean done;

        WaitingAttempt(Attempt attempt, ByteBuffer... cargo) {
            this.attempt = attempt;
            this.cargo = cargo;
        }
    }

    /** A dial in progress, for the attempt that started it or for whichever attempt waits once it succeeds. */
    private static final class Dial {
        final WaitingAttempt owner;
        Runnable cancel;

        Dial(WaitingAttempt owner) { this.owner = owner; }
    }

    /** {@code stallMs}: time without progress after which a streamed value is abandoned. */
    public BackendPool(Sockets sockets, Counters counters, List<Api.Metric> report, double dialMs, double idleMs,
            double stallMs, int maxConnections) {
        this.stallMs = stallMs;
        this.sockets = sockets;
        this.counters = counters;
        this.report = report;
        this.dialMs = dialMs;
        this.maxIdleMs = idleMs * MAX_IDLE_FRACTION;
        this.maxConnections = maxConnections;
        sockets.loop().deadlines().schedule(sockets.loop().now() + IDLE_CHECK_INTERVAL_MS, this::closeExpiredIdle);
    }

    /** Sets the maximum number of connections and closes idle ones in excess of it. */
    public void setMaxConnections(int max) {
        maxConnections = max;
        while (connections - closing > maxConnections && closeOneIdle()) { /* one by one */ }
    }

    /** Open connections, including those being dialled or closed. */
    public int connectionCount() { return connections; }

    /** Consults the allowance for each connection from now on; must be set before the first connection is opened. */
    public void setAllowance(ConnectionAllowance by) { allowance = by; }

    /** Connections to a backend that carry an attempt or are being dialled for one. */
    public int busyConnections(long backend) {
        PooledBackend place = pooledBackends.get(backend);
        return place == null ? 0 : place.open - place.closing - place.idle.size();
    }

    /** Closes up to {@code count} idle connections of a backend, the longest idle first, and returns the number closed. */
    public int closeIdle(long backend, int count) {
        PooledBackend place = pooledBackends.get(backend);
        int closed = 0;
        for (BackendConnection link; place != null && closed < count && (link = place.idle.pollFirst()) != null; closed++) { link.close(); }
        return closed;
    }

    public void setIngress(Ingress core) { ingress = core; }

    /** Adds a backend of the service table, or updates its address. */
    public void addOrUpdate(long backend, InetSocketAddress address) {
        PooledBackend place = pooledBackends.computeIfAbsent(backend, r -> new PooledBackend(address));
        place.draining = false;
        if (!place.address.equals(address)) {
            place.address = address;
            dropIdle(place);
            dropDialling(place);
        }
    }

    /**
     * A backend drains or is gone: its idle connections are closed at once, and attempts still being dialled, which have sent
     * nothing, are retried elsewhere. Otherwise a dial could succeed after the grace period of the drain and be written to.
     */
    public void retire(long backend, boolean remove) {
        PooledBackend place = remove ? pooledBackends.remove(backend) : pooledBackends.get(backend);
        if (place == null) { return; }
        place.draining = true;
        dropIdle(place);
        dropDialling(place);
    }

    /** Reports the failures after the current event-loop task, so that the module does not choose by the outdated list. */
    private void dropDialling(PooledBackend place) {
        for (Attempt attempt : Set.copyOf(place.dialling)) {
            attempt.abort.run();
            attempt.abort = () -> { };
            sockets.loop().defer(() -> attemptEnded(attempt, Attempt.Result.of(Api.Outcome.CONNECT_FAILED)));
        }
        for (WaitingAttempt wait; (wait = place.waiting.peek()) != null;) {
            Attempt attempt = wait.attempt;
            stopWaiting(place, wait);
            sockets.loop().defer(() -> attemptEnded(attempt, Attempt.Result.of(Api.Outcome.CONNECT_FAILED)));
        }
        for (Dial dial; (dial = place.dials.peek()) != null;) { dial.cancel.run(); }
    }

    private void dropIdle(PooledBackend place) {
        for (BackendConnection link; (link = place.idle.poll()) != null;) { link.close(); }
    }

    /**
     * Bans a backend on an operator's command, or lifts the ban. Attempts in flight end as in a drain; attempts still being
     * dialled have sent nothing and end at once.
     */
    public void setBanned(long backend, boolean isBanned) {
        if (!isBanned) {
            banned.remove(backend);
            return;
        }
        PooledBackend place = pooledBackends.get(backend);
        if (!banned.add(backend) || place == null) { return; }
        dropIdle(place);
        dropDialling(place);
    }

    @Override
    public boolean isAvailable(long backend) { return acceptsAttempts(pooledBackends.get(backend), backend); }

    /** Whether attempts may start there: the backend is listed, not draining and not banned. */
    private boolean acceptsAttempts(PooledBackend place, long backend) {
        return place != null && pooledBackends.get(backend) == place && !place.draining && !banned.contains(backend);
    }

    @Override
    public void start(Attempt attempt, ByteBuffer... cargo) {
        PooledBackend place = pooledBackends.get(attempt.backend);
        BackendConnection link = ++startedAttempts % REUSE_PROBE_INTERVAL == 0 || !prefersNewConnections() ? takeReusable(place) : null;
        if (link != null) {
            counters.connectionsReused++;
            if (!trySend(link, attempt, cargo)) { link.close(); }
            return;
        }
        if (connections - closing >= maxConnections && !closeOneIdle()) {
            // Keeps to the descriptor limit: nothing was sent, so the module may try another backend.
            sockets.loop().defer(() -> attemptEnded(attempt, Attempt.Result.of(Api.Outcome.CONNECT_FAILED)));
            return;
        }
        if (allowance != null) {
            startWithAllowance(place, attempt, cargo);
            return;
        }
        Deadlines deadlines = sockets.loop().deadlines();
        double now = sockets.loop().now();
        WaitingAttempt wait = new WaitingAttempt(attempt, cargo);
        place.waiting.addLast(wait);
        attempt.abort = () -> stopWaiting(place, wait);
        wait.limit = deadlines.schedule(now + dialMs, () -> failWaiting(place, wait));
        // A lost handshake often affects one dial only: a second one in parallel succeeds sooner than the first would fail.
        wait.secondDial = deadlines.schedule(now + dialMs * SECOND_DIAL_FRACTION, () -> {
            if (!wait.done && connections < maxConnections) { dial(place, wait); }
        });
        dial(place, wait);
    }

    /** Hands an attempt to a connection; false if it may no longer be sent, and then it ends as never sent. */
    private boolean trySend(BackendConnection link, Attempt attempt, ByteBuffer... cargo) {
        double now = sockets.loop().now();
        if (attempt.handToSocket(now)) {
            link.send(attempt, cargo);
            return true;
        }
        Api.Outcome never = attempt.isTooLateToWrite(now) ? Api.Outcome.CONNECT_FAILED : Api.Outcome.NOT_SENT;
        sockets.loop().defer(() -> attemptEnded(attempt, Attempt.Result.of(never)));
        return false;
    }

    private void dial(PooledBackend place, WaitingAttempt owner) {
        long backend = owner.attempt.backend;
        Dial dial = new Dial(owner);
        connections++;
        place.open++;
        counters.connectionsOpened++;
        place.dials.addLast(dial);
        Runnable giveUp = sockets.connect(place.address, Math.max(dialMs, ORPHAN_DIAL_TIMEOUT_MS), channel -> {
            place.dials.remove(dial);
            BackendConnection fresh = new BackendConnection(this, place, backend);
            fresh.open(channel);
            assignNewConnection(fresh, dial.owner);
        }, () -> {
            recordClosed(place, backend, false);
            place.dials.remove(dial);
            if (!dial.owner.done) { failWaiting(place, dial.owner); }
        });
        dial.cancel = () -> {
            recordClosed(place, backend, false);
            place.dials.remove(dial);
            giveUp.run();
        };
    }

    /** Gives a new connection to the attempt that dialled it, else to the longest waiting one, else keeps it idle. */
    private void assignNewConnection(BackendConnection link, WaitingAttempt owner) {
        PooledBackend place = link.pooledBackend;
        for (WaitingAttempt next = owner.done ? place.waiting.peek() : owner; next != null; next = place.waiting.peek()) {
            stopWaiting(place, next);
            if (trySend(link, next.attempt, next.cargo)) { return; }
        }
        if (acceptsAttempts(place, link.backend) && place.idle.size() < MAX_ORPHAN_DIALS && !link.isUsed()) {
            link.idleSinceMs = sockets.loop().now();
            place.idle.addLast(link);
        } else {
            link.close();
        }
    }

    /** Removes a waiting attempt; up to {@code MOST_LATE} dials without an owner may still complete. */
    private void stopWaiting(PooledBackend place, WaitingAttempt wait) {
        wait.done = true;
        sockets.loop().deadlines().cancel(wait.limit);
        sockets.loop().deadlines().cancel(wait.secondDial);
        place.waiting.remove(wait);
        long late = place.dials.stream().filter(dial -> dial.owner.done).count();
        for (Dial dial : late > MAX_ORPHAN_DIALS ? List.copyOf(place.dials) : List.<Dial>of()) {
            if (dial.owner.done && late-- > MAX_ORPHAN_DIALS) { dial.cancel.run(); }
        }
    }

    private void failWaiting(PooledBackend place, WaitingAttempt wait) {
        stopWaiting(place, wait);
        counters.connectionsFailed++;
        attemptEnded(wait.attempt, Attempt.Result.of(Api.Outcome.CONNECT_FAILED));
    }

    /** Gives a connection that may be reused again to an attempt that waits for a dial. */
    private void serveWaiting(PooledBackend place) {
        if (place.waiting.isEmpty() || prefersNewConnections()) { return; }
        BackendConnection link = takeReusable(place);
        if (link == null) { return; }
        counters.connectionsReused++;
        assignNewConnection(link, place.waiting.peek());
    }

    /**
     * Dials under an allowance, where each connection counts until both ends have closed it. If none may be dialled, an idle
     * connection is reused without waiting. An abandoned dial continues, since the backend may have accepted it, and then closes.
     */
    private void startWithAllowance(PooledBackend place, Attempt attempt, ByteBuffer... cargo) {
        if (!allowance.tryAcquire(attempt.backend)) {
            BackendConnection resting = place.idle.pollFirst();
            if (resting == null) {                   // the module checks this beforehand; only a change within this task leads here
                sockets.loop().defer(() -> attemptEnded(attempt, Attempt.Result.of(Api.Outcome.NOT_SENT)));
            } else {
                counters.connectionsReused++;
                if (!trySend(resting, attempt, cargo)) { resting.close(); }
            }
            return;
        }
        connections++;
        place.open++;
        counters.connectionsOpened++;
        place.dialling.add(attempt);
        boolean[] dropped = new boolean[1];
        Runnable drop = () -> {
            dropped[0] = true;
            place.dialling.remove(attempt);
            recordClosing(place, attempt.backend);
        };
        Deadlines.Entry limit = sockets.loop().deadlines().schedule(sockets.loop().now() + dialMs, () -> {
            if (dropped[0]) { return; }
            drop.run();
            counters.connectionsFailed++;
            attemptEnded(attempt, Attempt.Result.of(Api.Outcome.CONNECT_FAILED));
        });
        sockets.dial(place.address, channel -> {
            sockets.loop().deadlines().cancel(limit);
            if (dropped[0]) {
                BackendConnection.discard(this, channel, () -> recordClosed(place, attempt.backend, true));
                return;
            }
            place.dialling.remove(attempt);
            BackendConnection fresh = new BackendConnection(this, place, attempt.backend);
            fresh.open(channel);
            if (!trySend(fresh, attempt, cargo)) { returnIdle(fresh); }
        }, () -> {
            sockets.loop().deadlines().cancel(limit);
            recordClosed(place, attempt.backend, dropped[0]);
            if (dropped[0]) { return; }
            place.dialling.remove(attempt);
            counters.connectionsFailed++;
            attemptEnded(attempt, Attempt.Result.of(Api.Outcome.CONNECT_FAILED));
        });
        attempt.abort = () -> {
            sockets.loop().deadlines().cancel(limit);
            drop.run();
        };
    }

    /** Closes a connection locally. */
    void closeLocally(PooledBackend place, long backend, Connection link) {
        if (allowance == null) {
            recordClosed(place, backend, false);
            link.close();
            return;
        }
        recordClosing(place, backend);
        link.shutdownAndAwaitPeer(() -> recordClosed(place, backend, true));
    }

    private void recordClosing(PooledBackend place, long backend) {
        place.closing++;
        closing++;
        allowance.closing(backend);
    }

    /** A connection is closed, or a dial has failed. */
    void recordClosed(PooledBackend place, long backend, boolean wasLeaving) {
        connections--;
        place.open--;
        if (wasLeaving) {
            place.closing--;
            closing--;
        }
        if (allowance != null) { allowance.closed(backend, wasLeaving); }
    }

    /** Records whether an attempt was lost with its connection. */
    void recordLoss(boolean kept, boolean lost) {
        double now = lost ? 1 : 0;
        if (kept) { reusedLossRate += LOSS_WEIGHT * (now - reusedLossRate); } else { newLossRate += LOSS_WEIGHT * (now - newLossRate); }
    }

    /**
     * Whether reused connections lose clearly more attempts than new ones. Some backends, or proxies before them, reset a kept
     * connection at its next request, which may have run by then. A new connection costs a handshake, but a refused one proves
     * that nothing ran.
     */
    private boolean prefersNewConnections() { return reusedLossRate > newLossRate + LOSS_TOLERANCE; }

    /**
     * Takes the most recently used connection that has been idle for {@code SETTLED_MS}. A duplicate or stray bytes right behind
     * a response would otherwise be taken for the response to the next command.
     */
    private BackendConnection takeReusable(PooledBackend place) {
        double before = sockets.loop().now() - MIN_IDLE_MS;
        for (Iterator<BackendConnection> all = place.idle.descendingIterator(); all.hasNext();) {
            BackendConnection link = all.next();
            if (link.idleSinceMs <= before) {
                all.remove();
                return link;
            }
        }
        return null;
    }

    private boolean closeOneIdle() {
        for (PooledBackend place : pooledBackends.values()) {        // a dial that may never succeed is closed first
            Dial oldest = place.dials.peek();
            if (oldest != null && oldest.owner.done && place.waiting.isEmpty()) {
                oldest.cancel.run();
                return true;
            }
        }
        for (PooledBackend place : pooledBackends.values()) {
            BackendConnection oldest = place.idle.pollFirst();
            if (oldest != null) {
                oldest.close();
                return true;
            }
        }
        return false;
    }

    ResponseStream beginStream(Attempt attempt, long length) { return ingress.beginStream(attempt, length); }

    void attemptWritten(Attempt attempt) { ingress.attemptWritten(attempt); }

    void attemptEnded(Attempt attempt, Attempt.Result result) { ingress.attemptEnded(attempt, result); }

    /** An attempt completed normally: its connection becomes idle. */
    void returnIdle(BackendConnection link) {
        link.idleSinceMs = sockets.loop().now();
        boolean enough = prefersNewConnections() && !link.pooledBackend.idle.isEmpty() || allowance != null && allowance.isSurplus(link.backend);
        if (acceptsAttempts(link.pooledBackend, link.backend) && !enough) {
            link.pooledBackend.idle.addLast(link);
            if (!link.pooledBackend.waiting.isEmpty()) {
                sockets.loop().deadlines().schedule(link.idleSinceMs + MIN_IDLE_MS, () -> serveWaiting(link.pooledBackend));
            }
        } else {
            link.close();
        }
    }

    private void closeExpiredIdle() {
        double now = sockets.loop().now();
        sockets.loop().deadlines().schedule(now + IDLE_CHECK_INTERVAL_MS, this::closeExpiredIdle);
        for (PooledBackend place : pooledBackends.values()) {
            for (Iterator<BackendConnection> all = place.idle.iterator(); all.hasNext();) {
                BackendConnection link = all.next();
                if (now - link.idleSinceMs < maxIdleMs) { break; }
                all.remove();
                link.close();
            }
        }
    }
}

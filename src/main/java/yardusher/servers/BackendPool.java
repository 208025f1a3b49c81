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
 * Connections to all backends. One attempt at a time on each: answers come in order, so a slow one would hold up
 * those behind it, and giving one up closes the connection. The most recently used is taken first.
 */
public final class BackendPool implements Backends {
    private static final double MAX_IDLE_FRACTION = 0.7;  // of the told idle time: never race the backend's own close
    private static final double IDLE_CHECK_INTERVAL_MS = 1000;
    private static final double MIN_IDLE_MS = 30;     // a connection rests so long before it is used again
    private static final double ORPHAN_DIAL_TIMEOUT_MS = 2000;      // a dial that nobody waits for any more may come up so long after it began
    private static final int MAX_ORPHAN_DIALS = 2;          // such dials, and connections kept from them, at each backend
    private static final double SECOND_DIAL_FRACTION = 0.2;   // of the dial's time: then a second one is begun beside it
    private static final double LOSS_WEIGHT = 0.05;        // weight of one attempt in what connections are held to lose
    private static final double LOSS_TOLERANCE = 0.05;        // kept ones may lose so much more than new ones
    private static final int REUSE_PROBE_INTERVAL = 8;              // else one in so many attempts tries a kept one all the same

    final Sockets sockets;
    final Counters counters;
    final double stallMs;
    private final double dialMs;
    private final double maxIdleMs;
    private int maxConnections;
    final List<Api.Metric> report;
    private final Map<Long, PooledBackend> pooledBackends = new HashMap<>();
    private final Set<Long> banned = new HashSet<>(); // by hand
    private double reusedLossRate;                         // part of the attempts lost, lately, on kept connections
    private double newLossRate;                          // and on new ones
    private int startedAttempts;
    private Ingress ingress;
    private ConnectionAllowance allowance;                     // null where connections are not divided
    int connections;
    private int closing;                             // of those, closed from this side and not yet by the backend

    /** A backend of the service table, the connections that stand idle there, and the attempts that wait for one. */
    static final class PooledBackend {
        InetSocketAddress address;
        boolean draining;
        final ArrayDeque<BackendConnection> idle = new ArrayDeque<>();
        final Set<Attempt> dialling = new HashSet<>(); // where connections are divided
        final ArrayDeque<WaitingAttempt> waiting = new ArrayDeque<>(); // the longest first
        final ArrayDeque<Dial> dials = new ArrayDeque<>(); // the oldest first
        int open;                                    // connections, from before the dial to the end
        int closing;

        PooledBackend(InetSocketAddress address) { this.address = address; }
    }

    /** An attempt that waits for a connection of its backend, whichever comes first. */
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

    /** A connection on its way, for the attempt that asked for it, or whoever waits when it comes up. */
    private static final class Dial {
        final WaitingAttempt owner;
        Runnable cancel;

        Dial(WaitingAttempt owner) { this.owner = owner; }
    }

    /** {@code stallMs}: a large value of which nothing moves for so long is given up. */
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

    /** How many connections are held at the most; idle ones beyond that close. */
    public void setMaxConnections(int max) {
        maxConnections = max;
        while (connections - closing > maxConnections && closeOneIdle()) { /* one by one */ }
    }

    /** Connections held, also those on their way up or down. */
    public int connectionCount() { return connections; }

    /** From now on no connection is opened without a word of this; before any is. */
    public void setAllowance(ConnectionAllowance by) { allowance = by; }

    /** Connections to a backend that carry an attempt, or are dialled for one. */
    public int busyConnections(long backend) {
        PooledBackend place = pooledBackends.get(backend);
        return place == null ? 0 : place.open - place.closing - place.idle.size();
    }

    /** Closes so many connections of a backend that stand idle, the longest idle first; the result says how many there were. */
    public int closeIdle(long backend, int count) {
        PooledBackend place = pooledBackends.get(backend);
        int closed = 0;
        for (BackendConnection link; place != null && closed < count && (link = place.idle.pollFirst()) != null; closed++) { link.close(); }
        return closed;
    }

    public void setIngress(Ingress core) { ingress = core; }

    /** The service table names a backend, at this address now. */
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
     * A backend drains or is gone: what stands idle there is closed at once, and what is still being dialled has sent
     * nothing and goes elsewhere. Guards against a dial that comes up after the grace of a drain, and is then written to.
     */
    public void retire(long backend, boolean remove) {
        PooledBackend place = remove ? pooledBackends.remove(backend) : pooledBackends.get(backend);
        if (place == null) { return; }
        place.draining = true;
        dropIdle(place);
        dropDialling(place);
    }

    /** Told once this turn's news have reached the module: it must not choose by the list before. */
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
     * A backend is kept out by hand, or no longer. What is out there already ends as in a drain; what is still being
     * dialled has sent nothing and ends at once.
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

    /** Whether attempts may begin there: it is listed, does not drain, and is not out by hand. */
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
            // Guards the descriptor limit: past the budget nothing was sent, so the module may go elsewhere.
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
        // A dial that does not come up is often lost alone: a second one beside it comes up sooner than the first would fail.
        wait.secondDial = deadlines.schedule(now + dialMs * SECOND_DIAL_FRACTION, () -> {
            if (!wait.done && connections < maxConnections) { dial(place, wait); }
        });
        dial(place, wait);
    }

    /** Hands an attempt to a connection; false where nothing of it may be sent any more, and it ends as never sent. */
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

    /** A new connection goes to who asked for it, else to who has waited for longest, else it is kept: it has cost its dial. */
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

    /** An attempt waits no more; dials that nobody waits for may still come up, as many as are of use. */
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

    /** A connection has rested: who waits for a dial has it instead. */
    private void serveWaiting(PooledBackend place) {
        if (place.waiting.isEmpty() || prefersNewConnections()) { return; }
        BackendConnection link = takeReusable(place);
        if (link == null) { return; }
        counters.connectionsReused++;
        assignNewConnection(link, place.waiting.peek());
    }

    /**
     * Dials where each connection counts until its very end. One that has just answered is used rather than none; a dial that is
     * given up goes on, since a backend may have accepted it already, and closes once it is there.
     */
    private void startWithAllowance(PooledBackend place, Attempt attempt, ByteBuffer... cargo) {
        if (!allowance.tryAcquire(attempt.backend)) {
            BackendConnection resting = place.idle.pollFirst();
            if (resting == null) {                   // known before the choice, but for what this very turn changed
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

    /** A connection is closed from this side. */
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

    /** A connection is over, or a dial came to nothing. */
    void recordClosed(PooledBackend place, long backend, boolean wasLeaving) {
        connections--;
        place.open--;
        if (wasLeaving) {
            place.closing--;
            closing--;
        }
        if (allowance != null) { allowance.closed(backend, wasLeaving); }
    }

    /** How an attempt's connection ended, or that it did not. */
    void recordLoss(boolean kept, boolean lost) {
        double now = lost ? 1 : 0;
        if (kept) { reusedLossRate += LOSS_WEIGHT * (now - reusedLossRate); } else { newLossRate += LOSS_WEIGHT * (now - newLossRate); }
    }

    /**
     * Guards against backends, or what stands before them, that reset a kept connection at its next request: each
     * time it may have run. A new connection costs a handshake, and one that is refused proves that nothing ran.
     */
    private boolean prefersNewConnections() { return reusedLossRate > newLossRate + LOSS_TOLERANCE; }

    /**
     * The most recently used connection that has rested. Guards against a second copy or noise right behind an
     * answer: it would be taken for the answer to what is written next.
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
        for (PooledBackend place : pooledBackends.values()) {        // a dial that may never come up gives way first
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

    /** An attempt ended in order: its connection waits for the next. */
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

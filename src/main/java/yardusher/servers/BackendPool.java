package yardusher.servers;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Comparator;
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
import yardusher.net.ConnectFailure;
import yardusher.net.Connecting;
import yardusher.net.Connection;
import yardusher.net.MemoryBudgets;
import yardusher.net.ReplyBudget;
import yardusher.net.Sockets;

/**
 * Connections to all backends. Each carries one attempt at a time: responses arrive in order, so a slow one would delay
 * those behind it, and cancelling an attempt closes the connection. The most recently used idle connection is taken first.
 */
public final class BackendPool implements Backends {
    private static final double MAX_IDLE_FRACTION = 0.7; // fraction of the configured idle time, so as not to race the backend's own close
    private static final double IDLE_CHECK_INTERVAL_MS = 1000;
    private static final double MIN_IDLE_MS = 30;    // an idle connection is not reused before this time
    private static final double ORPHAN_DIAL_TIMEOUT_MS = 2000; // time limit of a dial that no attempt waits for any more
    private static final int MAX_ORPHAN_DIALS = 2;   // such dials, and idle connections kept from them, per backend
    private static final double SECOND_DIAL_FRACTION = 0.2; // fraction of the dial timeout after which a second dial starts in parallel
    private static final double MAX_POLL_LAG_MS = 50; // a process that handles input later than this is too busy to blame a backend
    private static final double MAX_UNSEEN_MS = 50;  // a client that left must not be unseen for over 100 ms when an attempt goes out
    private static final double ROOM_CHECK_MS = 10;  // interval at which a dial waits for room
    private static final double MAX_COMMAND_AGE_MS = 20; // an older command tells its backend more time than is left

    final Sockets sockets;
    final Counters counters;
    final ReplyBudget replyBudget;
    private final double dialMs;
    private final double maxIdleMs;
    private int maxConnections;
    final AnswerParser answerParser;
    private final Map<Long, PooledBackend> pooledBackends = new HashMap<>();
    private final Set<Long> banned = new HashSet<>(); // by an operator
    final ReuseStatistics reuse = new ReuseStatistics();
    private Ingress ingress;
    private ConnectionAllowance allowance;           // null if connections are not limited per backend
    private final Set<BackendConnection> streaming = new HashSet<>(); // those whose value is passed on
    int connections;
    private int closing;                             // of these, closed locally and not yet by the backend

    /** Creates a pool whose values have a budget of their own. */
    public BackendPool(Sockets sockets, Counters counters, List<Api.Metric> report, double dialMs, double idleMs, int maxConnections) {
        this(sockets, counters, report, dialMs, idleMs, maxConnections, MemoryBudgets.ofHeap(Runtime.getRuntime().maxMemory()).replies());
    }

    /** Values that do not fit into the budget are streamed. */
    public BackendPool(Sockets sockets, Counters counters, List<Api.Metric> report, double dialMs, double idleMs, int maxConnections,
            ReplyBudget replyBudget) {
        this.replyBudget = replyBudget;
        this.sockets = sockets;
        this.counters = counters;
        answerParser = new AnswerParser(report, counters);
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

    /** Connections to a backend that carry an attempt, are being dialled for one, or are waited for by one. */
    public int busyConnections(long backend) {
        PooledBackend pooled = pooledBackends.get(backend);
        return pooled == null ? 0 : pooled.open - pooled.closing - pooled.unclaimedIdle();
    }

    /**
     * Closes up to {@code count} idle connections of a backend, the longest idle first, but none that an attempt waits for, and returns
     * the number closed.
     */
    public int closeIdle(long backend, int count) {
        PooledBackend pooled = pooledBackends.get(backend);
        int closed = 0;
        while (pooled != null && closed < count && pooled.unclaimedIdle() > 0) {
            pooled.idle.pollFirst().close();
            closed++;
        }
        return closed;
    }

    public void setIngress(Ingress core) { ingress = core; }

    /** Adds a backend of the service table, or updates its address. */
    public void addOrUpdate(long backend, InetSocketAddress address) {
        PooledBackend pooled = pooledBackends.computeIfAbsent(backend, r -> new PooledBackend(address));
        pooled.draining = false;
        if (!pooled.address.equals(address)) {
            pooled.address = address;
            dropIdle(pooled);
            dropDialling(pooled);
        }
    }

    /**
     * A backend drains or is gone: its idle connections are closed at once, and attempts still being dialled, which have sent
     * nothing, are retried elsewhere. Otherwise a dial could succeed after the grace period of the drain and be written to.
     */
    public void retire(long backend, boolean remove) {
        PooledBackend pooled = remove ? pooledBackends.remove(backend) : pooledBackends.get(backend);
        if (pooled == null) { return; }
        pooled.draining = true;
        dropIdle(pooled);
        dropDialling(pooled);
    }

    /** Reports the failures after the current event-loop task, so that the module does not choose by the outdated list. */
    private void dropDialling(PooledBackend pooled) {
        for (Attempt attempt : Set.copyOf(pooled.dialling)) {
            attempt.abort.run();
            attempt.abort = () -> { };
            sockets.loop().defer(() -> attemptEnded(attempt, Attempt.Result.of(Api.Outcome.CONNECT_FAILED)));
        }
        for (WaitingAttempt waiting; (waiting = pooled.waiting.peek()) != null;) {
            Attempt attempt = waiting.attempt;
            stopWaiting(pooled, waiting);
            sockets.loop().defer(() -> attemptEnded(attempt, Attempt.Result.of(Api.Outcome.CONNECT_FAILED)));
        }
        for (Dial dial; (dial = pooled.dials.peek()) != null;) { dial.cancel.run(); }
    }

    private void dropIdle(PooledBackend pooled) {
        for (BackendConnection connection; (connection = pooled.idle.poll()) != null;) { connection.close(); }
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
        PooledBackend pooled = pooledBackends.get(backend);
        if (!banned.add(backend) || pooled == null) { return; }
        dropIdle(pooled);
        dropDialling(pooled);
    }

    @Override
    public boolean isAvailable(long backend) { return acceptsAttempts(pooledBackends.get(backend), backend); }

    /** Whether attempts may start there: the backend is listed, not draining and not banned. */
    private boolean acceptsAttempts(PooledBackend pooled, long backend) {
        return pooled != null && pooledBackends.get(backend) == pooled && !pooled.draining && !banned.contains(backend);
    }

    @Override
    public void start(Attempt attempt, ByteBuffer... cargo) {
        PooledBackend pooled = pooledBackends.get(attempt.backend);
        if (attempt.number > 0) {                    // its client may have left meanwhile, which lies unread then
            startOnceInputIsHandled(pooled, sockets.loop().now(), attempt, cargo);
            return;
        }
        startNow(pooled, attempt, cargo);
    }

    @Override
    public void onceInputIsHandled(Runnable task) { sockets.pollBarrier().await(sockets.loop().now(), task); }

    private void startNow(PooledBackend pooled, Attempt attempt, ByteBuffer... cargo) {
        boolean mayReuse = reuse.mayReuse();
        if (mayReuse && startOnReusable(pooled, attempt, cargo)) { return; }
        BackendConnection rested = mayReuse ? lastRested(pooled) : null;
        if (rested == null) {
            startOnNewConnection(pooled, attempt, cargo);
        } else {
            startOnceRested(pooled, rested.idleSinceMs + MIN_IDLE_MS, attempt, cargo);
        }
    }

    /** Starts an attempt once all input is handled that has arrived by now, among it the end of its client's connection. */
    private void startOnceInputIsHandled(PooledBackend pooled, double nowMs, Attempt attempt, ByteBuffer... cargo) {
        awaitInput(pooled, nowMs, attempt, () -> {
            if (acceptsAttempts(pooled, attempt.backend)) {
                startNow(pooled, attempt, cargo);
            } else {
                attemptEnded(attempt, Attempt.Result.of(Api.Outcome.NOT_SENT));
            }
        }, cargo);
    }

    private boolean startOnReusable(PooledBackend pooled, Attempt attempt, ByteBuffer... cargo) {
        BackendConnection connection = takeReusable(pooled);
        if (connection == null) { return false; }
        counters.connectionsReused++;
        if (!trySend(connection, attempt, cargo)) { connection.close(); }
        return true;
    }

    /** Starts an attempt once the input up to {@code untilMs} is handled: then an idle connection may be reusable. */
    private void startOnceRested(PooledBackend pooled, double untilMs, Attempt attempt, ByteBuffer... cargo) {
        awaitInput(pooled, untilMs, attempt, () -> {
            if (!startOnReusable(pooled, attempt, cargo)) { startOnNewConnection(pooled, attempt, cargo); }
        }, cargo);
    }

    private void awaitInput(PooledBackend pooled, double untilMs, Attempt attempt, Runnable onHandled, ByteBuffer... cargo) {
        WaitingAttempt waiting = new WaitingAttempt(attempt, cargo);
        pooled.waiting.addLast(waiting);
        attempt.abort = () -> stopWaiting(pooled, waiting);
        attempt.heldUpLocally = () -> true;
        sockets.pollBarrier().await(untilMs, () -> {
            if (waiting.done) { return; }
            stopWaiting(pooled, waiting);
            attempt.abort = () -> { };
            onHandled.run();
        });
    }

    private void startOnNewConnection(PooledBackend pooled, Attempt attempt, ByteBuffer... cargo) {
        if (allowance != null) {
            if (!hasRoom()) {                        // keeps to the descriptor limit; no backend is at fault
                sockets.loop().defer(() -> attemptEnded(attempt, Attempt.Result.of(Api.Outcome.LOCAL_FAILURE)));
                return;
            }
            startWithAllowance(pooled, attempt, cargo);
            return;
        }
        Deadlines deadlines = sockets.loop().deadlines();
        double now = sockets.loop().now();
        WaitingAttempt waiting = new WaitingAttempt(attempt, cargo);
        pooled.waiting.addLast(waiting);
        attempt.abort = () -> stopWaiting(pooled, waiting);
        attempt.heldUpLocally = () -> isHeldUpLocally(pooled, waiting);
        waiting.limit = deadlines.schedule(now + dialMs, () -> failOnceInputIsHandled(pooled, waiting));
        if (!hasRoom()) {
            waiting.waitsForRoom = true;
            dialOnceThereIsRoom(pooled, waiting);
            return;
        }
        // A lost handshake often affects one dial only: a second one in parallel succeeds sooner than the first would fail.
        waiting.secondDial = deadlines.schedule(now + dialMs * SECOND_DIAL_FRACTION, () -> {
            if (waiting.done) { return; }
            measurePollLag(waiting);
            if (connections < maxConnections) { dial(pooled, waiting); }
        });
        dial(pooled, waiting);
    }

    /** Finds out how long what has arrived waits in this process until it is handled. */
    private void measurePollLag(WaitingAttempt waiting) {
        double begunAtMs = sockets.loop().now();
        waiting.pollLagMs = Double.POSITIVE_INFINITY;
        sockets.pollBarrier().await(begunAtMs, () -> waiting.pollLagMs = sockets.loop().now() - begunAtMs);
    }

    /** No connection has come up in time; but one may have, while this process was too busy to notice. */
    private void failOnceInputIsHandled(PooledBackend pooled, WaitingAttempt waiting) {
        sockets.pollBarrier().await(sockets.loop().now(), () -> {
            if (waiting.done) { return; }
            failWaiting(pooled, waiting, isHeldUpLocally(pooled, waiting) ? ConnectFailure.LOCAL : ConnectFailure.PEER);
        });
    }

    /** Whether one more connection may be opened; may close an idle one for it, or one whose value has been silent for long. */
    private boolean hasRoom() { return connections - closing < maxConnections || closeOneIdle() || closeOneSilent(); }

    /** Ends the value that has been silent for longest, if that is long enough. What lies unread while this process is held up is no silence. */
    private boolean closeOneSilent() {
        BackendConnection silent = streaming.stream().min(Comparator.comparingDouble(one -> one.passedOn().silentSinceMs())).orElse(null);
        if (silent == null || !silent.passedOn().mayGiveWay(sockets.pollBarrier().handledUpToMs())) { return false; }
        silent.giveWay();
        return true;
    }

    void streamBegan(BackendConnection connection) { streaming.add(connection); }

    void streamEnded(BackendConnection connection) { streaming.remove(connection); }

    private void dialOnceThereIsRoom(PooledBackend pooled, WaitingAttempt waiting) {
        Deadlines deadlines = sockets.loop().deadlines();
        waiting.secondDial = deadlines.schedule(sockets.loop().now() + ROOM_CHECK_MS, () -> {
            if (waiting.done) { return; }
            if (!hasRoom()) {
                dialOnceThereIsRoom(pooled, waiting);
                return;
            }
            waiting.waitsForRoom = false;
            dial(pooled, waiting);
        });
    }

    /** Whether a lack on this machine, and not the backend, keeps a waiting attempt from its connection. */
    private static boolean isHeldUpLocally(PooledBackend pooled, WaitingAttempt waiting) {
        if (waiting.waitsForRoom || waiting.pollLagMs > MAX_POLL_LAG_MS) { return true; }
        for (Dial dial : pooled.dials) {
            if (dial.owner == waiting && dial.connecting != null && !dial.connecting.isHeldUpLocally()) { return false; }
        }
        return pooled.dials.stream().anyMatch(dial -> dial.owner == waiting);
    }

    /** Hands an attempt to a connection; false if it may no longer be sent, and then it ends as never sent. */
    private boolean trySend(BackendConnection connection, Attempt attempt, ByteBuffer... cargo) {
        double now = sockets.loop().now();
        if (attempt.handToSocket(now)) {
            connection.send(attempt, now - attempt.sentAtMs > MAX_COMMAND_AGE_MS ? attempt.commandAt(now) : cargo);
            return true;
        }
        Api.Outcome late = attempt.heldUpLocally.getAsBoolean() ? Api.Outcome.LOCAL_FAILURE : Api.Outcome.CONNECT_FAILED;
        Api.Outcome outcome = attempt.isTooLateToWrite(now) ? late : Api.Outcome.NOT_SENT;
        sockets.loop().defer(() -> attemptEnded(attempt, Attempt.Result.of(outcome)));
        return false;
    }

    private void dial(PooledBackend pooled, WaitingAttempt owner) {
        long backend = owner.attempt.backend;
        Dial dial = new Dial(owner);
        connections++;
        pooled.open++;
        counters.connectionsOpened++;
        pooled.dials.addLast(dial);
        dial.connecting = sockets.beginConnect(pooled.address, Math.max(dialMs, ORPHAN_DIAL_TIMEOUT_MS), channel -> {
            pooled.dials.remove(dial);
            BackendConnection created = new BackendConnection(this, pooled, backend);
            created.open(channel);
            assignOnceInputIsHandled(created, dial.owner);
        }, failure -> {
            recordClosed(pooled, backend, false);
            pooled.dials.remove(dial);
            if (!dial.owner.done) { failWaiting(pooled, dial.owner, failure); }
        });
        dial.cancel = () -> {
            recordClosed(pooled, backend, false);
            pooled.dials.remove(dial);
            dial.connecting.cancel();
        };
    }

    /** An attempt that has waited for long goes out only once it is known that its client has not left meanwhile. */
    private void assignOnceInputIsHandled(BackendConnection connection, WaitingAttempt owner) {
        double nowMs = sockets.loop().now();
        WaitingAttempt first = owner.done ? connection.pooledBackend.waiting.peek() : owner;
        if (first == null || nowMs - first.attempt.sentAtMs <= MAX_UNSEEN_MS) {
            assignNewConnection(connection, owner);
            return;
        }
        sockets.pollBarrier().await(nowMs, () -> {
            if (!connection.isClosed()) { assignNewConnection(connection, owner); }
        });
    }

    /** Gives a new connection to the attempt that dialled it, else to the longest waiting one, else keeps it idle. */
    private void assignNewConnection(BackendConnection connection, WaitingAttempt owner) {
        PooledBackend pooled = connection.pooledBackend;
        for (WaitingAttempt next = owner.done ? pooled.waiting.peek() : owner; next != null; next = pooled.waiting.peek()) {
            stopWaiting(pooled, next);
            if (trySend(connection, next.attempt, next.command)) { return; }
        }
        if (acceptsAttempts(pooled, connection.backend) && pooled.idle.size() < MAX_ORPHAN_DIALS && !connection.isUsed()) {
            connection.idleSinceMs = sockets.loop().now();
            pooled.idle.addLast(connection);
        } else {
            connection.close();
        }
    }

    /** Removes a waiting attempt; up to {@code MAX_ORPHAN_DIALS} dials without an owner may still complete. */
    private void stopWaiting(PooledBackend pooled, WaitingAttempt waiting) {
        waiting.done = true;
        sockets.loop().deadlines().cancel(waiting.limit);
        sockets.loop().deadlines().cancel(waiting.secondDial);
        pooled.waiting.remove(waiting);
        long late = pooled.dials.stream().filter(dial -> dial.owner.done).count();
        for (Dial dial : late > MAX_ORPHAN_DIALS ? List.copyOf(pooled.dials) : List.<Dial>of()) {
            if (dial.owner.done && late-- > MAX_ORPHAN_DIALS) { dial.cancel.run(); }
        }
    }

    private void failWaiting(PooledBackend pooled, WaitingAttempt waiting, ConnectFailure failure) {
        stopWaiting(pooled, waiting);
        connectFailed(waiting.attempt, failure);
    }

    /** No connection came up for an attempt. */
    private void connectFailed(Attempt attempt, ConnectFailure failure) {
        if (failure == ConnectFailure.LOCAL) {
            attemptEnded(attempt, Attempt.Result.of(Api.Outcome.LOCAL_FAILURE));
            return;
        }
        counters.connectionsFailed++;
        attemptEnded(attempt, Attempt.Result.of(Api.Outcome.CONNECT_FAILED));
    }

    /** Gives a connection that may be reused again to an attempt that waits for a dial. */
    private void serveWaiting(PooledBackend pooled) {
        if (pooled.waiting.isEmpty() || reuse.prefersNewConnections()) { return; }
        BackendConnection connection = takeReusable(pooled);
        if (connection == null) { return; }
        counters.connectionsReused++;
        assignNewConnection(connection, pooled.waiting.peek());
    }

    private void serveWaitingOnceInputIsHandled(PooledBackend pooled, double untilMs) {
        if (pooled.waiting.isEmpty()) { return; }
        sockets.pollBarrier().await(untilMs, () -> serveWaiting(pooled));
    }

    /**
     * Dials under an allowance, where each connection counts until both ends have closed it. An abandoned dial continues, since the
     * backend may have accepted it, and then closes.
     */
    private void startWithAllowance(PooledBackend pooled, Attempt attempt, ByteBuffer... cargo) {
        if (allowance.tryAcquire(attempt.backend)) {
            dialWithAllowance(pooled, attempt, cargo);
        } else {
            startOnceConnectionIsFree(pooled, attempt, cargo);
        }
    }

    /** No connection may be dialled: waits until one has rested or may be dialled, for as long as a dial may take. */
    private void startOnceConnectionIsFree(PooledBackend pooled, Attempt attempt, ByteBuffer... cargo) {
        WaitingAttempt waiting = new WaitingAttempt(attempt, cargo);
        pooled.waiting.addLast(waiting);
        attempt.abort = () -> stopWaiting(pooled, waiting);
        attempt.heldUpLocally = () -> true;
        double nowMs = sockets.loop().now();
        waiting.limit = sockets.loop().deadlines().schedule(nowMs + dialMs, () -> failWaiting(pooled, waiting, ConnectFailure.LOCAL));
        BackendConnection first = pooled.idle.peekFirst();
        double checkAtMs = first == null ? nowMs + ROOM_CHECK_MS : Math.max(nowMs, first.idleSinceMs + MIN_IDLE_MS);
        checkForFreeConnectionAt(checkAtMs, pooled, waiting);
    }

    private void checkForFreeConnectionAt(double atMs, PooledBackend pooled, WaitingAttempt waiting) {
        waiting.secondDial = sockets.loop().deadlines().schedule(atMs,
                () -> sockets.pollBarrier().await(atMs, () -> startIfConnectionIsFree(pooled, waiting)));
    }

    private void startIfConnectionIsFree(PooledBackend pooled, WaitingAttempt waiting) {
        if (waiting.done) { return; }
        BackendConnection rested = takeReusable(pooled);
        if (rested != null) {
            counters.connectionsReused++;
            assignNewConnection(rested, waiting);
        } else if (connections - closing < maxConnections && allowance.tryAcquire(waiting.attempt.backend)) {
            stopWaiting(pooled, waiting);
            dialWithAllowance(pooled, waiting.attempt, waiting.command);
        } else {
            checkForFreeConnectionAt(sockets.loop().now() + ROOM_CHECK_MS, pooled, waiting);
        }
    }

    private void dialWithAllowance(PooledBackend pooled, Attempt attempt, ByteBuffer... cargo) {
        connections++;
        pooled.open++;
        counters.connectionsOpened++;
        pooled.dialling.add(attempt);
        boolean[] dropped = new boolean[1];
        Connecting[] connecting = new Connecting[1];
        Runnable drop = () -> {
            dropped[0] = true;
            pooled.dialling.remove(attempt);
            recordClosing(pooled, attempt.backend);
            connecting[0].abandon();
        };
        attempt.heldUpLocally = () -> !dropped[0] && connecting[0] != null && connecting[0].isHeldUpLocally();
        boolean[] ended = new boolean[1];
        Deadlines.Entry limit = sockets.loop().deadlines().schedule(sockets.loop().now() + dialMs,
                () -> sockets.pollBarrier().await(sockets.loop().now(), () -> {
                    if (dropped[0] || ended[0]) { return; }
                    ConnectFailure failure = attempt.heldUpLocally.getAsBoolean() ? ConnectFailure.LOCAL : ConnectFailure.PEER;
                    drop.run();
                    connectFailed(attempt, failure);
                }));
        connecting[0] = sockets.dial(pooled.address, channel -> {
            ended[0] = true;
            sockets.loop().deadlines().cancel(limit);
            if (dropped[0]) {
                BackendConnection.discard(this, channel, () -> recordClosed(pooled, attempt.backend, true));
                return;
            }
            pooled.dialling.remove(attempt);
            BackendConnection created = new BackendConnection(this, pooled, attempt.backend);
            created.open(channel);
            sendOnceInputIsHandled(created, attempt, cargo);
        }, failure -> {
            ended[0] = true;
            sockets.loop().deadlines().cancel(limit);
            recordClosed(pooled, attempt.backend, dropped[0]);
            if (dropped[0]) { return; }
            pooled.dialling.remove(attempt);
            connectFailed(attempt, failure);
        });
        attempt.abort = () -> {
            sockets.loop().deadlines().cancel(limit);
            drop.run();
        };
    }

    private void sendOnceInputIsHandled(BackendConnection connection, Attempt attempt, ByteBuffer... cargo) {
        attempt.abort = connection::close;
        double nowMs = sockets.loop().now();
        double untilMs = nowMs - attempt.sentAtMs > MAX_UNSEEN_MS ? nowMs : Double.NEGATIVE_INFINITY;
        sockets.pollBarrier().await(untilMs, () -> {
            if (connection.isClosed()) {
                attemptEnded(attempt, Attempt.Result.of(Api.Outcome.NOT_SENT));
            } else if (!trySend(connection, attempt, cargo)) {
                returnIdle(connection);
            }
        });
    }

    /** Closes a connection locally. */
    void closeLocally(PooledBackend pooled, long backend, Connection connection) {
        if (allowance == null) {
            recordClosed(pooled, backend, false);
            connection.close();
            return;
        }
        recordClosing(pooled, backend);
        connection.shutdownAndAwaitPeer(() -> recordClosed(pooled, backend, true));
    }

    private void recordClosing(PooledBackend pooled, long backend) {
        pooled.closing++;
        closing++;
        allowance.closing(backend);
    }

    /** A connection is closed, or a dial has failed. */
    void recordClosed(PooledBackend pooled, long backend, boolean wasLeaving) {
        connections--;
        pooled.open--;
        if (wasLeaving) {
            pooled.closing--;
            closing--;
        }
        if (allowance != null) { allowance.closed(backend, wasLeaving); }
    }

    /**
     * Takes the most recently used connection of which it is certain that nothing came within {@code MIN_IDLE_MS} of its last
     * answer: all input up to then was handled. A duplicate or stray bytes right behind a response would otherwise be taken for
     * the response to the next command.
     */
    private BackendConnection takeReusable(PooledBackend pooled) {
        BackendConnection connection = lastIdleSince(pooled, sockets.pollBarrier().handledUpToMs() - MIN_IDLE_MS);
        if (connection != null) { pooled.idle.remove(connection); }
        return connection;
    }

    /** The most recently used connection that has been idle for {@code MIN_IDLE_MS}; input may have come that is not handled yet. */
    private BackendConnection lastRested(PooledBackend pooled) {
        return lastIdleSince(pooled, sockets.loop().now() - MIN_IDLE_MS);
    }

    /** The most recently used connection that has been idle since this time or longer, and whose reads do not fail; null for none. */
    private static BackendConnection lastIdleSince(PooledBackend pooled, double sinceMs) {
        for (Iterator<BackendConnection> all = pooled.idle.descendingIterator(); all.hasNext();) {
            BackendConnection connection = all.next();
            if (connection.idleSinceMs <= sinceMs && !connection.isReadFailing()) { return connection; }
        }
        return null;
    }

    private boolean closeOneIdle() {
        for (PooledBackend pooled : pooledBackends.values()) { // a dial that may never succeed is closed first
            Dial oldest = pooled.dials.peek();
            if (oldest != null && oldest.owner.done && pooled.waiting.isEmpty()) {
                oldest.cancel.run();
                return true;
            }
        }
        for (PooledBackend pooled : pooledBackends.values()) {
            BackendConnection oldest = pooled.idle.pollFirst();
            if (oldest != null) {
                oldest.close();
                return true;
            }
        }
        return false;
    }

    ResponseStream beginStream(Attempt attempt, long length) { return ingress.beginStream(attempt, length); }

    void answerReceived(Attempt attempt, long bytes, long announced) { ingress.answerReceived(attempt, bytes, announced); }

    void attemptWritten(Attempt attempt) { ingress.attemptWritten(attempt); }

    void attemptEnded(Attempt attempt, Attempt.Result result) { ingress.attemptEnded(attempt, result); }

    /** An attempt completed normally: its connection becomes idle. */
    void returnIdle(BackendConnection connection) {
        connection.idleSinceMs = sockets.loop().now();
        boolean enough = reuse.prefersNewConnections() && !connection.pooledBackend.idle.isEmpty()
                || allowance != null && allowance.isSurplus(connection.backend);
        if (acceptsAttempts(connection.pooledBackend, connection.backend) && !enough) {
            connection.pooledBackend.idle.addLast(connection);
            if (!connection.pooledBackend.waiting.isEmpty()) {
                double restedAtMs = connection.idleSinceMs + MIN_IDLE_MS;
                sockets.loop().deadlines().schedule(restedAtMs,
                        () -> serveWaitingOnceInputIsHandled(connection.pooledBackend, restedAtMs));
            }
        } else {
            connection.close();
        }
    }

    private void closeExpiredIdle() {
        double now = sockets.loop().now();
        sockets.loop().deadlines().schedule(now + IDLE_CHECK_INTERVAL_MS, this::closeExpiredIdle);
        for (PooledBackend pooled : pooledBackends.values()) {
            for (Iterator<BackendConnection> all = pooled.idle.iterator(); all.hasNext();) {
                BackendConnection connection = all.next();
                if (now - connection.idleSinceMs < maxIdleMs) { break; }
                all.remove();
                connection.close();
            }
        }
    }
}

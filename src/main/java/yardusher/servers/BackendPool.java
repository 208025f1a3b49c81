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
    private static final double RETIRED_PART = 0.7;  // fraction of the configured idle time, so as not to race the backend's own close
    private static final double UPKEEP_MS = 1000;
    private static final double SETTLED_MS = 30;     // an idle connection is not reused before this time
    private static final double LATE_MS = 2000;      // time limit of a dial that no attempt waits for any more
    private static final int MOST_LATE = 2;          // such dials, and idle connections kept from them, per backend
    private static final double SECOND_PART = 0.2;   // fraction of the dial timeout after which a second dial starts in parallel
    private static final double NOTED = 0.05;        // weight of one attempt in the moving average of lost attempts
    private static final double WORSE = 0.05;        // tolerated excess of the loss rate of reused connections over that of new ones
    private static final int LOOKS = 8;              // beyond that, one in this many attempts still tries a reused connection

    final Sockets sockets;
    final Counters counters;
    final double stallMs;
    private final double dialMs;
    private final double retireMs;
    private int mostConnections;
    final List<Api.Metric> report;
    private final Map<Long, Place> places = new HashMap<>();
    private final Set<Long> banned = new HashSet<>(); // by an operator
    private double keptLost;                         // recent fraction of attempts lost on reused connections
    private double newLost;                          // and on new connections
    private int begun;
    private Ingress ingress;
    private Allowance allowance;                     // null if connections are not limited per backend
    int connections;
    private int leaving;                             // of these, closed locally and not yet by the backend

    /** A backend of the service table, its idle connections, and the attempts that wait for a connection. */
    static final class Place {
        InetSocketAddress address;
        boolean draining;
        final ArrayDeque<BackendLink> idle = new ArrayDeque<>();
        final Set<Attempt> dialling = new HashSet<>(); // with an allowance only
        final ArrayDeque<Wait> waiting = new ArrayDeque<>(); // the longest waiting first
        final ArrayDeque<Dial> dials = new ArrayDeque<>(); // the oldest first
        int open;                                    // connections, counted from before the dial to the close
        int leaving;

        Place(InetSocketAddress address) { this.address = address; }
    }

    /** An attempt that waits for the next available connection to its backend. */
    private static final class Wait {
        final Attempt attempt;
        final ByteBuffer[] cargo;
        Deadlines.Entry limit;
        Deadlines.Entry second;
        boolean over;

        Wait(Attempt attempt, ByteBuffer... cargo) {
            this.attempt = attempt;
            this.cargo = cargo;
        }
    }

    /** A dial in progress, for the attempt that started it or for whichever attempt waits once it succeeds. */
    private static final class Dial {
        final Wait owner;
        Runnable drop;

        Dial(Wait owner) { this.owner = owner; }
    }

    /** {@code stallMs}: time without progress after which a streamed value is abandoned. */
    public BackendPool(Sockets sockets, Counters counters, List<Api.Metric> report, double dialMs, double idleMs,
            double stallMs, int mostConnections) {
        this.stallMs = stallMs;
        this.sockets = sockets;
        this.counters = counters;
        this.report = report;
        this.dialMs = dialMs;
        this.retireMs = idleMs * RETIRED_PART;
        this.mostConnections = mostConnections;
        sockets.loop().deadlines().schedule(sockets.loop().now() + UPKEEP_MS, this::upkeep);
    }

    /** Sets the maximum number of connections and closes idle ones in excess of it. */
    public void limit(int most) {
        mostConnections = most;
        while (connections - leaving > mostConnections && closeOneIdle()) { /* one by one */ }
    }

    /** Open connections, including those being dialled or closed. */
    public int held() { return connections; }

    /** Consults the allowance for each connection from now on; must be set before the first connection is opened. */
    public void allow(Allowance by) { allowance = by; }

    /** Connections to a backend that carry an attempt or are being dialled for one. */
    public int busy(long backend) {
        Place place = places.get(backend);
        return place == null ? 0 : place.open - place.leaving - place.idle.size();
    }

    /** Closes up to {@code count} idle connections of a backend, the longest idle first, and returns the number closed. */
    public int shed(long backend, int count) {
        Place place = places.get(backend);
        int closed = 0;
        for (BackendLink link; place != null && closed < count && (link = place.idle.pollFirst()) != null; closed++) { link.close(); }
        return closed;
    }

    public void serve(Ingress core) { ingress = core; }

    /** Adds a backend of the service table, or updates its address. */
    public void place(long backend, InetSocketAddress address) {
        Place place = places.computeIfAbsent(backend, r -> new Place(address));
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
    public void leave(long backend, boolean forget) {
        Place place = forget ? places.remove(backend) : places.get(backend);
        if (place == null) { return; }
        place.draining = true;
        dropIdle(place);
        dropDialling(place);
    }

    /** Reports the failures after the current event-loop task, so that the module does not choose by the outdated list. */
    private void dropDialling(Place place) {
        for (Attempt attempt : Set.copyOf(place.dialling)) {
            attempt.abort.run();
            attempt.abort = () -> { };
            sockets.loop().defer(() -> end(attempt, Attempt.Result.of(Api.Outcome.CONNECT_FAILED)));
        }
        for (Wait wait; (wait = place.waiting.peek()) != null;) {
            Attempt attempt = wait.attempt;
            stop(place, wait);
            sockets.loop().defer(() -> end(attempt, Attempt.Result.of(Api.Outcome.CONNECT_FAILED)));
        }
        for (Dial dial; (dial = place.dials.peek()) != null;) { dial.drop.run(); }
    }

    private void dropIdle(Place place) {
        for (BackendLink link; (link = place.idle.poll()) != null;) { link.close(); }
    }

    /**
     * Bans a backend on an operator's command, or lifts the ban. Attempts in flight end as in a drain; attempts still being
     * dialled have sent nothing and end at once.
     */
    public void ban(long backend, boolean out) {
        if (!out) {
            banned.remove(backend);
            return;
        }
        Place place = places.get(backend);
        if (!banned.add(backend) || place == null) { return; }
        dropIdle(place);
        dropDialling(place);
    }

    @Override
    public boolean isAvailable(long backend) { return isOpen(places.get(backend), backend); }

    /** Whether attempts may start there: the backend is listed, not draining and not banned. */
    private boolean isOpen(Place place, long backend) {
        return place != null && places.get(backend) == place && !place.draining && !banned.contains(backend);
    }

    @Override
    public void start(Attempt attempt, ByteBuffer... cargo) {
        Place place = places.get(attempt.backend);
        BackendLink link = ++begun % LOOKS == 0 || !keepingLoses() ? settled(place) : null;
        if (link != null) {
            counters.connectionsReused++;
            if (!carries(link, attempt, cargo)) { link.close(); }
            return;
        }
        if (connections - leaving >= mostConnections && !closeOneIdle()) {
            // Keeps to the descriptor limit: nothing was sent, so the module may try another backend.
            sockets.loop().defer(() -> end(attempt, Attempt.Result.of(Api.Outcome.CONNECT_FAILED)));
            return;
        }
        if (allowance != null) {
            counted(place, attempt, cargo);
            return;
        }
        Deadlines deadlines = sockets.loop().deadlines();
        double now = sockets.loop().now();
        Wait wait = new Wait(attempt, cargo);
        place.waiting.addLast(wait);
        attempt.abort = () -> stop(place, wait);
        wait.limit = deadlines.schedule(now + dialMs, () -> fails(place, wait));
        // A lost handshake often affects one dial only: a second one in parallel succeeds sooner than the first would fail.
        wait.second = deadlines.schedule(now + dialMs * SECOND_PART, () -> {
            if (!wait.over && connections < mostConnections) { dial(place, wait); }
        });
        dial(place, wait);
    }

    /** Hands an attempt to a connection; false if it may no longer be sent, and then it ends as never sent. */
    private boolean carries(BackendLink link, Attempt attempt, ByteBuffer... cargo) {
        double now = sockets.loop().now();
        if (attempt.handToSocket(now)) {
            link.carry(attempt, cargo);
            return true;
        }
        Api.Outcome never = attempt.isTooLateToWrite(now) ? Api.Outcome.CONNECT_FAILED : Api.Outcome.NOT_SENT;
        sockets.loop().defer(() -> end(attempt, Attempt.Result.of(never)));
        return false;
    }

    private void dial(Place place, Wait owner) {
        long backend = owner.attempt.backend;
        Dial dial = new Dial(owner);
        connections++;
        place.open++;
        counters.connectionsOpened++;
        place.dials.addLast(dial);
        Runnable giveUp = sockets.connect(place.address, Math.max(dialMs, LATE_MS), channel -> {
            place.dials.remove(dial);
            BackendLink fresh = new BackendLink(this, place, backend);
            fresh.open(channel);
            cameUp(fresh, dial.owner);
        }, () -> {
            over(place, backend, false);
            place.dials.remove(dial);
            if (!dial.owner.over) { fails(place, dial.owner); }
        });
        dial.drop = () -> {
            over(place, backend, false);
            place.dials.remove(dial);
            giveUp.run();
        };
    }

    /** Gives a new connection to the attempt that dialled it, else to the longest waiting one, else keeps it idle. */
    private void cameUp(BackendLink link, Wait owner) {
        Place place = link.place;
        for (Wait next = owner.over ? place.waiting.peek() : owner; next != null; next = place.waiting.peek()) {
            stop(place, next);
            if (carries(link, next.attempt, next.cargo)) { return; }
        }
        if (isOpen(place, link.backend) && place.idle.size() < MOST_LATE && !link.isUsed()) {
            link.idleSince = sockets.loop().now();
            place.idle.addLast(link);
        } else {
            link.close();
        }
    }

    /** Removes a waiting attempt; up to {@code MOST_LATE} dials without an owner may still complete. */
    private void stop(Place place, Wait wait) {
        wait.over = true;
        sockets.loop().deadlines().cancel(wait.limit);
        sockets.loop().deadlines().cancel(wait.second);
        place.waiting.remove(wait);
        long late = place.dials.stream().filter(dial -> dial.owner.over).count();
        for (Dial dial : late > MOST_LATE ? List.copyOf(place.dials) : List.<Dial>of()) {
            if (dial.owner.over && late-- > MOST_LATE) { dial.drop.run(); }
        }
    }

    private void fails(Place place, Wait wait) {
        stop(place, wait);
        counters.connectionsFailed++;
        end(wait.attempt, Attempt.Result.of(Api.Outcome.CONNECT_FAILED));
    }

    /** Gives a connection that may be reused again to an attempt that waits for a dial. */
    private void serveWaiting(Place place) {
        if (place.waiting.isEmpty() || keepingLoses()) { return; }
        BackendLink link = settled(place);
        if (link == null) { return; }
        counters.connectionsReused++;
        cameUp(link, place.waiting.peek());
    }

    /**
     * Dials under an allowance, where each connection counts until both ends have closed it. If none may be dialled, an idle
     * connection is reused without waiting. An abandoned dial continues, since the backend may have accepted it, and then closes.
     */
    private void counted(Place place, Attempt attempt, ByteBuffer... cargo) {
        if (!allowance.take(attempt.backend)) {
            BackendLink resting = place.idle.pollFirst();
            if (resting == null) {                   // the module checks this beforehand; only a change within this task leads here
                sockets.loop().defer(() -> end(attempt, Attempt.Result.of(Api.Outcome.NOT_SENT)));
            } else {
                counters.connectionsReused++;
                if (!carries(resting, attempt, cargo)) { resting.close(); }
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
            leaving(place, attempt.backend);
        };
        Deadlines.Entry limit = sockets.loop().deadlines().schedule(sockets.loop().now() + dialMs, () -> {
            if (dropped[0]) { return; }
            drop.run();
            counters.connectionsFailed++;
            end(attempt, Attempt.Result.of(Api.Outcome.CONNECT_FAILED));
        });
        sockets.dial(place.address, channel -> {
            sockets.loop().deadlines().cancel(limit);
            if (dropped[0]) {
                BackendLink.drop(this, channel, () -> over(place, attempt.backend, true));
                return;
            }
            place.dialling.remove(attempt);
            BackendLink fresh = new BackendLink(this, place, attempt.backend);
            fresh.open(channel);
            if (!carries(fresh, attempt, cargo)) { rest(fresh); }
        }, () -> {
            sockets.loop().deadlines().cancel(limit);
            over(place, attempt.backend, dropped[0]);
            if (dropped[0]) { return; }
            place.dialling.remove(attempt);
            counters.connectionsFailed++;
            end(attempt, Attempt.Result.of(Api.Outcome.CONNECT_FAILED));
        });
        attempt.abort = () -> {
            sockets.loop().deadlines().cancel(limit);
            drop.run();
        };
    }

    /** Closes a connection locally. */
    void leaves(Place place, long backend, Connection link) {
        if (allowance == null) {
            over(place, backend, false);
            link.close();
            return;
        }
        leaving(place, backend);
        link.shutdownAndAwaitPeer(() -> over(place, backend, true));
    }

    private void leaving(Place place, long backend) {
        place.leaving++;
        leaving++;
        allowance.leaving(backend);
    }

    /** A connection is closed, or a dial has failed. */
    void over(Place place, long backend, boolean wasLeaving) {
        connections--;
        place.open--;
        if (wasLeaving) {
            place.leaving--;
            leaving--;
        }
        if (allowance != null) { allowance.ended(backend, wasLeaving); }
    }

    /** Records whether an attempt was lost with its connection. */
    void noteLost(boolean kept, boolean lost) {
        double now = lost ? 1 : 0;
        if (kept) { keptLost += NOTED * (now - keptLost); } else { newLost += NOTED * (now - newLost); }
    }

    /**
     * Whether reused connections lose clearly more attempts than new ones. Some backends, or proxies before them, reset a kept
     * connection at its next request, which may have run by then. A new connection costs a handshake, but a refused one proves
     * that nothing ran.
     */
    private boolean keepingLoses() { return keptLost > newLost + WORSE; }

    /**
     * Takes the most recently used connection that has been idle for {@code SETTLED_MS}. A duplicate or stray bytes right behind
     * a response would otherwise be taken for the response to the next command.
     */
    private BackendLink settled(Place place) {
        double before = sockets.loop().now() - SETTLED_MS;
        for (Iterator<BackendLink> all = place.idle.descendingIterator(); all.hasNext();) {
            BackendLink link = all.next();
            if (link.idleSince <= before) {
                all.remove();
                return link;
            }
        }
        return null;
    }

    private boolean closeOneIdle() {
        for (Place place : places.values()) {        // a dial that may never succeed is closed first
            Dial oldest = place.dials.peek();
            if (oldest != null && oldest.owner.over && place.waiting.isEmpty()) {
                oldest.drop.run();
                return true;
            }
        }
        for (Place place : places.values()) {
            BackendLink oldest = place.idle.pollFirst();
            if (oldest != null) {
                oldest.close();
                return true;
            }
        }
        return false;
    }

    ResponseStream begin(Attempt attempt, long length) { return ingress.beginStream(attempt, length); }

    void written(Attempt attempt) { ingress.attemptWritten(attempt); }

    void end(Attempt attempt, Attempt.Result result) { ingress.attemptEnded(attempt, result); }

    /** An attempt completed normally: its connection becomes idle. */
    void rest(BackendLink link) {
        link.idleSince = sockets.loop().now();
        boolean enough = keepingLoses() && !link.place.idle.isEmpty() || allowance != null && allowance.isSurplus(link.backend);
        if (isOpen(link.place, link.backend) && !enough) {
            link.place.idle.addLast(link);
            if (!link.place.waiting.isEmpty()) {
                sockets.loop().deadlines().schedule(link.idleSince + SETTLED_MS, () -> serveWaiting(link.place));
            }
        } else {
            link.close();
        }
    }

    private void upkeep() {
        double now = sockets.loop().now();
        sockets.loop().deadlines().schedule(now + UPKEEP_MS, this::upkeep);
        for (Place place : places.values()) {
            for (Iterator<BackendLink> all = place.idle.iterator(); all.hasNext();) {
                BackendLink link = all.next();
                if (now - link.idleSince < retireMs) { break; }
                all.remove();
                link.close();
            }
        }
    }
}

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
    private static final double RETIRED_PART = 0.7;  // of the told idle time: never race the backend's own close
    private static final double UPKEEP_MS = 1000;
    private static final double SETTLED_MS = 30;     // a connection rests so long before it is used again
    private static final double LATE_MS = 2000;      // a dial that nobody waits for any more may come up so long after it began
    private static final int MOST_LATE = 2;          // such dials, and connections kept from them, at each backend
    private static final double SECOND_PART = 0.2;   // of the dial's time: then a second one is begun beside it
    private static final double NOTED = 0.05;        // weight of one attempt in what connections are held to lose
    private static final double WORSE = 0.05;        // kept ones may lose so much more than new ones
    private static final int LOOKS = 8;              // else one in so many attempts tries a kept one all the same

    final Sockets sockets;
    final Counters counters;
    final double stallMs;
    private final double dialMs;
    private final double retireMs;
    private int mostConnections;
    final List<Api.Metric> report;
    private final Map<Long, Place> places = new HashMap<>();
    private final Set<Long> banned = new HashSet<>(); // by hand
    private double keptLost;                         // part of the attempts lost, lately, on kept connections
    private double newLost;                          // and on new ones
    private int begun;
    private Ingress ingress;
    private Allowance allowance;                     // null where connections are not divided
    int connections;
    private int leaving;                             // of those, closed from this side and not yet by the backend

    /** A backend of the service table, the connections that stand idle there, and the attempts that wait for one. */
    static final class Place {
        InetSocketAddress address;
        boolean draining;
        final ArrayDeque<BackendLink> idle = new ArrayDeque<>();
        final Set<Attempt> dialling = new HashSet<>(); // where connections are divided
        final ArrayDeque<Wait> waiting = new ArrayDeque<>(); // the longest first
        final ArrayDeque<Dial> dials = new ArrayDeque<>(); // the oldest first
        int open;                                    // connections, from before the dial to the end
        int leaving;

        Place(InetSocketAddress address) { this.address = address; }
    }

    /** An attempt that waits for a connection of its backend, whichever comes first. */
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

    /** A connection on its way, for the attempt that asked for it, or whoever waits when it comes up. */
    private static final class Dial {
        final Wait owner;
        Runnable drop;

        Dial(Wait owner) { this.owner = owner; }
    }

    /** {@code stallMs}: a large value of which nothing moves for so long is given up. */
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

    /** How many connections are held at the most; idle ones beyond that close. */
    public void limit(int most) {
        mostConnections = most;
        while (connections - leaving > mostConnections && closeOneIdle()) { /* one by one */ }
    }

    /** Connections held, also those on their way up or down. */
    public int held() { return connections; }

    /** From now on no connection is opened without a word of this; before any is. */
    public void allow(Allowance by) { allowance = by; }

    /** Connections to a backend that carry an attempt, or are dialled for one. */
    public int busy(long backend) {
        Place place = places.get(backend);
        return place == null ? 0 : place.open - place.leaving - place.idle.size();
    }

    /** Closes so many connections of a backend that stand idle, the longest idle first; the result says how many there were. */
    public int shed(long backend, int count) {
        Place place = places.get(backend);
        int closed = 0;
        for (BackendLink link; place != null && closed < count && (link = place.idle.pollFirst()) != null; closed++) { link.close(); }
        return closed;
    }

    public void serve(Ingress core) { ingress = core; }

    /** The service table names a backend, at this address now. */
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
     * A backend drains or is gone: what stands idle there is closed at once, and what is still being dialled has sent
     * nothing and goes elsewhere. Guards against a dial that comes up after the grace of a drain, and is then written to.
     */
    public void leave(long backend, boolean forget) {
        Place place = forget ? places.remove(backend) : places.get(backend);
        if (place == null) { return; }
        place.draining = true;
        dropIdle(place);
        dropDialling(place);
    }

    /** Told once this turn's news have reached the module: it must not choose by the list before. */
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
     * A backend is kept out by hand, or no longer. What is out there already ends as in a drain; what is still being
     * dialled has sent nothing and ends at once.
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

    /** Whether attempts may begin there: it is listed, does not drain, and is not out by hand. */
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
            // Guards the descriptor limit: past the budget nothing was sent, so the module may go elsewhere.
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
        // A dial that does not come up is often lost alone: a second one beside it comes up sooner than the first would fail.
        wait.second = deadlines.schedule(now + dialMs * SECOND_PART, () -> {
            if (!wait.over && connections < mostConnections) { dial(place, wait); }
        });
        dial(place, wait);
    }

    /** Hands an attempt to a connection; false where nothing of it may be sent any more, and it ends as never sent. */
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

    /** A new connection goes to who asked for it, else to who has waited for longest, else it is kept: it has cost its dial. */
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

    /** An attempt waits no more; dials that nobody waits for may still come up, as many as are of use. */
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

    /** A connection has rested: who waits for a dial has it instead. */
    private void serveWaiting(Place place) {
        if (place.waiting.isEmpty() || keepingLoses()) { return; }
        BackendLink link = settled(place);
        if (link == null) { return; }
        counters.connectionsReused++;
        cameUp(link, place.waiting.peek());
    }

    /**
     * Dials where each connection counts until its very end. One that has just answered is used rather than none; a dial that is
     * given up goes on, since a backend may have accepted it already, and closes once it is there.
     */
    private void counted(Place place, Attempt attempt, ByteBuffer... cargo) {
        if (!allowance.take(attempt.backend)) {
            BackendLink resting = place.idle.pollFirst();
            if (resting == null) {                   // known before the choice, but for what this very turn changed
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

    /** A connection is closed from this side. */
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

    /** A connection is over, or a dial came to nothing. */
    void over(Place place, long backend, boolean wasLeaving) {
        connections--;
        place.open--;
        if (wasLeaving) {
            place.leaving--;
            leaving--;
        }
        if (allowance != null) { allowance.ended(backend, wasLeaving); }
    }

    /** How an attempt's connection ended, or that it did not. */
    void noteLost(boolean kept, boolean lost) {
        double now = lost ? 1 : 0;
        if (kept) { keptLost += NOTED * (now - keptLost); } else { newLost += NOTED * (now - newLost); }
    }

    /**
     * Guards against backends, or what stands before them, that reset a kept connection at its next request: each
     * time it may have run. A new connection costs a handshake, and one that is refused proves that nothing ran.
     */
    private boolean keepingLoses() { return keptLost > newLost + WORSE; }

    /**
     * The most recently used connection that has rested. Guards against a second copy or noise right behind an
     * answer: it would be taken for the answer to what is written next.
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
        for (Place place : places.values()) {        // a dial that may never come up gives way first
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

    /** An attempt ended in order: its connection waits for the next. */
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

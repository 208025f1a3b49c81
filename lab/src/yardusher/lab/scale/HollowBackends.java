package yardusher.lab.scale;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.BitSet;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.SplittableRandom;
import yardusher.Api;
import yardusher.core.Attempt;
import yardusher.core.Backends;
import yardusher.core.Counters;
import yardusher.core.EventLoop;
import yardusher.core.Ingress;

/**
 * Connections of one hollow ingress to backends, as {@code BackendPool} keeps them, without sockets: the most recently used that has
 * rested is taken, else one is dialled; idle ones retire after the same time; past the same number one that stands idle gives way.
 * Left out: the second dial beside a slow one, late dials that serve others, held-back reuse after resets. In turns only.
 */
final class HollowBackends implements Backends {
    private static final double RETIRED_PART = 0.7;  // the four as in BackendPool
    private static final double UPKEEP_MS = 1000;
    private static final double SETTLED_MS = 30;
    private static final int POOL_FIFTHS = 2;        // of five fifths of the descriptors, as in IngressProcess
    private static final int OWN_DESCRIPTORS = 64;
    private static final byte[] VALUE = {'v'};

    /** What all hollow ingresses of a process share: which backends run, since when, and how many connections each has from here. */
    static final class World {
        final Sizes sizes;
        final BitSet dead = new BitSet();
        final double[] startedMs;
        final int[] connections;
        final int[] most;

        World(Sizes sizes) {
            this.sizes = sizes;
            startedMs = new double[sizes.backends()];
            connections = new int[sizes.backends()];
            most = new int[sizes.backends()];
        }
    }

    private static final class Connection {
        double idleSince;
        boolean over;
    }

    private static final class Place {
        final ArrayDeque<Connection> idle = new ArrayDeque<>();
    }

    private final World world;
    private final EventLoop loop;
    private final Counters counters;
    private final SplittableRandom random;
    private final Map<Integer, Place> places = new HashMap<>(); // one for each backend of the list at the most
    private final BitSet open = new BitSet();        // listed, and does not drain
    private final double dialMs;
    private final double retireMs;
    private final int mostConnections;
    private Ingress core;
    private int connections;

    /** Told of each first attempt that has reached a backend. */
    interface Sent {
        void sent(Attempt attempt);
    }

    private final Sent sent;

    HollowBackends(World world, EventLoop loop, Counters counters, long seed, double dialMs, double idleMs, Sent sent) {
        this.world = world;
        this.loop = loop;
        this.counters = counters;
        this.dialMs = dialMs;
        this.sent = sent;
        retireMs = idleMs * RETIRED_PART;
        mostConnections = (world.sizes.sockets() - OWN_DESCRIPTORS) * POOL_FIFTHS / 5;
        random = new SplittableRandom(seed);
        loop.deadlines().schedule(loop.now() + UPKEEP_MS, this::upkeep);
    }

    void serve(Ingress ingress) { core = ingress; }

    int held() { return connections; }

    /** The list tells of a backend. */
    void listed(int backend, Api.Readiness readiness) {
        open.set(backend, readiness == Api.Readiness.READY);
        if (readiness != Api.Readiness.READY) { drop(backend); }
    }

    /** What stands idle at a backend is closed. */
    void drop(int backend) {
        Place place = places.get(backend);
        if (place == null) { return; }
        for (Connection one; (one = place.idle.poll()) != null;) { end(backend, one); }
    }

    private void end(int backend, Connection one) {
        if (one.over) { return; }
        one.over = true;
        connections--;
        world.connections[backend]--;
    }

    @Override
    public boolean isAvailable(long backend) { return open.get(Listing.index(backend)); }

    @Override
    public void start(Attempt attempt, ByteBuffer... cargo) {
        int backend = Listing.index(attempt.backend);
        Place place = places.computeIfAbsent(backend, none -> new Place());
        double now = loop.now();
        Connection kept = rested(place, now);
        if (kept != null) {
            counters.connectionsReused++;
            carry(backend, place, kept, attempt);
            return;
        }
        if (connections >= mostConnections && !closeOneIdle()) {
            loop.defer(() -> core.attemptEnded(attempt, Attempt.Result.of(Api.Outcome.CONNECT_FAILED)));
            return;
        }
        counters.connectionsOpened++;
        Connection fresh = new Connection();
        connections++;
        world.most[backend] = Math.max(world.most[backend], ++world.connections[backend]);
        attempt.abort = () -> end(backend, fresh);
        boolean comesUp = !world.dead.get(backend);
        loop.deadlines().schedule(now + (comesUp ? world.sizes.handshakeUs() / 1000.0 : dialMs), () -> {
            if (fresh.over) { return; }
            if (comesUp && !world.dead.get(backend)) {
                carry(backend, place, fresh, attempt);
                return;
            }
            counters.connectionsFailed++;
            end(backend, fresh);
            core.attemptEnded(attempt, Attempt.Result.of(Api.Outcome.CONNECT_FAILED));
        });
    }

    private static Connection rested(Place place, double now) {
        for (Iterator<Connection> all = place.idle.descendingIterator(); all.hasNext();) {
            Connection one = all.next();
            if (one.idleSince <= now - SETTLED_MS) {
                all.remove();
                return one;
            }
        }
        return null;
    }

    private boolean closeOneIdle() {
        for (Map.Entry<Integer, Place> one : places.entrySet()) {
            Connection oldest = one.getValue().idle.pollFirst();
            if (oldest != null) {
                end(one.getKey(), oldest);
                return true;
            }
        }
        return false;
    }

    private void carry(int backend, Place place, Connection on, Attempt attempt) {
        double now = loop.now();
        if (!attempt.handToSocket(now)) {
            end(backend, on);
            loop.defer(() -> core.attemptEnded(attempt, Attempt.Result.of(Api.Outcome.NOT_SENT)));
            return;
        }
        attempt.abort = () -> end(backend, on);
        if (attempt.number == 0) { sent.sent(attempt); }
        core.attemptWritten(attempt);
        loop.deadlines().schedule(now + serviceMs(backend, now), () -> {
            if (on.over || attempt.isOver() || world.dead.get(backend)) { return; } // who is dead says nothing
            attempt.abort = () -> { };
            on.idleSince = loop.now();
            if (open.get(backend)) { place.idle.addLast(on); } else { end(backend, on); }
            core.attemptEnded(attempt, new Attempt.Result(Api.Outcome.SERVED, VALUE, null));
        });
    }

    /** From half the mean to one and a half of it; a cold backend takes longer, less so as it warms. */
    private double serviceMs(int backend, double now) {
        return serviceMs(world.sizes, random.nextDouble(), now - world.startedMs[backend]);
    }

    /** The model of hollow and real backends alike: {@code drawn} is even in 0 to 1, {@code ageMs} since the backend's start. */
    static double serviceMs(Sizes sizes, double drawn, double ageMs) {
        double cold = Math.max(0, 1 - ageMs / Math.max(1, sizes.coldMs()));
        return sizes.serviceUs() / 1000.0 * (0.5 + drawn) * (1 + (sizes.coldFactor() - 1) * cold);
    }

    private void upkeep() {
        double now = loop.now();
        loop.deadlines().schedule(now + UPKEEP_MS, this::upkeep);
        places.forEach((backend, place) -> {
            for (Connection one; (one = place.idle.peekFirst()) != null && now - one.idleSince >= retireMs;) {
                place.idle.pollFirst();
                end(backend, one);
            }
        });
    }
}

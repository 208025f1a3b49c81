package yardusher;

import java.util.*;
import java.util.function.Consumer;
import yardusher.Api.*;

/**
 * Servers: the list, their health, and choice.
 * State: servers with the health of each by class. A failure is told to a few gateways that the server's
 * number draws, who see those of all: three soon after another are passed on to everybody.
 */
final class Servers {
    private static final double EJECT_MS = 500;      // first ejection; doubles up to EJECT_MOST_MS
    private static final double EJECT_MOST_MS = 8000;
    private static final int BLAMED = 3;             // failures in a row, or of all gateways in BLAME_MS
    private static final double COMMON = 0.75;       // part of the servers that fail by no fault of their own
    static final double BLAME_MS = 2000;
    static final double FAILING = 0.2;               // weight of one answer in how a server fares
    static final double LATE = 0.35;                 // part of the aim that answers take when they are late
    private final Settings settings; private final Clock clock; private final SplittableRandom random;
    private final Consumer<Action> out; private final FaultReporter faultReporter;
    private final double ghostMs;                    // how long work given up counts as still there

    final Hosts hosts; final ColdAllowance cold; final AnswerTimes times;
    private final int[] outCount;                    // servers out, by class
    int outstanding;
    private double askAt = Double.POSITIVE_INFINITY; // when to ask for the list again

    Servers(Settings settings, Clock clock, SplittableRandom random, Consumer<Action> out, FaultReporter faultReporter) {
        this.settings = settings; this.clock = clock; this.random = random; this.out = out;
        this.faultReporter = faultReporter; hosts = new Hosts(settings, clock);
        cold = new ColdAllowance(settings, clock, random);
        times = new AnswerTimes(settings.classes(), clock); outCount = new int[times.classMs.length];
        ghostMs = settings.classes().stream().mapToDouble(RequestClass::deadlineMs).average().orElse(1000);
    }

    void list(ServerList list) {
        if (list.kind() == ListKind.FAILED && settings.askMembership()) { askAt = clock.now + 1000; }
        for (Host host : hosts.list(list)) {
            host.coldSince = Math.max(host.coldSince, host.startedAt);
            if (host.down) { Arrays.fill(host.outUntil, clock.now); } // a new process since
            cold.due(host);                          // its tokens count from now, not from when one is wanted
        }
    }

    private double cost(Host host) {
        double load = 1 + host.load();
        if (clock.now - host.reportedAt < 1000) {
            load += host.queue / settings.gateways(); load *= 0.5 + host.busy;
        }
        double cost = load * host.ratio / host.size;   // a cold one is held back by its draws alone
        if (host.zone != settings.zone() && settings.crossZonePrice() > 0) { cost *= 1.2; }
        double quiet = host.open > 0 ? clock.now - host.quietSince : 0;
        if (quiet > 3 * times.typicalMs) { cost *= 1 + quiet / times.typicalMs; } // works, answers nothing
        return clock.now < host.fullUntil ? 4 * cost : cost;
    }

    /**
     * The cheapest of some servers drawn at random, or null: as many as own attempts tell apart. Danger: a
     * cold server pushed over by hundreds of gateways, or by a few whose warm ones all have much to do. Each
     * lets it into a draw by its allowance and its warmth, to hold that part of what others hold here; where
     * nothing else is drawn, without its warmth, and where none is warm by its allowance alone.
     */
    Host choose(PendingRequest pending) {
        List<Host> ready = hosts.ready;
        Host best = null, spare = null;
        double bestCost = 0;
        int k = pending.request.classIndex();
        boolean common = outCount[k] > COMMON * ready.size(); // most of them fail: no server's own fault
        int drawn = 0;
        for (int i = 0; i < ready.size() && drawn < 3 + outstanding; i++) {
            int at = i + random.nextInt(ready.size() - i);
            Host host = ready.set(at, ready.get(i)); ready.set(i, host);
            boolean out = clock.now < host.outUntil[k] && (host.down || !common);
            boolean tried = host.failures[k] > 0 && host.outUntil[k] > 0 && !common && host.open > 0;
            if (host.banned || out || tried || host.full() || pending.boundElsewhere(host)
                    || !mayRunOn(pending, host, pending.ran) || pending.last == host && ready.size() > 1
                    || host.warmth() < 1 && !cold.due(host)) { continue; }
            drawn++;
            double warmth = host.warmth(), mean = outstanding / (double) ready.size();
            double most = Math.min(warmth * (1 + mean), Math.max(0.99, warmth * host.limit - 1));
            boolean much = host.load() > most;
            if (warmth < 1 && (much || !cold.draws(warmth))) {
                spare = !much || !cold.warm.isLeft() ? host : spare; continue;
            }
            double cost = cost(host) * (0.9 + 0.2 * random.nextDouble()) * cold.rarity(warmth);
            if (best == null || cost < bestCost) { best = host; bestCost = cost; }
        }
        return best == null ? spare : best;
    }

    /** Whether one that holds a request would leave it another, if it may have run there. */
    boolean elsewhere(PendingRequest pending) {
        boolean lone = hosts.ready.size() == 1;
        return hosts.ready.stream().anyMatch(host -> (host != pending.last || lone) && !host.banned
                && !host.full() && !pending.boundElsewhere(host) && mayRunOn(pending, host, true));
    }

    /** Whether a request may be sent to this server where it has run elsewhere, or may have. */
    private boolean mayRunOn(PendingRequest pending, Host host, boolean ran) {
        RequestClass of = pending.of;
        if (!ran || of.effect() == Effect.IDEMPOTENT) { return true; }
        return of.effect() == Effect.DEDUPLICATED && clock.now - pending.ranAt < of.windowMs()
                && (of.group() == Group.ALL || host.zone == pending.ranZone)
                && (of.group() != Group.CELL || host.cell == pending.ranCell);
    }

    void failed(Host host, int k, boolean down) {
        host.down |= down;
        for (int i = down ? 0 : k; i < (down ? times.classMs.length : k + 1); i++) {
            host.failures[i]++;
            host.failing[i] += FAILING * (1 - host.failing[i]);
            if (!down && (host.failures[i] < BLAMED || !faulty(host, i))) { continue; }
            double most = Math.min(EJECT_MOST_MS, EJECT_MS * (1 << Math.min(4, host.failures[i] - 1)));
            host.outUntil[i] = Math.max(host.outUntil[i], clock.now + most);
        }
        // Danger: in overload all time out, and giving some up overloads the rest; others must be quick.
        if (!down && times.fleetPart < LATE && faulty(host, k)) { accuse(host, k); }
    }

    // Danger: where all servers lose a part of their answers, counts alone put all of them out.
    private boolean faulty(Host host, int k) { return host.failing[k] > 0.4; }

    /** Danger: one gateway of hundreds sees too few answers to tell that a server fails one class or all. */
    private void accuse(Host host, int k) {
        int gateways = settings.gateways();
        for (int i = 0; i < Math.min(Customer.NEIGHBOURS, gateways); i++) {
            int apart = Math.max(1, gateways / Customer.NEIGHBOURS);
            int peer = (Peers.drawn(host.id, gateways) + i * apart) % gateways;
            if (peer == settings.self()) { blame(host, k); }
            faultReporter.accuse(peer, new Fault(false, host.id, k));
        }
    }

    /** Another gateway held a failure, or all failures told, against a server. */
    void heard(Fault fault) {
        Host host = hosts.byId.get(fault.host());
        int k = fault.classIndex();
        if (host == null || k < 0 || k >= times.classMs.length) { return; }
        if (fault.out()) { verdict(host, k); } else { blame(host, k); }
    }

    private void blame(Host host, int k) {
        double faded = Math.exp((host.blamedAt - clock.now) / BLAME_MS);
        for (int i = 0; i < times.classMs.length; i++) { host.blame[i] *= faded; }
        host.blamedAt = clock.now;
        if (++host.blame[k] > BLAMED + 1 && settings.gateways() > Customer.NEIGHBOURS) { verdict(host, k); }
    }

    /** A server is out for a class; who did not know passes it on once, to some that it speaks to next. */
    private void verdict(Host host, int k) {
        if (host.outUntil[k] > clock.now + EJECT_MOST_MS / 4 || host.failing[k] < 0.2) { return; }
        host.outUntil[k] = clock.now + EJECT_MOST_MS / 2;
        faultReporter.pass(new Fault(true, host.id, k));
    }

    void answered(Host host, int k) {
        cold.warm.answered(host);
        if (host.down) { host.coldSince = clock.now; Arrays.fill(host.failures, 0); } // back, none told yet
        host.down = false; host.failures[k] = 0; host.failing[k] *= 1 - FAILING;
        host.outUntil[k] = 0;
    }

    void sweep() {
        if (clock.now >= askAt) { askAt = Double.POSITIVE_INFINITY; out.accept(new Subscribe()); }
        hosts.forget();
        cold.warm.look(hosts.ready);
        Arrays.fill(outCount, 0);
        for (Host host : hosts.ready) {
            if (clock.now - host.sampledAt > 5 * Clock.SWEEP_MS) { host.ratio += 0.05 * (1 - host.ratio); }
            host.ghosts *= Math.max(0, 1 - Clock.SWEEP_MS / ghostMs);
            for (int k = 0; k < outCount.length; k++) { outCount[k] += host.outs(k) ? 1 : 0; }
        }
    }
}

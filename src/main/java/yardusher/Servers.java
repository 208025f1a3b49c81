package yardusher;

import java.util.*;
import java.util.function.Consumer;
import yardusher.Api.*;

/**
 * Keeps the health of the listed servers by class and chooses a server for an attempt. Each failure is reported to a few gateways
 * that a hash of the server's id selects and that so see the reports of all gateways: when their decayed count exceeds
 * {@link #EJECT_AFTER_FAILURES} + 1, the server is ejected and that is passed on to all gateways.
 */
final class Servers {
    private static final double EJECT_MS = 500;      // first ejection; doubles up to MAX_EJECT_MS
    private static final double EJECT_MOST_MS = 8000;
    private static final int BLAMED = 3;             // failures in a row here, or reported by all gateways within REPORT_DECAY_MS
    private static final double COMMON = 0.75;       // above this fraction of ejected servers, the cause is not the servers
    static final double BLAME_MS = 2000;
    static final double FAILING = 0.2;               // weight of one answer in a failure rate
    static final double LATE = 0.35;                 // fraction of the aim from which the answers of the fleet are late
    private final Settings settings; private final Clock clock; private final SplittableRandom random;
    private final Consumer<Action> out; private final FaultReporter faultReporter;
    private final double ghostMs;                    // how long abandoned work counts as still running

    final Hosts hosts; final ColdAllowance cold; final AnswerTimes times;
    private final int[] outCount;                    // ejected servers, by class
    int outstanding;
    private double askAt = Double.POSITIVE_INFINITY; // when to subscribe to the list again

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
            if (host.down) { Arrays.fill(host.outUntil, clock.now); } // a new process has started since
            cold.due(host);                          // its tokens accumulate from now on, not from the first use
        }
    }

    private double cost(Host host) {
        double load = 1 + host.load();
        if (clock.now - host.reportedAt < 1000) {
            load += host.queue / settings.gateways(); load *= 0.5 + host.busy;
        }
        double cost = load * host.ratio / host.size;   // a cold one is limited by its chance to be drawn alone
        if (host.zone != settings.zone() && settings.crossZonePrice() > 0) { cost *= 1.2; }
        double quiet = host.open > 0 ? clock.now - host.quietSince : 0;
        if (quiet > 3 * times.typicalMs) { cost *= 1 + quiet / times.typicalMs; } // has work but answers nothing
        return clock.now < host.fullUntil ? 4 * cost : cost;
    }

    /**
     * The cheapest of several servers drawn at random, or null. The sample grows with the open attempts of this gateway, which are what
     * tells servers apart. Guards against a cold server overloaded by hundreds of gateways, or by a few whose warm servers are all busy:
     * it enters a draw by its allowance and with a probability by its warmth, so that it holds that fraction of the attempts of a warm
     * one. If nothing else is drawn, the allowance alone decides; if no server is warm, its load is ignored as well.
     */
    Host choose(PendingRequest pending) {
        List<Host> ready = hosts.ready;
        Host best = null, spare = null;
        double bestCost = 0;
        int k = pending.request.classIndex();
        boolean common = outCount[k] > COMMON * ready.size(); // most servers fail, so no single one is at fault
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

    /** Whether the request could go to another server if its present attempt were abandoned and may have run. */
    boolean elsewhere(PendingRequest pending) {
        boolean lone = hosts.ready.size() == 1;
        return hosts.ready.stream().anyMatch(host -> (host != pending.last || lone) && !host.banned
                && !host.full() && !pending.boundElsewhere(host) && mayRunOn(pending, host, true));
    }

    /** Whether a request may be sent to this server; {@code ran} is whether an earlier attempt may have run elsewhere. */
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
        // In overload everything times out, and ejecting some servers overloads the rest: report only while others are quick.
        if (!down && times.fleetPart < LATE && faulty(host, k)) { accuse(host, k); }
    }

    // By counts alone, all servers would be ejected when all of them lose a fraction of their answers.
    private boolean faulty(Host host, int k) { return host.failing[k] > 0.4; }

    /** Reports a failure to a few gateways: one of hundreds sees too few answers to detect a failing server by itself. */
    private void accuse(Host host, int k) {
        int gateways = settings.gateways();
        for (int i = 0; i < Math.min(Customer.NEIGHBOURS, gateways); i++) {
            int apart = Math.max(1, gateways / Customer.NEIGHBOURS);
            int peer = (Peers.drawn(host.id, gateways) + i * apart) % gateways;
            if (peer == settings.self()) { blame(host, k); }
            faultReporter.accuse(peer, new Fault(false, host.id, k));
        }
    }

    /** Another gateway reported a failure of a server, or its ejection. */
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

    /** Ejects a server for a class; a gateway that did not know yet passes this on once, with its next messages. */
    private void verdict(Host host, int k) {
        if (host.outUntil[k] > clock.now + EJECT_MOST_MS / 4 || host.failing[k] < 0.2) { return; }
        host.outUntil[k] = clock.now + EJECT_MOST_MS / 2;
        faultReporter.pass(new Fault(true, host.id, k));
    }

    void answered(Host host, int k) {
        cold.warm.answered(host);
        if (host.down) { host.coldSince = clock.now; Arrays.fill(host.failures, 0); } // back, and its restart has not been announced
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

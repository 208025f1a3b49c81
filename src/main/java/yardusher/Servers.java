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
    private static final double MAX_EJECT_MS = 8000;
    private static final int EJECT_AFTER_FAILURES = 3;             // failures in a row, or of all gateways in BLAME_MS
    private static final double COMMON_FAILURE_FRACTION = 0.75;       // part of the servers that fail by no fault of their own
    static final double REPORT_DECAY_MS = 2000;
    static final double FAILURE_RATE_WEIGHT = 0.2;               // weight of one answer in how a server fares
    static final double LATE_FRACTION = 0.35;                 // part of the aim that answers take when they are late
    private final Settings settings; private final Clock clock; private final SplittableRandom random;
    private final Consumer<Action> actions; private final FaultReporter faultReporter;
    private final double abandonedDecayMs;                    // how long work given up counts as still there

    final Hosts hosts; final ColdAllowance cold; final LatencyStats latencies;
    private final int[] ejectedCount;                    // servers out, by class
    int openAttempts;
    private double resubscribeAtMs = Double.POSITIVE_INFINITY; // when to ask for the list again

    Servers(Settings settings, Clock clock, SplittableRandom random, Consumer<Action> actions, FaultReporter faultReporter) {
        this.settings = settings; this.clock = clock; this.random = random; this.actions = actions;
        this.faultReporter = faultReporter; hosts = new Hosts(settings, clock);
        cold = new ColdAllowance(settings, clock, random);
        latencies = new LatencyStats(settings.classes(), clock); ejectedCount = new int[latencies.classLatencyMs.length];
        abandonedDecayMs = settings.classes().stream().mapToDouble(RequestClass::deadlineMs).average().orElse(1000);
    }

    void update(ServerList list) {
        if (list.kind() == ListKind.FAILED && settings.mustSubscribe()) { resubscribeAtMs = clock.now + 1000; }
        for (Host host : hosts.update(list)) {
            host.coldSinceMs = Math.max(host.coldSinceMs, host.startedAtMs);
            if (host.down) { Arrays.fill(host.ejectedUntilMs, clock.now); } // a new process since
            cold.isDue(host);                          // its tokens count from now, not from when one is wanted
        }
    }

    private double cost(Host host) {
        double load = 1 + host.load();
        if (clock.now - host.reportedAtMs < 1000) {
            load += host.reportedQueue / settings.gateways(); load *= 0.5 + host.reportedCpu;
        }
        double cost = load * host.latencyRatio / host.size;   // a cold one is held back by its draws alone
        if (host.zone != settings.zone() && settings.crossZonePrice() > 0) { cost *= 1.2; }
        double silentMs = host.openAttempts > 0 ? clock.now - host.lastAnswerAtMs : 0;
        if (silentMs > 3 * latencies.typicalLatencyMs) { cost *= 1 + silentMs / latencies.typicalLatencyMs; } // works, answers nothing
        return clock.now < host.rejectingUntilMs ? 4 * cost : cost;
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
        int classIndex = pending.request.classIndex();
        boolean commonFailure = ejectedCount[classIndex] > COMMON_FAILURE_FRACTION * ready.size(); // most of them fail: no server's own fault
        int drawn = 0;
        for (int i = 0; i < ready.size() && drawn < 3 + openAttempts; i++) {
            int index = i + random.nextInt(ready.size() - i);
            Host host = ready.set(index, ready.get(i)); ready.set(i, host);
            boolean ejected = clock.now < host.ejectedUntilMs[classIndex] && (host.down || !commonFailure);
            boolean probing = host.failures[classIndex] > 0 && host.ejectedUntilMs[classIndex] > 0 && !commonFailure && host.openAttempts > 0;
            if (host.banned || ejected || probing || host.isFull() || pending.isBoundElsewhere(host)
                    || !mayRunOn(pending, host, pending.mayHaveRun) || pending.lastHost == host && ready.size() > 1
                    || host.warmth() < 1 && !cold.isDue(host)) { continue; }
            drawn++;
            double warmth = host.warmth(), meanOpen = openAttempts / (double) ready.size();
            double maxLoad = Math.min(warmth * (1 + meanOpen), Math.max(0.99, warmth * host.limit - 1));
            boolean overloaded = host.load() > maxLoad;
            if (warmth < 1 && (overloaded || !cold.isCandidate(warmth))) {
                spare = !overloaded || !cold.warmThroughput.hasWarmServers() ? host : spare; continue;
            }
            double cost = cost(host) * (0.9 + 0.2 * random.nextDouble()) * cold.costFactor(warmth);
            if (best == null || cost < bestCost) { best = host; bestCost = cost; }
        }
        return best == null ? spare : best;
    }

    /** Whether one that holds a request would leave it another, if it may have run there. */
    boolean hasAlternative(PendingRequest pending) {
        boolean onlyOne = hosts.ready.size() == 1;
        return hosts.ready.stream().anyMatch(host -> (host != pending.lastHost || onlyOne) && !host.banned
                && !host.isFull() && !pending.isBoundElsewhere(host) && mayRunOn(pending, host, true));
    }

    /** Whether a request may be sent to this server where it has run elsewhere, or may have. */
    private boolean mayRunOn(PendingRequest pending, Host host, boolean ran) {
        RequestClass requestClass = pending.requestClass;
        if (!ran || requestClass.effect() == Effect.IDEMPOTENT) { return true; }
        return requestClass.effect() == Effect.DEDUPLICATED && clock.now - pending.ranAtMs < requestClass.windowMs()
                && (requestClass.group() == Group.ALL || host.zone == pending.ranZone)
                && (requestClass.group() != Group.CELL || host.cell == pending.ranCell);
    }

    void recordFailure(Host host, int classIndex, boolean down) {
        host.down |= down;
        for (int i = down ? 0 : classIndex; i < (down ? latencies.classLatencyMs.length : classIndex + 1); i++) {
            host.failures[i]++;
            host.failureRate[i] += FAILURE_RATE_WEIGHT * (1 - host.failureRate[i]);
            if (!down && (host.failures[i] < EJECT_AFTER_FAILURES || !isFaulty(host, i))) { continue; }
            double ejectMs = Math.min(MAX_EJECT_MS, EJECT_MS * (1 << Math.min(4, host.failures[i] - 1)));
            host.ejectedUntilMs[i] = Math.max(host.ejectedUntilMs[i], clock.now + ejectMs);
        }
        // Danger: in overload all time out, and giving some up overloads the rest; others must be quick.
        if (!down && latencies.fleetFraction < LATE_FRACTION && isFaulty(host, classIndex)) { reportFailure(host, classIndex); }
    }

    // Danger: where all servers lose a part of their answers, counts alone put all of them out.
    private boolean isFaulty(Host host, int classIndex) { return host.failureRate[classIndex] > 0.4; }

    /** Danger: one gateway of hundreds sees too few answers to tell that a server fails one class or all. */
    private void reportFailure(Host host, int classIndex) {
        int gateways = settings.gateways();
        for (int i = 0; i < Math.min(Customer.RELAYS, gateways); i++) {
            int distance = Math.max(1, gateways / Customer.RELAYS);
            int peer = (Peers.hash(host.id, gateways) + i * distance) % gateways;
            if (peer == settings.self()) { countReport(host, classIndex); }
            faultReporter.report(peer, new FaultReport(false, host.id, classIndex));
        }
    }

    /** Another gateway held a failure, or all failures told, against a server. */
    void receiveReport(FaultReport fault) {
        Host host = hosts.byId.get(fault.server());
        int classIndex = fault.classIndex();
        if (host == null || classIndex < 0 || classIndex >= latencies.classLatencyMs.length) { return; }
        if (fault.ejected()) { eject(host, classIndex); } else { countReport(host, classIndex); }
    }

    private void countReport(Host host, int classIndex) {
        double decay = Math.exp((host.reportsUpdatedAtMs - clock.now) / REPORT_DECAY_MS);
        for (int i = 0; i < latencies.classLatencyMs.length; i++) { host.failureReports[i] *= decay; }
        host.reportsUpdatedAtMs = clock.now;
        if (++host.failureReports[classIndex] > EJECT_AFTER_FAILURES + 1 && settings.gateways() > Customer.RELAYS) { eject(host, classIndex); }
    }

    /** A server is out for a class; who did not know passes it on once, to some that it speaks to next. */
    private void eject(Host host, int classIndex) {
        if (host.ejectedUntilMs[classIndex] > clock.now + MAX_EJECT_MS / 4 || host.failureRate[classIndex] < 0.2) { return; }
        host.ejectedUntilMs[classIndex] = clock.now + MAX_EJECT_MS / 2;
        faultReporter.passOn(new FaultReport(true, host.id, classIndex));
    }

    void recordAnswer(Host host, int classIndex) {
        cold.warmThroughput.recordAnswer(host);
        if (host.down) { host.coldSinceMs = clock.now; Arrays.fill(host.failures, 0); } // back, none told yet
        host.down = false; host.failures[classIndex] = 0; host.failureRate[classIndex] *= 1 - FAILURE_RATE_WEIGHT;
        host.ejectedUntilMs[classIndex] = 0;
    }

    void sweep() {
        if (clock.now >= resubscribeAtMs) { resubscribeAtMs = Double.POSITIVE_INFINITY; actions.accept(new Subscribe()); }
        hosts.removeGone();
        cold.warmThroughput.sample(hosts.ready);
        Arrays.fill(ejectedCount, 0);
        for (Host host : hosts.ready) {
            if (clock.now - host.sampledAtMs > 5 * Clock.SWEEP_MS) { host.latencyRatio += 0.05 * (1 - host.latencyRatio); }
            host.abandonedAttempts *= Math.max(0, 1 - Clock.SWEEP_MS / abandonedDecayMs);
            for (int k = 0; k < ejectedCount.length; k++) { ejectedCount[k] += host.isEjected(k) ? 1 : 0; }
        }
    }
}

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
    private static final double EJECT_MS = 500; // first ejection; doubles up to MAX_EJECT_MS
    private static final double MAX_EJECT_MS = 8000;
    private static final int EJECT_AFTER_FAILURES = 3; // failures in a row here, or reported by all gateways within REPORT_DECAY_MS
    private static final double COMMON_FAILURE_FRACTION = 0.75; // above this fraction of ejected servers, the cause is not the servers
    static final double REPORT_DECAY_MS = 2000;
    static final double FAILURE_RATE_WEIGHT = 0.2; // weight of one answer in a failure rate
    static final double LATE_FRACTION = 0.35; // fraction of the aim from which the answers of the fleet are late
    private final Settings settings; private final Clock clock; private final SplittableRandom random;
    private final Consumer<Action> actions; private final FaultReporter faultReporter;
    private final double abandonedDecayMs; // how long abandoned work counts as still running

    final Hosts hosts; final ColdAllowance cold; final LatencyStats latencies;
    private final int[] ejectedCount; // ejected servers, by class
    int workingAttempts; // without those whose value is passed on
    private double resubscribeAtMs = Double.POSITIVE_INFINITY; // when to subscribe to the list again

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
            if (host.down) { Arrays.fill(host.ejectedUntilMs, clock.now); } // a new process has started since
            cold.isDue(host); // its tokens accumulate from now on, not from the first use
        }
    }

    private double cost(Host host) {
        double load = 1 + host.load();
        if (clock.now - host.reportedAtMs < 1000) {
            load += host.reportedQueue / settings.gateways(); load *= 0.5 + host.reportedCpu;
        }
        double cost = load * host.latencyRatio / host.size; // a cold one is limited by its chance to be drawn alone
        if (host.zone != settings.zone() && settings.crossZonePrice() > 0) { cost *= 1.2; }
        double silentMs = host.workingAttempts() > 0 ? clock.now - host.lastAnswerAtMs : 0;
        if (silentMs > 3 * latencies.typicalLatencyMs) { cost *= 1 + silentMs / latencies.typicalLatencyMs; } // has work but answers nothing
        return clock.now < host.rejectingUntilMs ? 4 * cost : cost;
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
        int classIndex = pending.request.classIndex();
        // most servers fail, so no single one is at fault
        boolean commonFailure = ejectedCount[classIndex] > COMMON_FAILURE_FRACTION * ready.size();
        int drawn = 0;
        for (int i = 0; i < ready.size() && drawn < 3 + workingAttempts; i++) {
            int index = i + random.nextInt(ready.size() - i);
            Host host = ready.set(index, ready.get(i)); ready.set(i, host);
            boolean ejected = clock.now < host.ejectedUntilMs[classIndex] && (host.down || !commonFailure);
            boolean probing = host.failures[classIndex] > 0 && host.ejectedUntilMs[classIndex] > 0 && !commonFailure && host.workingAttempts() > 0;
            if (host.banned || ejected || probing || host.isFull() || pending.isBoundElsewhere(host)
                    || !mayRunOn(pending, host, pending.mayHaveRun) || pending.lastHost == host && ready.size() > 1
                    || host.warmth() < 1 && !cold.isDue(host)) { continue; }
            drawn++;
            double warmth = host.warmth(), meanOpen = workingAttempts / (double) ready.size();
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

    /** Whether the request could go to another server if its present attempt were abandoned and may have run. */
    boolean hasAlternative(PendingRequest pending) {
        boolean onlyOne = hosts.ready.size() == 1;
        return hosts.ready.stream().anyMatch(host -> (host != pending.lastHost || onlyOne) && !host.banned
                && !host.isFull() && !pending.isBoundElsewhere(host) && mayRunOn(pending, host, true));
    }

    /** Whether a request may be sent to this server; {@code ran} is whether an earlier attempt may have run elsewhere. */
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
        // In overload everything times out, and ejecting some servers overloads the rest: report only while others are quick.
        if (!down && latencies.fleetFraction < LATE_FRACTION && isFaulty(host, classIndex)) { reportFailure(host, classIndex); }
    }

    // By counts alone, all servers would be ejected when all of them lose a fraction of their answers.
    private boolean isFaulty(Host host, int classIndex) { return host.failureRate[classIndex] > 0.4; }

    /** Reports a failure to a few gateways: one of hundreds sees too few answers to detect a failing server by itself. */
    private void reportFailure(Host host, int classIndex) {
        int gateways = settings.gateways();
        for (int i = 0; i < Math.min(Customer.GOSSIP_FANOUT, gateways); i++) {
            int distance = Math.max(1, gateways / Customer.GOSSIP_FANOUT);
            int peer = (Peers.hash(host.id, gateways) + i * distance) % gateways;
            if (peer == settings.self()) { countReport(host, classIndex); }
            faultReporter.report(peer, new FaultReport(false, host.id, classIndex));
        }
    }

    /** Another gateway reported a failure of a server, or its ejection. */
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
        if (++host.failureReports[classIndex] > EJECT_AFTER_FAILURES + 1
                && settings.gateways() > Customer.GOSSIP_FANOUT) { eject(host, classIndex); }
    }

    /** Ejects a server for a class; a gateway that did not know yet passes this on once, with its next messages. */
    private void eject(Host host, int classIndex) {
        if (host.ejectedUntilMs[classIndex] > clock.now + MAX_EJECT_MS / 4 || host.failureRate[classIndex] < 0.2) { return; }
        host.ejectedUntilMs[classIndex] = clock.now + MAX_EJECT_MS / 2;
        faultReporter.passOn(new FaultReport(true, host.id, classIndex));
    }

    void recordAnswer(Host host, int classIndex) {
        cold.warmThroughput.recordAnswer(host);
        if (host.down) { host.coldSinceMs = clock.now; Arrays.fill(host.failures, 0); } // back, and its restart has not been announced
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

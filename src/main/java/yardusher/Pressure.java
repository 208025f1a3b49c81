package yardusher;

import java.util.*;
import java.util.stream.IntStream;
import yardusher.Api.*;

/**
 * Load shedding.
 * When the servers are near their limits or answers take much of their aim, requests of the least worth for their work are refused.
 */
final class Pressure {
    static final double SHED_FROM_LOAD = 0.7; // fraction of all servers' limits at which shedding starts
    static final double SHED_FROM_LATENCY = 0.25; // the same for the latency of answers, as a fraction of the aim: few are late then
    private final Settings settings; private final Servers servers;
    private final double[] requestedWork; // requested work by class and plan, decaying
    private final double[] refuseFraction; // fraction of it to refuse until the next sweep
    double shedFraction; // fraction of all work to refuse
    private double refusalsDue; // fraction of a refusal carried over to the next request

    Pressure(Settings settings, Servers servers) {
        this.settings = settings; this.servers = servers;
        requestedWork = new double[servers.latencies.classLatencyMs.length * Math.max(1, settings.plans().size())];
        refuseFraction = new double[requestedWork.length];
    }

    private double worth(int index) {
        int plans = Math.max(1, settings.plans().size());
        return settings.classes().get(index / plans).worth() * settings.plans().get(index % plans).value()
                / servers.latencies.classLatencyMs[index / plans];
    }

    boolean shouldShed(Request request) {
        int index = request.classIndex() * Math.max(1, settings.plans().size()) + request.plan();
        requestedWork[index] += servers.latencies.classLatencyMs[request.classIndex()];
        refusalsDue += refuseFraction[index];
        boolean refuses = refusalsDue >= 1;
        refusalsDue -= refuses ? 1 : 0; return refuses;
    }

    void sweep() {
        double load = 0, capacity = 0;
        for (Host host : servers.hosts.ready) {
            if (host.down || host.banned) { continue; }
            load += host.load(); capacity += host.limit * host.warmth();
        }
        double busy = capacity > 0 ? (load / capacity - SHED_FROM_LOAD) / (1 - SHED_FROM_LOAD) : 0;
        // One gateway of hundreds never fills its share of the limits, so the latency of all answers counts, too.
        shedFraction = Math.max(0, Math.min(0.9, Math.max(busy, 2 * (servers.latencies.fleetFraction - SHED_FROM_LATENCY))));
        // A worth changes with each answer; compared with a threshold from the sweep, it would shed all or nothing.
        double[] worths = IntStream.range(0, requestedWork.length).mapToDouble(this::worth).toArray();
        double workLeft = shedFraction * Arrays.stream(requestedWork).sum();
        for (double worth : Arrays.stream(worths).sorted().distinct().toArray()) {
            double workOfWorth = 0;
            for (int i = 0; i < worths.length; i++) { workOfWorth += worths[i] == worth ? requestedWork[i] : 0; }
            double fraction = workLeft > 0 ? Math.min(1, workLeft / workOfWorth) : 0;
            for (int i = 0; i < worths.length; i++) { if (worths[i] == worth) { refuseFraction[i] = fraction; } }
            workLeft = Math.max(0, workLeft - workOfWorth);
        }
        for (int i = 0; i < requestedWork.length; i++) { requestedWork[i] *= 0.9; }
    }
}

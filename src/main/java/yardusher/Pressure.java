package yardusher;

import java.util.*;
import java.util.stream.IntStream;
import yardusher.Api.*;

/**
 * Load shedding.
 * When the servers are near their limits or answers take much of their aim, requests of the least worth for their work are refused.
 */
final class Pressure {
    static final double BUSY = 0.7;          // fraction of all servers' limits at which shedding starts
    static final double SLOW = 0.25;         // the same for the latency of answers, as a fraction of the aim: few are late then
    private final Settings settings; private final Servers servers;
    private final double[] weight;                   // requested work by class and plan, decaying
    private final double[] refused;                  // fraction of it to refuse until the next sweep
    double shedPart;                                 // fraction of all work to refuse
    private double shedDue;                          // refusals that are due, below 1

    Pressure(Settings settings, Servers servers) {
        this.settings = settings; this.servers = servers;
        weight = new double[servers.times.classMs.length * Math.max(1, settings.plans().size())];
        refused = new double[weight.length];
    }

    private double worth(int index) {
        int plans = Math.max(1, settings.plans().size());
        return settings.classes().get(index / plans).worth() * settings.plans().get(index % plans).value()
                / servers.times.classMs[index / plans];
    }

    boolean shed(Request q) {
        int index = q.classIndex() * Math.max(1, settings.plans().size()) + q.plan();
        weight[index] += servers.times.classMs[q.classIndex()];
        shedDue += refused[index];
        boolean owed = shedDue >= 1;
        shedDue -= owed ? 1 : 0; return owed;
    }

    void sweep() {
        double load = 0, room = 0;
        for (Host host : servers.hosts.ready) {
            if (host.down || host.banned) { continue; }
            load += host.load(); room += host.limit * host.warmth();
        }
        double busy = room > 0 ? (load / room - BUSY) / (1 - BUSY) : 0;
        // One gateway of hundreds never fills its share of the limits, so the latency of all answers counts, too.
        shedPart = Math.max(0, Math.min(0.9, Math.max(busy, 2 * (servers.times.fleetPart - SLOW))));
        // A worth changes with each answer; compared with a threshold from the sweep, it would shed all or nothing.
        double[] worths = IntStream.range(0, weight.length).mapToDouble(this::worth).toArray();
        double left = shedPart * Arrays.stream(weight).sum();
        for (double least : Arrays.stream(worths).sorted().distinct().toArray()) {
            double same = 0;
            for (int i = 0; i < worths.length; i++) { same += worths[i] == least ? weight[i] : 0; }
            double part = left > 0 ? Math.min(1, left / same) : 0;
            for (int i = 0; i < worths.length; i++) { if (worths[i] == least) { refused[i] = part; } }
            left = Math.max(0, left - same);
        }
        for (int i = 0; i < weight.length; i++) { weight[i] *= 0.9; }
    }
}

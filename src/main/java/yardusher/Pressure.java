package yardusher;

import java.util.*;
import yardusher.Api.*;

/**
 * Pressure.
 * When answers use up their aim everywhere, the least worth for its work is refused at once.
 */
final class Pressure {
    static final double BUSY = 0.7;          // part of all servers' limits at which shedding starts
    private final Settings settings; private final Servers servers;
    private final double[] weight;                   // asked work of each class and plan, fading
    double shedPart;                                 // part of the work to refuse
    private double shedBelow;                        // worth a millisecond under which all is refused
    private double shedAt, shedDue;                  // part refused of what has exactly that worth

    Pressure(Settings settings, Servers servers) {
        this.settings = settings; this.servers = servers;
        weight = new double[servers.classMs.length * Math.max(1, settings.plans().size())];
    }

    private double worth(int index) {
        int plans = Math.max(1, settings.plans().size());
        return settings.classes().get(index / plans).worth() * settings.plans().get(index % plans).value()
                / servers.classMs[index / plans];
    }

    boolean shed(Request q) {
        int index = q.classIndex() * Math.max(1, settings.plans().size()) + q.plan();
        weight[index] += servers.classMs[q.classIndex()];
        if (shedPart <= 0) { return false; }
        double worth = worth(index);
        if (Math.abs(worth - shedBelow) > 1e-9) { return worth < shedBelow; }
        shedDue += shedAt;
        boolean refused = shedDue >= 1;
        shedDue -= refused ? 1 : 0; return refused;
    }

    void sweep() {
        double load = 0, room = 0;
        for (Host host : servers.ready) {
            if (host.down || host.banned) { continue; }
            load += host.load(); room += host.limit * host.warmth();
        }
        double pressure = room > 0 ? load / room : 0;
        // A gateway of hundreds never fills its part of the limits: it goes by the answers of all servers.
        double slow = 1.5 * (servers.fleetPart - Servers.LATE);
        double wanted = Math.max(0, Math.min(0.9, Math.max((pressure - BUSY) / (1 - BUSY), slow)));
        shedPart += 0.5 * (wanted - shedPart);
        List<Integer> order = new ArrayList<>();
        for (int i = 0; i < weight.length; i++) { order.add(i); }
        order.sort(Comparator.comparingDouble(this::worth));
        double left = shedPart * Arrays.stream(weight).sum();
        shedBelow = Double.POSITIVE_INFINITY;
        for (int i : order) {
            boolean last = left < weight[i] && shedBelow == Double.POSITIVE_INFINITY;
            if (last) { shedBelow = worth(i); shedAt = left / weight[i]; }
            left -= weight[i]; weight[i] *= 0.9;
        }
    }
}

package yardusher;

import java.util.Arrays;
import yardusher.Api.Metric;
import yardusher.Api.Settings;

/** State of one listed server: its load, its learned concurrency limit, and its health by request class. */
final class Host {
    private static final double FIRST = 20;          // initial limit of a server, over all gateways
    private static final double STEP = 0.1;          // relative step by which one answer moves latencyFraction
    private static final double LEAST_PART = 0.01;
    private final Settings settings;
    private final Clock clock;
    final long id;
    int zone, cell, open, most = Integer.MAX_VALUE;  // maxOpen: bound on concurrent attempts, if one was set
    double size = 1, startedAt, blamedAt;
    boolean ready, gone, down;                       // down: the last connection attempt failed
    boolean banned;                                  // by an operator
    final int[] failures;
    final double[] failing;                          // recent fraction of its answers that failed
    final double[] outUntil, blame;
    double ghosts;                                   // attempts abandoned here that the server may still work on
    double limit, cutAt;                             // learned concurrency limit, and when it was last cut
    double part;                                     // latency of its answers as a fraction of the aim
    double ratio = 1, sampledAt;                     // its latency relative to all servers, by class
    double credit;                                   // attempts that a cold server may be sent now
    private double creditAt, creditFor = Double.NEGATIVE_INFINITY; // when they were last updated, and for which start
    double quietSince;                               // last answer while attempts are open
    double fullUntil, coldSince = Double.NEGATIVE_INFINITY;
    double queue, busy = 0.5, reportedAt = Double.NEGATIVE_INFINITY;

    Host(long id, boolean banned, Settings settings, Clock clock) {
        this.settings = settings; this.clock = clock; this.id = id; this.banned = banned;
        double share = FIRST / settings.gateways();
        limit = 1 + share; blamedAt = clock.now;
        int classes = settings.classes().size();
        failures = new int[classes]; failing = new double[classes];
        outUntil = new double[classes]; blame = new double[classes];
        Arrays.fill(failing, 0.5);               // unknown
    }

    /** Lifts a ban: forgets what was learned before it, and counts the server as cold rather than warm. */
    void readmit(double bannedAt) {
        banned = down = false; ghosts = fullUntil = part = 0; ratio = 1;
        limit = 1 + FIRST / settings.gateways(); quietSince = clock.now;
        coldSince = startedAt > bannedAt ? startedAt : clock.now; // its start, if it restarted during the ban
        Arrays.fill(failures, 0); Arrays.fill(failing, 0.5);
        Arrays.fill(outUntil, 0); Arrays.fill(blame, 0);
    }

    /**
     * Records the latency of an answer as a fraction of the aim. Tracks the median: a mean is moved by a few heavy
     * requests, whose latency says nothing about the server.
     */
    void took(double seen) {
        double next = seen > part ? Math.min(seen, part * (1 + STEP)) : Math.max(seen, part / (1 + STEP));
        part = Math.max(LEAST_PART, Math.min(2, next));
    }

    void place(Api.Server told) {
        zone = told.zone(); cell = told.cell(); size = told.size() > 0 ? told.size() : 1;
        ready = told.readiness() == Api.Readiness.READY; gone = told.readiness() == Api.Readiness.GONE;
    }

    Host bound(int attempts) { most = attempts; return this; }

    /** Records the load report that came with an answer; null for none. */
    void reports(double[] load) {
        for (int i = 0; load != null && i < Math.min(load.length, settings.report().size()); i++) {
            if (settings.report().get(i) == Metric.QUEUE) { queue = load[i]; }
            if (settings.report().get(i) == Metric.CPU) { busy = Math.min(1, load[i]); }
            reportedAt = clock.now;
        }
    }

    /** The fraction of its full capacity that the server has at least reached: 1 for a warm one. */
    double warmth() { return warmth(0); }

    /** The warmth so many milliseconds ago. */
    double warmth(double ago) {
        Api.Rules rules = settings.rules();
        double age = (clock.now - ago - coldSince) / Math.max(1, rules.warmAfterMs());
        return Math.min(1, rules.coldFrom() + (1 - rules.coldFrom()) * Math.max(0, age));
    }

    /**
     * Milliseconds since the previous call. The first call after a start of the server returns 0 and sets {@link #coldTokens} to a value
     * between 0 and 1 that differs by gateway, so that the first tokens of all gateways do not come at the same time.
     */
    double creditSince() {
        if (creditFor != coldSince) {
            credit = ((Peers.drawn(id, settings.gateways()) + settings.self()) % settings.gateways() + 0.5) / settings.gateways();
            creditAt = clock.now;
            creditFor = coldSince;
        }
        double since = clock.now - creditAt;
        creditAt = clock.now;
        return since;
    }

    double load() { return open + ghosts; }

    boolean full() { return load() >= limit || open >= most; }

    boolean outs(int k) { return !down && clock.now < outUntil[k]; }
}

package yardusher;

import java.util.Arrays;
import yardusher.Api.Metric;
import yardusher.Api.Settings;

/** What is known of a server of the list, with its health by class. */
final class Host {
    private static final double INITIAL_LIMIT = 20;          // first limit of a server, over all gateways
    private static final double LATENCY_STEP = 0.1;          // by which one answer moves the part
    private static final double MIN_LATENCY_FRACTION = 0.01;
    private final Settings settings;
    private final Clock clock;
    final long id;
    int zone, cell, openAttempts, maxOpen = Integer.MAX_VALUE;  // most: attempts out at once, by a told bound
    double size = 1, startedAtMs, reportsUpdatedAtMs;
    boolean ready, gone, down;                       // down: failed to connect or lost connections
    boolean banned;                                  // by hand
    final int[] failures;
    final double[] failureRate;                          // part of its answers that fail, lately
    final double[] ejectedUntilMs, failureReports;
    double abandonedAttempts;                                   // given up here, maybe still worked on there
    double limit, limitCutAtMs;                             // most to keep there at once; learned
    double latencyFraction;                                     // of the aim that its answers take
    double latencyRatio = 1, sampledAtMs;                     // its latency against all servers', by class
    double coldTokens;                                   // attempts due to a cold one
    private double coldTokensAtMs, coldTokensSinceMs = Double.NEGATIVE_INFINITY; // counted up to then, since that start
    double lastAnswerAtMs;                               // last sign of life while attempts are out
    double rejectingUntilMs, coldSinceMs = Double.NEGATIVE_INFINITY;
    double reportedQueue, reportedCpu = 0.5, reportedAtMs = Double.NEGATIVE_INFINITY;

    Host(long id, boolean banned, Settings settings, Clock clock) {
        this.settings = settings; this.clock = clock; this.id = id; this.banned = banned;
        double share = INITIAL_LIMIT / settings.gateways();
        limit = 1 + share; reportsUpdatedAtMs = clock.now;
        int classes = settings.classes().size();
        failures = new int[classes]; failureRate = new double[classes];
        ejectedUntilMs = new double[classes]; failureReports = new double[classes];
        Arrays.fill(failureRate, 0.5);               // not known yet
    }

    /** Danger: a ban outlived by what was learned before it, and a cold server taken for a warm one. */
    void readmit(double bannedAtMs) {
        banned = down = false; abandonedAttempts = rejectingUntilMs = latencyFraction = 0; latencyRatio = 1;
        limit = 1 + INITIAL_LIMIT / settings.gateways(); lastAnswerAtMs = clock.now;
        coldSinceMs = startedAtMs > bannedAtMs ? startedAtMs : clock.now; // the list says when, or not yet
        Arrays.fill(failures, 0); Arrays.fill(failureRate, 0.5);
        Arrays.fill(ejectedUntilMs, 0); Arrays.fill(failureReports, 0);
    }

    /**
     * Notes what part of its aim an answer took. Goes towards the middle of them: a mean is moved by a few heavy
     * requests, which tell of themselves and of no server.
     */
    void recordLatency(double fraction) {
        double next = fraction > latencyFraction ? Math.min(fraction, latencyFraction * (1 + LATENCY_STEP)) : Math.max(fraction, latencyFraction / (1 + LATENCY_STEP));
        latencyFraction = Math.max(MIN_LATENCY_FRACTION, Math.min(2, next));
    }

    void update(Api.Server server) {
        zone = server.zone(); cell = server.cell(); size = server.size() > 0 ? server.size() : 1;
        ready = server.readiness() == Api.Readiness.READY; gone = server.readiness() == Api.Readiness.GONE;
    }

    Host limitOpen(int attempts) { maxOpen = attempts; return this; }

    /** Notes a load report that came with an answer; null for none. */
    void recordLoadReport(double[] load) {
        for (int i = 0; load != null && i < Math.min(load.length, settings.reportedMetrics().size()); i++) {
            if (settings.reportedMetrics().get(i) == Metric.QUEUE) { reportedQueue = load[i]; }
            if (settings.reportedMetrics().get(i) == Metric.CPU) { reportedCpu = Math.min(1, load[i]); }
            reportedAtMs = clock.now;
        }
    }

    /** What part of its work a server can do by now, at the least: 1 for a warm one. */
    double warmth() { return warmth(0); }

    /** The same so many ms ago. */
    double warmth(double agoMs) {
        Api.Rules rules = settings.rules();
        double age = (clock.now - agoMs - coldSinceMs) / Math.max(1, rules.warmAfterMs());
        return Math.min(1, rules.initialWarmth() + (1 - rules.initialWarmth()) * Math.max(0, age));
    }

    /**
     * The time since this was asked last, in ms. At the first time since a start 0, and {@link #credit} begins between 0 and 1, at another
     * place at each gateway: those of all together do not come at once.
     */
    double elapsedColdMs() {
        if (coldTokensSinceMs != coldSinceMs) {
            coldTokens = ((Peers.hash(id, settings.gateways()) + settings.self()) % settings.gateways() + 0.5) / settings.gateways();
            coldTokensAtMs = clock.now;
            coldTokensSinceMs = coldSinceMs;
        }
        double since = clock.now - coldTokensAtMs;
        coldTokensAtMs = clock.now;
        return since;
    }

    double load() { return openAttempts + abandonedAttempts; }

    boolean isFull() { return load() >= limit || openAttempts >= maxOpen; }

    boolean isEjected(int classIndex) { return !down && clock.now < ejectedUntilMs[classIndex]; }
}

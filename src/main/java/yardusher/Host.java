package yardusher;

import java.util.Arrays;
import yardusher.Api.Metric;
import yardusher.Api.Settings;

/** State of one listed server: its load, its learned concurrency limit, and its health by request class. */
final class Host {
    private static final double INITIAL_LIMIT = 20; // initial limit of a server, over all gateways
    private static final double LATENCY_STEP = 0.1; // relative step by which one answer moves latencyFraction
    private static final double MIN_LATENCY_FRACTION = 0.01;
    private final Settings settings;
    private final Clock clock;
    final long id;
    int zone, cell, openAttempts, maxOpen = Integer.MAX_VALUE; // maxOpen: bound on concurrent attempts, if one was set
    double size = 1, startedAtMs, reportsUpdatedAtMs;
    boolean ready, gone, down; // down: the last connection attempt failed
    boolean banned; // by an operator
    int passedOnValues; // of the open attempts: their values are passed on as they come
    final int[] failures;
    final double[] failureRate; // recent fraction of its answers that failed
    final double[] ejectedUntilMs, failureReports;
    double abandonedAttempts; // attempts abandoned here that the server may still work on
    double limit, limitCutAtMs; // learned concurrency limit, and when it was last cut
    double latencyFraction; // latency of its answers as a fraction of the aim
    double latencyRatio = 1, sampledAtMs; // its latency relative to all servers, by class
    double coldTokens; // attempts that a cold server may be sent now
    private double coldTokensAtMs, coldTokensSinceMs = Double.NEGATIVE_INFINITY; // when they were last updated, and for which start
    double lastAnswerAtMs; // last sign of life: an answer, or the first attempt after an idle time
    double rejectingUntilMs, coldSinceMs = Double.NEGATIVE_INFINITY;
    double reportedQueue, reportedCpu = 0.5, reportedAtMs = Double.NEGATIVE_INFINITY;

    Host(long id, boolean banned, Settings settings, Clock clock) {
        this.settings = settings; this.clock = clock; this.id = id; this.banned = banned;
        double share = INITIAL_LIMIT / settings.gateways();
        limit = 1 + share; reportsUpdatedAtMs = clock.now;
        int classes = settings.classes().size();
        failures = new int[classes]; failureRate = new double[classes];
        ejectedUntilMs = new double[classes]; failureReports = new double[classes];
        Arrays.fill(failureRate, 0.5); // unknown
    }

    /** Lifts a ban: forgets what was learned before it, and counts the server as cold rather than warm. */
    void readmit(double bannedAtMs) {
        banned = down = false; abandonedAttempts = rejectingUntilMs = latencyFraction = 0; latencyRatio = 1;
        limit = 1 + INITIAL_LIMIT / settings.gateways(); lastAnswerAtMs = clock.now;
        coldSinceMs = startedAtMs > bannedAtMs ? startedAtMs : clock.now; // its start, if it restarted during the ban
        Arrays.fill(failures, 0); Arrays.fill(failureRate, 0.5);
        Arrays.fill(ejectedUntilMs, 0); Arrays.fill(failureReports, 0);
    }

    /**
     * Records the latency of an answer as a fraction of the aim. Tracks the median: a mean is moved by a few heavy
     * requests, whose latency says nothing about the server.
     */
    void recordLatency(double fraction) {
        double next = fraction > latencyFraction ? Math.min(fraction, latencyFraction * (1 + LATENCY_STEP))
                : Math.max(fraction, latencyFraction / (1 + LATENCY_STEP));
        latencyFraction = Math.max(MIN_LATENCY_FRACTION, Math.min(2, next));
    }

    void update(Api.Server server) {
        zone = server.zone(); cell = server.cell(); size = server.size() > 0 ? server.size() : 1;
        ready = server.readiness() == Api.Readiness.READY; gone = server.readiness() == Api.Readiness.GONE;
    }

    Host limitOpen(int attempts) { maxOpen = attempts; return this; }

    /** Records the load report that came with an answer; null for none. */
    void recordLoadReport(double[] load) {
        for (int i = 0; load != null && i < Math.min(load.length, settings.reportedMetrics().size()); i++) {
            if (settings.reportedMetrics().get(i) == Metric.QUEUE) { reportedQueue = load[i]; }
            if (settings.reportedMetrics().get(i) == Metric.CPU) { reportedCpu = Math.min(1, load[i]); }
            reportedAtMs = clock.now;
        }
    }

    /** The fraction of its full capacity that the server has at least reached: 1 for a warm one. */
    double warmth() { return warmth(0); }

    /** The warmth so many milliseconds ago. */
    double warmth(double agoMs) {
        Api.Rules rules = settings.rules();
        double age = (clock.now - agoMs - coldSinceMs) / Math.max(1, rules.warmAfterMs());
        return Math.min(1, rules.initialWarmth() + (1 - rules.initialWarmth()) * Math.max(0, age));
    }

    /**
     * Milliseconds since the previous call. The first call after a start of the server returns 0 and sets {@link #coldTokens} to a value
     * between 0 and 1 that differs by gateway, so that the first tokens of all gateways do not come at the same time.
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

    /** The open attempts whose answer has still to begin, or is buffered. */
    int workingAttempts() { return openAttempts - passedOnValues; }

    double load() { return workingAttempts() + abandonedAttempts; }

    boolean isFull() { return load() >= limit || openAttempts >= maxOpen; }

    boolean isEjected(int classIndex) { return !down && clock.now < ejectedUntilMs[classIndex]; }
}

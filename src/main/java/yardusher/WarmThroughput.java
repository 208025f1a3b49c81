package yardusher;

import java.util.List;

/** Throughput of a warm server as seen here: a fast moving average, with a fraction of a slow one as its lower bound. Times are in ms. */
final class WarmThroughput {
    private static final double MIN_ANSWERS = 20; // answers at which a sample weighs half, and needed for a known throughput
    private static final double SLOW_WEIGHT = 0.002, MIN_SLOW_FRACTION = 0.75; // lower bound as a fraction of the slow average: demand may drop
    private static final double COUNT_DECAY = 0.997; // decay of the count in a sample; none while no server is warm
    private double sampleAnswers, recentAnswers, samples, fastAverage, slowAverage;
    private boolean hasWarmServers = true; // whether any server was warm at the last sample

    void recordAnswer(Host host) {
        if (host.warmth() >= 1) { sampleAnswers++; recentAnswers++; }
    }

    /** Whether there were enough recent answers: an ingress that was idle must not conclude that warm servers do nothing. */
    boolean isKnown() { return recentAnswers >= MIN_ANSWERS && fastAverage > 0; }

    boolean hasWarmServers() { return hasWarmServers; }

    /** Answers per millisecond of a warm server of size 1. */
    double perMs() { return Math.max(fastAverage, MIN_SLOW_FRACTION * slowAverage); }

    /** Takes a sample of the time since the last one, which is {@link Clock#SWEEP_MS}. Keeps the averages while no server is warm. */
    void sample(List<Host> ready) {
        double warmSize = ready.stream().filter(host -> host.warmth() >= 1).mapToDouble(host -> host.size).sum();
        hasWarmServers = warmSize > 0;
        if (hasWarmServers) {
            recentAnswers *= COUNT_DECAY;
            double observed = sampleAnswers / warmSize / Clock.SWEEP_MS, expected = fastAverage * warmSize * Clock.SWEEP_MS;
            samples++;
            fastAverage += Math.max(Math.min(0.5, expected / (expected + MIN_ANSWERS)), 1 / samples) * (observed - fastAverage);
            slowAverage += Math.max(SLOW_WEIGHT, 1 / samples) * (observed - slowAverage);
        }
        sampleAnswers = 0;
    }
}

package yardusher;

import java.util.List;

/** What is known of what a warm server answers here: a mean that goes with the last answers, held up by a slow one. In ms. */
final class WarmThroughput {
    private static final double MIN_ANSWERS = 20;            // answers that weigh half, and by which nothing is known yet
    private static final double SLOW_WEIGHT = 0.002, MIN_SLOW_FRACTION = 0.75; // least part of the slow mean: few ask for a while
    private static final double COUNT_DECAY = 0.997;        // of the count, in a look; while none is warm it stays
    private double sampleAnswers, recentAnswers, samples, fastAverage, slowAverage;
    private boolean hasWarmServers = true;                     // whether any was warm at the last look

    void recordAnswer(Host host) {
        if (host.warmth() >= 1) { sampleAnswers++; recentAnswers++; }
    }

    /** Whether there were enough lately to tell. Danger: an ingress that was idle while warm ones were there takes them to do nothing. */
    boolean isKnown() { return recentAnswers >= MIN_ANSWERS && fastAverage > 0; }

    boolean hasWarmServers() { return hasWarmServers; }

    /** Of one of size 1, a millisecond. */
    double perMs() { return Math.max(fastAverage, MIN_SLOW_FRACTION * slowAverage); }

    /** Ends the time since the last look, which was {@link Clock#SWEEP_MS}. Where none is warm, what was known stays. */
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

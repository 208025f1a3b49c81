package yardusher;

import java.util.SplittableRandom;
import yardusher.Api.*;

/**
 * What cold servers may get: each its own tokens, which begin at another place at each gateway. They go by
 * what a warm one answers here: all gateways' counts of that are no more than it can do, so all tokens of a
 * server stay within N + 2 x root of N + 2 in the rules' span, N being what they allow. Each gateway takes
 * its part of the slack by the root of its share, which is concave: no more than the whole. Attempts, and ms.
 */
final class ColdAllowance {
    private static final double WARMTH_LAG = 0.6;           // of a span, by which tokens follow the warmth
    private static final double ROUNDING_MARGIN = 0.5;      // what whole tokens round off: root of a quarter of one
    private static final double SLACK_FACTOR = 1.8, MAX_SAVED_TOKENS = 2; // of the root; tokens of one server
    private static final double CHECK_WEIGHT = 0.02, ANSWER_WEIGHT = 0.1, MAX_SLOWNESS = 6; // weights of one, and the most it tells
    private static final double RARITY_FACTOR = 0.15;         // chance to go before others, by how rarely due
    private final Settings settings; private final Clock clock; private final SplittableRandom random;
    final WarmThroughput warmThroughput = new WarmThroughput();
    private double dueFraction = 0.03;                   // part of the cold ones looked at that were due, lately
    private double slowness = 1;                       // times that they take, to what their warmth lets expect

    ColdAllowance(Settings settings, Clock clock, SplittableRandom random) {
        this.settings = settings; this.clock = clock; this.random = random;
    }

    /** An attempt ended after so many times what is usual; without end for one given up. */
    void recordLatency(Host host, double times) {
        if (host.warmth() < 1) { slowness += ANSWER_WEIGHT * (Math.min(MAX_SLOWNESS, times * host.warmth()) - slowness); }
    }

    /** Whether a cold server may be sent an attempt now. Yes where too little is known of warm ones. */
    boolean isDue(Host host) {
        Rules rules = settings.rules(); double elapsedMs = host.elapsedColdMs();
        double root = Math.sqrt(settings.gateways()), spanMs = rules.overloadWindowMs();
        double warmth = host.warmth(clock.now - host.coldSinceMs < spanMs ? spanMs : WARMTH_LAG * spanMs + elapsedMs / 2);
        double allowed = rules.overloadFactor() * warmThroughput.perMs() * spanMs * host.size * warmth;
        double slack = SLACK_FACTOR * Math.max(0, Math.sqrt(allowed) - ROUNDING_MARGIN) / root;
        host.coldTokens = Math.max(-1, Math.min(MAX_SAVED_TOKENS, host.coldTokens + elapsedMs * (allowed + slack) / spanMs));
        if (warmThroughput.isKnown()) { dueFraction += CHECK_WEIGHT * ((host.coldTokens >= 1 ? 1 : 0) - dueFraction); }
        return !warmThroughput.isKnown() || host.coldTokens >= 1;
    }

    /** Whether one that is due is let into a draw: by its warmth, made up for those not due; less if slow. */
    boolean isCandidate(double warmth) {
        double slowdown = Math.max(1, slowness);
        return random.nextDouble() < warmth / (warmThroughput.isKnown() ? dueFraction : 1) / (slowdown * slowdown);
    }

    /** By what its cost is less where so few are due that the draws alone don't make up for it. */
    double costFactor(double warmth) {
        boolean rare = warmth < 1 && warmThroughput.isKnown() && random.nextDouble() < RARITY_FACTOR * (warmth / dueFraction - 1);
        return rare ? 0.5 : 1;
    }
}

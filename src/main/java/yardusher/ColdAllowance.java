package yardusher;

import java.util.SplittableRandom;
import yardusher.Api.*;

/**
 * Limits the attempts at cold servers by a token bucket for each, whose initial level differs by gateway. The rate follows the
 * throughput of a warm server as seen here. Over all gateways that is no more than it can do, so the tokens of a cold server stay
 * within N + 2 * sqrt(N) + 2 attempts in the rules' time span, N being what the rules allow. Each gateway takes its part of the slack
 * by the square root of its share, which is concave, so the parts sum to no more than the whole. Times are in milliseconds.
 */
final class ColdAllowance {
    private static final double WARMTH_LAG = 0.6; // fraction of a span by which the tokens lag behind the warmth
    private static final double ROUNDING_MARGIN = 0.5; // rounding to whole tokens: the square root of a quarter of one
    private static final double SLACK_FACTOR = 1.8, MAX_SAVED_TOKENS = 2; // factor of the root; tokens saved for one server
    private static final double CHECK_WEIGHT = 0.02, ANSWER_WEIGHT = 0.1, MAX_SLOWNESS = 6; // weight of a check and of an answer, and its cap
    private static final double RARITY_FACTOR = 0.15; // chance of a lower cost, by how rarely cold servers are due
    private final Settings settings; private final Clock clock; private final SplittableRandom random;
    final WarmThroughput warmThroughput = new WarmThroughput();
    private double dueFraction = 0.03; // recent fraction of the checked cold servers that were due
    private double slowness = 1; // latency of cold servers relative to what their warmth predicts

    ColdAllowance(Settings settings, Clock clock, SplittableRandom random) {
        this.settings = settings; this.clock = clock; this.random = random;
    }

    /** Records an attempt that took {@code times} the usual latency; infinite for an abandoned one. */
    void recordLatency(Host host, double times) {
        if (host.warmth() < 1) { slowness += ANSWER_WEIGHT * (Math.min(MAX_SLOWNESS, times * host.warmth()) - slowness); }
    }

    /** Refills the tokens of a cold server. Returns whether it may get an attempt now: always while the warm throughput is unknown. */
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

    /** Draws whether a due server becomes a candidate: by its warmth, compensated for those not due, and less often if it is slow. */
    boolean isCandidate(double warmth) {
        double slowdown = Math.max(1, slowness);
        return random.nextDouble() < warmth / (warmThroughput.isKnown() ? dueFraction : 1) / (slowdown * slowdown);
    }

    /** Factor on its cost: halved at random where so few are due that the draws alone cannot compensate. */
    double costFactor(double warmth) {
        boolean rare = warmth < 1 && warmThroughput.isKnown() && random.nextDouble() < RARITY_FACTOR * (warmth / dueFraction - 1);
        return rare ? 0.5 : 1;
    }
}

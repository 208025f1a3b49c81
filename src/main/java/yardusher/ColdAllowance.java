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
    private static final double LAG = 0.6;           // fraction of a span by which the tokens lag behind the warmth
    private static final double ROUNDING = 0.5;      // rounding to whole tokens: the square root of a quarter of one
    private static final double SLACK = 1.8, SAVED = 2; // factor of the root; tokens saved for one server
    private static final double LOOK = 0.02, END = 0.1, SLOWEST = 6; // weights of one check and one answer, and the cap of the latter
    private static final double RARE = 0.15;         // chance of a lower cost, by how rarely cold servers are due
    private final Settings settings; private final Clock clock; private final SplittableRandom random;
    final WarmAnswers warm = new WarmAnswers();
    private double dueHere = 0.03;                   // recent fraction of the checked cold servers that were due
    private double slower = 1;                       // latency of cold servers relative to what their warmth predicts

    ColdAllowance(Settings settings, Clock clock, SplittableRandom random) {
        this.settings = settings; this.clock = clock; this.random = random;
    }

    /** Records an attempt that took {@code times} the usual latency; infinite for an abandoned one. */
    void took(Host host, double times) {
        if (host.warmth() < 1) { slower += END * (Math.min(SLOWEST, times * host.warmth()) - slower); }
    }

    /** Refills the tokens of a cold server. Returns whether it may get an attempt now: always while the warm throughput is unknown. */
    boolean due(Host host) {
        Rules rules = settings.rules(); double since = host.creditSince();
        double root = Math.sqrt(settings.gateways()), span = rules.overloadForMs();
        double warmth = host.warmth(clock.now - host.coldSince < span ? span : LAG * span + since / 2);
        double n = rules.overloadFactor() * warm.perMs() * span * host.size * warmth;
        double slack = SLACK * Math.max(0, Math.sqrt(n) - ROUNDING) / root;
        host.credit = Math.max(-1, Math.min(SAVED, host.credit + since * (n + slack) / span));
        if (warm.areKnown()) { dueHere += LOOK * ((host.credit >= 1 ? 1 : 0) - dueHere); }
        return !warm.areKnown() || host.credit >= 1;
    }

    /** Draws whether a due server becomes a candidate: by its warmth, compensated for those not due, and less often if it is slow. */
    boolean draws(double warmth) {
        double held = Math.max(1, slower);
        return random.nextDouble() < warmth / (warm.areKnown() ? dueHere : 1) / (held * held);
    }

    /** Factor on its cost: halved at random where so few are due that the draws alone cannot compensate. */
    double rarity(double warmth) {
        boolean rare = warmth < 1 && warm.areKnown() && random.nextDouble() < RARE * (warmth / dueHere - 1);
        return rare ? 0.5 : 1;
    }
}

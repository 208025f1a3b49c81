package yardusher;

import java.util.List;
import yardusher.Api.RequestClass;

/** Latency statistics of the answers seen here, over all servers: in milliseconds, and as fractions of the aim. */
final class AnswerTimes {
    static final double SOON_MS = 500;               // time in which answers update the fleet's latency fully
    private final Clock clock;
    final double[] classMs;                          // usual latency of each class
    double typicalMs = 100, fleetPart;               // usual latency; answers as a fraction of the aim
    private double fleetAt;

    AnswerTimes(List<RequestClass> classes, Clock clock) {
        this.clock = clock;
        classMs = classes.stream().mapToDouble(of -> of.aimMs() / 5).toArray();
    }

    /** Records the latency of an answer: for its class, and for all answers as a fraction of their aims. */
    void took(int k, double tookMs, double aimMs) {
        classMs[k] += 0.03 * (tookMs - classMs[k]);
        typicalMs += 0.03 * (tookMs - typicalMs);
        fleetTook(tookMs / aimMs);
    }

    /** Records an abandoned attempt: where most are abandoned, the answers are quick. Capped at four means, for a few heavy ones. */
    void gaveUp(double part) { fleetTook(Math.max(fleetPart, Math.min(4 * fleetPart, part))); }

    private void fleetTook(double part) {
        double pooled = Math.max(0.03, Math.min(0.2, (clock.now - fleetAt) / SOON_MS)); // rare answers weigh more
        fleetPart += pooled * (Math.min(2, part) - fleetPart);
        fleetAt = clock.now;
    }
}

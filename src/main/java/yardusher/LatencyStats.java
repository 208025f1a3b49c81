package yardusher;

import java.util.List;
import yardusher.Api.RequestClass;

/** Latency statistics of the answers seen here, over all servers: in milliseconds, and as fractions of the aim. */
final class LatencyStats {
    static final double FLEET_AVERAGE_MS = 500; // time in which answers update the fleet's latency fully
    private final Clock clock;
    final double[] classLatencyMs; // usual latency of each class
    double typicalLatencyMs = 100, fleetFraction; // usual latency; answers as a fraction of the aim
    private double fleetUpdatedAtMs;

    LatencyStats(List<RequestClass> classes, Clock clock) {
        this.clock = clock;
        classLatencyMs = classes.stream().mapToDouble(of -> of.aimMs() / 5).toArray();
    }

    /** Records the latency of an answer: for its class, and for all answers as a fraction of their aims. */
    void recordAnswer(int classIndex, double tookMs, double aimMs) {
        classLatencyMs[classIndex] += 0.03 * (tookMs - classLatencyMs[classIndex]);
        typicalLatencyMs += 0.03 * (tookMs - typicalLatencyMs);
        updateFleet(tookMs / aimMs);
    }

    /** Records an abandoned attempt: where most are abandoned, the answers are quick. Capped at four means, for a few heavy ones. */
    void recordAbandoned(double fraction) { updateFleet(Math.max(fleetFraction, Math.min(4 * fleetFraction, fraction))); }

    private void updateFleet(double fraction) {
        double weight = Math.max(0.03, Math.min(0.2, (clock.now - fleetUpdatedAtMs) / FLEET_AVERAGE_MS)); // rare answers weigh more
        fleetFraction += weight * (Math.min(2, fraction) - fleetFraction);
        fleetUpdatedAtMs = clock.now;
    }
}

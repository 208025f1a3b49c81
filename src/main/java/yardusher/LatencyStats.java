package yardusher;

import java.util.List;
import yardusher.Api.RequestClass;

/** What is known of the times that answers take here, over all servers. In ms, and parts of the aim. */
final class LatencyStats {
    static final double FLEET_AVERAGE_MS = 500;               // in which answers tell that all are slow
    private final Clock clock;
    final double[] classLatencyMs;                          // usual latency of each class
    double typicalLatencyMs = 100, fleetFraction;               // usual latency; part of the aim that answers take
    private double fleetUpdatedAtMs;

    LatencyStats(List<RequestClass> classes, Clock clock) {
        this.clock = clock;
        classLatencyMs = classes.stream().mapToDouble(of -> of.aimMs() / 5).toArray();
    }

    /** An answer tells what a class usually takes, and what part of their aims all answers take. */
    void recordAnswer(int classIndex, double tookMs, double aimMs) {
        classLatencyMs[classIndex] += 0.03 * (tookMs - classLatencyMs[classIndex]);
        typicalLatencyMs += 0.03 * (tookMs - typicalLatencyMs);
        updateFleet(tookMs / aimMs);
    }

    /** Danger: few quick answers, most given up; or a few heavy: each counts for four means at most. */
    void recordAbandoned(double fraction) { updateFleet(Math.max(fleetFraction, Math.min(4 * fleetFraction, fraction))); }

    private void updateFleet(double fraction) {
        double weight = Math.max(0.03, Math.min(0.2, (clock.now - fleetUpdatedAtMs) / FLEET_AVERAGE_MS)); // few weigh more
        fleetFraction += weight * (Math.min(2, fraction) - fleetFraction);
        fleetUpdatedAtMs = clock.now;
    }
}

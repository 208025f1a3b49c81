package yardusher;

import java.util.List;

/** Throughput of a warm server as seen here: a fast moving average, with a fraction of a slow one as its lower bound. Times are in ms. */
final class WarmAnswers {
    private static final double FEW = 20;            // answers at which a sample weighs half; with fewer in all, the throughput is unknown
    private static final double SLOW = 0.002, FALLEN = 0.75; // lower bound as a fraction of the slow average: demand may drop
    private static final double FADE = 0.997;        // decay of the count in a sample; none while no server is warm
    private double answers, all, looks, usual, slowly;
    private boolean left = true;                     // whether any server was warm at the last sample

    void answered(Host host) {
        if (host.warmth() >= 1) { answers++; all++; }
    }

    /** Whether there were enough recent answers: an ingress that was idle must not conclude that warm servers do nothing. */
    boolean areKnown() { return all >= FEW && usual > 0; }

    boolean isLeft() { return left; }

    /** Answers per millisecond of a warm server of size 1. */
    double perMs() { return Math.max(usual, FALLEN * slowly); }

    /** Takes a sample of the time since the last one, which is {@link Clock#SWEEP_MS}. Keeps the averages while no server is warm. */
    void look(List<Host> ready) {
        double warm = ready.stream().filter(host -> host.warmth() >= 1).mapToDouble(host -> host.size).sum();
        left = warm > 0;
        if (left) {
            all *= FADE;
            double seen = answers / warm / Clock.SWEEP_MS, due = usual * warm * Clock.SWEEP_MS;
            looks++;
            usual += Math.max(Math.min(0.5, due / (due + FEW)), 1 / looks) * (seen - usual);
            slowly += Math.max(SLOW, 1 / looks) * (seen - slowly);
        }
        answers = 0;
    }
}

package yardusher.view;

/**
 * How far this process trusts its own ears and its own clock: 0 for fully. The ears' score grows when the helpers of a failed
 * probe are silent too, and when others found this one silent: then it probes more slowly and waits longer for answers
 * (Lifeguard). The clock's grows when timers come late: then also its suspicions last longer. Each answered probe
 * brings both down. Danger: silent helpers must not lengthen suspicion, else the small side of a cut takes long to see it.
 */
final class LocalHealth {
    private static final int MAX_RECEIVE_SCORE = 3;
    private static final int MAX_CLOCK_SCORE = 8;
    private int receiveScore;
    private int clockScore;

    void recordSilence(int silentPeers) { receiveScore = Math.min(MAX_RECEIVE_SCORE, receiveScore + silentPeers); }

    void recordLateTimer() { clockScore = Math.min(MAX_CLOCK_SCORE, clockScore + 1); }

    void recordAnswer() {
        receiveScore = Math.max(0, receiveScore - 1);
        clockScore = Math.max(0, clockScore - 1);
    }

    int score() { return Math.max(receiveScore, clockScore); }

    /** By which rounds and waits of probes are longer. */
    double probeFactor() { return 1 + score(); }

    /** By which suspicions last longer. */
    double suspicionFactor() { return 1 + clockScore; }
}

package yardusher.view;

/**
 * The local health score of Lifeguard: how far this process may be at fault itself, 0 for fully healthy. The receive score grows
 * when the helpers of a failed probe are silent too, and when others suspected this member: probes are then sent more slowly and
 * wait longer for answers. The clock score grows when timers fire late: suspicions then last longer as well. Each answered
 * probe lowers both. Silent helpers must not lengthen suspicions: with that, the smaller side of a network partition
 * did not settle on its new view within 15 s.
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

    /** Returns the factor by which probe rounds and probe timeouts are longer. */
    double probeFactor() { return 1 + score(); }

    /** Returns the factor by which suspicions last longer. */
    double suspicionFactor() { return 1 + clockScore; }
}

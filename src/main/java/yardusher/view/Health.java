package yardusher.view;

/**
 * How far this process trusts its own clock and its own ears: 0 for fully, up to 8. It grows when timers come late, when the
 * helpers of a probe are silent too, and when others found this one silent; each probe that is answered brings it down
 * again. All that this process waits for before it accuses another takes (1 + score) times as long (Lifeguard).
 */
final class Health {
    static final int WORST = 8;
    private int score;

    void worse(int by) { score = Math.min(WORST, score + by); }

    void better() { score = Math.max(0, score - 1); }

    int score() { return score; }

    double factor() { return 1 + score; }
}

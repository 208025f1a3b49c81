package yardusher.view;

/**
 * The local health score of Lifeguard: how far this process may be at fault itself, 0 for fully healthy. The receive score grows
 * when the helpers of a failed probe are silent too, and when others suspected this member: probes are then sent more slowly and
 * wait longer for answers. The clock score grows when timers fire late: suspicions then last longer as well. Each answered
 * probe lowers both. Silent helpers must not lengthen suspicions: with that, the smaller side of a network partition
 * did not settle on its new view within 15 s.
 */
final class Health {
    private static final int WORST_EARS = 3;
    private static final int WORST_CLOCK = 8;
    private int ears;
    private int clock;

    void silence(int by) { ears = Math.min(WORST_EARS, ears + by); }

    void lateness() { clock = Math.min(WORST_CLOCK, clock + 1); }

    void better() {
        ears = Math.max(0, ears - 1);
        clock = Math.max(0, clock - 1);
    }

    int score() { return Math.max(ears, clock); }

    /** Returns the factor by which probe rounds and probe timeouts are longer. */
    double slower() { return 1 + score(); }

    /** Returns the factor by which suspicions last longer. */
    double patience() { return 1 + clock; }
}

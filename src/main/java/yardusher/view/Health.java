package yardusher.view;

/**
 * How far this process trusts its own ears and its own clock: 0 for fully. The ears' score grows when the helpers of a failed
 * probe are silent too, and when others found this one silent: then it probes more slowly and waits longer for answers
 * (Lifeguard). The clock's grows when timers come late: then also its suspicions last longer. Each answered probe
 * brings both down. Danger: silent helpers must not lengthen suspicion, else the small side of a cut takes long to see it.
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

    /** By which rounds and waits of probes are longer. */
    double slower() { return 1 + score(); }

    /** By which suspicions last longer. */
    double patience() { return 1 + clock; }
}

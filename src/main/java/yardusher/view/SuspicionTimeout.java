package yardusher.view;

/**
 * How long a silent member has, to be heard again, before it is gone. Least: {@code suspicion} rounds of probes, more with the
 * logarithm of the installation's size above a hundred. Without anyone's confirmation three times that; each independent
 * one brings it down, and three bring it to the least (Lifeguard).
 */
final class SuspicionTimeout {
    private static final int CONFIRMATIONS = 3;
    private static final double UNCONFIRMED_FACTOR = 3;

    private SuspicionTimeout() { }

    /** In ms; {@code accusers} found it silent, of so many that are there; {@code factor} is the asker's own health's. */
    static double durationMs(double roundMs, int suspicionRounds, int activeMembers, int accusers, double factor) {
        double minimumMs = suspicionRounds * roundMs * Math.max(1, Math.log10(Math.max(1, activeMembers)) / 2) * factor;
        int confirmationsNeeded = Math.min(CONFIRMATIONS, activeMembers - 2);
        if (confirmationsNeeded <= 0) { return minimumMs; }
        double progress = Math.log(Math.max(1, accusers)) / Math.log(confirmationsNeeded + 1);
        return minimumMs * Math.max(1, UNCONFIRMED_FACTOR - (UNCONFIRMED_FACTOR - 1) * progress);
    }
}

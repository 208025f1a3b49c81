package yardusher.view;

/**
 * How long a suspected member has to refute the suspicion before it is declared GONE. The minimum is {@code suspicionRounds} probe
 * rounds, scaled by the logarithm of the fleet's size above a hundred members. Without confirmations it is three times the
 * minimum; each independent confirmation shortens it, and three bring it down to the minimum (Lifeguard).
 */
final class SuspicionTimeout {
    private static final int CONFIRMATIONS = 3;
    private static final double UNCONFIRMED_FACTOR = 3;

    private SuspicionTimeout() { }

    /**
     * Returns the duration in ms. {@code accusers}: members that found it silent, out of {@code activeMembers};
     * {@code factor}: from this member's own health.
     */
    static double durationMs(double roundMs, int suspicionRounds, int activeMembers, int accusers, double factor) {
        double minimumMs = suspicionRounds * roundMs * Math.max(1, Math.log10(Math.max(1, activeMembers)) / 2) * factor;
        int confirmationsNeeded = Math.min(CONFIRMATIONS, activeMembers - 2);
        if (confirmationsNeeded <= 0) { return minimumMs; }
        double progress = Math.log(Math.max(1, accusers)) / Math.log(confirmationsNeeded + 1);
        return minimumMs * Math.max(1, UNCONFIRMED_FACTOR - (UNCONFIRMED_FACTOR - 1) * progress);
    }
}

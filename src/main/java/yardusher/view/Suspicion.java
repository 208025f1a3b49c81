package yardusher.view;

/**
 * How long a suspected member has to refute the suspicion before it is declared GONE. The minimum is {@code suspicionRounds} probe
 * rounds, scaled by the logarithm of the fleet's size above a hundred members. Without confirmations it is three times the
 * minimum; each independent confirmation shortens it, and three bring it down to the minimum (Lifeguard).
 */
final class Suspicion {
    private static final int CONFIRMATIONS = 3;
    private static final double UNCONFIRMED = 3;

    private Suspicion() { }

    /**
     * Returns the duration in ms. {@code accusers}: members that found it silent, out of {@code activeMembers};
     * {@code factor}: from this member's own health.
     */
    static double lasts(double roundMs, int suspicion, int there, int accusers, double factor) {
        double least = suspicion * roundMs * Math.max(1, Math.log10(Math.max(1, there)) / 2) * factor;
        int wanted = Math.min(CONFIRMATIONS, there - 2);
        if (wanted <= 0) { return least; }
        double part = Math.log(Math.max(1, accusers)) / Math.log(wanted + 1);
        return least * Math.max(1, UNCONFIRMED - (UNCONFIRMED - 1) * part);
    }
}

package yardusher.view;

/**
 * How long a silent member has, to be heard again, before it is gone. Least: {@code suspicion} rounds of probes, more with the
 * logarithm of the installation's size above a hundred. Without anyone's confirmation three times that; each independent
 * one brings it down, and three bring it to the least (Lifeguard).
 */
final class Suspicion {
    private static final int CONFIRMATIONS = 3;
    private static final double UNCONFIRMED = 3;

    private Suspicion() { }

    /** In ms; {@code accusers} found it silent, of so many that are there; {@code factor} is the asker's own health's. */
    static double lasts(double roundMs, int suspicion, int there, int accusers, double factor) {
        double least = suspicion * roundMs * Math.max(1, Math.log10(Math.max(1, there)) / 2) * factor;
        int wanted = Math.min(CONFIRMATIONS, there - 2);
        if (wanted <= 0) { return least; }
        double part = Math.log(Math.max(1, accusers)) / Math.log(wanted + 1);
        return least * Math.max(1, UNCONFIRMED - (UNCONFIRMED - 1) * part);
    }
}

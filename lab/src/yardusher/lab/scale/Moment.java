package yardusher.lab.scale;

/** Unix time in milliseconds with fractions that never goes back; within a millisecond or so the same in all processes of a machine. */
final class Moment {
    private static final double EPOCH_MS;
    private static final long ORIGIN;

    static {
        // The edge of a millisecond, so that processes differ by less than the clock's own step.
        long before = System.currentTimeMillis();
        long at;
        do { at = System.currentTimeMillis(); } while (at == before);
        ORIGIN = System.nanoTime();
        EPOCH_MS = at;
    }

    private Moment() { }

    static double now() { return EPOCH_MS + (System.nanoTime() - ORIGIN) / 1e6; }
}

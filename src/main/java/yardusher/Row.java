package yardusher;

/** A customer's counts by slot, as one gateway knows them; absolute slot i is at index i mod 10. */
final class Row {
    static final int SLOTS = 10; // tenths of a window, as in the Tarantool quotas README
    final int gateway, incarnation;
    final double[] slots = new double[SLOTS];
    int sequence = -1, openAttempts;
    double openAtMs, requestedUnits, requestedAtMs; // units requested, admitted or not; they decay over a window

    Row(int gateway, int incarnation) { this.gateway = gateway; this.incarnation = incarnation; }

    /** Replaces the counts by those of a message. */
    void replace(RowMessage received, Customer customer, double nowMs) {
        for (int age = 0; age < SLOTS; age++) { slots[customer.index(age)] = received.counts()[age]; }
        openAttempts = received.openAttempts(); requestedUnits = received.requestedUnits();
        openAtMs = requestedAtMs = nowMs;
    }

    double sum() {
        double sum = 0;
        for (double units : slots) { sum += units; }
        return sum;
    }
}

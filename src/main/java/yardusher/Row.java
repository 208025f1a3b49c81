package yardusher;

/** Counts by slot; absolute slot i stands at i mod 10. */
final class Row {
    static final int SLOTS = 10;                     // the source's ten tenths of a window
    final int gateway, incarnation;
    final double[] slots = new double[SLOTS];
    int sequence = -1, openAttempts;
    double openAtMs, requestedUnits, requestedAtMs;                   // units asked, let in or not; fade over a window

    Row(int gateway, int incarnation) { this.gateway = gateway; this.incarnation = incarnation; }

    /** Notes what was told of a customer, at that time. */
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

package yardusher;

/** A customer's counts by slot, as one gateway knows them; absolute slot i is at index i mod 10. */
final class Row {
    static final int SLOTS = 10;                     // tenths of a window, as in the Tarantool quotas README
    final int gateway, life;
    final double[] slots = new double[SLOTS];
    int seq = -1, open;
    double openAt, asked, askedAt;                   // units requested, admitted or not; they decay over a window

    Row(int gateway, int life) { this.gateway = gateway; this.life = life; }

    /** Replaces the counts by those of a message. */
    void take(RowText told, Customer c, double now) {
        for (int age = 0; age < SLOTS; age++) { slots[c.index(age)] = told.counts()[age]; }
        open = told.open(); asked = told.asked();
        openAt = askedAt = now;
    }

    double sum() {
        double sum = 0;
        for (double units : slots) { sum += units; }
        return sum;
    }
}

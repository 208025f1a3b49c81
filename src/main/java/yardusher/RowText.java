package yardusher;

import yardusher.Api.Settings;

/** A row of counts, or the sums of rows, in a message between gateways: whole units, by the age of their slot. */
record RowText(int tag, long customer, int first, int spread, double asked, int open, long[] counts) {
    static final int OWN = 0, SUM = 1, FAULT = 2, OUT = 3, KINDS = 4; // kinds in a tag, which also holds the plan
    private static final double ASKED_STEP = 0.1;    // requested units are sent as a logarithm, as floods reach high values
    static final int MOST_BYTES = 256;               // of one message
    static final int CUSTOMER_DIGITS = 5;
    private static final int COUNT_BYTES = 230;      // of a row at most, so that it fits a message
    private static final int MOST = 11;              // units in one digit; more take several digits

    /** Number of digits of an ingress index. */
    static int numbered(Settings settings) { return settings.gateways() < Digits.BASE ? 1 : 2; }

    private static boolean capped(Settings settings, int plan) {
        return settings.plans().get(plan).openCap() > 0;
    }

    void put(StringBuilder body, Settings settings) {
        Digits.put(body, tag, 1);
        Digits.put(body, customer, CUSTOMER_DIGITS);
        Digits.put(body, first, numbered(settings));
        Digits.put(body, spread, numbered(settings));
        long steps = (long) Math.ceil(Math.log1p(asked) / ASKED_STEP);
        Digits.put(body, Math.min(Digits.BASE - 1, steps), 1);
        Digits.put(body, Math.min(Digits.BASE - 1, open), capped(settings, tag / KINDS) ? 1 : 0);
        int room = COUNT_BYTES;
        for (int age = 0; age < counts.length; age++) {
            // Bounds the size of a row, which would otherwise fit no message and never be sent; the newest slots go first.
            for (long left = counts[age]; left > 0 && room-- > 0; left -= MOST) {
                Digits.put(body, (MOST + 1) * age + Math.min(MOST, left), 1);
            }
        }
        Digits.put(body, 0, 1);
    }

    /** The counts of a customer for a peer: this gateway's own row, or the sums of all rows except that peer's. */
    static RowText of(int kind, Customer c, int peer) {
        double[] units = c.others(peer);
        double asked = kind == OWN ? c.asked(c.mine) : units[Row.SLOTS + 1] + c.asked(c.mine);
        long[] counts = new long[Row.SLOTS];
        for (int age = 0; age < Row.SLOTS; age++) {
            counts[age] = Math.round(c.mine.slots[c.index(age)] + (kind == OWN ? 0 : units[age]));
        }
        int tag = kind + KINDS * c.planIndex, open = kind == OWN ? c.mine.open : 0;
        return new RowText(tag, c.id, Math.max(0, c.first), c.spread, asked, open, counts);
    }

    /** Reads the fields after the tag, or null if they are truncated or refer to something unknown at this site. */
    static RowText read(int tag, int plan, Digits text, Settings settings) {
        long id = text.get(CUSTOMER_DIGITS);
        int first = (int) text.get(numbered(settings)), spread = (int) text.get(numbered(settings));
        long asked = text.get(1);
        boolean known = plan < settings.plans().size();
        int open = known && capped(settings, plan) ? (int) text.get(1) : 0;
        long[] counts = new long[Row.SLOTS];
        long entry;
        while ((entry = text.get(1)) > 0) { counts[(int) entry / (MOST + 1)] += entry % (MOST + 1); }
        boolean fits = known && first < settings.gateways() && spread >= 1 && spread <= settings.gateways();
        return entry < 0 || !fits ? null
                : new RowText(tag, id, first, spread, Math.expm1(asked * ASKED_STEP), open, counts);
    }
}

package yardusher;

import yardusher.Api.Settings;

/** A row of counts, or the sums of rows, in a message between gateways: whole units, by the age of their slot. */
record RowMessage(int tag, long customer, int firstGateway, int gatewayCount, double requestedUnits, int openAttempts, long[] counts) {
    static final int OWN = 0, SUM = 1, FAULT = 2, EJECTION = 3, KINDS = 4; // kinds in a tag, which also holds the plan
    private static final double REQUESTED_STEP = 0.1; // requested units are sent as a logarithm, as floods reach high values
    static final int MAX_MESSAGE_BYTES = 256;
    static final int CUSTOMER_DIGITS = 5;
    private static final int MAX_COUNT_BYTES = 230; // of a row at most, so that it fits a message
    private static final int MAX_DIGIT_UNITS = 11; // units in one digit; more take several digits

    /** Number of digits of an ingress index. */
    static int gatewayDigits(Settings settings) { return settings.gateways() < Digits.BASE ? 1 : 2; }

    private static boolean hasOpenCap(Settings settings, int plan) {
        return settings.plans().get(plan).openCap() > 0;
    }

    void put(StringBuilder body, Settings settings) {
        Digits.put(body, tag, 1);
        Digits.put(body, customer, CUSTOMER_DIGITS);
        Digits.put(body, firstGateway, gatewayDigits(settings));
        Digits.put(body, gatewayCount, gatewayDigits(settings));
        long steps = (long) Math.ceil(Math.log1p(requestedUnits) / REQUESTED_STEP);
        Digits.put(body, Math.min(Digits.BASE - 1, steps), 1);
        Digits.put(body, Math.min(Digits.BASE - 1, openAttempts), hasOpenCap(settings, tag / KINDS) ? 1 : 0);
        int room = MAX_COUNT_BYTES;
        for (int age = 0; age < counts.length; age++) {
            // Bounds the size of a row, which would otherwise fit no message and never be sent; the newest slots go first.
            for (long left = counts[age]; left > 0 && room-- > 0; left -= MAX_DIGIT_UNITS) {
                Digits.put(body, (MAX_DIGIT_UNITS + 1) * age + Math.min(MAX_DIGIT_UNITS, left), 1);
            }
        }
        Digits.put(body, 0, 1);
    }

    /** The counts of a customer for a peer: this gateway's own row, or the sums of all rows except that peer's. */
    static RowMessage of(int kind, Customer customer, int peer) {
        double[] units = customer.unitsOfOthers(peer);
        double requestedUnits = kind == OWN ? customer.requestedUnits(customer.ownRow)
                : units[Row.SLOTS + 1] + customer.requestedUnits(customer.ownRow);
        long[] counts = new long[Row.SLOTS];
        for (int age = 0; age < Row.SLOTS; age++) {
            counts[age] = Math.round(customer.ownRow.slots[customer.index(age)] + (kind == OWN ? 0 : units[age]));
        }
        int tag = kind + KINDS * customer.planIndex, openAttempts = kind == OWN ? customer.ownRow.openAttempts : 0;
        return new RowMessage(tag, customer.id, Math.max(0, customer.firstGateway), customer.gatewayCount, requestedUnits,
                openAttempts, counts);
    }

    /** Reads the fields after the tag, or null if they are truncated or refer to something unknown at this site. */
    static RowMessage read(int tag, int plan, Digits text, Settings settings) {
        long id = text.get(CUSTOMER_DIGITS);
        int firstGateway = (int) text.get(gatewayDigits(settings)), gatewayCount = (int) text.get(gatewayDigits(settings));
        long requestedSteps = text.get(1);
        boolean known = plan < settings.plans().size();
        int openAttempts = known && hasOpenCap(settings, plan) ? (int) text.get(1) : 0;
        long[] counts = new long[Row.SLOTS];
        long entry;
        while ((entry = text.get(1)) > 0) { counts[(int) entry / (MAX_DIGIT_UNITS + 1)] += entry % (MAX_DIGIT_UNITS + 1); }
        boolean fits = known && firstGateway < settings.gateways() && gatewayCount >= 1 && gatewayCount <= settings.gateways();
        return entry < 0 || !fits ? null
                : new RowMessage(tag, id, firstGateway, gatewayCount, Math.expm1(requestedSteps * REQUESTED_STEP), openAttempts, counts);
    }
}

package yardusher;

import yardusher.Api.Settings;

/**
 * A message about a loan of a customer's ceiling: a request for a portion and tokens, or the grant that answers it.
 * The nonce is drawn by the borrower and returned with the grant.
 */
record LoanMessage(Kind kind, int plan, long customer, int firstGateway, int gatewayCount, long nonce, double portion, double tokens)
        implements CeilingMessage {
    enum Kind { REQUEST, GRANT }

    private static final int AMOUNT_DIGITS = 3;
    private static final long MAX_AMOUNT = (long) Math.pow(Digits.BASE, AMOUNT_DIGITS) - 1;
    private static final double PORTION_UNIT = 1e-6;
    private static final double TOKEN_UNIT = 0.01;

    @Override
    public void put(StringBuilder body, Settings settings) {
        int gatewayDigits = RowMessage.gatewayDigits(settings);
        Digits.put(body, kind == Kind.GRANT ? CeilingMessage.GRANT : CeilingMessage.REQUEST, 1);
        Digits.put(body, plan, 1);
        Digits.put(body, customer, RowMessage.CUSTOMER_DIGITS);
        Digits.put(body, firstGateway, gatewayDigits);
        Digits.put(body, gatewayCount, gatewayDigits);
        Digits.put(body, nonce, NONCE_DIGITS);
        Digits.put(body, steps(portion, PORTION_UNIT), AMOUNT_DIGITS);
        Digits.put(body, steps(tokens, TOKEN_UNIT), AMOUNT_DIGITS);
    }

    /** Rounds down, so that the borrower gets no more than was taken from the lender. */
    private static long steps(double amount, double unit) { return Math.max(0, Math.min(MAX_AMOUNT, (long) Math.floor(amount / unit))); }

    /** Reads the fields after the kind, or null if they are truncated or refer to something unknown at this site. */
    static LoanMessage read(int kind, Digits text, Settings settings) {
        int gatewayDigits = RowMessage.gatewayDigits(settings);
        long plan = text.get(1);
        long customer = text.get(RowMessage.CUSTOMER_DIGITS);
        long firstGateway = text.get(gatewayDigits);
        long gatewayCount = text.get(gatewayDigits);
        long nonce = text.get(NONCE_DIGITS);
        long portion = text.get(AMOUNT_DIGITS);
        long tokens = text.get(AMOUNT_DIGITS);
        boolean known = tokens >= 0 && plan < settings.plans().size()
                && settings.plans().get((int) plan).ceilingRatePerS() > 0
                && firstGateway < settings.gateways() && gatewayCount > 1 && gatewayCount <= settings.gateways();
        return !known ? null : new LoanMessage(kind == CeilingMessage.GRANT ? Kind.GRANT : Kind.REQUEST, (int) plan, customer,
                (int) firstGateway, (int) gatewayCount, nonce, portion * PORTION_UNIT, tokens * TOKEN_UNIT);
    }
}

package yardusher;

/**
 * Recalls loans, so that a restarted ingress does not earn what its previous incarnation lent: it asks its borrowers to return their
 * loans, and they confirm. The nonce is drawn by the new incarnation and returned with the confirmation.
 */
record RecallMessage(boolean confirms, long nonce) implements CeilingMessage {
    @Override
    public void put(StringBuilder body, Api.Settings settings) {
        Digits.put(body, confirms ? CONFIRMATION : RECALL, 1);
        Digits.put(body, nonce, NONCE_DIGITS);
    }

    /** Reads the fields after the kind, or null if they are truncated. */
    static RecallMessage read(boolean confirms, Digits text) {
        long nonce = text.get(NONCE_DIGITS);
        return nonce < 0 ? null : new RecallMessage(confirms, nonce);
    }
}

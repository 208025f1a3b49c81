package yardusher;

/**
 * Guards against a life of an ingress that earns what its former life lent: it asks its borrowers to give up what they hold of it, and
 * they confirm. The nonce is drawn by the new life and comes back with the confirmation.
 */
record RecallMessage(boolean confirms, long nonce) implements CeilingMessage {
    @Override
    public void put(StringBuilder body, Api.Settings settings) {
        Digits.put(body, confirms ? CONFIRMATION : RECALL, 1);
        Digits.put(body, nonce, NONCE_DIGITS);
    }

    /** What stands behind the kind, or null where it is cut short. */
    static RecallMessage read(boolean confirms, Digits text) {
        long nonce = text.get(NONCE_DIGITS);
        return nonce < 0 ? null : new RecallMessage(confirms, nonce);
    }
}

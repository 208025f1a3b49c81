package yardusher;

import yardusher.Api.Settings;

/** A message between ingresses about loans of shares of ceilings. */
sealed interface CeilingMessage permits LoanMessage, RecallMessage {
    int REQUEST = 0;
    int GRANT = 1;
    int RECALL = 2;
    int CONFIRMATION = 3;
    int NONCE_DIGITS = 4;
    long NONCES = (long) Math.pow(Digits.BASE, NONCE_DIGITS);

    void put(StringBuilder body, Settings settings);

    /** Reads the next one, or null if it is truncated or refers to something unknown at this site. */
    static CeilingMessage read(Digits text, Settings settings) {
        int kind = (int) text.get(1);
        return switch (kind) {
            case REQUEST, GRANT -> LoanMessage.read(kind, text, settings);
            case RECALL, CONFIRMATION -> RecallMessage.read(kind == CONFIRMATION, text);
            default -> null;
        };
    }
}

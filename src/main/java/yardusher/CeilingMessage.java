package yardusher;

import yardusher.Api.Settings;

/** What ingresses say to each other of the shares of ceilings that they lend. */
sealed interface CeilingMessage permits LoanMessage, RecallMessage {
    int REQUEST = 0;
    int GRANT = 1;
    int RECALL = 2;
    int CONFIRMATION = 3;
    int NONCE_DIGITS = 4;
    long NONCES = (long) Math.pow(Digits.BASE, NONCE_DIGITS);

    void put(StringBuilder body, Settings settings);

    /** The next one of a message, or null where it is cut short or names nothing of this site. */
    static CeilingMessage read(Digits text, Settings settings) {
        int kind = (int) text.get(1);
        return switch (kind) {
            case REQUEST, GRANT -> LoanMessage.read(kind, text, settings);
            case RECALL, CONFIRMATION -> RecallMessage.read(kind == CONFIRMATION, text);
            default -> null;
        };
    }
}

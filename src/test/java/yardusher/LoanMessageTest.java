package yardusher;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Encoding and decoding of loan messages. */
class LoanMessageTest {
    private static final Api.Settings SETTINGS = PolicyTest.settings(0, 14, false);
    private static final LoanMessage REQUEST =
            new LoanMessage(LoanMessage.Kind.REQUEST, PolicyTest.CEILING_PLAN, (1L << 33) - 1, 13, 5, CeilingMessage.NONCES - 1, 0.0625, 12.25);

    private static String text(LoanMessage loan) {
        StringBuilder body = new StringBuilder();
        loan.put(body, SETTINGS);
        return body.toString();
    }

    private static LoanMessage read(String text) { return (LoanMessage) CeilingMessage.read(new Digits(text, 0), SETTINGS); }

    @Test
    void loansComeLastAndAMessageStaysWithinItsSize() {
        GossipMessage message = new GossipMessage(SETTINGS, 3, false, 5);
        FaultReport fault = new FaultReport(false, 11, 1);
        int loans;
        assertThat(message.add(REQUEST, 1) && message.add(fault, 1)).isTrue();
        for (loans = 1; message.add(REQUEST, 1);) { loans++; }
        assertThat(message.toString().length()).isLessThanOrEqualTo(RowMessage.MAX_MESSAGE_BYTES);
        GossipMessage.Decoded heard = GossipMessage.read(message.toString(), SETTINGS);
        assertThat(heard.items()).hasSize(loans + 1).startsWith(fault);
        assertThat(loans).isGreaterThan(5);
    }

    @Test
    void aDecodedMessageEqualsTheEncodedOneWithAmountsRoundedDown() {
        LoanMessage read = read(text(REQUEST));
        assertThat(read).usingRecursiveComparison().withComparatorForType((a, b) -> Math.abs(a - b) < 1e-9 ? 0 : 1, Double.class).isEqualTo(REQUEST);
        LoanMessage fraction = new LoanMessage(LoanMessage.Kind.GRANT, PolicyTest.CEILING_PLAN, 7, 0, 2, 1, 1 / 3.0, 2 / 3.0);
        LoanMessage again = read(text(fraction));
        assertThat(again.portion()).isLessThanOrEqualTo(1 / 3.0).isGreaterThan(0.333);
        assertThat(again.tokens()).isLessThanOrEqualTo(2 / 3.0).isGreaterThan(0.65);
    }

    @Test
    void truncatedMessagesAndUnknownNamesAreRejected() {
        String body = text(REQUEST);
        for (int length = 0; length < body.length(); length++) { assertThat(read(body.substring(0, length))).as("cut at " + length).isNull(); }
        for (LoanMessage bad : new LoanMessage[] {
            new LoanMessage(LoanMessage.Kind.GRANT, PolicyTest.QUOTA_PLAN, 7, 0, 2, 1, 0.1, 1), // a plan without a ceiling
            new LoanMessage(LoanMessage.Kind.GRANT, 9, 7, 0, 2, 1, 0.1, 1),
            new LoanMessage(LoanMessage.Kind.GRANT, PolicyTest.CEILING_PLAN, 7, 14, 2, 1, 0.1, 1),
            new LoanMessage(LoanMessage.Kind.GRANT, PolicyTest.CEILING_PLAN, 7, 0, 1, 1, 0.1, 1),
            new LoanMessage(LoanMessage.Kind.GRANT, PolicyTest.CEILING_PLAN, 7, 0, 15, 1, 0.1, 1)}) {
            assertThat(read(text(bad))).as(bad.toString()).isNull();
        }
    }
}

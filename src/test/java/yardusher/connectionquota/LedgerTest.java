package yardusher.connectionquota;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import yardusher.error.PartError;

/** Shares, loans and returns between two ingresses, what a repeat and a new life change, and what is not believed. */
class LedgerTest {
    private static final long REGION = 5;

    private static Ledger ledger(int self, int count, long incarnation, int limit) {
        Ledger ledger = new Ledger(self, count, incarnation, LoanStore.NONE, true);
        ledger.setLimit(REGION, limit);
        return ledger;
    }

    /** What one tells another now. */
    static QuotaMessage messageOf(Ledger sender, int recipient) {
        PeerAccount account = sender.region(REGION).account(recipient);
        return new QuotaMessage(sender.self, sender.ingressCount, 1, sender.incarnation, sender.peerIncarnations[recipient], 1, sender.settledPeers[recipient], true, false,
                List.of(new QuotaMessage.Row(REGION, account.granted, account.recovered, account.received, account.returned, account.legacyBorrowed, 0, 0, 0, 0, 0, 0)));
    }

    private static void exchange(Ledger a, Ledger b) {
        a.observeIncarnation(b.self, b.incarnation);
        b.observeIncarnation(a.self, a.incarnation);
        a.apply(messageOf(b, a.self));
        b.apply(messageOf(a, b.self));
    }

    @Property(tries = 300)
    void sharesAddUpAndNoneShrinksWhenTheLimitGrows(@ForAll long region, @ForAll @IntRange(min = 1, max = 3000) int limit, @ForAll @IntRange(min = 1, max = 120) int count) {
        int sum = 0;
        for (int i = 0; i < count; i++) {
            int share = Ledger.share(region, limit, i, count);
            assertThat(share).isBetween(limit / count, limit / count + 1).isLessThanOrEqualTo(Ledger.share(region, limit + 1, i, count));
            sum += share;
        }
        assertThat(sum).isEqualTo(limit);
    }

    @Test
    void aLoanReducesTheLenderFirstAndARepeatedMessageChangesNothing() {
        Ledger a = ledger(0, 2, 1, 8);
        Ledger b = ledger(1, 2, 1, 8);
        exchange(a, b);
        assertThat(a.lend(a.region(REGION), 1, 9)).isEqualTo(4);
        assertThat(a.allowance(a.region(REGION))).isZero();
        assertThat(b.allowance(b.region(REGION))).isEqualTo(4);
        QuotaMessage loan = messageOf(a, 1);
        for (int i = 0; i < 3; i++) { b.apply(loan); }
        assertThat(b.allowance(b.region(REGION))).isEqualTo(8);
        assertThat(b.giveBack(b.region(REGION), 0, 3)).isEqualTo(3);
        b.apply(loan);                               // late, after some went back
        assertThat(b.allowance(b.region(REGION))).isEqualTo(5);
        assertThat(a.allowance(a.region(REGION))).isZero();
        QuotaMessage returned = messageOf(b, 0);
        a.apply(returned);
        a.apply(returned);
        assertThat(a.allowance(a.region(REGION))).isEqualTo(3);
    }

    @Test
    void unitsInUseAreNeitherLentNorReturned() {
        Ledger a = ledger(0, 2, 1, 8);
        Ledger b = ledger(1, 2, 1, 8);
        exchange(a, b);
        for (int i = 0; i < 3; i++) { assertThat(a.tryAcquire(a.region(REGION))).isTrue(); }
        assertThat(a.lend(a.region(REGION), 1, 4)).isEqualTo(1);
        assertThat(a.tryAcquire(a.region(REGION))).isFalse();
        b.apply(messageOf(a, 1));
        for (int i = 0; i < 5; i++) { assertThat(b.tryAcquire(b.region(REGION))).isTrue(); }
        assertThat(b.giveBack(b.region(REGION), 0, 1)).isZero();
        b.connectionClosed(b.region(REGION));
        assertThat(b.giveBack(b.region(REGION), 0, 1)).isEqualTo(1);
    }

    @Test
    void aNewIncarnationUsesItsShareOnlyAfterAllPeersHaveReported() {
        Ledger a = ledger(0, 3, 1, 12);
        Ledger b = ledger(1, 3, 1, 12);
        Ledger c = ledger(2, 3, 1, 12);
        exchange(a, b);
        exchange(a, c);
        a.lend(a.region(REGION), 1, 3);
        QuotaMessage delayed = messageOf(a, 1);
        b.apply(delayed);
        Ledger restarted = new Ledger(0, 3, 2, LoanStore.NONE, false);
        restarted.setLimit(REGION, 12);
        assertThat(restarted.allowance(restarted.region(REGION))).isZero();
        b.observeIncarnation(0, 2);
        b.apply(delayed);                               // of the life before: no more of it is taken
        assertThat(b.allowance(b.region(REGION))).isEqualTo(7);
        restarted.observeIncarnation(1, 1);
        restarted.apply(messageOf(b, 0));
        assertThat(restarted.unsettledPeers()).isEqualTo(1);
        assertThat(restarted.allowance(restarted.region(REGION))).isZero();
        c.observeIncarnation(0, 2);
        restarted.observeIncarnation(2, 1);
        restarted.apply(messageOf(c, 0));
        assertThat(restarted.unsettledPeers()).isZero();
        assertThat(restarted.allowance(restarted.region(REGION))).isEqualTo(1);
        b.giveBack(b.region(REGION), 0, 2);               // of the loan of the life before
        restarted.apply(messageOf(b, 0));
        assertThat(restarted.allowance(restarted.region(REGION))).isEqualTo(3);
        assertThat(b.allowance(b.region(REGION))).isEqualTo(5);
    }

    @Test
    void storedLoansReplaceTheReportsOfPeers() {
        Map<String, Integer> stored = new HashMap<>();
        LoanStore loanStore = new LoanStore() {
            @Override
            public int lent(long region, int ingress) { return stored.getOrDefault(region + " " + ingress, 0); }

            @Override
            public boolean store(long region, int ingress, int lent) {
                stored.put(region + " " + ingress, lent);
                return true;
            }
        };
        Ledger a = new Ledger(0, 3, 1, loanStore, true);
        a.setLimit(REGION, 12);
        a.observeIncarnation(1, 1);
        a.lend(a.region(REGION), 1, 3);
        Ledger restarted = new Ledger(0, 3, 2, loanStore, true);
        restarted.setLimit(REGION, 12);
        assertThat(restarted.allowance(restarted.region(REGION))).isEqualTo(1);
    }

    @Test
    void aCrashedBorrowersUnitsReturnWithItsNewIncarnationOrAProof() {
        Ledger a = ledger(0, 2, 1, 8);
        a.observeIncarnation(1, 1);
        a.lend(a.region(REGION), 1, 4);
        a.observeIncarnation(1, 2);
        assertThat(a.allowance(a.region(REGION))).isEqualTo(4);
        a.lend(a.region(REGION), 1, 2);
        a.connectionClosed(1);
        assertThat(a.allowance(a.region(REGION))).isEqualTo(4);
        assertThat(a.observeIncarnation(1, 2)).isFalse();         // whoever speaks as that life is not believed any more
        assertThat(a.observeIncarnation(1, 4)).isTrue();
    }

    @Test
    void aLoweredLimitLeavesADebtUntilBorrowersReturnUnits() {
        Ledger a = ledger(0, 2, 1, 8);
        Ledger b = ledger(1, 2, 1, 8);
        exchange(a, b);
        a.lend(a.region(REGION), 1, 4);
        b.apply(messageOf(a, 1));
        a.setLimit(REGION, 4);
        b.setLimit(REGION, 4);
        assertThat(a.allowance(a.region(REGION))).isEqualTo(-2);
        assertThat(b.allowance(b.region(REGION))).isEqualTo(6);
        assertThat(b.giveBack(b.region(REGION), 0, 4)).isEqualTo(4);
        a.apply(messageOf(b, 0));
        assertThat(a.allowance(a.region(REGION))).isEqualTo(2);
    }

    @Test
    void implausibleRowsAreCountedAndIgnored() {
        Ledger a = ledger(0, 2, 1, 8);
        a.observeIncarnation(1, 1);
        a.apply(new QuotaMessage(1, 2, 1, 1, 1, 1, true, true, false, List.of(new QuotaMessage.Row(REGION, 500, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0))));
        a.apply(new QuotaMessage(1, 2, 1, 1, 1, 2, true, true, false, List.of(new QuotaMessage.Row(REGION, 0, 0, 3, 2, 0, 0, 0, 0, 0, 0, 0))));
        assertThat(a.implausibleRows).isEqualTo(2);
        assertThat(a.allowance(a.region(REGION))).isEqualTo(4);
    }

    @Property(tries = 500)
    void malformedBytesAreRejected(@ForAll byte[] bytes) {
        try {
            QuotaMessage message = QuotaMessage.decode(bytes);
            assertThat(message.sender()).isLessThan(message.ingressCount());
        } catch (PartError e) { /* as it should */ }
    }

    @Test
    void aTruncatedMessageIsRejected() {
        Ledger a = ledger(0, 2, 1, 8);
        a.observeIncarnation(1, 1);
        a.lend(a.region(REGION), 1, 3);
        QuotaMessage message = messageOf(a, 1);
        assertThat(QuotaMessage.decode(message.encode())).isEqualTo(message);
        byte[] bytes = message.encode();
        for (int i = 0; i < bytes.length; i++) {
            byte[] truncated = java.util.Arrays.copyOf(bytes, i);
            assertThatThrownBy(() -> QuotaMessage.decode(truncated)).isInstanceOf(PartError.Message.class);
        }
        List<QuotaMessage.Row> rows = java.util.Collections.nCopies(QuotaMessage.MAX_ROWS, new QuotaMessage.Row(0xFFFFFFFFL, Integer.MAX_VALUE, Integer.MAX_VALUE, Integer.MAX_VALUE,
                Integer.MAX_VALUE, QuotaMessage.MAX_UNITS, -QuotaMessage.MAX_UNITS, QuotaMessage.MAX_UNITS, QuotaMessage.MAX_UNITS, QuotaMessage.MAX_UNITS, QuotaMessage.MAX_UNITS, QuotaMessage.MAX_UNITS));
        assertThat(new QuotaMessage(99, 100, 100, Long.MAX_VALUE, Long.MAX_VALUE, -1, true, true, true, rows).encode().length).isLessThanOrEqualTo(QuotaMessage.MAX_BYTES);
    }
}

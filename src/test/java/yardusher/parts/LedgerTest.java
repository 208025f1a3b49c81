package yardusher.parts;

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

/** Shares, loans and returns between ingresses, repeated messages, new incarnations, and implausible messages. */
class LedgerTest {
    private static final long R = 5;

    private static Ledger ledger(int self, int count, long life, int number) {
        Ledger ledger = new Ledger(self, count, life, Memory.NONE, true);
        ledger.number(R, number);
        return ledger;
    }

    /** The message that one ingress would send to another now. */
    static Telling tells(Ledger from, int to) {
        Account a = from.region(R).account(to);
        return new Telling(from.self, from.count, 1, from.life, from.lives[to], 1, from.settled[to], true, false,
                List.of(new Telling.Row(R, a.granted, a.back, a.taken, a.returned, a.old, 0, 0, 0, 0, 0, 0)));
    }

    private static void meet(Ledger a, Ledger b) {
        a.alive(b.self, b.life);
        b.alive(a.self, a.life);
        a.hears(tells(b, a.self));
        b.hears(tells(a, b.self));
    }

    @Property(tries = 300)
    void sharesAddUpAndNoneFallsWhenTheNumberGrows(@ForAll long region, @ForAll @IntRange(min = 1, max = 3000) int number, @ForAll @IntRange(min = 1, max = 120) int count) {
        int sum = 0;
        for (int i = 0; i < count; i++) {
            int share = Ledger.share(region, number, i, count);
            assertThat(share).isBetween(number / count, number / count + 1).isLessThanOrEqualTo(Ledger.share(region, number + 1, i, count));
            sum += share;
        }
        assertThat(sum).isEqualTo(number);
    }

    @Test
    void aLoanIsLessHereBeforeItIsMoreThereAndARepeatChangesNothing() {
        Ledger a = ledger(0, 2, 1, 8);
        Ledger b = ledger(1, 2, 1, 8);
        meet(a, b);
        assertThat(a.lend(a.region(R), 1, 9)).isEqualTo(4);
        assertThat(a.allowance(a.region(R))).isZero();
        assertThat(b.allowance(b.region(R))).isEqualTo(4);
        Telling told = tells(a, 1);
        for (int i = 0; i < 3; i++) { b.hears(told); }
        assertThat(b.allowance(b.region(R))).isEqualTo(8);
        assertThat(b.giveBack(b.region(R), 0, 3)).isEqualTo(3);
        b.hears(told);                               // late: some units were returned since
        assertThat(b.allowance(b.region(R))).isEqualTo(5);
        assertThat(a.allowance(a.region(R))).isZero();
        Telling back = tells(b, 0);
        a.hears(back);
        a.hears(back);
        assertThat(a.allowance(a.region(R))).isEqualTo(3);
    }

    @Test
    void whatIsOpenIsNeitherLentNorGivenBack() {
        Ledger a = ledger(0, 2, 1, 8);
        Ledger b = ledger(1, 2, 1, 8);
        meet(a, b);
        for (int i = 0; i < 3; i++) { assertThat(a.take(a.region(R))).isTrue(); }
        assertThat(a.lend(a.region(R), 1, 4)).isEqualTo(1);
        assertThat(a.take(a.region(R))).isFalse();
        b.hears(tells(a, 1));
        for (int i = 0; i < 5; i++) { assertThat(b.take(b.region(R))).isTrue(); }
        assertThat(b.giveBack(b.region(R), 0, 1)).isZero();
        b.ended(b.region(R));
        assertThat(b.giveBack(b.region(R), 0, 1)).isEqualTo(1);
    }

    @Test
    void aNewLifeOwnsItsShareOnlyOnceAllOthersHaveSaidWhatTheyHoldOfIt() {
        Ledger a = ledger(0, 3, 1, 12);
        Ledger b = ledger(1, 3, 1, 12);
        Ledger c = ledger(2, 3, 1, 12);
        meet(a, b);
        meet(a, c);
        a.lend(a.region(R), 1, 3);
        Telling late = tells(a, 1);
        b.hears(late);
        Ledger again = new Ledger(0, 3, 2, Memory.NONE, false);
        again.number(R, 12);
        assertThat(again.allowance(again.region(R))).isZero();
        b.alive(0, 2);
        b.hears(late);                               // of the previous incarnation: no further loan is accepted
        assertThat(b.allowance(b.region(R))).isEqualTo(7);
        again.alive(1, 1);
        again.hears(tells(b, 0));
        assertThat(again.unsettled()).isEqualTo(1);
        assertThat(again.allowance(again.region(R))).isZero();
        c.alive(0, 2);
        again.alive(2, 1);
        again.hears(tells(c, 0));
        assertThat(again.unsettled()).isZero();
        assertThat(again.allowance(again.region(R))).isEqualTo(1);
        b.giveBack(b.region(R), 0, 2);               // of the previous incarnation's loan
        again.hears(tells(b, 0));
        assertThat(again.allowance(again.region(R))).isEqualTo(3);
        assertThat(b.allowance(b.region(R))).isEqualTo(5);
    }

    @Test
    void aMemoryStandsInForTheOthersWord() {
        Map<String, Integer> kept = new HashMap<>();
        Memory memory = new Memory() {
            @Override
            public int lent(long region, int ingress) { return kept.getOrDefault(region + " " + ingress, 0); }

            @Override
            public boolean put(long region, int ingress, int lent) {
                kept.put(region + " " + ingress, lent);
                return true;
            }
        };
        Ledger a = new Ledger(0, 3, 1, memory, true);
        a.number(R, 12);
        a.alive(1, 1);
        a.lend(a.region(R), 1, 3);
        Ledger again = new Ledger(0, 3, 2, memory, true);
        again.number(R, 12);
        assertThat(again.allowance(again.region(R))).isEqualTo(1);
    }

    @Test
    void aDeadBorrowersUnitsComeBackWithItsNewLifeOrAProof() {
        Ledger a = ledger(0, 2, 1, 8);
        a.alive(1, 1);
        a.lend(a.region(R), 1, 4);
        a.alive(1, 2);
        assertThat(a.allowance(a.region(R))).isEqualTo(4);
        a.lend(a.region(R), 1, 2);
        a.peerEnded(1);
        assertThat(a.allowance(a.region(R))).isEqualTo(4);
        assertThat(a.alive(1, 2)).isFalse();         // messages of that incarnation are ignored from now on
        assertThat(a.alive(1, 4)).isTrue();
    }

    @Test
    void aLoweredNumberIsOwedByThoseWhoHoldMore() {
        Ledger a = ledger(0, 2, 1, 8);
        Ledger b = ledger(1, 2, 1, 8);
        meet(a, b);
        a.lend(a.region(R), 1, 4);
        b.hears(tells(a, 1));
        a.number(R, 4);
        b.number(R, 4);
        assertThat(a.allowance(a.region(R))).isEqualTo(-2);
        assertThat(b.allowance(b.region(R))).isEqualTo(6);
        assertThat(b.giveBack(b.region(R), 0, 4)).isEqualTo(4);
        a.hears(tells(b, 0));
        assertThat(a.allowance(a.region(R))).isEqualTo(2);
    }

    @Test
    void figuresThatCannotBeTrueAreCountedAndNotBelieved() {
        Ledger a = ledger(0, 2, 1, 8);
        a.alive(1, 1);
        a.hears(new Telling(1, 2, 1, 1, 1, 1, true, true, false, List.of(new Telling.Row(R, 500, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0))));
        a.hears(new Telling(1, 2, 1, 1, 1, 2, true, true, false, List.of(new Telling.Row(R, 0, 0, 3, 2, 0, 0, 0, 0, 0, 0, 0))));
        assertThat(a.far).isEqualTo(2);
        assertThat(a.allowance(a.region(R))).isEqualTo(4);
    }

    @Property(tries = 500)
    void bytesThatAreNoTellingAreRefused(@ForAll byte[] bytes) {
        try {
            Telling telling = Telling.of(bytes);
            assertThat(telling.number()).isLessThan(telling.count());
        } catch (PartError e) { /* expected for malformed bytes */ }
    }

    @Test
    void aTellingComesWholeOrNotAtAll() {
        Ledger a = ledger(0, 2, 1, 8);
        a.alive(1, 1);
        a.lend(a.region(R), 1, 3);
        Telling told = tells(a, 1);
        assertThat(Telling.of(told.bytes())).isEqualTo(told);
        byte[] bytes = told.bytes();
        for (int i = 0; i < bytes.length; i++) {
            byte[] cut = java.util.Arrays.copyOf(bytes, i);
            assertThatThrownBy(() -> Telling.of(cut)).isInstanceOf(PartError.Message.class);
        }
        List<Telling.Row> many = java.util.Collections.nCopies(Telling.ROWS, new Telling.Row(0xFFFFFFFFL, Integer.MAX_VALUE, Integer.MAX_VALUE, Integer.MAX_VALUE,
                Integer.MAX_VALUE, Telling.MOST, -Telling.MOST, Telling.MOST, Telling.MOST, Telling.MOST, Telling.MOST, Telling.MOST));
        assertThat(new Telling(99, 100, 100, Long.MAX_VALUE, Long.MAX_VALUE, -1, true, true, true, many).bytes().length).isLessThanOrEqualTo(Telling.MOST_BYTES);
    }
}

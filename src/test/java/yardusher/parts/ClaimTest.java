package yardusher.parts;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** One process at a time owns the claim, and its loans outlive it. */
class ClaimTest {
    @TempDir
    Path folder;

    private Claim claim() throws Exception { return Claim.at(folder, "n 0", 3); }

    @Test
    void oneProcessAtATimeAndLivesOnlyGrow() throws Exception {
        Claim first = claim();
        assertThat(first.take(1000, false)).isTrue();
        assertThat(first.remembers()).isFalse();
        Claim second = claim();
        assertThat(second.take(1000, false)).isFalse();
        first.close();
        assertThat(second.take(10, false)).isTrue(); // the clock was set back
        assertThat(second.life()).isEqualTo(1001);
        second.close();
    }

    @Test
    void loansAreRememberedOverADeathOnceTheFileHoldsAll() throws Exception {
        Claim first = claim();
        first.take(1000, false);
        first.put(7, 2, 5);
        first.close();                               // crashed before all peers had answered: not trusted
        Claim second = claim();
        second.take(2000, false);
        assertThat(second.remembers()).isFalse();
        assertThat(second.lent(7, 2)).isZero();
        second.put(7, 2, 4);
        second.put(9, 0, 1);
        second.trust();
        second.put(9, 1, 2);
        second.close();
        Claim third = claim();
        third.take(3000, false);
        assertThat(third.remembers()).isTrue();
        assertThat(third.wasClean()).isFalse();
        assertThat(new int[] {third.lent(7, 2), third.lent(9, 0), third.lent(9, 1), third.lent(8, 1)}).containsExactly(4, 1, 2, 0);
        third.end(true);
        third.close();
        Claim fourth = claim();
        fourth.take(4000, false);
        assertThat(fourth.wasClean()).isTrue();
        assertThat(fourth.lent(7, 2)).isEqualTo(4);
        fourth.close();
    }

    @Test
    void rowsWithoutALoanMakeRoomAndAFullFileLendsNothing() throws Exception {
        Claim claim = claim();
        claim.take(1, true);
        assertThat(claim.remembers()).isTrue();      // an absent file means that the ingress never ran
        for (int i = 0; i < 1024; i++) { assertThat(claim.put(100 + i, 1, 1)).isTrue(); }
        assertThat(claim.put(5000, 1, 1)).isFalse();
        claim.put(300, 1, 0);
        assertThat(claim.put(5000, 1, 3)).isTrue();
        assertThat(claim.lent(5000, 1)).isEqualTo(3);
        assertThat(claim.lent(300, 1)).isZero();
        claim.close();
    }

    @Test
    void anotherFileThereIsNotBelieved() throws Exception {
        Files.write(folder.resolve("yardusher-n_0.parts"), new byte[5000]);
        Claim claim = claim();
        assertThat(claim.take(1, true)).isTrue();
        assertThat(claim.remembers()).isFalse();
        claim.close();
    }

    @Test
    void theNextVersionStandsBesideAndIsGivenOfTheShare() throws Exception {
        Claim elder = claim();
        elder.take(1000, true);
        Claim younger = claim();
        assertThat(younger.take(2000, false)).isFalse();
        assertThat(elder.hasBeside()).isFalse();
        assertThat(younger.takeBeside()).isTrue();
        assertThat(elder.hasBeside()).isTrue();
        assertThat(claim().takeBeside()).isFalse();  // there is at most one successor
        assertThat(elder.canGive(7)).isTrue();
        elder.give(7, 3);
        elder.put(7, 1, 2);
        int[] given = new int[1];
        younger.beside((region, units) -> {
            given[0] += region == 7 ? units : 0;
            return 9;
        });
        assertThat(given[0]).isEqualTo(3);
        assertThat(elder.wanted(7)).isEqualTo(9);
        Ledger ledger = new Ledger(0, 3, 1, elder, true);
        Ledger.Region region = ledger.number(7, 12);
        assertThat(ledger.giveGuest(region, 9)).isEqualTo(2); // two of four are lent
        assertThat(ledger.allowance(region)).isZero();
        elder.close();
        assertThat(younger.take(3000, false)).isTrue();
        assertThat(younger.lent(7, 1)).isEqualTo(2);
        assertThat(younger.hasBeside()).isFalse();
        younger.leaveBeside();
        assertThat(younger.wanted(7)).isZero();
        younger.close();
    }
}

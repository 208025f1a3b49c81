package yardusher.connectionquota;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** One process at a time has the claim, and what it lent outlives it. */
class ClaimFileTest {
    @TempDir
    Path folder;

    private ClaimFile openClaim() throws Exception { return ClaimFile.open(folder, "n 0", 3); }

    @Test
    void onlyOneProcessOwnsTheClaimAndIncarnationsOnlyGrow() throws Exception {
        ClaimFile first = openClaim();
        assertThat(first.tryLock(1000, false)).isTrue();
        assertThat(first.hasTrustedLoans()).isFalse();
        ClaimFile second = openClaim();
        assertThat(second.tryLock(1000, false)).isFalse();
        first.close();
        assertThat(second.tryLock(10, false)).isTrue(); // the clock was set back
        assertThat(second.incarnation()).isEqualTo(1001);
        second.close();
    }

    @Test
    void loansSurviveACrashOnceTheFileIsTrusted() throws Exception {
        ClaimFile first = openClaim();
        first.tryLock(1000, false);
        first.store(7, 2, 5);
        first.close();                               // died before all others had answered: not believed
        ClaimFile second = openClaim();
        second.tryLock(2000, false);
        assertThat(second.hasTrustedLoans()).isFalse();
        assertThat(second.lent(7, 2)).isZero();
        second.store(7, 2, 4);
        second.store(9, 0, 1);
        second.markTrusted();
        second.store(9, 1, 2);
        second.close();
        ClaimFile third = openClaim();
        third.tryLock(3000, false);
        assertThat(third.hasTrustedLoans()).isTrue();
        assertThat(third.wasCleanShutdown()).isFalse();
        assertThat(new int[] {third.lent(7, 2), third.lent(9, 0), third.lent(9, 1), third.lent(8, 1)}).containsExactly(4, 1, 2, 0);
        third.recordEnd(true);
        third.close();
        ClaimFile fourth = openClaim();
        fourth.tryLock(4000, false);
        assertThat(fourth.wasCleanShutdown()).isTrue();
        assertThat(fourth.lent(7, 2)).isEqualTo(4);
        fourth.close();
    }

    @Test
    void rowsWithoutALoanAreReusedAndAFullFileRejectsLoans() throws Exception {
        ClaimFile claim = openClaim();
        claim.tryLock(1, true);
        assertThat(claim.hasTrustedLoans()).isTrue();      // told that it never ran
        for (int i = 0; i < 1024; i++) { assertThat(claim.store(100 + i, 1, 1)).isTrue(); }
        assertThat(claim.store(5000, 1, 1)).isFalse();
        claim.store(300, 1, 0);
        assertThat(claim.store(5000, 1, 3)).isTrue();
        assertThat(claim.lent(5000, 1)).isEqualTo(3);
        assertThat(claim.lent(300, 1)).isZero();
        claim.close();
    }

    @Test
    void anUnknownFileFormatIsNotTrusted() throws Exception {
        Files.write(folder.resolve("yardusher-n_0.parts"), new byte[5000]);
        ClaimFile claim = openClaim();
        assertThat(claim.tryLock(1, true)).isTrue();
        assertThat(claim.hasTrustedLoans()).isFalse();
        claim.close();
    }

    @Test
    void aSuccessorProcessIsGivenUnitsOfTheShare() throws Exception {
        ClaimFile owner = openClaim();
        owner.tryLock(1000, true);
        ClaimFile successor = openClaim();
        assertThat(successor.tryLock(2000, false)).isFalse();
        assertThat(owner.hasSuccessor()).isFalse();
        assertThat(successor.tryLockAsSuccessor()).isTrue();
        assertThat(owner.hasSuccessor()).isTrue();
        assertThat(openClaim().tryLockAsSuccessor()).isFalse();  // one at most
        assertThat(owner.canRecord(7)).isTrue();
        owner.writeGivenUnits(7, 3);
        owner.store(7, 1, 2);
        int[] given = new int[1];
        successor.exchangeAsSuccessor((region, units) -> {
            given[0] += region == 7 ? units : 0;
            return 9;
        });
        assertThat(given[0]).isEqualTo(3);
        assertThat(owner.readWantedUnits(7)).isEqualTo(9);
        Ledger ledger = new Ledger(0, 3, 1, owner, true);
        Ledger.Region region = ledger.setLimit(7, 12);
        assertThat(ledger.giveSuccessor(region, 9)).isEqualTo(2); // two of four are lent
        assertThat(ledger.allowance(region)).isZero();
        owner.close();
        assertThat(successor.tryLock(3000, false)).isTrue();
        assertThat(successor.lent(7, 1)).isEqualTo(2);
        assertThat(successor.hasSuccessor()).isFalse();
        successor.releaseSuccessorLock();
        assertThat(successor.readWantedUnits(7)).isZero();
        successor.close();
    }
}

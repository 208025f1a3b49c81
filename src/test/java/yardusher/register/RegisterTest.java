package yardusher.register;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import yardusher.error.RegisterError;
import yardusher.error.WireError;
import yardusher.lab.MemoryDisk;

/** The register's own rules, operation by operation. */
class RegisterTest {
    private final Register register = new Register();
    private long index;

    private Answer apply(Op op) { return register.apply(++index, op); }

    private Answer roll(String command, boolean takeOver) { return apply(new Op.Submit(command, "eva", 1, Kind.ROLL, "restart away=1 failures=0", takeOver)); }

    private Answer claim(String member, long nonce, long token, long beat) { return apply(new Op.Claim(member, nonce, 2, Kind.ROLL, token, beat)); }

    @Test
    void aWorkIsGivenToOneAtATimeAndTokensOnlyGrow() {
        assertThat(roll("c1", false).ok()).isTrue();
        long first = register.work(Kind.ROLL).token();
        Answer granted = claim("a1", 7, 0, 0);
        assertThat(granted.token()).isGreaterThan(first);
        assertThat(claim("a1", 7, 0, 0)).isEqualTo(granted);               // its answer was lost
        assertThat(claim("a2", 8, 0, 0).ok()).isFalse();
        apply(new Op.Renew(Kind.ROLL, granted.token(), 1));
        assertThat(claim("a2", 9, granted.token(), 0).ok()).isFalse();     // it has moved since a2 looked
        Answer next = claim("a2", 9, granted.token(), 1);
        assertThat(next.token()).isGreaterThan(granted.token());
        assertThat(apply(new Op.Renew(Kind.ROLL, granted.token(), 2)).ok()).isFalse();
        assertThat(apply(new Op.Checkpoint(Kind.ROLL, granted.token(), 1, "x", Work.State.RUNNING, "")).token()).isEqualTo(next.token());
        Op.Checkpoint kept = new Op.Checkpoint(Kind.ROLL, next.token(), 1, "x", Work.State.RUNNING, "half");
        assertThat(apply(kept).ok()).isTrue();
        assertThat(apply(kept).ok()).isTrue();                             // the same once more
        assertThat(apply(new Op.Checkpoint(Kind.ROLL, next.token(), 3, "y", Work.State.RUNNING, "")).ok()).isFalse();
        assertThat(apply(new Op.Checkpoint(Kind.ROLL, next.token(), 2, "y", Work.State.DONE, "all")).ok()).isTrue();
        assertThat(register.work(Kind.ROLL).isHeld()).isFalse();
    }

    @Test
    void aSecondOrderIsToldWhoHoldsWhatAndHowFarItIs() {
        roll("c1", false);
        Answer granted = claim("a1", 7, 0, 0);
        apply(new Op.Checkpoint(Kind.ROLL, granted.token(), 1, "x", Work.State.RUNNING, "3 of 12 done"));
        assertThat(roll("c2", false).text()).contains("held by a1").contains("3 of 12 done").contains("ordered by eva");
        Answer over = roll("c3", true);
        assertThat(over.ok()).isTrue();
        assertThat(roll("c3", true)).isEqualTo(over);
        assertThat(apply(new Op.Renew(Kind.ROLL, granted.token(), 9)).ok()).isFalse();
        apply(new Op.StepDown("c4", "eva", Kind.ROLL));
        assertThat(apply(new Op.Stop("c5", "eva", 1, Kind.ROLL)).ok()).isTrue();
        assertThat(apply(new Op.Stop("c6", "eva", 1, Kind.BANS)).ok()).isFalse();
    }

    @Test
    void bansAreOneListWithRevisionsAndBounded() {
        for (int i = 0; i < Bans.MOST; i++) { assertThat(apply(new Op.Submit("b" + i, "eva", 1, Kind.BANS, "s-" + i + " out", false)).ok()).isTrue(); }
        assertThat(apply(new Op.Submit("more", "eva", 1, Kind.BANS, "s-x out", false)).ok()).isFalse();
        assertThat(apply(new Op.Submit("in", "eva", 1, Kind.BANS, "s-7 in", false)).ok()).isTrue();
        assertThat(apply(new Op.Submit("now", "eva", 1, Kind.BANS, "s-x out", false)).ok()).isTrue();
        Bans bans = Bans.of(register.work(Kind.BANS).spec());
        assertThat(bans.all()).hasSize(Bans.MOST).noneMatch(ban -> ban.region().equals("s-7"));
        assertThat(Bans.of(bans.toString()).toString()).isEqualTo(bans.toString());
        assertThatThrownBy(() -> Bans.of("x:y")).isInstanceOf(WireError.class);
    }

    @Test
    void aForgottenMemberNeitherHoldsNorClaimsNorComesBack() {
        roll("c1", false);
        long token = claim("a1", 7, 0, 0).token();
        apply(new Op.Forget("c2", "a1"));
        assertThat(apply(new Op.Renew(Kind.ROLL, token, 1)).ok()).isFalse();
        assertThat(claim("a1", 8, 0, 0).ok()).isFalse();
        assertThat(apply(new Op.Admit("c3", "a1", "127.0.0.1:1")).text()).contains("takes a new one");
    }

    @Test
    void theWholeStateComesBackFromItsMessage() throws IOException {
        roll("c1", false);
        claim("a1", 7, 0, 0);
        apply(new Op.Admit("c3", "a9", "127.0.0.1:1"));
        Register again = Register.decode(register.encode());
        assertThat(again.encode()).isEqualTo(register.encode());
        assertThat(register.copy().encode()).isEqualTo(register.encode());
        assertThat(again.apply(index + 1, new Op.Submit("c1", "eva", 1, Kind.ROLL, "x", false)).text()).contains("ordered"); // remembered
    }

    @Test
    void whatAReaderIsToldFitsOneMessageHoweverMuchIsHeld() throws IOException {
        for (int i = 0; i < 2 * Register.MOST_COMMANDS; i++) {
            apply(new Op.Submit("command-" + i + "-" + "x".repeat(40), "e".repeat(64), 1, Kind.BANS, "s-" + "y".repeat(55) + i % 250 + " out", false));
        }
        Answer told = apply(new Op.Read());
        assertThat(told.encode().length).isLessThan(Messages.MOST_BYTES);
        assertThat(View.of(told.state()).works().get(Kind.BANS)).isNotNull();
        assertThat(register.encode().length).isGreaterThan(Messages.MOST_BYTES);
    }

    @Property(tries = 300)
    void bytesThatAreNoOperationAreAnErrorAndNothingElse(@ForAll byte[] bytes) {
        try {
            apply(Op.decode(bytes));
        } catch (IOException e) {
            assertThat(e.getMessage()).isNotBlank();
        }
    }

    @Test
    void aStoreOfAnotherMemberAndADamagedOneAreRefused() throws Exception {
        MemoryDisk disk = new MemoryDisk();
        assertThatThrownBy(() -> Store.open(disk, "site", "a1")).hasMessageContaining("holds no store of a1");
        Store.begin(disk, "site", "a1", false).close();
        assertThatThrownBy(() -> Store.begin(disk, "site", "a1", false)).hasMessageContaining("already");
        assertThatThrownBy(() -> Store.open(disk, "site", "a2")).isInstanceOf(RegisterError.Foreign.class).hasMessageContaining("member a1 of installation site");
        assertThatThrownBy(() -> Store.open(disk, "other", "a1")).isInstanceOf(RegisterError.Foreign.class);
        Store.open(disk, "site", "a1").close();
        byte[] bytes = disk.bytes(disk.list().get(0));
        bytes[20] ^= 1;
        assertThatThrownBy(() -> Store.open(disk, "site", "a1")).isInstanceOf(RegisterError.Damaged.class);
    }
}

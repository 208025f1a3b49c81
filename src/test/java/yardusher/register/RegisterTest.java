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

/** Rules of the register, operation by operation. */
class RegisterTest {
    private final Register register = new Register();
    private long index;

    private Answer apply(Operation op) { return register.apply(++index, op); }

    private Answer roll(String command, boolean takeOver) {
        return apply(new Operation.Submit(command, "eva", 1, WorkKind.ROLL, "restart away=1 failures=0", takeOver));
    }

    private Answer claim(String member, long nonce, long token, long heartbeat) {
        return apply(new Operation.Claim(member, nonce, 2, WorkKind.ROLL, token, heartbeat));
    }

    @Test
    void grantsWorkToOneHolderUnderGrowingTokens() {
        assertThat(roll("c1", false).ok()).isTrue();
        long first = register.work(WorkKind.ROLL).token();
        Answer granted = claim("a1", 7, 0, 0);
        assertThat(granted.token()).isGreaterThan(first);
        assertThat(claim("a1", 7, 0, 0)).isEqualTo(granted);               // retry after a lost reply
        assertThat(claim("a2", 8, 0, 0).ok()).isFalse();
        apply(new Operation.Renew(WorkKind.ROLL, granted.token(), 1));
        assertThat(claim("a2", 9, granted.token(), 0).ok()).isFalse();     // the heartbeat or token has changed since a2 saw it
        Answer next = claim("a2", 9, granted.token(), 1);
        assertThat(next.token()).isGreaterThan(granted.token());
        assertThat(apply(new Operation.Renew(WorkKind.ROLL, granted.token(), 2)).ok()).isFalse();
        assertThat(apply(new Operation.Checkpoint(WorkKind.ROLL, granted.token(), 1, "x", Work.State.RUNNING, "")).token())
                .isEqualTo(next.token());
        Operation.Checkpoint kept = new Operation.Checkpoint(WorkKind.ROLL, next.token(), 1, "x", Work.State.RUNNING, "half");
        assertThat(apply(kept).ok()).isTrue();
        assertThat(apply(kept).ok()).isTrue();                             // retry
        assertThat(apply(new Operation.Checkpoint(WorkKind.ROLL, next.token(), 3, "y", Work.State.RUNNING, "")).ok()).isFalse();
        assertThat(apply(new Operation.Checkpoint(WorkKind.ROLL, next.token(), 2, "y", Work.State.DONE, "all")).ok()).isTrue();
        assertThat(register.work(WorkKind.ROLL).isHeld()).isFalse();
    }

    @Test
    void refusesSecondCommandWithHolderAndProgress() {
        roll("c1", false);
        Answer granted = claim("a1", 7, 0, 0);
        apply(new Operation.Checkpoint(WorkKind.ROLL, granted.token(), 1, "x", Work.State.RUNNING, "3 of 12 done"));
        assertThat(roll("c2", false).text()).contains("held by a1").contains("3 of 12 done").contains("ordered by eva");
        Answer over = roll("c3", true);
        assertThat(over.ok()).isTrue();
        assertThat(roll("c3", true)).isEqualTo(over);
        assertThat(apply(new Operation.Renew(WorkKind.ROLL, granted.token(), 9)).ok()).isFalse();
        apply(new Operation.StepDown("c4", "eva", WorkKind.ROLL));
        assertThat(apply(new Operation.Stop("c5", "eva", 1, WorkKind.ROLL)).ok()).isTrue();
        assertThat(apply(new Operation.Stop("c6", "eva", 1, WorkKind.BANS)).ok()).isFalse();
    }

    @Test
    void bansFormOneBoundedListWithRevisions() {
        for (int i = 0; i < Bans.MAX_REGIONS; i++) {
            assertThat(apply(new Operation.Submit("b" + i, "eva", 1, WorkKind.BANS, "s-" + i + " out", false)).ok()).isTrue();
        }
        assertThat(apply(new Operation.Submit("more", "eva", 1, WorkKind.BANS, "s-x out", false)).ok()).isFalse();
        assertThat(apply(new Operation.Submit("in", "eva", 1, WorkKind.BANS, "s-7 in", false)).ok()).isTrue();
        assertThat(apply(new Operation.Submit("now", "eva", 1, WorkKind.BANS, "s-x out", false)).ok()).isTrue();
        Bans bans = Bans.of(register.work(WorkKind.BANS).spec());
        assertThat(bans.all()).hasSize(Bans.MAX_REGIONS).noneMatch(ban -> ban.region().equals("s-7"));
        assertThat(Bans.of(bans.toString()).toString()).isEqualTo(bans.toString());
        assertThatThrownBy(() -> Bans.of("x:y")).isInstanceOf(WireError.class);
    }

    @Test
    void forgottenMemberCannotHoldClaimOrReturn() {
        roll("c1", false);
        long token = claim("a1", 7, 0, 0).token();
        apply(new Operation.Forget("c2", "a1"));
        assertThat(apply(new Operation.Renew(WorkKind.ROLL, token, 1)).ok()).isFalse();
        assertThat(claim("a1", 8, 0, 0).ok()).isFalse();
        assertThat(apply(new Operation.Admit("c3", "a1", "127.0.0.1:1")).text()).contains("takes a new one");
    }

    @Test
    void decodesEncodedState() throws IOException {
        roll("c1", false);
        claim("a1", 7, 0, 0);
        apply(new Operation.Admit("c3", "a9", "127.0.0.1:1"));
        Register again = Register.decode(register.encode());
        assertThat(again.encode()).isEqualTo(register.encode());
        assertThat(register.copy().encode()).isEqualTo(register.encode());
        assertThat(again.apply(index + 1, new Operation.Submit("c1", "eva", 1, WorkKind.ROLL, "x", false)).text())
                .contains("ordered");                // remembered after decoding
    }

    @Test
    void readReplyFitsOneMessageAtFullState() throws IOException {
        for (int i = 0; i < 2 * Register.MAX_REMEMBERED_COMMANDS; i++) {
            apply(new Operation.Submit("command-" + i + "-" + "x".repeat(40), "e".repeat(64), 1, WorkKind.BANS,
                    "s-" + "y".repeat(55) + i % 250 + " out", false));
        }
        Answer told = apply(new Operation.Read());
        assertThat(told.encode().length).isLessThan(RaftMessageCodec.MAX_MESSAGE_BYTES);
        assertThat(RegisterView.of(told.state()).works().get(WorkKind.BANS)).isNotNull();
        assertThat(register.encode().length).isGreaterThan(RaftMessageCodec.MAX_MESSAGE_BYTES);
    }

    @Property(tries = 300)
    void bytesThatAreNoOperationAreAnErrorAndNothingElse(@ForAll byte[] bytes) {
        try {
            apply(Operation.decode(bytes));
        } catch (IOException e) {
            assertThat(e.getMessage()).isNotBlank();
        }
    }

    @Test
    void refusesForeignOrDamagedStore() throws Exception {
        MemoryDisk disk = new MemoryDisk();
        assertThatThrownBy(() -> RaftLogStore.open(disk, "site", "a1")).hasMessageContaining("holds no store of a1");
        RaftLogStore.create(disk, "site", "a1", false).close();
        assertThatThrownBy(() -> RaftLogStore.create(disk, "site", "a1", false)).hasMessageContaining("already");
        assertThatThrownBy(() -> RaftLogStore.open(disk, "site", "a2")).isInstanceOf(RegisterError.Foreign.class).hasMessageContaining("member a1 of installation site");
        assertThatThrownBy(() -> RaftLogStore.open(disk, "other", "a1")).isInstanceOf(RegisterError.Foreign.class);
        RaftLogStore.open(disk, "site", "a1").close();
        byte[] bytes = disk.bytes(disk.list().get(0));
        bytes[20] ^= 1;
        assertThatThrownBy(() -> RaftLogStore.open(disk, "site", "a1")).isInstanceOf(RegisterError.Damaged.class);
    }
}

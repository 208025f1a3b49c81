package yardusher.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import yardusher.register.Answer;
import yardusher.register.WorkKind;
import yardusher.register.Operation;
import yardusher.register.Register;
import yardusher.register.RegisterView;
import yardusher.register.Work;

/** Leases on drifting clocks against a real register; no two members consider themselves the holder at the same time. */
class LeaseManagerTest {
    private static final LeaseManager.LeaseTimings TERMS = new LeaseManager.LeaseTimings(1000, 0.01, 50);

    private static RegisterView view(Register register) {
        return new RegisterView(register.appliedIndex(), register.highestToken(), Map.of(WorkKind.ROLL, register.work(WorkKind.ROLL)),
                Map.of(), List.of());
    }

    @Test
    void holderStopsBeforeTakeOverAndContinuesWhileRenewed() {
        Register register = new Register();
        register.apply(1, new Operation.Submit("c", "eva", 0, WorkKind.ROLL, "restart", false));
        LeaseManager one = new LeaseManager("a1", TERMS, new Random(1));
        assertThat(one.nextActions(0, view(register), work -> true)).isEmpty();   // claims are spread
        LeaseManager.Claim claim = (LeaseManager.Claim) one.nextActions(100, view(register), work -> true).get(0);
        long token = register.apply(2, new Operation.Claim("a1", claim.nonce(), 0, WorkKind.ROLL, claim.seenToken(),
                claim.seenHeartbeat())).token();
        assertThat(one.nextActions(130, view(register), work -> true)).containsExactly(new LeaseManager.Begin(WorkKind.ROLL, token));
        assertThat(one.holds(1089, WorkKind.ROLL, token)).isTrue();
        assertThat(one.holds(1091, WorkKind.ROLL, token)).isFalse();           // 990 ms after the claim was sent
        LeaseManager.Renew renew = (LeaseManager.Renew) one.nextActions(400, view(register), work -> true).get(0);
        one.renewed(420, WorkKind.ROLL, token, true);
        assertThat(renew.heartbeat()).isEqualTo(1);
        assertThat(one.holds(1389, WorkKind.ROLL, token)).isTrue();
        assertThat(one.nextActions(1400, view(register), work -> true)).hasAtLeastOneElementOfType(LeaseManager.Stop.class);
    }

    @Test
    void refusedClaimWaitsWholeLease() {
        Register register = new Register();
        register.apply(1, new Operation.Submit("c", "eva", 0, WorkKind.ROLL, "restart", false));
        LeaseManager late = new LeaseManager("a2", TERMS, new Random(1));
        late.nextActions(0, view(register), work -> true);
        LeaseManager.Claim claim = (LeaseManager.Claim) late.nextActions(100, view(register), work -> true).get(0);
        register.apply(2, new Operation.Claim("a1", 5, 0, WorkKind.ROLL, 0, 0));      // a1 claimed first
        assertThat(late.nextActions(110, view(register), work -> true)).isEmpty();
        late.claimed(120, WorkKind.ROLL, claim.nonce(), 0);
        assertThat(late.nextActions(1100, view(register), work -> true)).isEmpty();
        assertThat(late.nextActions(1300, view(register), work -> true)).hasAtLeastOneElementOfType(LeaseManager.Claim.class);
    }

    /** Two members with clocks of different rates, late or lost replies, and pauses: their holding times never overlap. */
    @Property(tries = 200)
    void noTwoBelieveAtOnce(@ForAll long seed, @ForAll @IntRange(min = -5, max = 5) int permille) {
        double rate = 1 + permille / 1000.0;
        Random random = new Random(seed);
        Register register = new Register();
        register.apply(1, new Operation.Submit("c", "eva", 0, WorkKind.ROLL, "restart", false));
        LeaseManager[] all = {new LeaseManager("a0", TERMS, random), new LeaseManager("a1", TERMS, random)};
        double[] rates = {1, rate};
        double[] pausedUntil = new double[2];
        RegisterView[] views = {view(register), view(register)};
        long[] held = new long[2];
        for (double t = 0; t < 20_000; t += 7) {
            for (int i = 0; i < 2; i++) {
                if (t < pausedUntil[i]) { continue; }
                if (random.nextInt(200) == 0) { pausedUntil[i] = t + random.nextInt(3000); }
                if (random.nextInt(4) > 0) { views[i] = view(register); }
                double mine = t * rates[i];
                for (LeaseManager.Action act : all[i].nextActions(mine, views[i], work -> true)) {
                    answer(register, all[i], i, act, mine, random, held);
                }
            }
            boolean both = all[0].holds(t, WorkKind.ROLL, held[0]) && all[1].holds(t * rate, WorkKind.ROLL, held[1]) && held[0] != 0 && held[1] != 0;
            assertThat(both).as("at " + t).isFalse();
        }
    }

    private static void answer(Register register, LeaseManager leases, int i, LeaseManager.Action act, double mine, Random random,
            long[] held) {
        boolean lost = random.nextInt(10) == 0;
        if (act instanceof LeaseManager.Claim claim) {
            Answer answer = random.nextInt(10) == 0 ? null
                    : register.apply(0, new Operation.Claim("a" + i, claim.nonce(), 0, WorkKind.ROLL, claim.seenToken(), claim.seenHeartbeat()));
            leases.claimed(mine, WorkKind.ROLL, claim.nonce(), lost || answer == null || !answer.ok() ? 0 : answer.token());
        } else if (act instanceof LeaseManager.Renew renew) {
            boolean ok = random.nextInt(10) > 0
                    && register.apply(0, new Operation.Renew(WorkKind.ROLL, renew.token(), renew.heartbeat())).ok();
            leases.renewed(mine, WorkKind.ROLL, renew.token(), lost ? null : Boolean.valueOf(ok));
        } else if (act instanceof LeaseManager.Begin begin) {
            held[i] = begin.token();
        }
    }
}

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
import yardusher.register.Kind;
import yardusher.register.Op;
import yardusher.register.Register;
import yardusher.register.View;
import yardusher.register.Work;

/** Leases on clocks of their own, against a real register; no two members believe that they hold a work at one time. */
class LeasesTest {
    private static final Leases.Terms TERMS = new Leases.Terms(1000, 0.01, 50);

    private static View view(Register register) { return new View(register.applied(), register.tokens(), Map.of(Kind.ROLL, register.work(Kind.ROLL)), Map.of(), List.of()); }

    @Test
    void theHolderStopsBeforeAnotherMayBeginAndGoesOnWhileItIsHeard() {
        Register register = new Register();
        register.apply(1, new Op.Submit("c", "eva", 0, Kind.ROLL, "restart", false));
        Leases one = new Leases("a1", TERMS, new Random(1));
        assertThat(one.look(0, view(register), work -> true)).isEmpty();   // spread a little
        Leases.Claim claim = (Leases.Claim) one.look(100, view(register), work -> true).get(0);
        long token = register.apply(2, new Op.Claim("a1", claim.nonce(), 0, Kind.ROLL, claim.seenToken(), claim.seenBeat())).token();
        assertThat(one.look(130, view(register), work -> true)).containsExactly(new Leases.Begin(Kind.ROLL, token));
        assertThat(one.holds(1089, Kind.ROLL, token)).isTrue();
        assertThat(one.holds(1091, Kind.ROLL, token)).isFalse();           // 990 after it asked
        Leases.Renew renew = (Leases.Renew) one.look(400, view(register), work -> true).get(0);
        one.renewed(420, Kind.ROLL, token, true);
        assertThat(renew.beat()).isEqualTo(1);
        assertThat(one.holds(1389, Kind.ROLL, token)).isTrue();
        assertThat(one.look(1400, view(register), work -> true)).hasAtLeastOneElementOfType(Leases.Stop.class);
    }

    @Test
    void whoIsRefusedAfterItSawTheWinnerWaitsAWholeLease() {
        Register register = new Register();
        register.apply(1, new Op.Submit("c", "eva", 0, Kind.ROLL, "restart", false));
        Leases late = new Leases("a2", TERMS, new Random(1));
        late.look(0, view(register), work -> true);
        Leases.Claim claim = (Leases.Claim) late.look(100, view(register), work -> true).get(0);
        register.apply(2, new Op.Claim("a1", 5, 0, Kind.ROLL, 0, 0));      // was first
        assertThat(late.look(110, view(register), work -> true)).isEmpty();
        late.claimed(120, Kind.ROLL, claim.nonce(), 0);
        assertThat(late.look(1100, view(register), work -> true)).isEmpty();
        assertThat(late.look(1300, view(register), work -> true)).hasAtLeastOneElementOfType(Leases.Claim.class);
    }

    /** Two members with clocks of different rate, answers that are late or lost, and pauses: belief overlaps nowhere. */
    @Property(tries = 200)
    void noTwoBelieveAtOnce(@ForAll long seed, @ForAll @IntRange(min = -5, max = 5) int permille) {
        double rate = 1 + permille / 1000.0;
        Random random = new Random(seed);
        Register register = new Register();
        register.apply(1, new Op.Submit("c", "eva", 0, Kind.ROLL, "restart", false));
        Leases[] all = {new Leases("a0", TERMS, random), new Leases("a1", TERMS, random)};
        double[] rates = {1, rate};
        double[] pausedUntil = new double[2];
        View[] views = {view(register), view(register)};
        long[] held = new long[2];
        for (double t = 0; t < 20_000; t += 7) {
            for (int i = 0; i < 2; i++) {
                if (t < pausedUntil[i]) { continue; }
                if (random.nextInt(200) == 0) { pausedUntil[i] = t + random.nextInt(3000); }
                if (random.nextInt(4) > 0) { views[i] = view(register); }
                double mine = t * rates[i];
                for (Leases.Act act : all[i].look(mine, views[i], work -> true)) { answer(register, all[i], i, act, mine, random, held); }
            }
            boolean both = all[0].holds(t, Kind.ROLL, held[0]) && all[1].holds(t * rate, Kind.ROLL, held[1]) && held[0] != 0 && held[1] != 0;
            assertThat(both).as("at " + t).isFalse();
        }
    }

    private static void answer(Register register, Leases leases, int i, Leases.Act act, double mine, Random random, long[] held) {
        boolean lost = random.nextInt(10) == 0;
        if (act instanceof Leases.Claim claim) {
            Answer answer = random.nextInt(10) == 0 ? null : register.apply(0, new Op.Claim("a" + i, claim.nonce(), 0, Kind.ROLL, claim.seenToken(), claim.seenBeat()));
            leases.claimed(mine, Kind.ROLL, claim.nonce(), lost || answer == null || !answer.ok() ? 0 : answer.token());
        } else if (act instanceof Leases.Renew renew) {
            boolean ok = random.nextInt(10) > 0 && register.apply(0, new Op.Renew(Kind.ROLL, renew.token(), renew.beat())).ok();
            leases.renewed(mine, Kind.ROLL, renew.token(), lost ? null : Boolean.valueOf(ok));
        } else if (act instanceof Leases.Begin begin) {
            held[i] = begin.token();
        }
    }
}

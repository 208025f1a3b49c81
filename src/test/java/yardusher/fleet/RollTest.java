package yardusher.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import yardusher.error.CommandError;
import yardusher.register.Kind;
import yardusher.register.Work;

/** A roll, asked and answered by hand. */
class RollTest {
    private static Work work(String checkpoint, long seq) {
        return new Work(Kind.ROLL, 5, "restart away=1 failures=0", 0, 9, "a0", 1, 0, seq, checkpoint, Work.State.RUNNING, "", "eva", 0, 0);
    }

    private static void seal(Roll roll, double now, String member, boolean... ready) {
        List<Undertaking.Standing> all = new java.util.ArrayList<>();
        for (int i = 0; i < ready.length; i++) { all.add(new Undertaking.Standing("n" + i, ready[i])); }
        roll.sealed(now, member, all);
    }

    private static Undertaking.Keep keep(List<Undertaking.Act> acts) {
        return acts.stream().filter(Undertaking.Keep.class::isInstance).map(Undertaking.Keep.class::cast).findFirst().orElse(null);
    }

    private static Set<Undertaking.Do> orders(List<Undertaking.Act> acts) {
        Set<Undertaking.Do> orders = new HashSet<>();
        acts.stream().filter(Undertaking.Do.class::isInstance).forEach(act -> orders.add((Undertaking.Do) act));
        return orders;
    }

    @Test
    void nothingIsOrderedBeforeTheRegisterHoldsThatItIsOut() {
        Roll roll = new Roll(work("", 0), Set.of("a0", "a1"), 5000);
        assertThat(roll.next(0)).containsExactlyInAnyOrder(new Undertaking.Seal("a0"), new Undertaking.Seal("a1"));
        seal(roll, 10, "a0", true);
        assertThat(keep(roll.next(10))).isNull();                          // a1 has not told its instances
        seal(roll, 20, "a1", true);
        Undertaking.Keep plan = keep(roll.next(20));
        assertThat(plan.text()).isEqualTo("a0/n0:t,a1/n0:t");
        roll.kept(plan.seq());
        Undertaking.Keep out = keep(roll.next(30));
        assertThat(out.text()).isEqualTo("a0/n0:o,a1/n0:t");               // one away at once
        assertThat(orders(roll.next(40))).isEmpty();
        roll.kept(out.seq());
        assertThat(orders(roll.next(50))).containsExactly(new Undertaking.Do("a0", "5/n0", "restart n0"));
        roll.told(60, "a0", "5/n0", "running");
        roll.told(200, "a0", "5/n0", "done");
        assertThat(keep(roll.next(200)).text()).isEqualTo("a0/n0:d,a1/n0:t"); // the next only after a new look at a0
    }

    @Test
    void theNextHolderTakesUpWhatIsOutAndWaitsForWhoIsAwayAnyway() {
        Roll roll = new Roll(work("a0/n0:o,a1/n0:t", 4), Set.of("a0", "a1"), 5000);
        roll.next(0);
        seal(roll, 10, "a1", true);
        assertThat(orders(roll.next(10))).isEmpty();                       // a0 has not sealed
        seal(roll, 20, "a0", false);
        assertThat(orders(roll.next(20))).containsExactly(new Undertaking.Do("a0", "5/n0", "restart n0"));
        roll.told(30, "a0", "5/n0", "done");
        Undertaking.Keep done = keep(roll.next(40));
        roll.kept(done.seq());
        seal(roll, 50, "a0", false);                                       // crashed by itself meanwhile
        seal(roll, 50, "a1", true);
        assertThat(keep(roll.next(50))).isNull();
        seal(roll, 400, "a0", true);
        seal(roll, 400, "a1", true);
        assertThat(keep(roll.next(400)).text()).isEqualTo("a0/n0:d,a1/n0:o");
    }

    @Test
    void whoeverIsAwayForTooLongByItselfEndsItWithItsName() {
        Roll roll = new Roll(work("a0/n0:d,a1/n0:t", 4), Set.of("a0", "a1"), 5000);
        for (double now = 0; now < 5000; now += 100) {
            seal(roll, now, "a0", false);
            seal(roll, now, "a1", true);
            assertThat(keep(roll.next(now))).as("at " + now).isNull();
        }
        seal(roll, 5200, "a0", false);
        seal(roll, 5200, "a1", true);
        assertThat(keep(roll.next(5200)).note()).contains("others are away: a0/n0");
    }

    @Test
    void whoIsSilentForTooLongEndsItAndWhatItDidIsCalledUnknown() {
        Roll roll = new Roll(work("a0/n0:o,a1/n0:t", 4), Set.of("a0", "a1"), 5000);
        roll.next(0);
        seal(roll, 10, "a1", true);
        roll.silent(20, "a0", "no answer");
        roll.next(1000);
        roll.silent(1100, "a0", "no answer");
        Undertaking.Keep end = keep(roll.next(5200));
        assertThat(end.state()).isEqualTo(Work.State.FAILED);
        assertThat(end.note()).contains("a0 is not reached").contains("unknown");
        assertThat(roll.next(5300)).isEmpty();
    }

    @Test
    void oneFailureTooManyStopsIt() {
        Roll roll = new Roll(work("a0/n0:o,a1/n0:t", 4), Set.of("a0", "a1"), 5000);
        roll.next(0);
        seal(roll, 10, "a0", true);
        seal(roll, 10, "a1", true);
        roll.next(10);
        roll.told(20, "a0", "5/n0", "failed, not ready in time");
        Undertaking.Keep end = keep(roll.next(20));
        assertThat(end.state()).isEqualTo(Work.State.FAILED);
        assertThat(end.note()).contains("1 failed").contains("more failures than allowed");
    }

    @Test
    void ordersAreReadStrictly() {
        assertThat(Order.of("reload away=3").toString()).isEqualTo("reload away=3 failures=0");
        for (String bad : new String[] {"", "restart away=0", "restart twice", "away=2", "restart failures=-1"}) {
            assertThatThrownBy(() -> Order.of(bad)).as(bad).isInstanceOf(CommandError.class);
        }
    }
}

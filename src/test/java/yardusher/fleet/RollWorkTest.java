package yardusher.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import yardusher.error.CommandError;
import yardusher.register.WorkKind;
import yardusher.register.Work;

/** A roll procedure, driven by hand. */
class RollWorkTest {
    private static Work work(String checkpoint, long seq) {
        return new Work(WorkKind.ROLL, 5, "restart away=1 failures=0", 0, 9, "a0", 1, 0, seq, checkpoint, Work.State.RUNNING, "", "eva", 0, 0);
    }

    private static void seal(RollWork roll, double now, String member, boolean... ready) {
        List<WorkProcedure.InstanceStatus> all = new java.util.ArrayList<>();
        for (int i = 0; i < ready.length; i++) { all.add(new WorkProcedure.InstanceStatus("n" + i, ready[i])); }
        roll.onSealed(now, member, all);
    }

    private static WorkProcedure.SaveCheckpoint keep(List<WorkProcedure.Action> acts) {
        return acts.stream().filter(WorkProcedure.SaveCheckpoint.class::isInstance).map(WorkProcedure.SaveCheckpoint.class::cast)
                .findFirst().orElse(null);
    }

    private static Set<WorkProcedure.RunStep> orders(List<WorkProcedure.Action> acts) {
        Set<WorkProcedure.RunStep> orders = new HashSet<>();
        acts.stream().filter(WorkProcedure.RunStep.class::isInstance).forEach(act -> orders.add((WorkProcedure.RunStep) act));
        return orders;
    }

    @Test
    void requestsStepOnlyAfterCheckpointIsSaved() {
        RollWork roll = new RollWork(work("", 0), Set.of("a0", "a1"), 5000);
        assertThat(roll.nextActions(0)).containsExactlyInAnyOrder(new WorkProcedure.Seal("a0"), new WorkProcedure.Seal("a1"));
        seal(roll, 10, "a0", true);
        assertThat(keep(roll.nextActions(10))).isNull();                          // a1 has not reported its instances
        seal(roll, 20, "a1", true);
        WorkProcedure.SaveCheckpoint plan = keep(roll.nextActions(20));
        assertThat(plan.text()).isEqualTo("a0/n0:t,a1/n0:t");
        roll.onCheckpointSaved(plan.seq());
        WorkProcedure.SaveCheckpoint out = keep(roll.nextActions(30));
        assertThat(out.text()).isEqualTo("a0/n0:o,a1/n0:t");               // one unavailable at once
        assertThat(orders(roll.nextActions(40))).isEmpty();
        roll.onCheckpointSaved(out.seq());
        assertThat(orders(roll.nextActions(50))).containsExactly(new WorkProcedure.RunStep("a0", "5/n0", "restart n0"));
        roll.onOutcome(60, "a0", "5/n0", "running");
        roll.onOutcome(200, "a0", "5/n0", "done");
        assertThat(keep(roll.nextActions(200)).text()).isEqualTo("a0/n0:d,a1/n0:t"); // the next only after a new report from a0
    }

    @Test
    void nextHolderResumesOutInstancesAndCountsUnavailableOnes() {
        RollWork roll = new RollWork(work("a0/n0:o,a1/n0:t", 4), Set.of("a0", "a1"), 5000);
        roll.nextActions(0);
        seal(roll, 10, "a1", true);
        assertThat(orders(roll.nextActions(10))).isEmpty();                       // a0 has not sealed
        seal(roll, 20, "a0", false);
        assertThat(orders(roll.nextActions(20))).containsExactly(new WorkProcedure.RunStep("a0", "5/n0", "restart n0"));
        roll.onOutcome(30, "a0", "5/n0", "done");
        WorkProcedure.SaveCheckpoint done = keep(roll.nextActions(40));
        roll.onCheckpointSaved(done.seq());
        seal(roll, 50, "a0", false);                                       // crashed meanwhile
        seal(roll, 50, "a1", true);
        assertThat(keep(roll.nextActions(50))).isNull();
        seal(roll, 400, "a0", true);
        seal(roll, 400, "a1", true);
        assertThat(keep(roll.nextActions(400)).text()).isEqualTo("a0/n0:d,a1/n0:o");
    }

    @Test
    void failsNamingInstanceUnavailableForTooLong() {
        RollWork roll = new RollWork(work("a0/n0:d,a1/n0:t", 4), Set.of("a0", "a1"), 5000);
        for (double now = 0; now < 5000; now += 100) {
            seal(roll, now, "a0", false);
            seal(roll, now, "a1", true);
            assertThat(keep(roll.nextActions(now))).as("at " + now).isNull();
        }
        seal(roll, 5200, "a0", false);
        seal(roll, 5200, "a1", true);
        assertThat(keep(roll.nextActions(5200)).note()).contains("others are away: a0/n0");
    }

    @Test
    void failsWithUnknownOutcomeWhenMemberIsSilent() {
        RollWork roll = new RollWork(work("a0/n0:o,a1/n0:t", 4), Set.of("a0", "a1"), 5000);
        roll.nextActions(0);
        seal(roll, 10, "a1", true);
        roll.onNoAnswer(20, "a0", "no answer");
        roll.nextActions(1000);
        roll.onNoAnswer(1100, "a0", "no answer");
        WorkProcedure.SaveCheckpoint end = keep(roll.nextActions(5200));
        assertThat(end.state()).isEqualTo(Work.State.FAILED);
        assertThat(end.note()).contains("a0 is not reached").contains("unknown");
        assertThat(roll.nextActions(5300)).isEmpty();
    }

    @Test
    void stopsAfterTooManyFailures() {
        RollWork roll = new RollWork(work("a0/n0:o,a1/n0:t", 4), Set.of("a0", "a1"), 5000);
        roll.nextActions(0);
        seal(roll, 10, "a0", true);
        seal(roll, 10, "a1", true);
        roll.nextActions(10);
        roll.onOutcome(20, "a0", "5/n0", "failed, not ready in time");
        WorkProcedure.SaveCheckpoint end = keep(roll.nextActions(20));
        assertThat(end.state()).isEqualTo(Work.State.FAILED);
        assertThat(end.note()).contains("1 failed").contains("more failures than allowed");
    }

    @Test
    void rejectsInvalidRollSpecs() {
        assertThat(RollSpec.of("reload away=3").toString()).isEqualTo("reload away=3 failures=0");
        for (String bad : new String[] {"", "restart away=0", "restart twice", "away=2", "restart failures=-1"}) {
            assertThatThrownBy(() -> RollSpec.of(bad)).as(bad).isInstanceOf(CommandError.class);
        }
    }
}

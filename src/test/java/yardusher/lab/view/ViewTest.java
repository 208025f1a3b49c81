package yardusher.lab.view;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import yardusher.view.Membership;
import yardusher.view.View.State;

/** The view on scripted time, its checker, and the short ones of the hard cases by real processes. */
class ViewTest {
    private static final int SEEDS_TRIED = 20;

    private static ViewFleet fleet(long seed, int size, ViewChecker checker, Membership.Flaw flaw) {
        ViewFleet fleet = new ViewFleet(new ViewNet(seed, 1.7e12), seed, 3, checker, flaw);
        assertThat(fleet.startAll(size, 20_000)).isNotNegative();
        return fleet;
    }

    @Test
    void rulesHoldUnderToleratedAndSevereFaults() {
        for (long seed = 1001; seed <= 1012; seed++) {
            assertThat(ViewRun.play(seed, false, 0, null).breaches()).as("bounds %d", seed).isEmpty();
            assertThat(ViewRun.play(seed, true, 0, null).breaches()).as("hard %d", seed).isEmpty();
        }
    }

    @ParameterizedTest
    @EnumSource(value = Membership.Flaw.class, names = {"NO_REFUTATION", "LEFT_COME_BACK", "NO_ASKING_THE_GONE"})
    void injectedFlawIsDetectedWithinTwentySeeds(Membership.Flaw flaw) {
        boolean caught = false;
        for (long seed = 1; seed <= SEEDS_TRIED && !caught; seed++) { caught = !ViewRun.play(seed, true, 0, flaw).breaches().isEmpty(); }
        assertThat(caught).isTrue();
    }

    /** One way between two is cut and nothing else: with helpers nobody is suspected, without them somebody is. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void indirectProbesBypassALinkCutInOneDirection(boolean helpers) {
        ViewChecker checker = new ViewChecker(0);
        ViewFleet fleet = fleet(5, 12, checker, helpers ? null : Membership.Flaw.NO_HELPERS);
        fleet.net.runUntil(fleet.net.now() + 5000);
        int before = checker.falseSuspicions().size();
        fleet.net.setCut(3, 7, true);
        fleet.net.runUntil(fleet.net.now() + 60_000);
        assertThat(checker.falseSuspicions().size() - before).satisfies(more -> assertThat(more == 0).isEqualTo(helpers));
        assertThat(checker.falseGone()).isEmpty();
    }

    /** Who was stopped while it waited for answers accuses nobody when it wakes; one that trusts its clock does. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void pausedProcessDoesNotSuspectHealthyMembers(boolean health) {
        int accused = 0;
        for (long seed = 1; seed <= 10; seed++) {
            ViewChecker checker = new ViewChecker(0);
            ViewFleet fleet = fleet(seed, 20, checker, health ? null : Membership.Flaw.NO_HEALTH);
            fleet.net.setDelay(20, 20);                 // so that answers are on their way when it stops
            fleet.net.runUntil(fleet.net.now() + 3000);
            ViewFleet.Instance stopped = fleet.instanceAt(5);
            for (int i = 0; i < 10; i++) {
                fleet.net.pause(5);
                fleet.net.runUntil(fleet.net.now() + 5000);
                fleet.net.resume(5);
                fleet.net.runUntil(fleet.net.now() + 5000);
            }
            accused += (int) checker.falseSuspicions().stream().filter(one -> one.observer() == stopped.number && !one.name().equals("n5")).count();
        }
        assertThat(accused == 0).as("accused %d", accused).isEqualTo(health);
    }

    @Test
    void restartWithClockSetBackRaisesTheIncarnation() {
        ViewFleet fleet = fleet(6, 5, new ViewChecker(0), null);
        fleet.net.runUntil(fleet.net.now() + 1000);
        long before = fleet.instanceAt(0).membership.member("n4").incarnation();
        fleet.kill(4);
        fleet.start(4, "n4", -1.6e12);               // it believes that it is 1973
        assertThat(fleet.awaitSettled(5, 10_000)).isBetween(0.0, 2000.0);
        assertThat(fleet.instanceAt(0).membership.member("n4").incarnation()).isGreaterThan(before);
    }

    @Test
    void nameConflictKeepsTheHolderAndIsReportedByBoth() {
        ViewChecker checker = new ViewChecker(0);
        ViewFleet fleet = fleet(7, 6, checker, null);
        ViewFleet.Instance holder = fleet.instanceAt(2);
        ViewFleet.Instance second = fleet.start(fleet.net.addNode(), "n2", 0);
        fleet.net.runUntil(fleet.net.now() + 10_000);
        assertThat(second.membership.phase()).isEqualTo(Membership.Phase.TAKEN);
        assertThat(second.errorCodes).contains("VIEW_NAME_TAKEN");
        assertThat(holder.errorCodes).contains("VIEW_NAME_TAKEN");
        assertThat(checker.falseGone()).isEmpty();
        fleet.kill(2);                               // its name is free now
        fleet.net.runUntil(fleet.net.now() + 10_000);
        assertThat(second.membership.phase()).isEqualTo(Membership.Phase.IN);
        assertThat(fleet.isSettled(6)).isTrue();
        assertThat(checker.breaches()).isEmpty();
    }

    @Test
    void hallFailureIsOneChange() {
        ViewFleet fleet = fleet(8, 30, null, null);
        fleet.net.runUntil(fleet.net.now() + 5000);
        for (int i = 1; i < 30; i += 3) { fleet.kill(i); }
        fleet.net.runUntil(fleet.net.now() + 10_000);
        for (ViewFleet.Instance life : fleet.running()) {
            assertThat(life.changes.stream().filter(batch -> !batch.departed().isEmpty()).toList()).as(life.name).singleElement()
                    .satisfies(batch -> assertThat(batch.departed()).hasSize(10));
        }
    }

    @Test
    void checkerDetectsEachViolation() {
        ViewChecker checker = new ViewChecker(100);
        checker.recordChange(0, 1, "a", 7, 5, State.ALIVE);
        checker.recordChange(1, 1, "a", 7, 4, State.ALIVE);
        checker.recordChange(2, 1, "a", 7, 6, State.LEFT);
        checker.recordChange(3, 1, "a", 7, 7, State.ALIVE);
        checker.recordChange(4, 1, "b", 8, 1, State.ALIVE);
        checker.recordChange(5, 1, "b", 9, 2, State.ALIVE);
        checker.recordChange(6, 1, "b", 8, 3, State.ALIVE);
        checker.recordChange(7, 2, "c", 3, 1, State.GONE);
        checker.checkAgreement(10, Map.of("c", 3L, "d", 4L), Map.of(1, 11L, 2, 12L), List.of(1, 2));
        assertThat(String.join("\n", checker.breaches())).contains("a fell from", "a is there again", "b is there again", "c runs and is held to be gone",
                "c runs and is held unknown", "d runs and is held unknown", "b is held ALIVE and does not run", "2 different digests");
        ViewChecker excused = new ViewChecker(100);
        excused.recordFault("c", 0, 5);
        excused.recordChange(100, 2, "c", 3, 1, State.GONE);
        excused.recordChange(200, 2, "d", 3, 1, State.GONE);
        excused.recordEnd(150, 3);
        assertThat(excused.breaches()).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(strings = {"one-killed", "name-twice", "quick-restart", "leaves", "no-seed", "join"})
    void shortScenariosWithRealProcesses(String name, @TempDir Path folder) throws Exception {
        StringBuilder note = new StringBuilder();
        assertThat(ViewReal.play(folder, name, 5, 41, note)).as(note.toString()).isEmpty();
    }
}

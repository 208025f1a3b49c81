package yardusher.units;

import static org.assertj.core.api.Assertions.assertThat;
import static yardusher.units.UnitsSimulation.IDEMPOTENT;
import static yardusher.units.UnitsSimulation.AT_MOST_ONCE;
import static yardusher.units.UnitsSimulation.DEDUPLICATED;
import static yardusher.units.UnitsSimulation.end;
import static yardusher.units.UnitsSimulation.part;

import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import yardusher.core.UnitDirective;
import yardusher.units.UnitsSimulation.TerminalRequest;
import yardusher.units.UnitsSimulation.Connection;
import yardusher.units.UnitsSimulation.Omission;

/** The hard cases of units of work, each at the program's own core and intake on scripted time; all rules hold at the end of each. */
class HardCasesTest {
    private UnitsSimulation simulation;

    private void open(Mode... modes) { simulation = new UnitsSimulation(7, Omission.NOTHING, modes); }

    /** Whatever happened: no rule is broken, then and once everything has come to its end. */
    @AfterEach
    void breaksNoRule() {
        assertThat(simulation.breaches(false)).isEmpty();
        for (int i = 0; i < simulation.size; i++) {
            simulation.resume(i);
            simulation.start(i);
            for (int j = 0; j < simulation.size; j++) { simulation.partitioned[i][j] = false; }
        }
        simulation.run(UnitsSimulation.IDLE_MS + 2000);
        assertThat(simulation.breaches(true)).isEmpty();
    }

    private TerminalRequest sendPart(int node, long customer, String unit, int number) { return simulation.submit(node, customer, DEDUPLICATED, part(unit, number)); }

    private TerminalRequest sendUnnamed(Connection connection, long customer) { return simulation.send(connection, customer, DEDUPLICATED, 77, null, 600, any -> { }); }

    private long countEvents(String event, String unit) { return simulation.homeEvents.stream().filter(one -> one.what().equals(event) && one.unit().equals(unit)).count(); }

    private void slowRegions() { simulation.regions.values().forEach(region -> region.minServiceMs = region.maxServiceMs = 60); }

    @Test
    void partsThroughAllIngressesRunInOrderInOneZone() {
        open(Mode.UNIT, Mode.SINGLE, Mode.SESSION);
        String unit = simulation.open(0, 5);
        TerminalRequest first = sendPart(1, 5, unit, 1);
        TerminalRequest third = sendPart(0, 5, unit, 3);            // it waits for the one before
        simulation.run(2);
        TerminalRequest second = sendPart(2, 5, unit, 2);
        simulation.run(80);
        assertThat(List.of(first, second, third)).allMatch(one -> one.served);
        assertThat(first.answeredMs).isLessThan(second.answeredMs);
        assertThat(second.answeredMs).isLessThan(third.answeredMs);
        TerminalRequest ended = simulation.submit(1, 5, IDEMPOTENT, end(unit));
        simulation.run(10);
        assertThat(ended.answer).isEqualTo("done 3");
    }

    @Test
    void closeAndEndAtTwoIngressesEndTheUnitOnce() {
        open(Mode.SESSION, Mode.UNIT);
        Connection connection = simulation.connect(0);
        TerminalRequest named = simulation.send(connection, 5, IDEMPOTENT, 1, new UnitDirective(null, 0, UnitDirective.Boundary.OPEN), 500, any -> { });
        simulation.run(5);
        TerminalRequest part = sendPart(1, 5, named.answer, 1);
        simulation.run(30);
        assertThat(part.served).isTrue();
        TerminalRequest ended = simulation.submit(1, 5, IDEMPOTENT, end(named.answer));
        connection.close();
        simulation.run(50);
        assertThat(ended.answer).isEqualTo("done 1");
        assertThat(countEvents("ended", named.answer)).isEqualTo(1);
        TerminalRequest late = sendPart(1, 5, named.answer, 2);
        simulation.run(20);
        assertThat(late.answer).startsWith("UNIT_ENDED");
    }

    @Test
    void homeCrashesBeforeItRecordsAnAnsweredPart() {
        open(Mode.UNIT, Mode.SINGLE, Mode.SINGLE);
        String unit = simulation.open(0, 5);
        TerminalRequest part = sendPart(1, 5, unit, 1);
        while (!part.served) {
            simulation.setPartitioned(0, 1, simulation.nodes[1].intake.pendingCount() > 0 && simulation.requests.size() > 1 && part.admitted != null && part.admitted.mayHaveRun());
            simulation.run(1);
        }
        simulation.kill(0);
        simulation.run(1000);                             // it is held for gone
        TerminalRequest next = sendPart(2, 5, unit, 2);
        simulation.run(300);
        assertThat(next.answer).startsWith("UNIT_UNKNOWN");
        simulation.start(0);
        simulation.run(200);
        TerminalRequest again = sendPart(1, 5, unit, 2);            // nor does its new life guess
        simulation.run(300);
        assertThat(again.answer).startsWith("UNIT_UNKNOWN");
        assertThat(countEvents("ended", unit)).isZero();
    }

    @Test
    void homeCrashesAfterTheEndBeforeItsAnswer() {
        open(Mode.UNIT, Mode.SINGLE);
        String unit = simulation.open(0, 5);
        TerminalRequest part = sendPart(1, 5, unit, 1);
        simulation.run(30);
        simulation.partitioned[0][1] = true;                      // its answer is lost with it
        TerminalRequest ended = simulation.submit(1, 5, IDEMPOTENT, end(unit));
        while (countEvents("ended", unit) == 0) { simulation.run(0.1); }
        simulation.kill(0);
        simulation.run(700);
        assertThat(part.served).isTrue();
        assertThat(ended.answer).startsWith("UNIT_HOLDER");
        simulation.setPartitioned(0, 1, false);
        simulation.start(0);
        simulation.run(500);
        TerminalRequest again = simulation.submit(1, 5, IDEMPOTENT, end(unit));
        simulation.run(400);
        assertThat(again.answer).startsWith("UNIT_UNKNOWN");
        assertThat(countEvents("ended", unit)).isEqualTo(1);
    }

    @Test
    void formerHomeResumedAfterTransferGrantsNothing() {
        open(Mode.UNIT, Mode.SINGLE, Mode.UNIT);
        String unit = simulation.open(0, 5);
        sendPart(1, 5, unit, 1);
        simulation.run(30);
        simulation.drain(0);
        simulation.run(30);
        simulation.pause(0);
        TerminalRequest second = sendPart(1, 5, unit, 2);
        simulation.run(1500);
        TerminalRequest third = sendPart(2, 5, unit, 3);
        simulation.run(300);
        TerminalRequest ended = simulation.submit(1, 5, IDEMPOTENT, end(unit));
        simulation.run(100);
        assertThat(List.of(second.served, third.served)).containsExactly(true, true);
        assertThat(ended.answer).isEqualTo("done 3");
        simulation.resume(0);                             // it wakes with its own copy of nothing
        simulation.run(50);
        TerminalRequest late = sendPart(0, 5, unit, 4);
        simulation.run(300);
        assertThat(late.served).isFalse();
        assertThat(late.answer).startsWith("UNIT_");
    }

    @Test
    void homeResumedAfterALongPauseKeepsItsUnits() {
        open(Mode.UNIT, Mode.SINGLE);
        String unit = simulation.open(0, 5);
        sendPart(1, 5, unit, 1);
        simulation.run(30);
        simulation.pause(0);
        TerminalRequest refused = sendPart(1, 5, unit, 2);
        simulation.run(1200);
        assertThat(refused.answer).startsWith("UNIT_HOLDER");
        TerminalRequest unknown = sendPart(1, 5, unit, 2);
        simulation.run(400);
        assertThat(unknown.answer).startsWith("UNIT_UNKNOWN");
        simulation.resume(0);
        simulation.run(100);
        TerminalRequest again = sendPart(1, 5, unit, 2);            // nobody else could end it
        simulation.run(100);
        assertThat(again.served).isTrue();
    }

    @Test
    void zoneIsLostWithAPartThatMayHaveRun() {
        open(Mode.UNIT, Mode.SINGLE);
        slowRegions();
        String unit = simulation.open(0, 5);
        TerminalRequest first = sendPart(1, 5, unit, 1);
        simulation.run(30);
        String zone = simulation.history(false).executions().get(0).zone();
        simulation.regions.values().forEach(region -> {
            if (zone.equals("hall-" + region.zone)) {
                simulation.crash(region);
                region.listed = false;
            }
        });
        simulation.publishServerList();
        simulation.run(700);
        assertThat(first.served).isFalse();
        TerminalRequest again = sendPart(0, 5, unit, 1);
        simulation.run(700);
        assertThat(again.answer).startsWith("UNIT_BINDING");
        TerminalRequest ended = simulation.submit(0, 5, IDEMPOTENT, end(unit));
        simulation.run(700);
        assertThat(ended.answer).isEqualTo("unknown 0");
    }

    @Test
    void reloadChangesModesWhileUnitsAreOpen() {
        open(Mode.SESSION, Mode.UNIT);
        Connection connection = simulation.connect(0);
        TerminalRequest before = sendUnnamed(connection, 5);
        String unit = simulation.open(1, 6);
        sendPart(0, 6, unit, 1);
        simulation.run(30);
        simulation.nodes[0].mode = Mode.SINGLE;
        simulation.nodes[1].mode = Mode.SESSION;
        for (int i = 0; i < 2; i++) { assertThat(simulation.nodes[i].intake.reload(simulation.nodes[i].settings())).isEqualTo("units as told"); }
        TerminalRequest after = sendUnnamed(connection, 5);                  // the session goes on until it closes
        TerminalRequest part = sendPart(1, 6, unit, 2);
        simulation.run(60);
        assertThat(List.of(before.served, after.served, part.served)).containsOnly(true);
        assertThat(simulation.homeEvents.stream().filter(one -> one.what().equals("opened"))).hasSize(2);
        TerminalRequest refused = simulation.submit(0, 7, IDEMPOTENT, new UnitDirective(null, 0, UnitDirective.Boundary.OPEN));
        connection.close();
        Connection next = simulation.connect(0);
        sendUnnamed(next, 5);                              // and what begins now stands alone
        simulation.run(60);
        assertThat(refused.answer).startsWith("UNIT_MODE");
        assertThat(simulation.homeEvents.stream().filter(one -> one.what().equals("opened"))).hasSize(2);
        TerminalRequest ended = simulation.submit(0, 6, IDEMPOTENT, end(unit));
        simulation.run(30);
        assertThat(ended.answer).isEqualTo("done 2");
    }

    @Test
    void partitionBetweenHomeAndHolderHeals() {
        open(Mode.UNIT, Mode.SINGLE, Mode.SINGLE);
        slowRegions();
        String unit = simulation.open(0, 5);
        TerminalRequest first = sendPart(1, 5, unit, 1);
        simulation.run(20);
        simulation.setPartitioned(0, 1, true);                       // the part runs there, and its end cannot be told
        simulation.run(100);
        assertThat(first.served).isTrue();
        TerminalRequest waits = sendPart(2, 5, unit, 2);
        simulation.run(650);
        assertThat(waits.served).isFalse();
        simulation.run(500);
        TerminalRequest refused = sendPart(2, 5, unit, 2);          // its holder is held for gone: refused at once, sent nowhere
        simulation.run(30);
        assertThat(refused.answer).startsWith("UNIT_HOLDER");
        simulation.setPartitioned(0, 1, false);
        simulation.run(1200);
        TerminalRequest again = sendPart(1, 5, unit, 2);
        simulation.run(120);
        assertThat(again.served).isTrue();
    }

    @Test
    void unitProceedsWithoutASilentHolderIfConfigured() {
        open(Mode.UNIT, Mode.SINGLE, Mode.SINGLE);
        simulation.proceedsWhenUnsure = true;
        for (UnitsSimulation.Node node : simulation.nodes) { node.turn(() -> node.intake.reload(node.settings())); }
        String unit = simulation.open(0, 5);
        sendPart(0, 5, unit, 1);
        simulation.run(30);
        slowRegions();
        sendPart(1, 5, unit, 2);
        simulation.run(20);
        simulation.kill(1);
        simulation.run(600 + UnitsSimulation.SETTLE_MS + 2000); // its time, what settles, and the next looks
        TerminalRequest again = sendPart(2, 5, unit, 2);
        simulation.run(150);
        assertThat(again.served).isTrue();
    }

    @Test
    void restartedHolderReleasesItsPart() {
        open(Mode.UNIT, Mode.SINGLE, Mode.SINGLE);
        String unit = simulation.open(0, 5);
        sendPart(0, 5, unit, 1);
        simulation.run(30);
        slowRegions();
        sendPart(1, 5, unit, 2);
        simulation.run(20);
        simulation.kill(1);
        simulation.run(100);
        simulation.start(1);
        simulation.run(100);
        TerminalRequest again = sendPart(2, 5, unit, 2);            // it may have run, and its class bears a repeat in its hall
        simulation.run(150);
        assertThat(again.served).isTrue();
    }

    @Test
    void retryAtAnotherIngressWaitsForTheFirstAttempt() {
        open(Mode.UNIT, Mode.SINGLE, Mode.SINGLE);
        slowRegions();
        String unit = simulation.open(0, 5);
        TerminalRequest first = sendPart(1, 5, unit, 1);
        simulation.run(10);
        TerminalRequest second = sendPart(2, 5, unit, 1);
        simulation.run(200);
        assertThat(first.served && second.served).isTrue();
        assertThat(second.answeredMs - first.answeredMs).isGreaterThan(55);
        TerminalRequest third = sendPart(2, 5, unit, 2);
        simulation.run(100);
        assertThat(third.served).isTrue();
    }

    @Test
    void atMostOncePartIsNotRepeated() {
        open(Mode.UNIT, Mode.SINGLE);
        String unit = simulation.open(0, 5);
        TerminalRequest first = simulation.submit(1, 5, AT_MOST_ONCE, part(unit, 1));
        simulation.run(30);
        TerminalRequest again = simulation.submit(0, 5, AT_MOST_ONCE, part(unit, 1));
        simulation.run(10);
        assertThat(first.served).isTrue();
        assertThat(again.answer).startsWith("UNIT_ORDER").contains("where 2 is due");
    }

    @Test
    void unitWhoseFirstPartNeverRanStaysUnbound() {
        open(Mode.UNIT, Mode.SINGLE);
        String unit = simulation.open(0, 5);
        simulation.regions.values().forEach(region -> region.alive = false);
        TerminalRequest first = sendPart(1, 5, unit, 1);
        simulation.run(700);
        assertThat(first.served).isFalse();
        assertThat(simulation.nodes[0].intake.table().find(UnitName.parse(unit)).isBound()).isFalse();
        simulation.regions.values().forEach(region -> region.alive = true);
        simulation.run(1000);
        TerminalRequest again = sendPart(0, 5, unit, 1);
        simulation.run(100);
        assertThat(again.served).isTrue();
    }

    @Test
    void tenThousandUnitsWithoutAnEndAreAbandoned() {
        open(Mode.UNIT, Mode.SINGLE);
        int refused = 0;
        for (int i = 0; i < 10_000; i++) {
            TerminalRequest opening = simulation.submit(0, 1000 + i % 500, IDEMPOTENT, new UnitDirective(null, 0, UnitDirective.Boundary.OPEN));
            if (i % 100 == 99) { simulation.run(3); }
            refused += opening.answer.startsWith("UNIT_FULL") ? 1 : 0;
            assertThat(simulation.nodes[0].intake.table().size()).isLessThanOrEqualTo(1000);
        }
        assertThat(refused).isPositive();            // none is given up within its first second
        simulation.run(UnitsSimulation.IDLE_MS + 500);
        assertThat(simulation.nodes[0].intake.table().size()).isZero();
        assertThat(simulation.nodes[0].intake.table().counts.ended[Unit.State.ABANDONED.ordinal()]).isEqualTo(simulation.nodes[0].intake.table().counts.opened);
    }

    @Test
    void nestedRepeatedMissingCrossingAndLateBoundariesAreHandled() {
        open(Mode.UNIT, Mode.SESSION, Mode.SINGLE);
        String unit = simulation.open(0, 5);
        TerminalRequest nested = simulation.submit(0, 5, IDEMPOTENT, new UnitDirective(unit, 0, UnitDirective.Boundary.OPEN));
        Connection connection = simulation.connect(1);
        sendUnnamed(connection, 5);
        simulation.run(30);
        TerminalRequest insideASession = simulation.send(connection, 5, IDEMPOTENT, 1, new UnitDirective(null, 0, UnitDirective.Boundary.OPEN), 500, any -> { });
        TerminalRequest crossing = simulation.send(connection, 5, DEDUPLICATED, 2, part(unit, 1), 500, any -> { });
        TerminalRequest foreign = sendPart(0, 6, unit, 1);
        TerminalRequest unopened = sendPart(2, 5, "n0.7b.1", 1);
        TerminalRequest nonsense = sendPart(2, 5, "n0", 1);
        simulation.run(700);
        assertThat(nested.answer).startsWith("UNIT_BOUNDARY");
        assertThat(insideASession.answer).startsWith("UNIT_BOUNDARY");
        assertThat(crossing.answer).startsWith("UNIT_BOUNDARY");
        assertThat(foreign.answer).startsWith("UNIT_UNKNOWN");
        assertThat(unopened.answer).startsWith("UNIT_UNKNOWN");
        assertThat(nonsense.answer).startsWith("UNIT_UNKNOWN");
        sendPart(2, 5, unit, 1);
        simulation.run(30);
        TerminalRequest ended = simulation.submit(2, 5, IDEMPOTENT, end(unit));
        simulation.run(10);
        TerminalRequest doubled = simulation.submit(1, 5, IDEMPOTENT, end(unit));
        TerminalRequest late = sendPart(0, 5, unit, 2);
        simulation.run(30);
        assertThat(ended.answer).isEqualTo("done 1");
        assertThat(doubled.answer).isEqualTo("done 1");
        assertThat(late.answer).startsWith("UNIT_ENDED");
        assertThat(countEvents("ended", unit)).isEqualTo(1);
    }

    @ParameterizedTest
    @EnumSource(Omission.class)
    void omittedRulesAreCaughtWithinSixtySeeds(Omission omission) {
        open(Mode.UNIT);
        int broken = 0;
        int seeds = 0;
        for (long seed = 0; seed < (omission == Omission.NOTHING ? 40 : 60) && broken == 0; seed++, seeds++) {
            broken += UnitsScript.play(seed, omission, 4000, 8, UnitsScript.modes(seed)).breaches().isEmpty() ? 0 : 1;
        }
        assertThat(broken > 0).as(omission + " after " + seeds + " seeds").isEqualTo(omission != Omission.NOTHING);
    }
}

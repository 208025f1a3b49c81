package yardusher.units;

import static org.assertj.core.api.Assertions.assertThat;
import static yardusher.units.UnitsWorld.LOOKUP;
import static yardusher.units.UnitsWorld.ONCE;
import static yardusher.units.UnitsWorld.ORDER;
import static yardusher.units.UnitsWorld.end;
import static yardusher.units.UnitsWorld.part;

import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import yardusher.core.UnitDirective;
import yardusher.units.UnitsWorld.Try;
import yardusher.units.UnitsWorld.Wire;
import yardusher.units.UnitsWorld.Without;

/** The hard cases of units of work, each at the program's own core and intake on scripted time; all rules hold at the end of each. */
class HardCasesTest {
    private UnitsWorld world;

    private void open(Mode... modes) { world = new UnitsWorld(7, Without.NOTHING, modes); }

    /** Whatever happened: no rule is broken, then and once everything has come to its end. */
    @AfterEach
    void keepsTheRules() {
        assertThat(world.breaches(false)).isEmpty();
        for (int i = 0; i < world.size; i++) {
            world.resume(i);
            world.start(i);
            for (int j = 0; j < world.size; j++) { world.cut[i][j] = false; }
        }
        world.run(UnitsWorld.IDLE_MS + 2000);
        assertThat(world.breaches(true)).isEmpty();
    }

    private Try sends(int node, long customer, String unit, int number) { return world.ask(node, customer, ORDER, part(unit, number)); }

    private Try plain(Wire wire, long customer) { return world.send(wire, customer, ORDER, 77, null, 600, any -> { }); }

    private long said(String what, String unit) { return world.said.stream().filter(one -> one.what().equals(what) && one.unit().equals(unit)).count(); }

    private void slow() { world.regions.values().forEach(region -> region.leastMs = region.mostMs = 60); }

    @Test
    void aUnitGoesThroughAllIngressesInOrderAndHall() {
        open(Mode.UNIT, Mode.SINGLE, Mode.SESSION);
        String unit = world.open(0, 5);
        Try first = sends(1, 5, unit, 1);
        Try third = sends(0, 5, unit, 3);            // it waits for the one before
        world.run(2);
        Try second = sends(2, 5, unit, 2);
        world.run(80);
        assertThat(List.of(first, second, third)).allMatch(one -> one.served);
        assertThat(first.answeredMs).isLessThan(second.answeredMs);
        assertThat(second.answeredMs).isLessThan(third.answeredMs);
        Try ended = world.ask(1, 5, LOOKUP, end(unit));
        world.run(10);
        assertThat(ended.answer).isEqualTo("done 3");
    }

    @Test
    void aCloseAndAnEndCrossAtTwoIngresses() {
        open(Mode.SESSION, Mode.UNIT);
        Wire wire = world.connect(0);
        Try named = world.send(wire, 5, LOOKUP, 1, new UnitDirective(null, 0, UnitDirective.Boundary.OPEN), 500, any -> { });
        world.run(5);
        Try part = sends(1, 5, named.answer, 1);
        world.run(30);
        assertThat(part.served).isTrue();
        Try ended = world.ask(1, 5, LOOKUP, end(named.answer));
        wire.close();
        world.run(50);
        assertThat(ended.answer).isEqualTo("done 1");
        assertThat(said("ended", named.answer)).isEqualTo(1);
        Try late = sends(1, 5, named.answer, 2);
        world.run(20);
        assertThat(late.answer).startsWith("UNIT_ENDED");
    }

    @Test
    void theHomeDiesBetweenAPartsAnswerAndItsRecord() {
        open(Mode.UNIT, Mode.SINGLE, Mode.SINGLE);
        String unit = world.open(0, 5);
        Try part = sends(1, 5, unit, 1);
        while (!part.served) {
            world.cut(0, 1, world.nodes[1].intake.asksCount() > 0 && world.tries.size() > 1 && part.stay != null && part.stay.mayHaveRun());
            world.run(1);
        }
        world.kill(0);
        world.run(1000);                             // it is held for gone
        Try next = sends(2, 5, unit, 2);
        world.run(300);
        assertThat(next.answer).startsWith("UNIT_UNKNOWN");
        world.start(0);
        world.run(200);
        Try again = sends(1, 5, unit, 2);            // nor does its new life guess
        world.run(300);
        assertThat(again.answer).startsWith("UNIT_UNKNOWN");
        assertThat(said("ended", unit)).isZero();
    }

    @Test
    void theHomeDiesBetweenEndingAndTelling() {
        open(Mode.UNIT, Mode.SINGLE);
        String unit = world.open(0, 5);
        Try part = sends(1, 5, unit, 1);
        world.run(30);
        world.cut[0][1] = true;                      // its answer is lost with it
        Try ended = world.ask(1, 5, LOOKUP, end(unit));
        while (said("ended", unit) == 0) { world.run(0.1); }
        world.kill(0);
        world.run(700);
        assertThat(part.served).isTrue();
        assertThat(ended.answer).startsWith("UNIT_HOLDER");
        world.cut(0, 1, false);
        world.start(0);
        world.run(500);
        Try again = world.ask(1, 5, LOOKUP, end(unit));
        world.run(400);
        assertThat(again.answer).startsWith("UNIT_UNKNOWN");
        assertThat(said("ended", unit)).isEqualTo(1);
    }

    @Test
    void aHomeThatIsStoppedAndWokenAfterItHandedOverLetsNothingIn() {
        open(Mode.UNIT, Mode.SINGLE, Mode.UNIT);
        String unit = world.open(0, 5);
        sends(1, 5, unit, 1);
        world.run(30);
        world.drain(0);
        world.run(30);
        world.pause(0);
        Try second = sends(1, 5, unit, 2);
        world.run(1500);
        Try third = sends(2, 5, unit, 3);
        world.run(300);
        Try ended = world.ask(1, 5, LOOKUP, end(unit));
        world.run(100);
        assertThat(List.of(second.served, third.served)).containsExactly(true, true);
        assertThat(ended.answer).isEqualTo("done 3");
        world.resume(0);                             // it wakes with its own copy of nothing
        world.run(50);
        Try late = sends(0, 5, unit, 4);
        world.run(300);
        assertThat(late.served).isFalse();
        assertThat(late.answer).startsWith("UNIT_");
    }

    @Test
    void aHomeThatIsStoppedForLongGoesOnWithWhatIsItsOwn() {
        open(Mode.UNIT, Mode.SINGLE);
        String unit = world.open(0, 5);
        sends(1, 5, unit, 1);
        world.run(30);
        world.pause(0);
        Try refused = sends(1, 5, unit, 2);
        world.run(1200);
        assertThat(refused.answer).startsWith("UNIT_HOLDER");
        Try unknown = sends(1, 5, unit, 2);
        world.run(400);
        assertThat(unknown.answer).startsWith("UNIT_UNKNOWN");
        world.resume(0);
        world.run(100);
        Try again = sends(1, 5, unit, 2);            // nobody else could end it
        world.run(100);
        assertThat(again.served).isTrue();
    }

    @Test
    void aHallIsLostWithAPartThatMayHaveRun() {
        open(Mode.UNIT, Mode.SINGLE);
        slow();
        String unit = world.open(0, 5);
        Try first = sends(1, 5, unit, 1);
        world.run(30);
        String hall = world.history(false).ran().get(0).hall();
        world.regions.values().forEach(region -> {
            if (hall.equals("hall-" + region.zone)) {
                world.crash(region);
                region.listed = false;
            }
        });
        world.listAnew();
        world.run(700);
        assertThat(first.served).isFalse();
        Try again = sends(0, 5, unit, 1);
        world.run(700);
        assertThat(again.answer).startsWith("UNIT_BINDING");
        Try ended = world.ask(0, 5, LOOKUP, end(unit));
        world.run(700);
        assertThat(ended.answer).isEqualTo("unknown 0");
    }

    @Test
    void aModeIsChangedByReloadWithUnitsOpenAtBothSides() {
        open(Mode.SESSION, Mode.UNIT);
        Wire wire = world.connect(0);
        Try before = plain(wire, 5);
        String unit = world.open(1, 6);
        sends(0, 6, unit, 1);
        world.run(30);
        world.nodes[0].mode = Mode.SINGLE;
        world.nodes[1].mode = Mode.SESSION;
        for (int i = 0; i < 2; i++) { assertThat(world.nodes[i].intake.reload(world.nodes[i].settings())).isEqualTo("units as told"); }
        Try after = plain(wire, 5);                  // the session goes on until it closes
        Try part = sends(1, 6, unit, 2);
        world.run(60);
        assertThat(List.of(before.served, after.served, part.served)).containsOnly(true);
        assertThat(world.said.stream().filter(one -> one.what().equals("opened"))).hasSize(2);
        Try refused = world.ask(0, 7, LOOKUP, new UnitDirective(null, 0, UnitDirective.Boundary.OPEN));
        wire.close();
        Wire next = world.connect(0);
        plain(next, 5);                              // and what begins now stands alone
        world.run(60);
        assertThat(refused.answer).startsWith("UNIT_MODE");
        assertThat(world.said.stream().filter(one -> one.what().equals("opened"))).hasSize(2);
        Try ended = world.ask(0, 6, LOOKUP, end(unit));
        world.run(30);
        assertThat(ended.answer).isEqualTo("done 2");
    }

    @Test
    void aCutThroughTheMiddleOfAUnitAndItsHeal() {
        open(Mode.UNIT, Mode.SINGLE, Mode.SINGLE);
        slow();
        String unit = world.open(0, 5);
        Try first = sends(1, 5, unit, 1);
        world.run(20);
        world.cut(0, 1, true);                       // the part runs there, and its end cannot be told
        world.run(100);
        assertThat(first.served).isTrue();
        Try waits = sends(2, 5, unit, 2);
        world.run(650);
        assertThat(waits.served).isFalse();
        world.run(500);
        Try refused = sends(2, 5, unit, 2);          // its holder is held for gone: refused at once, sent nowhere
        world.run(30);
        assertThat(refused.answer).startsWith("UNIT_HOLDER");
        world.cut(0, 1, false);
        world.run(1200);
        Try again = sends(1, 5, unit, 2);
        world.run(120);
        assertThat(again.served).isTrue();
    }

    @Test
    void whereItIsSaidSoAUnitGoesOnWithoutASilentHolder() {
        open(Mode.UNIT, Mode.SINGLE, Mode.SINGLE);
        world.sendsUnsure = true;
        for (UnitsWorld.Node node : world.nodes) { node.turn(() -> node.intake.reload(node.settings())); }
        String unit = world.open(0, 5);
        sends(0, 5, unit, 1);
        world.run(30);
        slow();
        sends(1, 5, unit, 2);
        world.run(20);
        world.kill(1);
        world.run(600 + UnitsWorld.SETTLE_MS + 2000); // its time, what settles, and the next looks
        Try again = sends(2, 5, unit, 2);
        world.run(150);
        assertThat(again.served).isTrue();
    }

    @Test
    void aHoldersNewLifeEndsWhatItHeld() {
        open(Mode.UNIT, Mode.SINGLE, Mode.SINGLE);
        String unit = world.open(0, 5);
        sends(0, 5, unit, 1);
        world.run(30);
        slow();
        sends(1, 5, unit, 2);
        world.run(20);
        world.kill(1);
        world.run(100);
        world.start(1);
        world.run(100);
        Try again = sends(2, 5, unit, 2);            // it may have run, and its class bears a repeat in its hall
        world.run(150);
        assertThat(again.served).isTrue();
    }

    @Test
    void aRetryAtAnotherIngressWaitsForItsFirstTry() {
        open(Mode.UNIT, Mode.SINGLE, Mode.SINGLE);
        slow();
        String unit = world.open(0, 5);
        Try first = sends(1, 5, unit, 1);
        world.run(10);
        Try second = sends(2, 5, unit, 1);
        world.run(200);
        assertThat(first.served && second.served).isTrue();
        assertThat(second.answeredMs - first.answeredMs).isGreaterThan(55);
        Try third = sends(2, 5, unit, 2);
        world.run(100);
        assertThat(third.served).isTrue();
    }

    @Test
    void whatMayRunOnceOnlyIsNotSentAgain() {
        open(Mode.UNIT, Mode.SINGLE);
        String unit = world.open(0, 5);
        Try first = world.ask(1, 5, ONCE, part(unit, 1));
        world.run(30);
        Try again = world.ask(0, 5, ONCE, part(unit, 1));
        world.run(10);
        assertThat(first.served).isTrue();
        assertThat(again.answer).startsWith("UNIT_ORDER").contains("where 2 is due");
    }

    @Test
    void aUnitWhoseFirstPartIsRefusedIsBoundToNothing() {
        open(Mode.UNIT, Mode.SINGLE);
        String unit = world.open(0, 5);
        world.regions.values().forEach(region -> region.alive = false);
        Try first = sends(1, 5, unit, 1);
        world.run(700);
        assertThat(first.served).isFalse();
        assertThat(world.nodes[0].intake.table().find(UnitName.of(unit)).isBound()).isFalse();
        world.regions.values().forEach(region -> region.alive = true);
        world.run(1000);
        Try again = sends(0, 5, unit, 1);
        world.run(100);
        assertThat(again.served).isTrue();
    }

    @Test
    void tenThousandUnitsThatNeverEndAreGivenUp() {
        open(Mode.UNIT, Mode.SINGLE);
        int refused = 0;
        for (int i = 0; i < 10_000; i++) {
            Try opening = world.ask(0, 1000 + i % 500, LOOKUP, new UnitDirective(null, 0, UnitDirective.Boundary.OPEN));
            if (i % 100 == 99) { world.run(3); }
            refused += opening.answer.startsWith("UNIT_FULL") ? 1 : 0;
            assertThat(world.nodes[0].intake.table().size()).isLessThanOrEqualTo(1000);
        }
        assertThat(refused).isPositive();            // none is given up within its first second
        world.run(UnitsWorld.IDLE_MS + 500);
        assertThat(world.nodes[0].intake.table().size()).isZero();
        assertThat(world.nodes[0].intake.table().counts.ended[Unit.State.ABANDONED.ordinal()]).isEqualTo(world.nodes[0].intake.table().counts.opened);
    }

    @Test
    void boundariesThatAreNestedDoubledMissingCrossingOrLateHaveTheirOutcome() {
        open(Mode.UNIT, Mode.SESSION, Mode.SINGLE);
        String unit = world.open(0, 5);
        Try nested = world.ask(0, 5, LOOKUP, new UnitDirective(unit, 0, UnitDirective.Boundary.OPEN));
        Wire wire = world.connect(1);
        plain(wire, 5);
        world.run(30);
        Try insideASession = world.send(wire, 5, LOOKUP, 1, new UnitDirective(null, 0, UnitDirective.Boundary.OPEN), 500, any -> { });
        Try crossing = world.send(wire, 5, ORDER, 2, part(unit, 1), 500, any -> { });
        Try foreign = sends(0, 6, unit, 1);
        Try unopened = sends(2, 5, "n0.7b.1", 1);
        Try nonsense = sends(2, 5, "n0", 1);
        world.run(700);
        assertThat(nested.answer).startsWith("UNIT_BOUNDARY");
        assertThat(insideASession.answer).startsWith("UNIT_BOUNDARY");
        assertThat(crossing.answer).startsWith("UNIT_BOUNDARY");
        assertThat(foreign.answer).startsWith("UNIT_UNKNOWN");
        assertThat(unopened.answer).startsWith("UNIT_UNKNOWN");
        assertThat(nonsense.answer).startsWith("UNIT_UNKNOWN");
        sends(2, 5, unit, 1);
        world.run(30);
        Try ended = world.ask(2, 5, LOOKUP, end(unit));
        world.run(10);
        Try doubled = world.ask(1, 5, LOOKUP, end(unit));
        Try late = sends(0, 5, unit, 2);
        world.run(30);
        assertThat(ended.answer).isEqualTo("done 1");
        assertThat(doubled.answer).isEqualTo("done 1");
        assertThat(late.answer).startsWith("UNIT_ENDED");
        assertThat(said("ended", unit)).isEqualTo(1);
    }

    @ParameterizedTest
    @EnumSource(Without.class)
    void plantedBreachesAreCaughtWithinFortySeeds(Without without) {
        open(Mode.UNIT);
        int broken = 0;
        int seeds = 0;
        for (long seed = 0; seed < (without == Without.NOTHING ? 40 : 60) && broken == 0; seed++, seeds++) {
            broken += UnitsScript.play(seed, without, 4000, 8, UnitsScript.modes(seed)).breaches().isEmpty() ? 0 : 1;
        }
        assertThat(broken > 0).as(without + " after " + seeds + " seeds").isEqualTo(without != Without.NOTHING);
    }
}

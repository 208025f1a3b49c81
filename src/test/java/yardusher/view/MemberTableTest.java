package yardusher.view;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import yardusher.error.ViewError;
import yardusher.view.View.State;

/** The rule by which news is taken, and the bounds of what is remembered. */
class MemberTableTest {
    private static final Membership.Environment NO_ENVIRONMENT = new Membership.Environment() {
        @Override
        public void send(InetSocketAddress to, byte[] body) { throw new AssertionError("a roster sends nothing"); }

        @Override
        public void reportError(ViewError error) { throw new AssertionError(error); }
    };

    private static MemberTable newTable() { return new MemberTable("self", 600_000, 0, NO_ENVIRONMENT); }

    static MemberUpdate update(String name, long life, long born, long incarnation, State state) {
        return new MemberUpdate(new MemberIdentity(name, "a", new InetSocketAddress("127.0.0.1", 1000 + (int) (life & 255))), life, born, incarnation, state,
                state == State.SUSPECT ? new int[] {(int) life} : MemberUpdate.NO_ACCUSERS, 0);
    }

    private static List<MemberUpdate> randomUpdates(Random random, int count) {
        List<MemberUpdate> some = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            long life = 1 + random.nextInt(3);       // a later life is born above the earlier ones' incarnations
            long born = life * 10;
            some.add(update("n" + random.nextInt(3), life, born, born + random.nextInt(5), State.values()[random.nextInt(4)]));
        }
        return some;
    }

    private static Map<String, String> contents(MemberTable roster) {
        Map<String, String> held = new HashMap<>();
        for (MemberEntry entry : roster.entries()) { held.put(entry.name, entry.instanceId + " " + entry.incarnation + " " + entry.state); }
        return held;
    }

    @Property(tries = 500)
    void mergeDoesNotDependOnOrderOrRepetition(@ForAll long seed) {
        Random random = new Random(seed);
        List<MemberUpdate> all = randomUpdates(random, 12);
        MemberTable one = newTable();
        all.forEach(news -> one.merge(news, 0));
        List<MemberUpdate> again = new ArrayList<>(all);
        again.addAll(randomUpdates(new Random(seed), 12));
        Collections.shuffle(again, random);
        MemberTable other = newTable();
        again.forEach(news -> other.merge(news, 5));
        again.forEach(news -> other.merge(news, 6));
        assertThat(contents(other)).isEqualTo(contents(one));
    }

    @Property(tries = 500)
    void incarnationsNeverDecreaseAndEndedInstancesNeverReturn(@ForAll long seed) {
        MemberTable roster = newTable();
        Map<String, Long> highest = new HashMap<>();
        Map<String, Long> lives = new HashMap<>();
        Map<String, Long> left = new HashMap<>();
        for (MemberUpdate news : randomUpdates(new Random(seed), 40)) {
            roster.merge(news, 0);
            for (MemberEntry entry : roster.entries()) {
                assertThat(entry.incarnation).isGreaterThanOrEqualTo(highest.getOrDefault(entry.name, 0L));
                assertThat(entry.instanceId).isGreaterThanOrEqualTo(lives.getOrDefault(entry.name, 0L));
                if (entry.isActive()) { assertThat(left.getOrDefault(entry.name, 0L)).isNotEqualTo(entry.instanceId); }
                if (entry.state == State.LEFT) { left.put(entry.name, entry.instanceId); }
                highest.put(entry.name, entry.incarnation);
                lives.put(entry.name, entry.instanceId);
            }
        }
    }

    @Test
    void implausibleIncarnationsAndExcessMembersAreRefused() {
        MemberTable roster = newTable();
        assertThat(roster.merge(update("n1", 1, 5, MemberTable.MAX_INCARNATION + 1, State.ALIVE), 0)).isEqualTo(MemberTable.MergeResult.REFUSED);
        assertThat(roster.merge(update("n1", 1, 5, 5, State.ALIVE), 0)).isEqualTo(MemberTable.MergeResult.NEW);
        assertThat(roster.merge(update("n1", 1, 5, 6 + MemberTable.MAX_INCARNATION_STEP, State.GONE), 0)).isEqualTo(MemberTable.MergeResult.REFUSED);
        assertThat(roster.get("n1").state).isEqualTo(State.ALIVE);
        for (int i = 0; i < MemberTable.MAX_MEMBERS + 100; i++) { roster.merge(update("m" + i, 1, 5, 5, State.ALIVE), 0); }
        assertThat(roster.entries()).hasSize(MemberTable.MAX_MEMBERS);
    }

    @Test
    void goneMembersExpireAndAreBounded() {
        MemberTable roster = newTable();
        for (int i = 0; i < 1000; i++) { roster.merge(update("n" + i, 1, 5, 5, State.GONE), i); }
        roster.expire(1000);
        assertThat(roster.gone()).hasSize(256);      // the longest gone went
        assertThat(roster.get("n999")).isNotNull();
        assertThat(roster.get("n1")).isNull();
        roster.expire(600_900);
        assertThat(roster.gone()).hasSize(100);
        roster.expire(601_001);
        assertThat(roster.entries()).isEmpty();
    }

    @Test
    void viewDigestIgnoresSuspicions() {
        MemberTable one = newTable();
        MemberTable other = newTable();
        one.merge(update("n1", 1, 5, 5, State.ALIVE), 0);
        one.merge(update("n2", 2, 5, 5, State.ALIVE), 0);
        other.merge(update("n2", 2, 5, 5, State.SUSPECT), 0);
        other.merge(update("n2", 2, 5, 6, State.ALIVE), 0);
        other.merge(update("n1", 1, 5, 5, State.SUSPECT), 0);
        assertThat(other.digest()).isEqualTo(one.digest());
        assertThat(other.tableDigest()).isNotEqualTo(one.tableDigest());
        one.merge(update("n2", 2, 5, 6, State.ALIVE), 0);
        assertThat(other.tableDigest()).isEqualTo(one.tableDigest());
        other.merge(update("n1", 1, 5, 5, State.GONE), 0);
        assertThat(other.digest()).isNotEqualTo(one.digest());
    }

    @Test
    void suspicionShortensWithConfirmationsAndLengthensAfterPauses() {
        double alone = SuspicionTimeout.durationMs(300, 4, 100, 1, 1);
        assertThat(alone).isEqualTo(3600);
        assertThat(SuspicionTimeout.durationMs(300, 4, 100, 2, 1)).isBetween(1201.0, 3599.0);
        assertThat(SuspicionTimeout.durationMs(300, 4, 100, 4, 1)).isEqualTo(1200);
        assertThat(SuspicionTimeout.durationMs(300, 4, 100, 4, 3)).isEqualTo(3600);
        assertThat(SuspicionTimeout.durationMs(300, 4, 10_000, 4, 1)).isEqualTo(2400);
        assertThat(SuspicionTimeout.durationMs(300, 4, 2, 1, 1)).isEqualTo(1200); // there is nobody to confirm
    }

    @Test
    void hallFailureIsOneChangeAndQuickReturnIsNone() {
        MemberTable roster = newTable();
        List<View.Change> told = new ArrayList<>();
        ChangeNotifier settled = new ChangeNotifier(roster, 300);
        settled.subscribe(told::add);
        for (int i = 0; i < 30; i++) { roster.merge(update("n" + i, i, 5, 5, State.ALIVE), 0); }
        checkAt(settled, roster, 299);
        assertThat(told).isEmpty();
        checkAt(settled, roster, 300);
        assertThat(told).hasSize(1);
        assertThat(told.get(0).joined()).hasSize(30);
        for (int i = 0; i < 10; i++) {
            roster.merge(update("n" + i, i, 5, 5, State.SUSPECT), 1000);
            roster.addAccuser(roster.get("n" + i), 77, 1000);
        }
        for (int i = 0; i < 10; i++) {
            roster.markGone(roster.get("n" + i), 1000 + 200 * i);
            checkAt(settled, roster, 1000 + 200 * i + 199);
        }
        checkAt(settled, roster, 3101);
        assertThat(told).hasSize(2);
        assertThat(told.get(1).departed()).hasSize(10);
        roster.merge(update("n20", 20, 5, 5, State.GONE), 4000);
        roster.merge(update("n20", 20, 5, 6, State.ALIVE), 4100);
        checkAt(settled, roster, 9000);
        assertThat(told).hasSize(2);
    }

    @Test
    void viewThatNeverSettlesIsStillReported() {
        MemberTable roster = newTable();
        List<View.Change> told = new ArrayList<>();
        ChangeNotifier settled = new ChangeNotifier(roster, 300);
        settled.subscribe(told::add);
        for (int i = 0; i <= 40; i++) {
            roster.merge(update("n" + i, i, 5, 5, State.ALIVE), 100 * i);
            checkAt(settled, roster, 100 * i);
        }
        assertThat(told).hasSize(1);
    }

    private static void checkAt(ChangeNotifier settled, MemberTable roster, double now) {
        settled.notifyIfSettled(now, at -> new View.Snapshot(List.of(), roster.digest(), roster.changedAtMs(), 0, 0));
    }
}

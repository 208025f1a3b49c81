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

/** Merging of updates, expiry of entries, digests, suspicion time-outs and change notification. */
class MemberTableTest {
    private static final Membership.Environment NO_ENVIRONMENT = new Membership.Environment() {
        @Override
        public void send(InetSocketAddress to, byte[] body) { throw new AssertionError("a member table sends nothing"); }

        @Override
        public void reportError(ViewError error) { throw new AssertionError(error); }
    };

    private static MemberTable newTable() { return new MemberTable("self", 600_000, 0, NO_ENVIRONMENT); }

    static MemberUpdate update(String name, long instanceId, long firstIncarnation, long incarnation, State state) {
        return new MemberUpdate(new MemberIdentity(name, "a", new InetSocketAddress("127.0.0.1", 1000 + (int) (instanceId & 255))),
                instanceId, firstIncarnation,
                incarnation, state, state == State.SUSPECT ? new int[] {(int) instanceId} : MemberUpdate.NO_ACCUSERS, 0);
    }

    private static List<MemberUpdate> randomUpdates(Random random, int count) {
        List<MemberUpdate> updates = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            long instanceId = 1 + random.nextInt(3);       // a later instance starts above the incarnations of earlier ones
            long firstIncarnation = instanceId * 10;
            updates.add(update("n" + random.nextInt(3), instanceId, firstIncarnation, firstIncarnation + random.nextInt(5),
                    State.values()[random.nextInt(4)]));
        }
        return updates;
    }

    private static Map<String, String> contents(MemberTable table) {
        Map<String, String> contents = new HashMap<>();
        for (MemberEntry entry : table.entries()) {
            contents.put(entry.name, entry.instanceId + " " + entry.incarnation + " " + entry.state);
        }
        return contents;
    }

    @Property(tries = 500)
    void mergeDoesNotDependOnOrderOrRepetition(@ForAll long seed) {
        Random random = new Random(seed);
        List<MemberUpdate> all = randomUpdates(random, 12);
        MemberTable one = newTable();
        all.forEach(update -> one.merge(update, 0));
        List<MemberUpdate> again = new ArrayList<>(all);
        again.addAll(randomUpdates(new Random(seed), 12));
        Collections.shuffle(again, random);
        MemberTable other = newTable();
        again.forEach(update -> other.merge(update, 5));
        again.forEach(update -> other.merge(update, 6));
        assertThat(contents(other)).isEqualTo(contents(one));
    }

    @Property(tries = 500)
    void incarnationsNeverDecreaseAndEndedInstancesNeverReturn(@ForAll long seed) {
        MemberTable table = newTable();
        Map<String, Long> highest = new HashMap<>();
        Map<String, Long> instanceIds = new HashMap<>();
        Map<String, Long> left = new HashMap<>();
        for (MemberUpdate update : randomUpdates(new Random(seed), 40)) {
            table.merge(update, 0);
            for (MemberEntry entry : table.entries()) {
                assertThat(entry.incarnation).isGreaterThanOrEqualTo(highest.getOrDefault(entry.name, 0L));
                assertThat(entry.instanceId).isGreaterThanOrEqualTo(instanceIds.getOrDefault(entry.name, 0L));
                if (entry.isActive()) { assertThat(left.getOrDefault(entry.name, 0L)).isNotEqualTo(entry.instanceId); }
                if (entry.state == State.LEFT) { left.put(entry.name, entry.instanceId); }
                highest.put(entry.name, entry.incarnation);
                instanceIds.put(entry.name, entry.instanceId);
            }
        }
    }

    @Test
    void implausibleIncarnationsAndExcessMembersAreRefused() {
        MemberTable table = newTable();
        assertThat(table.merge(update("n1", 1, 5, MemberTable.MAX_INCARNATION + 1, State.ALIVE),
                0)).isEqualTo(MemberTable.MergeResult.REFUSED);
        assertThat(table.merge(update("n1", 1, 5, 5, State.ALIVE), 0)).isEqualTo(MemberTable.MergeResult.NEW);
        assertThat(table.merge(update("n1", 1, 5, 6 + MemberTable.MAX_INCARNATION_STEP, State.GONE),
                0)).isEqualTo(MemberTable.MergeResult.REFUSED);
        assertThat(table.get("n1").state).isEqualTo(State.ALIVE);
        for (int i = 0; i < MemberTable.MAX_MEMBERS + 100; i++) { table.merge(update("m" + i, 1, 5, 5, State.ALIVE), 0); }
        assertThat(table.entries()).hasSize(MemberTable.MAX_MEMBERS);
    }

    @Test
    void goneMembersExpireAndAreBounded() {
        MemberTable table = newTable();
        for (int i = 0; i < 1000; i++) { table.merge(update("n" + i, 1, 5, 5, State.GONE), i); }
        table.expire(1000);
        assertThat(table.gone()).hasSize(256);      // the oldest were dropped
        assertThat(table.get("n999")).isNotNull();
        assertThat(table.get("n1")).isNull();
        table.expire(600_900);
        assertThat(table.gone()).hasSize(100);
        table.expire(601_001);
        assertThat(table.entries()).isEmpty();
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
        assertThat(SuspicionTimeout.durationMs(300, 4, 2, 1, 1)).isEqualTo(1200); // no other member could confirm
    }

    @Test
    void hallFailureIsOneChangeAndQuickReturnIsNone() {
        MemberTable table = newTable();
        List<View.Change> changes = new ArrayList<>();
        ChangeNotifier notifier = new ChangeNotifier(table, 300);
        notifier.subscribe(changes::add);
        for (int i = 0; i < 30; i++) { table.merge(update("n" + i, i, 5, 5, State.ALIVE), 0); }
        checkAt(notifier, table, 299);
        assertThat(changes).isEmpty();
        checkAt(notifier, table, 300);
        assertThat(changes).hasSize(1);
        assertThat(changes.get(0).joined()).hasSize(30);
        for (int i = 0; i < 10; i++) {
            table.merge(update("n" + i, i, 5, 5, State.SUSPECT), 1000);
            table.addAccuser(table.get("n" + i), 77, 1000);
        }
        for (int i = 0; i < 10; i++) {
            table.markGone(table.get("n" + i), 1000 + 200 * i);
            checkAt(notifier, table, 1000 + 200 * i + 199);
        }
        checkAt(notifier, table, 3101);
        assertThat(changes).hasSize(2);
        assertThat(changes.get(1).departed()).hasSize(10);
        table.merge(update("n20", 20, 5, 5, State.GONE), 4000);
        table.merge(update("n20", 20, 5, 6, State.ALIVE), 4100);
        checkAt(notifier, table, 9000);
        assertThat(changes).hasSize(2);
    }

    @Test
    void viewThatNeverSettlesIsStillReported() {
        MemberTable table = newTable();
        List<View.Change> changes = new ArrayList<>();
        ChangeNotifier notifier = new ChangeNotifier(table, 300);
        notifier.subscribe(changes::add);
        for (int i = 0; i <= 40; i++) {
            table.merge(update("n" + i, i, 5, 5, State.ALIVE), 100 * i);
            checkAt(notifier, table, 100 * i);
        }
        assertThat(changes).hasSize(1);
    }

    private static void checkAt(ChangeNotifier notifier, MemberTable table, double now) {
        notifier.notifyIfSettled(now, at -> new View.Snapshot(List.of(), table.digest(), table.changedAtMs(), 0, 0));
    }
}

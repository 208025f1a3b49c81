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
class RosterTest {
    private static final Membership.World NOBODY = new Membership.World() {
        @Override
        public void send(InetSocketAddress to, byte[] body) { throw new AssertionError("a member table sends nothing"); }

        @Override
        public void wrong(ViewError error) { throw new AssertionError(error); }
    };

    private static Roster roster() { return new Roster("self", 600_000, 0, NOBODY); }

    static News news(String name, long life, long born, long incarnation, State state) {
        return new News(new Who(name, "a", new InetSocketAddress("127.0.0.1", 1000 + (int) (life & 255))), life, born, incarnation, state,
                state == State.SUSPECT ? new int[] {(int) life} : News.NOBODY, 0);
    }

    private static List<News> some(Random random, int count) {
        List<News> some = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            long life = 1 + random.nextInt(3);       // a later instance starts above the incarnations of earlier ones
            long born = life * 10;
            some.add(news("n" + random.nextInt(3), life, born, born + random.nextInt(5), State.values()[random.nextInt(4)]));
        }
        return some;
    }

    private static Map<String, String> held(Roster roster) {
        Map<String, String> held = new HashMap<>();
        for (Entry entry : roster.all()) { held.put(entry.name, entry.life + " " + entry.incarnation + " " + entry.state); }
        return held;
    }

    @Property(tries = 500)
    void theOrderOfNewsDoesNotMatterNorHowOftenItComes(@ForAll long seed) {
        Random random = new Random(seed);
        List<News> all = some(random, 12);
        Roster one = roster();
        all.forEach(news -> one.take(news, 0));
        List<News> again = new ArrayList<>(all);
        again.addAll(some(new Random(seed), 12));
        Collections.shuffle(again, random);
        Roster other = roster();
        again.forEach(news -> other.take(news, 5));
        again.forEach(news -> other.take(news, 6));
        assertThat(held(other)).isEqualTo(held(one));
    }

    @Property(tries = 500)
    void incarnationsNeverFallAndNobodyWhoLeftOrWasReplacedComesBack(@ForAll long seed) {
        Roster roster = roster();
        Map<String, Long> highest = new HashMap<>();
        Map<String, Long> lives = new HashMap<>();
        Map<String, Long> left = new HashMap<>();
        for (News news : some(new Random(seed), 40)) {
            roster.take(news, 0);
            for (Entry entry : roster.all()) {
                assertThat(entry.incarnation).isGreaterThanOrEqualTo(highest.getOrDefault(entry.name, 0L));
                assertThat(entry.life).isGreaterThanOrEqualTo(lives.getOrDefault(entry.name, 0L));
                if (entry.isThere()) { assertThat(left.getOrDefault(entry.name, 0L)).isNotEqualTo(entry.life); }
                if (entry.state == State.LEFT) { left.put(entry.name, entry.life); }
                highest.put(entry.name, entry.incarnation);
                lives.put(entry.name, entry.life);
            }
        }
    }

    @Test
    void whatIsFarAheadOrTooMuchIsRefused() {
        Roster roster = roster();
        assertThat(roster.take(news("n1", 1, 5, Roster.MOST_INCARNATION + 1, State.ALIVE), 0)).isEqualTo(Roster.Taken.REFUSED);
        assertThat(roster.take(news("n1", 1, 5, 5, State.ALIVE), 0)).isEqualTo(Roster.Taken.NEW);
        assertThat(roster.take(news("n1", 1, 5, 6 + Roster.MOST_JUMP, State.GONE), 0)).isEqualTo(Roster.Taken.REFUSED);
        assertThat(roster.get("n1").state).isEqualTo(State.ALIVE);
        for (int i = 0; i < Roster.MOST_MEMBERS + 100; i++) { roster.take(news("m" + i, 1, 5, 5, State.ALIVE), 0); }
        assertThat(roster.all()).hasSize(Roster.MOST_MEMBERS);
    }

    @Test
    void theGoneAreForgottenAfterTheirTimeAndAreBounded() {
        Roster roster = roster();
        for (int i = 0; i < 1000; i++) { roster.take(news("n" + i, 1, 5, 5, State.GONE), i); }
        roster.forget(1000);
        assertThat(roster.gone()).hasSize(256);      // the oldest were dropped
        assertThat(roster.get("n999")).isNotNull();
        assertThat(roster.get("n1")).isNull();
        roster.forget(600_900);
        assertThat(roster.gone()).hasSize(100);
        roster.forget(601_001);
        assertThat(roster.all()).isEmpty();
    }

    @Test
    void theDigestIsOfProcessesAndNotOfSuspicions() {
        Roster one = roster();
        Roster other = roster();
        one.take(news("n1", 1, 5, 5, State.ALIVE), 0);
        one.take(news("n2", 2, 5, 5, State.ALIVE), 0);
        other.take(news("n2", 2, 5, 5, State.SUSPECT), 0);
        other.take(news("n2", 2, 5, 6, State.ALIVE), 0);
        other.take(news("n1", 1, 5, 5, State.SUSPECT), 0);
        assertThat(other.digest()).isEqualTo(one.digest());
        assertThat(other.bucketsDigest()).isNotEqualTo(one.bucketsDigest());
        one.take(news("n2", 2, 5, 6, State.ALIVE), 0);
        assertThat(other.bucketsDigest()).isEqualTo(one.bucketsDigest());
        other.take(news("n1", 1, 5, 5, State.GONE), 0);
        assertThat(other.digest()).isNotEqualTo(one.digest());
    }

    @Test
    void suspicionIsShorterWithEachConfirmationAndLongerForWhoSlept() {
        double alone = Suspicion.lasts(300, 4, 100, 1, 1);
        assertThat(alone).isEqualTo(3600);
        assertThat(Suspicion.lasts(300, 4, 100, 2, 1)).isBetween(1201.0, 3599.0);
        assertThat(Suspicion.lasts(300, 4, 100, 4, 1)).isEqualTo(1200);
        assertThat(Suspicion.lasts(300, 4, 100, 4, 3)).isEqualTo(3600);
        assertThat(Suspicion.lasts(300, 4, 10_000, 4, 1)).isEqualTo(2400);
        assertThat(Suspicion.lasts(300, 4, 2, 1, 1)).isEqualTo(1200); // no other member could confirm
    }

    @Test
    void aHallThatDiesIsOneChangeAndWhoIsBackBeforeItIsToldIsNone() {
        Roster roster = roster();
        List<View.Change> told = new ArrayList<>();
        Settled settled = new Settled(roster, 300);
        settled.follow(told::add);
        for (int i = 0; i < 30; i++) { roster.take(news("n" + i, i, 5, 5, State.ALIVE), 0); }
        look(settled, roster, 299);
        assertThat(told).isEmpty();
        look(settled, roster, 300);
        assertThat(told).hasSize(1);
        assertThat(told.get(0).came()).hasSize(30);
        for (int i = 0; i < 10; i++) {
            roster.take(news("n" + i, i, 5, 5, State.SUSPECT), 1000);
            roster.accuse(roster.get("n" + i), 77, 1000);
        }
        for (int i = 0; i < 10; i++) {
            roster.lose(roster.get("n" + i), 1000 + 200 * i);
            look(settled, roster, 1000 + 200 * i + 199);
        }
        look(settled, roster, 3101);
        assertThat(told).hasSize(2);
        assertThat(told.get(1).gone()).hasSize(10);
        roster.take(news("n20", 20, 5, 5, State.GONE), 4000);
        roster.take(news("n20", 20, 5, 6, State.ALIVE), 4100);
        look(settled, roster, 9000);
        assertThat(told).hasSize(2);
    }

    @Test
    void aPictureThatNeverStandsStillIsToldAllTheSame() {
        Roster roster = roster();
        List<View.Change> told = new ArrayList<>();
        Settled settled = new Settled(roster, 300);
        settled.follow(told::add);
        for (int i = 0; i <= 40; i++) {
            roster.take(news("n" + i, i, 5, 5, State.ALIVE), 100 * i);
            look(settled, roster, 100 * i);
        }
        assertThat(told).hasSize(1);
    }

    private static void look(Settled settled, Roster roster, double now) {
        settled.look(now, at -> new View.Picture(List.of(), roster.digest(), roster.changedMs(), 0, 0));
    }
}

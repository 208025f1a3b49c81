package yardusher.view;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.function.UnaryOperator;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import yardusher.error.ViewError;
import yardusher.mesh.Mesh;
import yardusher.view.View.State;

/** Datagrams of the view: whole, cut, foreign and made up; and what a member makes of them. */
class WireTest {
    private static final Wire WIRE = new Wire(UnaryOperator.identity());

    private static News any(Random random) {
        State state = State.values()[random.nextInt(4)];
        long born = 1 + random.nextInt(1 << 30);
        int[] accusers = new int[state == State.SUSPECT ? 1 + random.nextInt(4) : 0];
        for (int i = 0; i < accusers.length; i++) { accusers[i] = random.nextInt(); }
        byte[] address = new byte[random.nextBoolean() ? 4 : 16];
        random.nextBytes(address);
        address[0] = 10;
        try {
            return new News(new Who("n-" + random.nextInt(1000), "hall." + random.nextInt(5), new InetSocketAddress(java.net.InetAddress.getByAddress(address),
                    1 + random.nextInt(65_535))), random.nextLong(), born, born + random.nextInt(1000), state, accusers,
                    state == State.GONE || state == State.LEFT ? random.nextInt(600) : 0);
        } catch (java.net.UnknownHostException e) {
            throw new AssertionError(e);
        }
    }

    private static String text(News news) {
        return news.who() + " " + news.life() + " " + news.born() + " " + news.incarnation() + " " + news.state() + " " + Arrays.toString(news.accusers()) + " " + news.ageS();
    }

    private static byte[] message(Random random, Wire.Type type, List<News> told) {
        Wire.Writer out = new Wire.Writer(type, any(random), random.nextBoolean(), random.nextLong(), random.nextLong());
        switch (type) {
            case PING, ACK, HEARD, UNHEARD, JOIN, MINE -> out.probe(random.nextInt(), random.nextLong());
            case ASK, WELCOME, CLAIMED -> out.probe(random.nextInt(), random.nextLong()).one(any(random));
            case SYNC -> out.buckets(random.longs(Roster.BUCKETS).toArray(), random.nextBoolean());
            default -> { }
        }
        for (News news = any(random); out.add(news); news = any(random)) { told.add(news); }
        return out.body();
    }

    @Property(tries = 300)
    void whatIsWrittenIsRead(@ForAll long seed) {
        Random random = new Random(seed);
        Wire.Type type = Wire.Type.values()[random.nextInt(Wire.Type.values().length)];
        List<News> told = new ArrayList<>();
        byte[] body = message(random, type, told);
        assertThat(body.length).isLessThanOrEqualTo(Mesh.MAX_BODY_BYTES);
        Wire.Message read = WIRE.read(body);
        assertThat(read.type()).isEqualTo(type);
        assertThat(read.news().stream().map(WireTest::text)).isEqualTo(told.stream().map(WireTest::text).toList());
    }

    @Property(tries = 300)
    void whatIsCutOrSpoiltIsRefusedOrReadButNeverACrash(@ForAll long seed) {
        Random random = new Random(seed);
        byte[] body = message(random, Wire.Type.values()[random.nextInt(Wire.Type.values().length)], new ArrayList<>());
        Membership member = member();
        double now = 1000;
        for (int i = 0; i < 50; i++) {
            byte[] spoilt = Arrays.copyOf(body, random.nextInt(body.length + 200));
            for (int j = random.nextInt(4); j > 0 && spoilt.length > 0; j--) { spoilt[random.nextInt(spoilt.length)] = (byte) random.nextInt(); }
            member.heard(now, spoilt);
            now += random.nextInt(100);
            member.tick(now);
        }
        byte[] noise = new byte[random.nextInt(1500)];
        random.nextBytes(noise);
        member.heard(now, noise);
        assertThat(member.self().name()).isEqualTo("self");
        assertThat(member.picture(now).members()).extracting(View.Member::name).contains("self");
    }

    private static Membership member() {
        Membership member = new Membership(new ViewSettings(new InetSocketAddress("127.0.0.1", 7), "site", List.of()), "self", "a",
                new InetSocketAddress("127.0.0.1", 7), 1, 1000, new Membership.World() {
                    @Override
                    public void send(InetSocketAddress to, byte[] body) { assertThat(body.length).isLessThanOrEqualTo(Mesh.MAX_BODY_BYTES); }

                    @Override
                    public void wrong(ViewError error) { assertThat(error.getMessage()).isNotEmpty(); }
                });
        member.start(1000, new InetSocketAddress("127.0.0.1", 7));
        return member;
    }

    private static byte[] of(News from, News... told) {
        Wire.Writer out = new Wire.Writer(Wire.Type.GOSSIP, from, true, 0, 0);
        for (News news : told) { out.add(news); }
        return out.body();
    }

    @Test
    void whoIsSaidToBeGoneGoesAboveItAndWhoIsSaidToHaveLeftBeginsAnotherLife() {
        Membership member = member();
        News other = RosterTest.news("n1", 9, 5, 5, State.ALIVE);
        News self = new News(new Who("self", "a", new InetSocketAddress("127.0.0.1", 7)), member.life(), 1, member.self().incarnation() + 7, State.GONE, News.NOBODY, 0);
        member.heard(1001, of(other, self));
        assertThat(member.self().incarnation()).isEqualTo(self.incarnation() + 1);
        long life = member.life();
        member.heard(1002, of(other, new News(self.who(), life, 1, self.incarnation() + 1, State.LEFT, News.NOBODY, 0)));
        assertThat(member.self().state()).isEqualTo(State.ALIVE);
        assertThat(member.life()).isNotEqualTo(life);
        assertThat(member.self().incarnation()).isEqualTo(self.incarnation() + 2);
    }

    @Test
    void anIncarnationThatIsFarAheadIsNotBelieved() {
        Membership member = member();
        long before = member.self().incarnation();
        News other = RosterTest.news("n1", 9, 5, 5, State.ALIVE);
        News self = new News(new Who("self", "a", new InetSocketAddress("127.0.0.1", 7)), member.life(), 1, before + Roster.MOST_JUMP + 1, State.GONE, News.NOBODY, 0);
        member.heard(1001, of(other, self, RosterTest.news("n2", 1, 5, Roster.MOST_INCARNATION + 1, State.ALIVE)));
        assertThat(member.self().incarnation()).isEqualTo(before);
        assertThat(member.member("n2")).isNull();
        assertThat(member.line()).contains("view_refused=2");
    }

    @Test
    void aLaterLifeOfTheNameIsYieldedToAndSaid() {
        Membership member = member();
        News other = RosterTest.news("n1", 9, 5, 5, State.ALIVE);
        member.heard(1001, of(other, RosterTest.news("self", 4, member.self().incarnation() + 10, member.self().incarnation() + 10, State.ALIVE)));
        assertThat(member.phase()).isEqualTo(Membership.Phase.TAKEN);
        assertThat(member.self().state()).isEqualTo(State.GONE);
        assertThat(member.report(1002)).contains("taken name=self by=127.0.0.1:1004");
    }

    @Test
    void namesAndHallsThatCannotBeAreRefused() {
        for (String name : new String[] {"", "a b", "x\n", "n/1", "a".repeat(65)}) { assertThat(Wire.isName(name)).isFalse(); }
        byte[] body = new Wire.Writer(Wire.Type.GOSSIP, RosterTest.news("n1", 1, 1, 1, State.ALIVE), true, 0, 0).body();
        body[3] = ' ';
        assertThatExceptionOfType(ViewError.Message.class).isThrownBy(() -> WIRE.read(body)).withMessageMatching("[ -~]+");
        body[0] = 99;
        assertThatExceptionOfType(ViewError.Message.class).isThrownBy(() -> WIRE.read(body)).withMessage("unknown type 99");
        assertThatExceptionOfType(ViewError.Message.class).isThrownBy(() -> WIRE.read(new byte[0])).withMessage("ends early");
    }
}

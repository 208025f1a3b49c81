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
class ViewCodecTest {
    private static final ViewCodec CODEC = new ViewCodec(UnaryOperator.identity());

    private static MemberUpdate randomUpdate(Random random) {
        State state = State.values()[random.nextInt(4)];
        long born = 1 + random.nextInt(1 << 30);
        int[] accusers = new int[state == State.SUSPECT ? 1 + random.nextInt(4) : 0];
        for (int i = 0; i < accusers.length; i++) { accusers[i] = random.nextInt(); }
        byte[] address = new byte[random.nextBoolean() ? 4 : 16];
        random.nextBytes(address);
        address[0] = 10;
        try {
            return new MemberUpdate(new MemberIdentity("n-" + random.nextInt(1000), "hall." + random.nextInt(5), new InetSocketAddress(java.net.InetAddress.getByAddress(address),
                    1 + random.nextInt(65_535))), random.nextLong(), born, born + random.nextInt(1000), state, accusers,
                    state == State.GONE || state == State.LEFT ? random.nextInt(600) : 0);
        } catch (java.net.UnknownHostException e) {
            throw new AssertionError(e);
        }
    }

    private static String describe(MemberUpdate news) {
        return news.identity() + " " + news.instanceId() + " " + news.firstIncarnation() + " " + news.incarnation() + " " + news.state() + " " + Arrays.toString(news.accusers()) + " " + news.ageS();
    }

    private static byte[] randomMessage(Random random, ViewCodec.Type type, List<MemberUpdate> updates) {
        ViewCodec.Writer out = new ViewCodec.Writer(type, randomUpdate(random), random.nextBoolean(), random.nextLong(), random.nextLong());
        switch (type) {
            case PING, ACK, INDIRECT_ACK, INDIRECT_NACK, JOIN, NAME_HELD -> out.probeFields(random.nextInt(), random.nextLong());
            case PING_REQUEST, WELCOME, NAME_CLAIMED -> out.probeFields(random.nextInt(), random.nextLong()).subject(randomUpdate(random));
            case SYNC -> out.buckets(random.longs(MemberTable.BUCKETS).toArray(), random.nextBoolean());
            default -> { }
        }
        for (MemberUpdate news = randomUpdate(random); out.addUpdate(news); news = randomUpdate(random)) { updates.add(news); }
        return out.body();
    }

    @Property(tries = 300)
    void encodedMessagesDecodeUnchanged(@ForAll long seed) {
        Random random = new Random(seed);
        ViewCodec.Type type = ViewCodec.Type.values()[random.nextInt(ViewCodec.Type.values().length)];
        List<MemberUpdate> updates = new ArrayList<>();
        byte[] body = randomMessage(random, type, updates);
        assertThat(body.length).isLessThanOrEqualTo(Mesh.MAX_BODY_BYTES);
        ViewCodec.Message read = CODEC.decode(body);
        assertThat(read.type()).isEqualTo(type);
        assertThat(read.updates().stream().map(ViewCodecTest::describe)).isEqualTo(updates.stream().map(ViewCodecTest::describe).toList());
    }

    @Property(tries = 300)
    void malformedDatagramsNeverCrashAMember(@ForAll long seed) {
        Random random = new Random(seed);
        byte[] body = randomMessage(random, ViewCodec.Type.values()[random.nextInt(ViewCodec.Type.values().length)], new ArrayList<>());
        Membership member = member();
        double now = 1000;
        for (int i = 0; i < 50; i++) {
            byte[] corrupted = Arrays.copyOf(body, random.nextInt(body.length + 200));
            for (int j = random.nextInt(4); j > 0 && corrupted.length > 0; j--) { corrupted[random.nextInt(corrupted.length)] = (byte) random.nextInt(); }
            member.receive(now, corrupted);
            now += random.nextInt(100);
            member.tick(now);
        }
        byte[] noise = new byte[random.nextInt(1500)];
        random.nextBytes(noise);
        member.receive(now, noise);
        assertThat(member.self().name()).isEqualTo("self");
        assertThat(member.snapshot(now).members()).extracting(View.Member::name).contains("self");
    }

    private static Membership member() {
        Membership member = new Membership(new ViewSettings(new InetSocketAddress("127.0.0.1", 7), "site", List.of()), "self", "a",
                new InetSocketAddress("127.0.0.1", 7), 1, 1000, new Membership.Environment() {
                    @Override
                    public void send(InetSocketAddress to, byte[] body) { assertThat(body.length).isLessThanOrEqualTo(Mesh.MAX_BODY_BYTES); }

                    @Override
                    public void reportError(ViewError error) { assertThat(error.getMessage()).isNotEmpty(); }
                });
        member.start(1000, new InetSocketAddress("127.0.0.1", 7));
        return member;
    }

    private static byte[] gossip(MemberUpdate sender, MemberUpdate... updates) {
        ViewCodec.Writer out = new ViewCodec.Writer(ViewCodec.Type.GOSSIP, sender, true, 0, 0);
        for (MemberUpdate news : updates) { out.addUpdate(news); }
        return out.body();
    }

    @Test
    void goneAboutSelfIsRefutedAndLeftAboutSelfStartsANewInstance() {
        Membership member = member();
        MemberUpdate other = MemberTableTest.update("n1", 9, 5, 5, State.ALIVE);
        MemberUpdate self = new MemberUpdate(new MemberIdentity("self", "a", new InetSocketAddress("127.0.0.1", 7)), member.instanceId(), 1, member.self().incarnation() + 7, State.GONE, MemberUpdate.NO_ACCUSERS, 0);
        member.receive(1001, gossip(other, self));
        assertThat(member.self().incarnation()).isEqualTo(self.incarnation() + 1);
        long life = member.instanceId();
        member.receive(1002, gossip(other, new MemberUpdate(self.identity(), life, 1, self.incarnation() + 1, State.LEFT, MemberUpdate.NO_ACCUSERS, 0)));
        assertThat(member.self().state()).isEqualTo(State.ALIVE);
        assertThat(member.instanceId()).isNotEqualTo(life);
        assertThat(member.self().incarnation()).isEqualTo(self.incarnation() + 2);
    }

    @Test
    void implausibleIncarnationsAreNotApplied() {
        Membership member = member();
        long before = member.self().incarnation();
        MemberUpdate other = MemberTableTest.update("n1", 9, 5, 5, State.ALIVE);
        MemberUpdate self = new MemberUpdate(new MemberIdentity("self", "a", new InetSocketAddress("127.0.0.1", 7)), member.instanceId(), 1, before + MemberTable.MAX_INCARNATION_STEP + 1, State.GONE, MemberUpdate.NO_ACCUSERS, 0);
        member.receive(1001, gossip(other, self, MemberTableTest.update("n2", 1, 5, MemberTable.MAX_INCARNATION + 1, State.ALIVE)));
        assertThat(member.self().incarnation()).isEqualTo(before);
        assertThat(member.member("n2")).isNull();
        assertThat(member.counters()).contains("view_refused=2");
    }

    @Test
    void nameIsYieldedToALaterInstance() {
        Membership member = member();
        MemberUpdate other = MemberTableTest.update("n1", 9, 5, 5, State.ALIVE);
        member.receive(1001, gossip(other, MemberTableTest.update("self", 4, member.self().incarnation() + 10, member.self().incarnation() + 10, State.ALIVE)));
        assertThat(member.phase()).isEqualTo(Membership.Phase.TAKEN);
        assertThat(member.self().state()).isEqualTo(State.GONE);
        assertThat(member.report(1002)).contains("taken name=self by=127.0.0.1:1004");
    }

    @Test
    void invalidNamesAndHallsAreRejected() {
        for (String name : new String[] {"", "a b", "x\n", "n/1", "a".repeat(65)}) { assertThat(ViewCodec.isName(name)).isFalse(); }
        byte[] body = new ViewCodec.Writer(ViewCodec.Type.GOSSIP, MemberTableTest.update("n1", 1, 1, 1, State.ALIVE), true, 0, 0).body();
        body[3] = ' ';
        assertThatExceptionOfType(ViewError.Message.class).isThrownBy(() -> CODEC.decode(body)).withMessageMatching("[ -~]+");
        body[0] = 99;
        assertThatExceptionOfType(ViewError.Message.class).isThrownBy(() -> CODEC.decode(body)).withMessage("unknown type 99");
        assertThatExceptionOfType(ViewError.Message.class).isThrownBy(() -> CODEC.decode(new byte[0])).withMessage("ends early");
    }
}

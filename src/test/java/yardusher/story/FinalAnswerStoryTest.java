package yardusher.story;

import static org.assertj.core.api.Assertions.assertThat;
import static yardusher.story.StandIn.member;
import static yardusher.story.StandIn.next;

import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import yardusher.cli.IngressProcess;
import yardusher.settings.Settings;
import yardusher.story.StandIn.Client;
import yardusher.story.StandIn.Discovery;
import yardusher.story.StandIn.Region;

/** Every request gets one final answer by its time, whatever the regions do: a real ingress on a scripted clock. */
class FinalAnswerStoryTest {
    private final List<AutoCloseable> all = new CopyOnWriteArrayList<>();
    private volatile double now = 1.7e12;
    private IngressProcess serve;

    @AfterEach
    void close() throws Exception {
        for (AutoCloseable one : all) { one.close(); }
        if (serve != null) { serve.close(); }
    }

    private Client start(String... members) throws Exception {
        Discovery discovery = new Discovery();
        all.add(discovery);
        serve = StandIn.ingress(json -> json.replace("\"sockets\": 1024", "\"sockets\": 256"), config -> LongServing.of(config, null, Settings.OFF, () -> now), discovery.address(), members);
        return client();
    }

    private Client client() throws Exception {
        Client client = new Client((InetSocketAddress) serve.front().server().address());
        all.add(client);
        return client;
    }

    private Region region() throws Exception {
        Region region = new Region();
        all.add(region);
        return region;
    }

    private void move(double ms) {
        now += ms;
        serve.loop().execute(() -> { });
    }

    /**
     * Regions that never answer: no further moment than the last of its time is needed for an answer, which is a failure or a
     * refusal. What a region says later reaches nobody.
     */
    @Test
    void whatNoRegionAnswersIsAnsweredByItsTimeAndWhatComesLaterIsDropped() throws Exception {
        Region mute = region();
        mute.script = command -> null;
        Client client = start(member("s-1", mute.address(), "Ready"));
        for (String call : List.of("CALL.GET", "CALL.POST")) {
            boolean order = call.equals("CALL.POST");
            String id = order ? "0000000000000002" : "0000000000000001";
            List<String> words = new ArrayList<>(List.of(call, "0000000000000007", id,
                    "c=" + (order ? "place-order" : "lookup") + ",t=basis,d=480," + (order ? "k=0000000000000009," : "") + "units=1,spread=1,first=0"));
            if (order) { words.add("order"); }
            client.send(words.toArray(String[]::new));
            next(mute.seen);
            for (int step = 0; step < 48; step++) { move(10); }
            assertThat(client.told()).as(call).startsWith("-");
            mute.last.getOutputStream().write(Region.served("late"));
            assertThat(client.ask("PING")).as("nothing stands before the next answer").isEqualTo("+PONG");
        }
        assertThat(serve.countersLine()).contains("open=0");
    }

    /** Nobody is there: the answer is a refusal, at once and not after half of its time, and no attempt was written whole. */
    @Test
    void whatWasNeverSentIsRefusedAtOnceAndNotFailed() throws Exception {
        String nobody;
        try (ServerSocket closed = new ServerSocket(0)) { nobody = "127.0.0.1:" + closed.getLocalPort(); }
        Client client = start(member("s-1", nobody, "Ready"), member("s-2", nobody.replace("127.0.0.1", "127.0.0.2"), "Ready"));
        for (int i = 0; i < 5; i++) { assertThat(client.lookup(20 + i, 1000)).as("with the clock standing still").startsWith("-BUSY"); }
        assertThat(serve.countersLine()).contains("forwards=0").contains("failed=0").contains("refused=5");
    }

    /** A connection that has just been opened and asks is answered, beside as many that say nothing as there is room for. */
    @Test
    void aNewConnectionThatAsksIsAnsweredHoweverManySayNothing() throws Exception {
        Region region = region();
        start(member("s-1", region.address(), "Ready"));
        for (int i = 0; i < 200; i++) {
            client();                                // connects, and says nothing
            move(1);
            assertThat(client().lookup(100 + i, 1000)).as("number %d", i).isEqualTo("made here");
            move(1);
        }
    }
}

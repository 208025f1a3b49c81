package yardusher.story;

import static org.assertj.core.api.Assertions.assertThat;
import static yardusher.story.StandIn.member;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import yardusher.cli.IngressProcess;
import yardusher.resp.Encoder;
import yardusher.settings.Settings;
import yardusher.story.StandIn.Client;
import yardusher.story.StandIn.Discovery;
import yardusher.story.StandIn.Region;

/** The last answers on a connection, as its end or the process's nears. */
class LastAnswersStoryTest {
    private final long start = System.nanoTime();
    private volatile double later;                   // added to the clock
    private Region region;
    private Discovery discovery;
    private IngressProcess serve;
    private Thread drain;
    private InetSocketAddress door;

    @BeforeEach
    void open() throws Exception {
        region = new Region();
        discovery = new Discovery();
        serve = StandIn.ingress(json -> json, config -> LongServing.of(config, null, Settings.OFF, () -> 1.7e12 + later + (System.nanoTime() - start) / 1e6),
                discovery.address(), member("s-1", region.address(), "Ready"));
        door = (InetSocketAddress) serve.front().server().address();
        drain = new Thread(() -> {
            try { serve.drain(); } catch (InterruptedException e) { /* ends */ }
        });
    }

    @AfterEach
    void close() throws Exception {
        serve.close();
        region.close();
        discovery.close();
    }

    /** Danger: two commands come together, the first is answered at once and its connection ends: the second was sent on all the same. */
    @Test
    void whatWasReadBehindAnAnswerIsAnsweredBeforeItsConnectionEnds() throws Exception {
        serve.front().server().setDraining(true);
        assertThat(serve.countersLine()).contains("taken_in=0 ");
        later += 600;                                // connections close behind their answers by now
        region.script = command -> Region.served("made for " + command.split(" ")[2]);
        for (int i = 1; i <= 20; i++) {
            try (Client client = new Client(door)) {
                ByteArrayOutputStream both = new ByteArrayOutputStream();
                both.writeBytes(new Encoder(16).array(1).bulk("PING").toBytes());
                String number = String.format("%016x", i);
                both.writeBytes(new Encoder(256).array(5).bulk("CALL.POST").bulk(number).bulk(number)
                        .bulk("c=place-order,t=basis,d=8000,k=" + number + ",units=1,spread=1,first=0").bulk("order").toBytes());
                client.raw(both.toByteArray());
                assertThat(client.told()).isEqualTo("-ERR clients are sent away");
                assertThat(client.told()).matches("made for " + number + "|-BUSY.*");
                assertThat(client.ended()).isTrue();
            }
        }
    }

    /** A client that takes its answers slowly has them whole: the process does not end before the system has taken them. */
    @Test
    void theProcessEndsOnceTheSystemHasTakenTheLastAnswers() throws Exception {
        byte[] word = new byte[60_000];
        byte[] ping = new Encoder(word.length + 64).array(2).bulk("PING").bulk(word).toBytes();
        int answer = new Encoder(word.length + 64).bulk(word).toBytes().length;
        try (Client idle = new Client(door); Socket slow = new Socket()) {
            assertThat(idle.ask("PING")).isEqualTo("+PONG");
            slow.setReceiveBufferSize(4096);
            slow.connect(door, StandIn.PATIENCE_S * 1000);
            slow.setSoTimeout(StandIn.PATIENCE_S * 1000);
            AtomicInteger written = new AtomicInteger();
            Thread writer = new Thread(() -> {
                try {
                    for (int i = 0; i < 400; i++) {
                        slow.getOutputStream().write(ping);
                        written.incrementAndGet();
                    }
                } catch (IOException e) { /* ends */ }
            });
            writer.setDaemon(true);
            writer.start();
            // The writer is held up once the ingress holds all it may, and that is once the system takes no more answers.
            int[] before = {-1, 0};
            StandIn.patiently().pollInterval(Duration.ofMillis(200)).until(() -> {
                before[1] = before[0];
                return (before[0] = written.get()) > 10 && before[0] == before[1];
            });
            assertThat(written.get()).isLessThan(400);
            drain.start();
            assertThat(idle.ended()).isTrue();
            drain.join(300);
            assertThat(drain.isAlive()).as("answers are not taken yet").isTrue();
            long taken = 0;
            byte[] part = new byte[64 * 1024];
            for (int count; (count = slow.getInputStream().read(part)) > 0;) { taken += count; } // a reset fails this
            assertThat(taken).isGreaterThan(256 * 1024);
            assertThat(taken % answer).as("the last answer is whole").isZero();
        }
        drain.join(StandIn.PATIENCE_S * 1000);
        assertThat(drain.isAlive()).isFalse();
    }
}

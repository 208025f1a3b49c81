package yardusher.story;

import static org.assertj.core.api.Assertions.assertThat;
import static yardusher.story.StandIn.member;
import static yardusher.story.StandIn.next;

import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import yardusher.cli.Serve;
import yardusher.settings.Settings;
import yardusher.story.StandIn.Client;
import yardusher.story.StandIn.Discovery;
import yardusher.story.StandIn.Region;

/** The last seconds of a process, up to its kill: terminals go on sending on whatever stays open. */
class EndStoryTest {
    private final long start = System.nanoTime();
    private volatile double later;                   // added to the clock
    private Region region;
    private Discovery discovery;
    private Serve serve;
    private Thread drain;
    private InetSocketAddress door;

    @BeforeEach
    void open() throws Exception {
        region = new Region();
        discovery = new Discovery();
        serve = StandIn.ingress(json -> json, config -> new Serve(config, null, Settings.OFF, () -> 1.7e12 + later + (System.nanoTime() - start) / 1e6),
                discovery.address(), member("s-1", region.address(), "Ready"));
        door = (InetSocketAddress) serve.front().answers().address();
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

    private static void order(Client client, int number) throws Exception {
        client.send("CALL.POST", "0000000000000001", String.format("%016x", number),
                "c=place-order,t=basis,d=8000,k=" + String.format("%016x", number) + ",units=1,spread=1,first=0", "order");
    }

    /**
     * Danger: a terminal whose requests overlap on one connection keeps it open for ever, and the kill finds the last of them
     * unanswered. What comes once 0.7 s have passed is not taken, and the connection ends behind the last answer.
     */
    @Test
    void whatIsSentBehindAnOpenRequestAfterTheFirstMomentsIsNotTaken() throws Exception {
        BlockingQueue<String> go = new LinkedBlockingQueue<>();
        region.script = command -> {
            try {
                return Region.served(next(go) + command.split(" ")[2]);
            } catch (InterruptedException e) {
                return null;
            }
        };
        try (Client idle = new Client(door); Client busy = new Client(door)) {
            assertThat(idle.ask("PING")).isEqualTo("+PONG");
            order(busy, 1);
            assertThat(next(region.seen)).contains("0000000000000001");
            drain.start();
            order(busy, 2);                          // at once: owed its answer, whenever that comes
            assertThat(next(region.seen)).contains("0000000000000002");
            assertThat(idle.ended()).as("accepts no more").isTrue();
            later += 200;
            order(busy, 3);
            go.add("made for ");
            go.add("made for ");
            assertThat(busy.told()).isEqualTo("made for 0000000000000001");
            assertThat(busy.told()).isEqualTo("made for 0000000000000002");
            assertThat(busy.ended()).isTrue();
            drain.join(StandIn.PATIENCE_S * 1000);
            assertThat(drain.isAlive()).isFalse();
            assertThat(region.seen).isEmpty();
        }
    }
}

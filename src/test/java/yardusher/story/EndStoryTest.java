package yardusher.story;

import static org.assertj.core.api.Assertions.assertThat;
import static yardusher.story.StandIn.member;
import static yardusher.story.StandIn.next;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import yardusher.cli.IngressProcess;
import yardusher.settings.Settings;
import yardusher.story.StandIn.Client;
import yardusher.story.StandIn.Discovery;
import yardusher.story.StandIn.Region;

/** The last seconds of a process, up to its kill: terminals go on sending on whatever stays open. */
class EndStoryTest {
    private static final int PLACES = 65;            // of 136 descriptors three fifths, a fifth of those for last bytes

    private final long start = System.nanoTime();
    private volatile double later;                   // added to the clock
    private Region region;
    private Discovery discovery;
    private IngressProcess serve;
    private Thread drain;
    private final BlockingQueue<String> halted = new LinkedBlockingQueue<>();
    private InetSocketAddress door;

    @BeforeEach
    void open() throws Exception {
        region = new Region();
        discovery = new Discovery();
        serve(json -> json, () -> 1.7e12 + later + (System.nanoTime() - start) / 1e6);
    }

    private void serve(UnaryOperator<String> edit, DoubleSupplier clock) throws Exception {
        if (serve != null) { serve.close(); }
        serve = StandIn.ingress(edit, config -> LongServing.of(config, null, Settings.OFF, clock), discovery.address(),
                member("s-1", region.address(), "Ready"));
        door = (InetSocketAddress) serve.front().server().address();
        IngressProcess drained = serve;
        drain = new Thread(() -> {
            try { drained.drain(); } catch (InterruptedException e) { /* ends */ }
            drained.close();                         // here as at the halt: what is still open is cut off
            halted.add("halted");
        });
    }

    /** From now on the time goes on only where the test says so, and each step is followed by a turn. */
    private void serveByTheScript(UnaryOperator<String> edit) throws Exception { serve(edit, () -> 1.8e12 + later); }

    private void goOn(int ms) {
        later += ms;
        serve.loop().execute(() -> { });
    }

    /** SIGTERM, up to the first moment of the drain. */
    private void terminate() throws Exception {
        int[] before = new int[1];
        serve.loop().execute(() -> before[0] = serve.loop().deadlines().size());
        drain.start();
        StandIn.patiently().until(() -> {
            int[] now = new int[1];
            serve.loop().execute(() -> now[0] = serve.loop().deadlines().size());
            return now[0] > before[0];
        });
    }

    private void ends() throws Exception {
        StandIn.patiently().until(() -> {
            goOn(20);
            return !halted.isEmpty();
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
        try (Client idle = new Client(door); Client busy = new Client(door); Client half = new Client(door)) {
            assertThat(idle.ask("PING")).isEqualTo("+PONG");
            half.raw("*1\r\n$4\r\n".getBytes(StandardCharsets.US_ASCII));
            order(busy, 1);
            assertThat(next(region.seen)).contains("0000000000000001");
            drain.start();
            order(busy, 2);                          // at once: owed its answer, whenever that comes
            assertThat(next(region.seen)).contains("0000000000000002");
            assertThat(idle.ended()).as("accepts no more").isTrue();
            later += 200;
            assertThat(half.ended()).as("reading has stopped").isTrue();
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

    /** Danger: the process ends with answers in its queues, which their clients take slowly. */
    @Test
    void answersThatTheSystemHasNotTakenYetAreWaitedFor() throws Exception {
        serveByTheScript(json -> json);
        String value = "x".repeat(60_000);
        region.script = command -> Region.served(value);
        try (Client slow = new Client(door, 4096)) {
            for (int i = 1; i <= 24; i++) {
                int count = i;
                slow.sendLookup(100 + i, 2000);
                StandIn.patiently().until(() -> serve.ingress().counters().served[0] == count);
                goOn(50);
            }
            terminate();
            goOn(500);
            goOn(100);
            goOn(20);
            assertThat(halted.poll(1500, TimeUnit.MILLISECONDS)).isNull();
            for (int i = 0; i < 24; i++) { assertThat(slow.told()).isEqualTo(value); }
            assertThat(slow.ended()).isTrue();
        }
        ends();
    }

    /** Danger: clients who connected while all places were taken are reset with their requests when the door closes. */
    @Test
    void whoWaitsAtAFullDoorWhenItClosesHasItsAnswer() throws Exception {
        serveByTheScript(json -> json.replace("\"sockets\": 1024", "\"sockets\": 200"));
        List<Client> guests = new ArrayList<>();
        try {
            while (guests.size() < PLACES) { guests.add(new Client(door)); }
            StandIn.patiently().until(() -> serve.front().server().terminalCount() == PLACES);
            Client waits = new Client(door);
            guests.add(waits);
            waits.sendLookup(7, 2000);
            terminate();
            goOn(500);
            assertThat(waits.told()).isEqualTo("made here");
            assertThat(waits.ended()).isTrue();
        } finally {
            for (Client one : guests) { one.close(); }
        }
        goOn(100);
        ends();
    }

    @Test
    void halfACommandAtTheCloseOfTheDoorIsAnsweredWhenItsRestComesAtOnce() throws Exception {
        serveByTheScript(json -> json);
        try (Client idle = new Client(door); Client half = new Client(door)) {
            assertThat(idle.ask("PING")).isEqualTo("+PONG");
            half.raw("*1\r\n$4\r\nPI".getBytes());
            assertThat(idle.ask("PING")).isEqualTo("+PONG");
            StandIn.patiently().until(() -> serve.front().server().terminalCount() == 2);
            terminate();
            goOn(500);
            assertThat(idle.ended()).isTrue();
            half.raw("NG\r\n".getBytes());
            assertThat(half.told()).isEqualTo("+PONG");
            assertThat(half.ended()).isTrue();
        }
        goOn(100);
        ends();
    }

    /** Danger: where all deadlines are short, the process ended before a request of the last moment had its time. */
    @Test
    void shortDeadlinesEndNothingBeforeItsTime() throws Exception {
        BlockingQueue<String> go = new LinkedBlockingQueue<>();
        region.script = command -> {
            try {
                return Region.served(next(go));
            } catch (InterruptedException e) {
                return null;
            }
        };
        serveByTheScript(json -> json.replace("\"hard_limit_ms\": 2500.0", "\"hard_limit_ms\": 200.0").replace("\"hard_limit_ms\": 8000.0",
                "\"hard_limit_ms\": 200.0").replace("\"aim_ms\": 1000.0", "\"aim_ms\": 100.0").replace("\"aim_ms\": 2000.0", "\"aim_ms\": 100.0"));
        try (Client last = new Client(door)) {
            terminate();
            goOn(490);
            last.sendLookup(7, 200);
            assertThat(next(region.seen)).contains("CALL.GET");
            goOn(10);
            assertThat(halted.poll(1500, TimeUnit.MILLISECONDS)).isNull();
            go.add("made late");
            assertThat(last.told()).isEqualTo("made late");
            assertThat(last.ended()).isTrue();
        }
        goOn(100);
        ends();
    }
}

package yardusher.story;

import static org.assertj.core.api.Assertions.assertThat;
import static yardusher.story.StandIn.member;
import static yardusher.story.StandIn.next;

import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import yardusher.cli.IngressProcess;
import yardusher.resp.Encoder;
import yardusher.settings.Settings;
import yardusher.story.StandIn.Client;
import yardusher.story.StandIn.Region;

/** Clients that have gone: whatever holds their commands back, their end is seen, and nothing of theirs begins any more. */
class GoneStoryTest {
    private final long start = System.nanoTime();
    private final AtomicLong numbers = new AtomicLong(1000);
    private final Semaphore gate = new Semaphore(1);  // whoever holds it stops the ingress in its next look at the clock
    private volatile double later;                   // added to the clock
    private Region region;
    private IngressProcess serve;
    private InetSocketAddress door;

    @BeforeEach
    void open() throws Exception {
        region = new Region();
        region.script = command -> null;
        // However long the machine takes, nothing is given up meanwhile: no aim or deadline has a part in these.
        serve = StandIn.ingress(json -> json.replaceAll("\"(aim_ms|hard_limit_ms)\": [0-9.]+", "\"$1\": 300000.0"), config -> LongServing.of(config, null, Settings.OFF, this::clock), "127.0.0.1:9",
                member("s-1", region.address(), "Ready"));
        door = (InetSocketAddress) serve.front().server().address();
    }

    @AfterEach
    void close() throws Exception {
        serve.close();
        region.close();
    }

    private double clock() {
        gate.acquireUninterruptibly();
        gate.release();
        return 1.7e12 + later + (System.nanoTime() - start) / 1e6;
    }

    /** So many orders, each of another customer, as one piece of bytes. */
    private byte[] orders(int count) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (int i = 0; i < count; i++) {
            String number = String.format("%016x", numbers.getAndIncrement());
            all.writeBytes(new Encoder(256).array(5).bulk("CALL.POST").bulk(number).bulk(number)
                    .bulk("c=place-order,t=basis,d=300000,k=" + number + ",units=1,spread=1,first=0").bulk("order").toBytes());
        }
        return all.toByteArray();
    }

    private void awaitLine(String wanted) {
        StandIn.patiently().untilAsserted(() -> assertThat(serve.countersLine()).containsPattern(wanted));
    }

    /** Closes by a reset. */
    private static void reset(Client client) throws Exception {
        client.socket.setSoLinger(true, 0);
        client.close();
    }

    /** More on one connection than are followed at once: before, nothing was read behind them, and the end neither. */
    @Test
    void whoClosesBehindMoreThanIsFollowedTakesAllAlong() throws Exception { leaves(false); }

    @Test
    void whoResetsBehindMoreThanIsFollowedTakesAllAlong() throws Exception { leaves(true); }

    private void leaves(boolean resets) throws Exception {
        Client client = new Client(door);
        client.raw(orders(100));
        awaitLine("taken_in=64 ");                   // some are out, some wait, and some may be refused meanwhile
        next(region.seen);
        if (resets) { reset(client); } else { client.close(); }
        awaitLine(" open=0 ");
        assertThat(serve.countersLine()).contains("taken_in=64 served=0 ").contains(" failed=0 ").containsPattern(" gone=[1-9]")
                .contains(" attempts_further=0 ").contains(" attempts_timed_out=0 ").containsPattern(" attempts_cancelled=[1-9]");
    }

    @Test
    void whoLeavesBehindNonsenseTakesWhatIsOpenAlong() throws Exception {
        try (Client client = new Client(door)) {
            client.raw(orders(1));
            next(region.seen);
            client.raw("*1\r\n$-1\r\n".getBytes(StandardCharsets.US_ASCII));
            awaitLine(" invalid=1 ");
        }
        awaitLine(" gone=1 open=0 ");
        assertThat(next(region.ends)).isEqualTo("left");
    }

    /** From 0.6 s after SIGTERM on nothing is followed behind an open request, but the end is seen. */
    @Test
    void whoLeavesAfterTheLastMomentsOfADrainTakesWhatIsOpenAlong() throws Exception {
        Thread drain = new Thread(() -> {
            try { serve.drain(); } catch (InterruptedException e) { /* ends */ }
        });
        try (Client client = new Client(door); Client idle = new Client(door); Client half = new Client(door)) {
            assertThat(idle.ask("PING")).isEqualTo("+PONG");
            half.raw("*1\r\n$4\r\n".getBytes(StandardCharsets.US_ASCII));
            client.raw(orders(1));
            next(region.seen);
            drain.start();
            assertThat(idle.ended()).as("accepts no more").isTrue();
            later += 200;
            assertThat(half.ended()).as("reading has stopped").isTrue();
            for (int i = 0; i < 3; i++) {            // each read by itself
                client.raw(orders(1));
                serve.countersLine();
            }
        }
        awaitLine("taken_in=1 .* gone=1 open=0 ");
        drain.join(StandIn.PATIENCE_S * 1000);
        assertThat(drain.isAlive()).isFalse();
    }

    /** Requests and the end lie together in the system before the process looks: none of them is sent on. */
    @Test
    void whatIsTakenBackBeforeItIsReadIsNeverSentOn() throws Exception {
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            clients.add(new Client(door));
            assertThat(clients.get(i).ask("PING")).isEqualTo("+PONG");
        }
        gate.acquire();
        try {
            for (int i = 0; i < clients.size(); i++) {
                Client client = clients.get(i);
                client.raw(orders(i % 3 == 0 ? 30 : 1));
                if (i % 2 == 0) { reset(client); } else { client.close(); }
            }
            try (Client late = new Client(door)) { late.raw(orders(1)); } // not even accepted yet
        } finally {
            gate.release();
        }
        StandIn.patiently().until(() -> serve.front().server().terminalCount(), left -> left == 0);
        assertThat(serve.countersLine()).contains("taken_in=0 ");
        assertThat(region.seen).isEmpty();
    }

    @Test
    void aFloodIsToldAndWhatWasOpenIsAnsweredBeforeThat() throws Exception {
        try (Client flood = new Client(door)) {
            Semaphore go = new Semaphore(0);
            region.script = command -> {
                go.acquireUninterruptibly();
                go.release();
                return Region.served("made here");
            };
            Thread writer = new Thread(() -> {
                try {
                    for (int i = 0; i < 40; i++) { flood.raw(orders(400)); }
                } catch (java.io.IOException e) { /* closed */ }
            });
            writer.start();
            awaitLine(" invalid=1 ");
            go.release();
            for (int i = 0; i < 64; i++) { assertThat(flood.told()).matches("made here|-BUSY.*|-ERR failed"); }
            assertThat(flood.told()).startsWith("-ERR Protocol error: too many commands");
            writer.join(StandIn.PATIENCE_S * 1000);
            assertThat(flood.socket.getInputStream().read()).isEqualTo(-1);
            try (Client usual = new Client(door)) {
                usual.raw(orders(1));
                assertThat(usual.told()).isEqualTo("made here");
            }
            awaitLine("taken_in=65 ");
        }
    }

    @Test
    void muchAtOnceAndGoneLeavesNothingOpen() throws Exception {
        Client flood = new Client(door);
        Thread writer = new Thread(() -> {
            try {
                for (int i = 0; i < 40; i++) { flood.raw(orders(400)); }
            } catch (java.io.IOException e) { /* closed */ }
        });
        writer.start();
        awaitLine("taken_in=64 ");
        writer.join(TimeUnit.SECONDS.toMillis(StandIn.PATIENCE_S));
        assertThat(writer.isAlive()).as("is read and dropped").isFalse();
        reset(flood);
        awaitLine(" open=0 ");
        assertThat(serve.countersLine()).contains("taken_in=64 served=0 ").containsPattern(" gone=[1-9]").contains(" attempts_further=0 ");
    }

    @Test
    void hundredsOfRequestsAtOnceAreAnsweredInOrder() throws Exception {
        region.script = command -> Region.served(command.split(" ")[1]);
        try (Client client = new Client(door)) {
            client.raw(orders(500));
            for (int i = 0; i < 500; i++) { assertThat(client.told()).matches(String.format("%016x", 1000 + i) + "|-BUSY.*"); }
        }
        assertThat(serve.countersLine()).contains("taken_in=500 ").contains(" faults=0");
    }
}

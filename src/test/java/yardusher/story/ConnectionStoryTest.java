package yardusher.story;

import static org.assertj.core.api.Assertions.assertThat;
import static yardusher.story.StandIn.list;
import static yardusher.story.StandIn.member;
import static yardusher.story.StandIn.next;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import yardusher.cli.IngressProcess;
import yardusher.limits.LimitsConfig;
import yardusher.net.Sockets;
import yardusher.story.StandIn.Client;
import yardusher.story.StandIn.Discovery;
import yardusher.story.StandIn.Region;

/** The life of connections on both fronts, and of the watch: who keeps one without use, floods it or never ends. */
class ConnectionStoryTest {
    private Region region;
    private Discovery discovery;
    private IngressProcess serve;

    @BeforeEach
    void open() throws Exception {
        region = new Region();
        discovery = new Discovery();
    }

    @AfterEach
    void close() throws Exception {
        if (serve != null) { serve.close(); }
        region.close();
        discovery.close();
    }

    /** Both fronts, in an ingress that may hold few descriptors. */
    private void start(int sockets) throws Exception {
        LimitsConfig limits = new LimitsConfig(Sockets.parseAddress("127.0.0.1:0"), "lookup", 1000, 200, java.util.Map.of(), null);
        serve = StandIn.ingress(json -> json.replace("\"sockets\": 1024", "\"sockets\": " + sockets), discovery.address(),
                limits, member("s-1", region.address(), "Ready"));
    }

    private List<Client> bothFronts() throws Exception {
        return List.of(new Client(serve.front().server().address()), new Client(serve.limitsFront().server().address()));
    }

    @Test
    void whoAskedOnceAndKeepsItsConnectionGivesWayToTheNext() throws Exception {
        start(256);
        List<Client> kept = new ArrayList<>();
        try {
            for (int i = 0; i < 200; i++) {          // far more than find room at once
                Client client = new Client(serve.front().server().address());
                kept.add(client);
                assertThat(client.ask("PING")).isEqualTo("+PONG");
            }
            assertThat(kept.get(0).ended()).isTrue();
            assertThat(kept.get(199).lookup(1, 2000)).isEqualTo("made here");
        } finally {
            for (Client client : kept) { client.close(); }
        }
    }

    @Test
    void whoUsesANewConnectionForEachRequestIsNotLeftWithOldOnesAlone() throws Exception {
        start(512);
        List<Client> kept = new ArrayList<>();
        try {
            for (int i = 0; i < 60; i++) {           // there is room for all of them at once
                Client client = new Client(serve.front().server().address());
                kept.add(client);
                client.ask("PING");
            }
            long begun = System.nanoTime();
            while (System.nanoTime() - begun < 150_000_000L) { kept.get(59).ask("PING"); }
            for (int i = 0; i < 20; i++) {
                Client client = new Client(serve.front().server().address());
                kept.add(client);
                client.ask("PING");
            }
            kept.get(0).socket.setSoTimeout(1000);   // closed by those that came, long before anything is crowded
            assertThat(kept.get(0).ended()).isTrue();
        } finally {
            for (Client client : kept) { client.close(); }
        }
    }

    /** What crosses the end of an idle connection is not read, and the end is no reset, which would take answers with it. */
    @Test
    void whatCrossesTheEndOfAnIdleConnectionIsNotSentOn() throws Exception {
        start(256);
        List<Client> kept = new ArrayList<>();
        try {
            do {
                Client client = new Client(serve.front().server().address());
                kept.add(client);
                client.ask("PING");
            } while (serve.front().server().terminalCount() == kept.size());
            Client first = kept.get(0);
            first.sendLookup(1, 2000);
            first.sendLookup(2, 2000);
            assertThat(first.socket.getInputStream().read()).isEqualTo(-1);
            assertThat(kept.get(kept.size() - 1).ask("PING")).isEqualTo("+PONG");
            first.sendLookup(3, 2000);               // a closed connection would have been reset by now
            first.sendLookup(4, 2000);
            assertThat(first.socket.getInputStream().read()).isEqualTo(-1);
            assertThat(region.seen).isEmpty();
        } finally {
            for (Client client : kept) { client.close(); }
        }
    }

    /** Danger: who owes nothing but bytes that the system has not taken counted as idle, and lost them to the next newcomer. */
    @Test
    void whoTakesItsAnswersSlowlyGivesWayToNobody() throws Exception {
        start(256);
        List<Client> kept = new ArrayList<>();
        byte[] word = new byte[60_000];
        byte[] ping = new yardusher.resp.Encoder(word.length + 64).array(2).bulk("PING").bulk(word).toBytes();
        int answer = new yardusher.resp.Encoder(word.length + 64).bulk(word).toBytes().length;
        try (Socket slow = new Socket()) {
            slow.setReceiveBufferSize(4096);
            slow.connect(serve.front().server().address(), StandIn.PATIENCE_S * 1000);
            slow.setSoTimeout(StandIn.PATIENCE_S * 1000);
            AtomicInteger written = new AtomicInteger();
            int all = 300;
            Thread writer = new Thread(() -> {
                try {
                    for (int i = 0; i < all; i++) {
                        slow.getOutputStream().write(ping);
                        written.incrementAndGet();
                    }
                    slow.getOutputStream().write("*1\r\n$4\r\nPING\r\n".getBytes(StandardCharsets.US_ASCII));
                } catch (IOException e) { /* closed */ }
            });
            writer.setDaemon(true);
            writer.start();
            int[] before = {-1, 0};
            StandIn.patiently().pollInterval(Duration.ofMillis(300)).until(() -> {
                before[1] = before[0];
                return (before[0] = written.get()) > 10 && before[0] == before[1];
            });
            assertThat(written.get()).isLessThan(all);
            for (int i = 0; i < 200; i++) {          // far more than find room at once
                Client client = new Client(serve.front().server().address());
                kept.add(client);
                assertThat(client.ask("PING")).isEqualTo("+PONG");
            }
            InputStream in = slow.getInputStream();
            for (int i = 0; i < all; i++) { assertThat(in.readNBytes(answer)).hasSize(answer); }
            assertThat(new String(in.readNBytes(7), StandardCharsets.US_ASCII)).isEqualTo("+PONG\r\n");
        } finally {
            for (Client client : kept) { client.close(); }
        }
    }

    @Test
    void whoSaysNothingOrHalfACommandIsClosedOnBothFronts() throws Exception {
        start(1024);
        for (Client silent : bothFronts()) { assertThat(silent.ended()).isTrue(); }
        List<Client> halves = bothFronts();
        for (Client half : halves) { half.raw("*2\r\n$4\r\nPING\r\n$3\r\nab".getBytes(StandardCharsets.US_ASCII)); }
        for (Client half : halves) {
            assertThat(half.told()).isEqualTo("-ERR Protocol error: command not ended");
            assertThat(half.ended()).isTrue();
        }
        for (Client usual : bothFronts()) { assertThat(usual.ask("PING")).isEqualTo("+PONG"); }
    }

    @Test
    void whoSendsSixtyMegabytesGetsItsErrorWhole() throws Exception {
        start(1024);
        for (Client large : bothFronts()) {
            large.raw("*1\r\n$60000000\r\n".getBytes(StandardCharsets.US_ASCII));
            byte[] part = new byte[60_000];
            for (int i = 0; i < 1000; i++) { large.raw(part); } // a reset on the way would fail this
            assertThat(large.told()).startsWith("-ERR Protocol error");
            assertThat(large.socket.getInputStream().read()).isEqualTo(-1);
            large.close();
        }
    }

    @Test
    void hundredsOfCommandsAtOnceAreAllAnsweredInOrder() throws Exception {
        start(1024);
        for (Client flood : bothFronts()) {
            for (int i = 0; i < 500; i++) { flood.send("PING", "no " + i); }
            for (int i = 0; i < 500; i++) { assertThat(flood.told()).isEqualTo("no " + i); }
        }
    }

    @Test
    void aNewConfigurationMovesTheWatchAndOneThatCannotBeReadChangesNothing() throws Exception {
        start(1024);
        next(discovery.asked);
        Path file = Files.createTempFile("ingress", ".json");
        try (Discovery newer = new Discovery(); Region other = new Region();
                Client client = new Client(serve.front().server().address())) {
            other.script = command -> Region.served("elsewhere");
            String json = Files.readString(Path.of("src/test/resources/ingress.json"));
            Files.writeString(file, json.substring(0, json.length() / 2));
            assertThat(serve.reload(file.toString())).startsWith("keeps its configuration: ");
            assertThat(client.lookup(1, 2000)).isEqualTo("made here");

            Files.writeString(file, json.replace("127.0.0.1:9\"", newer.address() + "\""));
            assertThat(serve.reload(file.toString())).startsWith("reloaded: discovery at ");
            assertThat(next(newer.asked)).contains("since=0 "); // another service's versions mean nothing here
            newer.tell("");
            newer.dropGuests();
            assertThat(next(newer.asked)).contains("since=0 "); // an empty line was no list
            assertThat(discovery.ends).isEmpty();
            newer.tell(list(3, true, member("s-2", other.address(), "Ready")));
            next(discovery.ends);                    // heard until the new one has told its list, then left
            assertThat(client.lookup(2, 2000)).isEqualTo("elsewhere");
            newer.dropGuests();
            assertThat(next(newer.asked)).contains("since=3 ");
        } finally {
            Files.delete(file);
        }
    }
}

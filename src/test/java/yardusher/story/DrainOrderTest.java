package yardusher.story;

import static org.assertj.core.api.Assertions.assertThat;
import static yardusher.story.StandIn.member;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import yardusher.cli.IngressProcess;
import yardusher.settings.Settings;
import yardusher.story.StandIn.Client;
import yardusher.story.StandIn.Discovery;
import yardusher.story.StandIn.Region;

/** The old process of an upgrade, told to end and told of its next version's yes in different orders; a scripted clock. */
class DrainOrderTest {
    private static final int NEVER = -1;
    private static final int BEFORE_SIGTERM = 0;
    private static final int STEP_MS = 10;
    private static final int READ_PERIOD_MS = 600;
    private static final int CATCH_UP_MS = 50;
    private static final int ENDED_MS = 1500;        // without requests: long before the kill
    private static final int THREAD_PATIENCE_S = 5;  // less than the drain itself waits for an event loop that is stuck

    @TempDir
    Path folder;
    private volatile double nowMs = 1.8e12;
    private final CountDownLatch drained = new CountDownLatch(1);
    private Region region;
    private Discovery discovery;
    private IngressProcess serve;
    private InetSocketAddress door;

    @BeforeEach
    void open() throws Exception {
        region = new Region();
        discovery = new Discovery();
        InetSocketAddress anyPort = new InetSocketAddress("127.0.0.1", 0);
        serve = StandIn.ingress(json -> json, config -> new IngressProcess(config, anyPort, folder, null, Settings.OFF, () -> nowMs,
                nowMs - LongServing.EARNED_MS), discovery.address(), member("s-1", region.address(), "Ready"));
        door = (InetSocketAddress) serve.front().server().address();
    }

    @AfterEach
    void close() throws Exception {
        serve.close();
        region.close();
        discovery.close();
    }

    /** The next version, at the second address of the process. */
    private final class NextVersion implements AutoCloseable {
        private final Socket link;
        private final BufferedReader lines;

        NextVersion() throws IOException {
            link = new Socket("127.0.0.1", serve.admin().address().getPort());
            link.setSoTimeout(StandIn.PATIENCE_S * 1000);
            lines = new BufferedReader(new InputStreamReader(link.getInputStream(), StandardCharsets.ISO_8859_1));
            send("handover 1 " + token() + "\n");
            awaitLine("whole");
        }

        private String token() throws IOException {
            try (Stream<Path> files = Files.list(folder)) {
                return Files.readAllLines(files.filter(file -> file.toString().endsWith(".handover")).findFirst().orElseThrow()).get(2);
            }
        }

        private void send(String text) throws IOException { link.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1)); }

        private void awaitLine(String expected) throws IOException {
            for (String line; !expected.equals(line = lines.readLine());) {
                if (line == null) { throw new IOException("the link has ended"); }
            }
        }

        /** Says that it serves, and waits until that was handled. */
        void sayYes() throws IOException {
            send("serving\nunban s-1\n");
            awaitLine("held");
        }

        @Override
        public void close() throws IOException { link.close(); }
    }

    private void terminate() throws Exception {
        Thread drain = new Thread(() -> {
            try { serve.drain(); } catch (InterruptedException e) { /* ends */ }
            drained.countDown();
        });
        int[] timers = new int[2];
        serve.loop().execute(() -> timers[0] = serve.loop().deadlines().size());
        drain.start();
        StandIn.patiently().until(() -> {
            serve.loop().execute(() -> timers[1] = serve.loop().deadlines().size());
            return timers[1] > timers[0];
        });
    }

    /** Another next version is let in only once the end of the one before was handled. */
    private void awaitEndOfLink() {
        StandIn.patiently().ignoreExceptionsInstanceOf(IOException.class).until(() -> {
            new NextVersion().close();
            return true;
        });
    }

    private void goOn(int ms) throws InterruptedException {
        for (int gone = 0; gone < ms; gone += STEP_MS) {
            nowMs += STEP_MS;
            serve.loop().execute(() -> { });
            Thread.sleep(1);                         // the poller's turn
        }
    }

    private boolean accepts() throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(door, StandIn.PATIENCE_S * 1000);
            return true;
        } catch (ConnectException e) {
            return false;
        }
    }

    /** Guards against an old process that keeps its door open until SIGKILL since the yes came between SIGTERM and the door's end. */
    @ParameterizedTest
    @CsvSource({BEFORE_SIGTERM + ", false", "10, false", "110, false", "300, false", "490, false", "550, false", "650, false", NEVER + ", false",
        BEFORE_SIGTERM + ", true", "110, true", "490, true"})
    void theDoorIsClosedInTimeWheneverTheYesIsRead(int yesAfterMs, boolean isKilledBehindIt) throws Exception {
        try (Client idle = new Client(door); NextVersion next = new NextVersion()) {
            assertThat(idle.ask("PING")).isEqualTo("+PONG");
            if (yesAfterMs == BEFORE_SIGTERM) { next.sayYes(); }
            terminate();
            int goneMs = 0;
            if (yesAfterMs > 0) {
                goOn(yesAfterMs);
                goneMs = yesAfterMs;
                next.sayYes();
            }
            if (isKilledBehindIt) {
                next.close();
                awaitEndOfLink();
            }
            goOn(Math.max(0, READ_PERIOD_MS + CATCH_UP_MS - goneMs));
            StandIn.patiently().untilAsserted(() -> assertThat(accepts()).as("accepts connections").isFalse());
            assertThat(idle.ended()).isTrue();
            idle.close();
            goOn(ENDED_MS - READ_PERIOD_MS - CATCH_UP_MS);
            assertThat(drained.await(THREAD_PATIENCE_S, TimeUnit.SECONDS)).as("has ended").isTrue();
            assertThat(region.seen).isEmpty();
        }
    }

    /** Guards against a door that closes while its clients still come: nobody else may take them. */
    @Test
    void withoutAYesNewConnectionsAreServedUntilTheirTimeIsOver() throws Exception {
        try (NextVersion next = new NextVersion()) {
            terminate();
            goOn(400);
            try (Client late = new Client(door)) { assertThat(late.lookup(7, 2000)).isEqualTo("made here"); }
        }
    }

    /** Guards against an end of the intake that nobody asked for: the next version may die, or never be followed by SIGTERM. */
    @Test
    void aYesWithoutSigtermClosesNothing() throws Exception {
        try (NextVersion next = new NextVersion()) {
            next.sayYes();
            goOn(2000);
            try (Client client = new Client(door)) { assertThat(client.lookup(7, 2000)).isEqualTo("made here"); }
        }
        goOn(1000);
        try (Client client = new Client(door)) { assertThat(client.lookup(8, 2000)).isEqualTo("made here"); }
    }
}

package yardusher.story;

import static org.assertj.core.api.Assertions.assertThat;
import static yardusher.story.StandIn.member;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import yardusher.net.Sockets;
import yardusher.resp.Encoder;
import yardusher.story.StandIn.Region;

/** A new version takes over from a running one: real processes, under load. */
class UpgradeStoryTest {
    private static final int CLIENTS = 6;

    @TempDir
    Path folder;
    private final List<Process> started = new ArrayList<>();
    private Region region;
    private Region other;
    private int[] ports;                             // the clients', the peers', then second addresses
    private volatile boolean stop;
    private final AtomicInteger asked = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger unheard = new AtomicInteger();

    @BeforeEach
    void open() throws Exception {
        region = new Region();
        other = new Region();
        ports = new int[6];
        List<ServerSocket> free = new ArrayList<>();
        for (int i = 0; i < ports.length; i++) {
            free.add(new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1")));
            ports[i] = free.get(i).getLocalPort();
        }
        for (ServerSocket one : free) { one.close(); }
        Files.writeString(folder.resolve("config.json"), Files.readString(Path.of("src/test/resources/ingress.json"))
                .replace("\"listen\": \"127.0.0.1:0\"", "\"listen\": \"127.0.0.1:" + ports[0] + "\"")
                .replace("\"peer_listen\": \"127.0.0.1:0\"", "\"peer_listen\": \"127.0.0.1:" + ports[1] + "\"")
                .replace("\"members\": []", "\"members\": [" + member("s-1", region.address(), "Ready") + ","
                        + member("s-2", other.address(), "Ready") + "]"));
    }

    @AfterEach
    void close() throws Exception {
        stop = true;
        for (Process process : started) { process.destroyForcibly().waitFor(); }
        region.close();
        other.close();
    }

    /** Starts one more process of the same ingress, with a second address of its own. */
    private Process start() throws Exception {
        ProcessBuilder builder = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-Xmx64m", "-cp",
                System.getProperty("java.class.path"), "yardusher.cli.Main", "serve", folder.resolve("config.json").toString(),
                "--limits", "none", "--settings", "none");
        builder.environment().put("TMPDIR", folder.toString());
        builder.environment().put("RELAY_ADMIN_ADDR", "127.0.0.1:" + ports[2 + started.size()]);
        builder.redirectErrorStream(true).redirectOutput(folder.resolve("log" + started.size()).toFile());
        Process process = builder.start();
        started.add(process);
        return process;
    }

    private String log(int process) throws IOException { return Files.readString(folder.resolve("log" + process)); }

    /** Asks the second address of that process. */
    private String call(int process, String line) throws IOException {
        try (Socket caller = new Socket()) {
            caller.connect(new InetSocketAddress("127.0.0.1", ports[2 + process]), StandIn.PATIENCE_S * 1000);
            caller.setSoTimeout(StandIn.PATIENCE_S * 1000);
            caller.getOutputStream().write((line + "\n").getBytes(StandardCharsets.US_ASCII));
            return new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    private void awaitYes(int process) throws Exception {
        StandIn.patiently().ignoreExceptionsInstanceOf(IOException.class).failFast("the process has ended", () -> !started.get(process).isAlive())
                .until(() -> call(process, "health").startsWith("200"));
    }

    /** A client that asks again and again on connections it keeps, and once more on a new one where it was not heard. */
    private void ask(int number) {
        Socket socket = null;
        try {
            for (int i = 0; !stop; i++) {
                byte[] command = new Encoder(128).array(4).bulk("CALL.GET").bulk(String.format("%016x", number * 100_000 + i))
                        .bulk(String.format("%016x", number * 1_000_000L + i)).bulk("c=lookup,t=basis,d=5000,units=1,spread=1,first=0")
                        .toBytes();
                asked.incrementAndGet();
                for (int tries = 0; tries < 5; tries++) {
                    try {
                        if (socket == null || hasEnded(socket)) { socket = new Socket("127.0.0.1", ports[0]); }
                        socket.setSoTimeout(StandIn.PATIENCE_S * 1000);
                        socket.getOutputStream().write(command);
                        InputStream in = socket.getInputStream();
                        int first = in.read();
                        if (first >= 0) {
                            for (int b; first == '$' && (b = in.read()) != '\n' && b >= 0;) { /* the value's length */ }
                            for (int b; (b = in.read()) != '\n' && b >= 0;) { /* the line or the value */ }
                            answered.incrementAndGet();
                            break;
                        }
                    } catch (SocketException e) { /* refused or reset: not heard */ }
                    unheard.incrementAndGet();
                    socket = null;
                }
            }
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /** Thinks for a moment, and looks whether the connection was closed meanwhile. */
    private static boolean hasEnded(Socket socket) throws IOException {
        try {
            socket.setSoTimeout(5);
            return socket.getInputStream().read() < 0;
        } catch (SocketTimeoutException e) {
            return false;
        } catch (SocketException e) {
            return true;
        }
    }

    private List<Thread> load() {
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            clients.add(new Thread(() -> ask(number)));
            clients.get(i).start();
        }
        return clients;
    }

    private void awaitAnswers(int more) throws Exception {
        int from = answered.get();
        StandIn.patiently().until(answered::get, now -> now >= from + more);
    }

    @Test
    void twoUpgradesBehindEachOtherLoseNothingAndBansGoAlong() throws Exception {
        Process first = start();
        awaitYes(0);
        assertThat(call(0, "cordon s-2")).startsWith("200");
        List<Thread> clients = load();
        awaitAnswers(50);
        Process second = start();
        awaitYes(1);
        assertThat(call(1, "counters")).contains("app.ejected:1|g");
        first.destroy();                             // SIGTERM
        assertThat(first.waitFor(StandIn.PATIENCE_S, TimeUnit.SECONDS)).isTrue();
        assertThat(first.exitValue()).as(log(0)).isZero();
        awaitAnswers(50);
        start();
        awaitYes(2);
        second.destroy();
        assertThat(second.waitFor(StandIn.PATIENCE_S, TimeUnit.SECONDS)).isTrue();
        awaitAnswers(50);
        assertThat(call(2, "counters")).as(log(0) + log(1) + log(2)).contains("app.ejected:1|g");
        assertThat(other.seen).isEmpty();
        assertThat(call(2, "uncordon s-2")).startsWith("200");
        stop = true;
        for (Thread client : clients) { client.join(); }
        assertThat(answered.get()).isEqualTo(asked.get());
        assertThat(unheard.get()).isLessThanOrEqualTo(2 * CLIENTS); // a connection each, at each upgrade
        assertThat(region.seen.stream().map(command -> command.split(" ")[2])).doesNotHaveDuplicates();
        assertThat(log(1) + log(2)).doesNotContain("starts without");
    }

    @Test
    void aNewVersionKilledBeforeOrAfterItsYesLeavesTheOldOneAsItWas() throws Exception {
        start();
        awaitYes(0);
        List<Thread> clients = load();
        awaitAnswers(20);
        start().destroyForcibly().waitFor();         // before it has asked
        Process third = start();
        awaitYes(2);
        third.destroyForcibly().waitFor();           // after it took over; what it held is lost with it
        awaitAnswers(100);
        assertThat(call(0, "health")).startsWith("200");
        start();                                     // and the next one finds it again
        awaitYes(3);
        assertThat(log(3)).doesNotContain("starts without");
        stop = true;
        for (Thread client : clients) { client.join(); }
        assertThat(log(0)).doesNotContain("Exception");
    }

    @Test
    void theOldOneKilledAfterTheYesLeavesTheNewOneServingWithItsBans() throws Exception {
        Process first = start();
        awaitYes(0);
        assertThat(call(0, "cordon s-2")).startsWith("200");
        start();
        awaitYes(1);
        first.destroyForcibly().waitFor();
        try (StandIn.Client client = new StandIn.Client(Sockets.parseAddress("127.0.0.1:" + ports[0]))) {
            for (int i = 0; i < 20; i++) { assertThat(client.lookup(100 + i, 2000)).isEqualTo("made here"); }
        }
        assertThat(call(1, "uncordon s-2")).startsWith("200"); // nobody else has to hold it
        assertThat(other.seen).isEmpty();
    }

    @Test
    void aDrainGoesAlongAndEndsInBothAndALaterCallReachesTheOther() throws Exception {
        start();
        awaitYes(0);
        assertThat(call(0, "quiesce")).startsWith("200");
        start();
        StandIn.patiently().untilAsserted(() -> assertThat(log(1)).contains(" serves at "));
        assertThat(call(1, "health")).startsWith("400");
        assertThat(call(1, "cordon s-1")).startsWith("200"); // holds in both at its yes
        assertThat(call(0, "counters")).contains("app.ejected:1|g");
        assertThat(call(1, "resume")).startsWith("200");
        awaitYes(1);
        awaitYes(0);
        started.get(1).destroy();                    // the newer one ends first: the older goes on
        assertThat(started.get(1).waitFor(StandIn.PATIENCE_S, TimeUnit.SECONDS)).isTrue();
        try (StandIn.Client client = new StandIn.Client(Sockets.parseAddress("127.0.0.1:" + ports[0]))) {
            assertThat(client.lookup(1, 2000)).isEqualTo("made here");
        }
        assertThat(region.seen).isEmpty();
        assertThat(other.seen).hasSize(1);
    }

    @Test
    void aNoteOfAProcessThatIsGoneHoldsUpNothing() throws Exception {
        Process first = start();
        awaitYes(0);
        first.destroyForcibly().waitFor();
        start();
        awaitYes(1);
        assertThat(log(1)).contains("starts without the process before why=it is gone");
        try (StandIn.Client client = new StandIn.Client(Sockets.parseAddress("127.0.0.1:" + ports[0]))) {
            assertThat(client.lookup(1, 2000)).isEqualTo("made here");
        }
    }
}

package yardusher.story;

import static org.assertj.core.api.Assertions.assertThat;
import static yardusher.story.StandIn.list;
import static yardusher.story.StandIn.member;
import static yardusher.story.StandIn.next;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import yardusher.story.StandIn.Client;
import yardusher.story.StandIn.Discovery;
import yardusher.story.StandIn.Region;

/** A real process with just as many descriptors as its configuration names, its table filled by clients while discovery is down. */
class DescriptorsStoryTest {
    @TempDir
    Path folder;
    private Process process;

    @AfterEach
    void end() throws Exception {
        if (process != null) { process.destroyForcibly().waitFor(); }
    }

    private static int[] freePorts(int count) throws IOException {
        int[] ports = new int[count];
        List<ServerSocket> free = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            free.add(new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1")));
            ports[i] = free.get(i).getLocalPort();
        }
        for (ServerSocket one : free) { one.close(); }
        return ports;
    }

    /** The shell sets both limits: a JVM raises the soft one to the hard one. */
    private void start(int sockets, int[] ports, String members) throws Exception {
        Files.writeString(folder.resolve("config.json"), Files.readString(Path.of("src/test/resources/ingress.json"))
                .replace("\"listen\": \"127.0.0.1:0\"", "\"listen\": \"127.0.0.1:" + ports[0] + "\",\"admin_addr\":\"127.0.0.1:" + ports[1] + "\"")
                .replace("127.0.0.1:9\"", "127.0.0.1:" + ports[2] + "\"").replace("\"members\": []", "\"members\": [" + members + "]")
                .replace("\"sockets\": 1024", "\"sockets\": " + sockets));
        process = new ProcessBuilder("/bin/bash", "-c", "ulimit -n " + sockets + " && exec \"$0\" \"$@\"",
                Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-Xmx64m", "-XX:+UseSerialGC", "-cp",
                path(), "yardusher.cli.Main", "serve",
                folder.resolve("config.json").toString(), "--limits", "none", "--settings", "none").redirectErrorStream(true)
                .redirectOutput(folder.resolve("log").toFile()).start();
        StandIn.patiently().until(() -> log().contains(" serves at "));
    }

    /** The class path without what only tests use: each jar that is opened is a descriptor that the deployed program does not hold. */
    private static String path() {
        StringBuilder path = new StringBuilder();
        for (String one : System.getProperty("java.class.path").split(":")) {
            if (one.endsWith("/classes") || one.contains("jackson-core") || one.contains("commons-cli") || one.contains("httpcore5")) { path.append(one).append(':'); }
        }
        return path.toString();
    }

    private String log() throws IOException { return Files.readString(folder.resolve("log")); }

    private String call(int port, String line) throws IOException {
        try (Socket caller = new Socket()) {
            caller.connect(new InetSocketAddress("127.0.0.1", port), StandIn.PATIENCE_S * 1000);
            caller.setSoTimeout(StandIn.PATIENCE_S * 1000);
            caller.getOutputStream().write((line + "\n").getBytes(StandardCharsets.US_ASCII));
            return new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    /** Clients and attempts fill what there is for them, and clients come beyond it; the watch and the second address have theirs. */
    @Test
    void aTableFullOfClientsAndAttemptsLeavesRoomForTheWatchAndTheSecondAddress() throws Exception {
        for (int sockets : new int[] {64, 100, 200}) {
            int[] ports = freePorts(3);
            BlockingQueue<String> go = new LinkedBlockingQueue<>();
            List<Client> guests = new ArrayList<>();
            AtomicInteger asked = new AtomicInteger();
            try (Region region = new Region()) {
                region.script = command -> {
                    try {
                        return Region.served(next(go));
                    } catch (InterruptedException e) {
                        return null;
                    }
                };
                String[] members = IntStream.range(0, 40).mapToObj(i -> member("s-" + i, region.address(), "Ready")).toArray(String[]::new);
                start(sockets, ports, String.join(",", members));
                InetSocketAddress door = new InetSocketAddress("127.0.0.1", ports[0]);
                for (int i = 0; i < sockets; i++) {
                    guests.add(new Client(door));
                    guests.get(i).send("CALL.POST", String.format("%016x", i + 1), String.format("%016x", i + 1),
                            "c=place-order,t=basis,d=8000,k=" + String.format("%016x", i + 1) + ",units=1,spread=1,first=0", "order");
                }
                for (int i = 0; i < 9; i++) { next(region.seen); } // as many as the least table has for backends
                try (Discovery discovery = new Discovery(ports[2])) {
                    assertThat(next(discovery.asked)).contains("/v1/servers"); // while the attempts are still out
                    discovery.tell(list(50, true, members));
                    StandIn.patiently().until(() -> call(ports[1], "health").startsWith("200"));
                    for (int i = 0; i < 4 * sockets; i++) { go.add("made late"); }
                    for (Client guest : guests) { assertThat(guest.told()).as("an answer or a refusal").isNotEmpty(); }
                    for (Client guest : guests) { guest.close(); }
                    for (int i = 0; i < sockets; i++) { guests.add(new Client(door)); } // idle ones, and beyond the table
                    region.script = command -> Region.served("made new");
                    StandIn.patiently().until(() -> {
                        try (Client fresh = new Client(door)) { return fresh.lookup(5000 + asked.incrementAndGet(), 2000); }
                    }, "made new"::equals);
                    assertThat(call(ports[1], "health")).startsWith("200");
                }
                assertThat(log()).doesNotContain("Exception").doesNotContain("Error");
            } finally {
                for (Client guest : guests) { guest.close(); }
                process.destroyForcibly().waitFor();
            }
        }
    }
}

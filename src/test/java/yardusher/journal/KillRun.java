package yardusher.journal;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.awaitility.Awaitility;
import yardusher.disk.Directory;
import yardusher.resp.Decoder;
import yardusher.resp.Encoder;

/**
 * Kills a real ingress with SIGKILL, again and again, while orders run through it, and holds its journal against what
 * stand-in regions received. By hand: {@code KillRun KILLS SEED DURABILITY}; the suite runs a few kills.
 */
final class KillRun {
    private static final int CLIENTS = 8;
    private static final int REGIONS = 3;

    /** What a run found. Every list should be empty. */
    record Result(int kills, int orders, int received, int sent, int intended, int neverSent, int answered, List<String> unaccounted,
            List<String> neverArrived, List<String> outTwice, List<String> leftOpen) {
        boolean good() { return unaccounted.isEmpty() && neverArrived.isEmpty() && outTwice.isEmpty() && leftOpen.isEmpty(); }
    }

    /** Orders received whole, by id and region; and those that are out, by id. */
    private final Set<String> received = ConcurrentHashMap.newKeySet();
    private final Map<String, Socket> out = new ConcurrentHashMap<>();
    private final List<String> outTwice = new ArrayList<>();
    private final AtomicInteger count = new AtomicInteger();
    private final AtomicInteger connections = new AtomicInteger();
    private final AtomicLong ids = new AtomicLong();
    private volatile int killAt = Integer.MAX_VALUE;
    private volatile CountDownLatch reached = new CountDownLatch(1);
    private final long seed;

    private KillRun(long seed) { this.seed = seed; }

    /** A region: serves, refuses, fails, resets or hangs, by the order's id and the seed. */
    private void region(ServerSocket door, long number) {
        for (;;) {
            try {
                Socket guest = door.accept();
                connections.incrementAndGet();
                Thread talk = new Thread(() -> {
                    try {
                        talk(guest, number);
                    } catch (IOException | InterruptedException | RuntimeException | yardusher.resp.MalformedRespException e) { /* it was killed */ }
                    out.values().removeIf(socket -> socket == guest);
                    try {
                        guest.close();
                    } catch (IOException e) { /* gone */ }
                    connections.decrementAndGet();
                });
                talk.setDaemon(true);
                talk.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void talk(Socket guest, long number) throws IOException, InterruptedException, yardusher.resp.MalformedRespException {
        Decoder decoder = new Decoder();
        InputStream in = guest.getInputStream();
        for (byte[][] words;;) {
            if ((words = decoder.nextCommand()) == null) {
                ByteBuffer room = decoder.readBuffer();
                int read = in.read(room.array(), room.position(), room.remaining());
                if (read < 0) { return; }
                decoder.advance(read);
                continue;
            }
            String id = new String(words[2], StandardCharsets.US_ASCII);
            received.add(id + "@" + number);
            if (out.put(id, guest) != null) {
                synchronized (outTwice) { outTwice.add(id); }
            }
            if (count.incrementAndGet() >= killAt) { reached.countDown(); }
            SplittableRandom random = new SplittableRandom(seed ^ Long.parseUnsignedLong(id, 16) * 31 ^ number);
            int way = random.nextInt(20);
            if (way == 0) { continue; }              // hangs
            if (way == 1) { return; }                // breaks
            Thread.sleep(random.nextInt(4));
            byte[] answer = way < 4 ? new Encoder(16).error("BUSY").toBytes() : way < 6 ? new Encoder(16).error("ERR failed").toBytes()
                    : new Encoder(64).array(3).bulk("made").raw("$-1\r\n$-1\r\n".getBytes(StandardCharsets.US_ASCII)).toBytes();
            out.remove(id, guest);
            guest.getOutputStream().write(answer);
        }
    }

    private void client(int port, AtomicInteger left) {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            Decoder decoder = new Decoder();
            while (left.get() > 0) {
                String id = String.format("%016x", ids.incrementAndGet());
                socket.getOutputStream().write(new Encoder(256).array(5).bulk("CALL.POST").bulk(String.format("%016x", ids.get() % 50)).bulk(id)
                        .bulk("c=place-order,t=groot,d=400,k=" + id + ",units=1,spread=1,first=0").bulk("BODY").toBytes());
                for (;;) {
                    if (decoder.nextValue() != null) { break; }
                    ByteBuffer room = decoder.readBuffer();
                    int read = socket.getInputStream().read(room.array(), room.position(), room.remaining());
                    if (read < 0) { return; }
                    decoder.advance(read);
                }
            }
        } catch (IOException | yardusher.resp.MalformedRespException e) { /* the ingress was killed */ }
    }

    static Result run(Path folder, int kills, long seed, String durability) throws Exception {
        return new KillRun(seed).kill(folder, kills, durability);
    }

    private Result kill(Path folder, int kills, String durability) throws Exception {
        InetAddress here = InetAddress.getByName("127.0.0.1");
        List<ServerSocket> doors = new ArrayList<>();
        StringBuilder members = new StringBuilder();
        for (int i = 1; i <= REGIONS; i++) {
            ServerSocket door = new ServerSocket(0, 100, here);
            doors.add(door);
            long number = i;
            Thread thread = new Thread(() -> region(door, number));
            thread.setDaemon(true);
            thread.start();
            members.append(i > 1 ? "," : "").append("{\"id\":\"s-").append(i).append("\",\"host_port\":\"127.0.0.1:").append(door.getLocalPort())
                    .append("\",\"locality\":\"a\",\"flavor\":\"m\",\"cell\":0,\"phase\":\"Ready\",\"size\":1.0,\"up_since_ms\":0}");
        }
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, here)) { port = free.getLocalPort(); }
        Path config = folder.resolve("n0.json");
        Files.writeString(config, Files.readString(Path.of("src/test/resources/ingress.json")).replace("\"listen\": \"127.0.0.1:0\"",
                "\"listen\": \"127.0.0.1:" + port + "\"").replace("\"members\": []", "\"members\": [" + members + "]"));
        Path own = folder.resolve("own.toml");
        Files.writeString(own, "[journal]\nfolder = '" + folder.resolve("journal") + "'\ndurability = \"" + durability + "\"\nsegment_kb = 64\n");
        SplittableRandom random = new SplittableRandom(seed);
        Path journal = folder.resolve("journal").resolve("n0");
        List<String> unaccounted = new ArrayList<>();
        List<String> neverArrived = new ArrayList<>();
        for (int i = 0; i < kills; i++) {
            reached = new CountDownLatch(1);
            killAt = count.get() + 3 + random.nextInt(30);
            Process child = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1", "-Xshare:auto", "-Xmx64m", "-cp", System.getProperty("java.class.path"), "yardusher.cli.Main", "serve",
                    config.toString(), "--limits", "none", "--settings", own.toString()).redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve("child.log").toFile())).start();
            awaitListening(port, child);
            AtomicInteger left = new AtomicInteger(1);
            List<Thread> clients = new ArrayList<>();
            for (int c = 0; c < CLIENTS; c++) {
                Thread client = new Thread(() -> client(port, left));
                client.setDaemon(true);
                client.start();
                clients.add(client);
            }
            if (!reached.await(60, TimeUnit.SECONDS)) { throw new AssertionError("no orders came, seed " + seed); }
            TimeUnit.MICROSECONDS.sleep(random.nextInt(3000)); // anywhere between two events
            child.destroyForcibly().waitFor();
            left.set(0);
            for (Thread client : clients) { client.join(10_000); }
            long until = System.nanoTime() + 20_000_000_000L;
            while (connections.get() > 0) {          // all bytes that the kernel had taken have been read
                if (System.nanoTime() > until) { throw new AssertionError("a region's connection stays open, seed " + seed); }
                Thread.sleep(1);
            }
            killAt = Integer.MAX_VALUE;
            check(journal, unaccounted, neverArrived);
        }
        // One more life closes what the last left open.
        JournalSettings settings = yardusher.settings.Settings.read(own).journal();
        yardusher.core.EventLoop loop = new yardusher.core.EventLoop(System::currentTimeMillis, e -> { });
        Journal.open(settings, "n0", yardusher.cli.IngressConfig.read(config.toString()).settings(), List.of(), List.of(), loop,
                yardusher.log.Events.plain("check")).close(5000);
        Map<JournaledRequest.State, Integer> states = new HashMap<>();
        List<String> leftOpen = new ArrayList<>();
        int orders = 0;
        try (Scan scan = new Scan(Directory.openForReading(journal), Query.ALL, bytes -> { })) {
            for (JournaledRequest order; (order = scan.next()) != null; orders++) {
                states.merge(order.state(), 1, Integer::sum);
                if (!order.isOver()) { leftOpen.add(name(order)); }
            }
        }
        for (ServerSocket door : doors) { door.close(); }
        return new Result(kills, orders, received.size(), states.getOrDefault(JournaledRequest.State.SENT, 0), states.getOrDefault(JournaledRequest.State.INTENDED, 0),
                states.getOrDefault(JournaledRequest.State.NEVER_SENT, 0), states.getOrDefault(JournaledRequest.State.ANSWERED, 0)
                        + states.getOrDefault(JournaledRequest.State.REFUSED, 0), unaccounted, neverArrived, outTwice, leftOpen);
    }

    private static String name(JournaledRequest order) { return String.format("%016x", order.facts == null ? 0 : order.facts.id()); }

    /** The journal of a dead instance against what the regions hold. */
    private void check(Path journal, List<String> unaccounted, List<String> neverArrived) throws IOException {
        Set<String> accounted = ConcurrentHashMap.newKeySet();
        try (Scan scan = new Scan(Directory.openForReading(journal), Query.ALL, bytes -> { })) {
            for (JournaledRequest order; (order = scan.next()) != null;) {
                for (JournaledRequest.JournaledAttempt one : order.attempts) {
                    String at = name(order) + "@" + one.region;
                    if (one.state() != JournaledRequest.State.NEVER_SENT) { accounted.add(at); }
                    boolean claimed = one.state() == JournaledRequest.State.SENT || one.state() == JournaledRequest.State.ANSWERED || one.state() == JournaledRequest.State.REFUSED;
                    if (claimed && !received.contains(at)) { neverArrived.add(at + " " + one.state()); }
                }
            }
        }
        for (String at : received) {
            if (!accounted.contains(at)) { unaccounted.add(at); }
        }
    }

    private static void awaitListening(int port, Process child) throws Exception {
        Awaitility.await("the ingress listens").pollInSameThread().pollDelay(Duration.ZERO).pollInterval(Duration.ofMillis(10))
                .atMost(Duration.ofSeconds(60)).ignoreExceptionsInstanceOf(IOException.class).failFast("it has ended", () -> !child.isAlive()).until(() -> {
                    new Socket("127.0.0.1", port).close();
                    return true;
                });
    }

    public static void main(String[] args) throws Exception {
        int kills = Integer.parseInt(args[0]);
        long seed = Long.parseLong(args[1]);
        Path folder = Files.createTempDirectory("kill");
        long begun = System.nanoTime();
        Result result = run(folder, kills, seed, args[2]);
        System.out.println("seed " + seed + " durability " + args[2] + " in " + (System.nanoTime() - begun) / 1_000_000_000 + " s");
        System.out.println(result);
        System.exit(result.good() ? 0 : 1);
    }
}

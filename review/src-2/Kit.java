import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.DatagramSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * Stand-ins of the second review: order nodes that share one memory of keys, discovery, clients, and starts of the ingress by
 * the command of the deploy file. All addresses are loopback addresses with free ports.
 */
final class Kit implements Closeable {
    static final class CannotRun extends RuntimeException {
        CannotRun(String why) { super(why); }
    }

    final long zeroNanos = System.nanoTime();
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path folder;
    /** Runs before discovery answers a watch with its list. */
    volatile Runnable beforeList = () -> { };
    private final PrintWriter record;
    private final List<Process> processes = new CopyOnWriteArrayList<>();
    private final List<ServerSocket> doors = new CopyOnWriteArrayList<>();
    private final Path root = Path.of("").toAbsolutePath();

    Kit(Path recordFile) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(recordFile));
        folder = Files.createTempDirectory("review-2-");
        note("begins", trouble ? "with the disruption" : "without the disruption");
    }

    double now() { return (System.nanoTime() - zeroNanos) / 1e6; }

    synchronized void note(String who, String what) {
        record.printf("%9.1f ms  %-10s %s%n", now(), who, what);
        record.flush();
    }

    static void sleep(double ms) {
        try {
            if (ms > 0) { Thread.sleep((long) ms, (int) (ms % 1 * 1e6)); }
        } catch (InterruptedException e) {
            throw new CannotRun("interrupted");
        }
    }

    void sleepUntil(double atMs) { sleep(atMs - now()); }

    static int freePort() throws IOException {
        try (ServerSocket one = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) { return one.getLocalPort(); }
    }

    static int freeUdpPort() throws IOException {
        try (DatagramSocket one = new DatagramSocket(new InetSocketAddress("127.0.0.1", 0))) { return one.getLocalPort(); }
    }

    interface Talk { void with(Socket guest, InputStream in, OutputStream out) throws Exception; }

    int listen(String name, Talk talk) throws IOException {
        ServerSocket door = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        doors.add(door);
        thread(name, () -> {
            for (;;) {
                Socket guest;
                try {
                    guest = door.accept();
                    guest.setTcpNoDelay(true);
                } catch (IOException e) { return; }
                thread(name + " guest", () -> {
                    try (guest) {
                        talk.with(guest, new BufferedInputStream(guest.getInputStream()), guest.getOutputStream());
                    } catch (Exception e) { /* it left */ }
                });
            }
        });
        return door.getLocalPort();
    }

    static void thread(String name, Runnable what) {
        Thread one = new Thread(what, name);
        one.setDaemon(true);
        one.start();
    }

    // ---- RESP

    static List<String> command(InputStream in) throws IOException {
        String head = line(in);
        if (head == null) { return null; }
        List<String> words = new ArrayList<>();
        for (int left = Integer.parseInt(head.substring(1)); left > 0; left--) {
            int length = Integer.parseInt(line(in).substring(1));
            words.add(new String(in.readNBytes(length), StandardCharsets.UTF_8));
            in.readNBytes(2);
        }
        return words;
    }

    static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b; (b = in.read()) != '\n';) {
            if (b < 0) { return null; }
            if (b != '\r') { line.append((char) b); }
        }
        return line.toString();
    }

    static byte[] encode(String... words) {
        StringBuilder out = new StringBuilder("*" + words.length + "\r\n");
        for (String word : words) { out.append("$").append(word.length()).append("\r\n").append(word).append("\r\n"); }
        return out.toString().getBytes(StandardCharsets.US_ASCII);
    }

    /** One answer, in a printable form: a value as it is, an error with its minus; null at the connection's end. */
    static String answer(InputStream in) throws IOException {
        String line = line(in);
        if (line == null) { return null; }
        if (line.startsWith("$")) {
            int length = Integer.parseInt(line.substring(1));
            if (length < 0) { return "(null)"; }
            String value = new String(in.readNBytes(length), StandardCharsets.UTF_8);
            in.readNBytes(2);
            return value;
        }
        if (line.startsWith("*")) {
            String first = "";
            for (int i = 0, n = Integer.parseInt(line.substring(1)); i < n; i++) {
                String one = answer(in);
                first = i == 0 ? one : first;
            }
            return first;
        }
        return line;
    }

    static String value(List<String> words, String name) {
        if (words.size() < 4) { return null; }
        for (String pair : words.get(3).split(",")) {
            if (pair.startsWith(name + "=")) { return pair.substring(name.length() + 1); }
        }
        return null;
    }

    // ---- order nodes

    /** Sockets' time limits are 50 ms longer, and an ingress may be held up for 0.15 s between its clock and the write. */
    static final double SLACK_MS = 50 + 150;

    /** What all order nodes together remember: a repeat of a key within the window of its first run is dropped. */
    final class Orders {
        final double windowMs;
        final Map<String, Double> firstAt = new HashMap<>();
        final Map<String, Integer> runs = new LinkedHashMap<>();
        final Map<String, Integer> excused = new HashMap<>(); // further runs that began within the slack behind the window
        final java.util.Set<String> begun = java.util.concurrent.ConcurrentHashMap.newKeySet(); // ids of commands that came whole
        /** While the disruption lasts, an answer is lost: its connection is reset so long after the work began. 0 for no loss. */
        volatile double lostFromMs = Double.POSITIVE_INFINITY;
        volatile double lostUntilMs;
        volatile double resetAfterMs = 1200;
        volatile double workMs = 150;

        Orders(double windowMs) { this.windowMs = windowMs; }

        /** A command with a key has arrived whole. Returns the number of the run whose value is the answer. */
        synchronized int arrived(String node, String key, String id) {
            double at = now();
            Double first = firstAt.get(key);
            if (first == null || at - first > windowMs) {
                firstAt.put(key, at);
                if (first != null && at - first <= windowMs + SLACK_MS) { excused.merge(key, 1, Integer::sum); }
                int run = runs.merge(key, 1, Integer::sum);
                note(node, "RUNS key " + key + " for request " + id + ", run " + run
                        + (first == null ? "" : String.format(", %.0f ms after the run before", at - first)));
                return run;
            }
            note(node, String.format("drops a repeat of key %s for request %s, %.0f ms after its run", key, id, at - first));
            return runs.get(key);
        }

        synchronized int runs(String key) { return runs.getOrDefault(key, 0); }

        /** Whether the key ran again later than the window and its slack. */
        synchronized boolean ranAgain(String key) { return runs(key) - excused.getOrDefault(key, 0) > 1; }
    }

    int node(String name, Orders orders) throws IOException {
        return listen(name, (guest, in, out) -> {
            for (List<String> words; (words = command(in)) != null;) {
                if (words.get(0).equals("PING")) {
                    out.write("+PONG\r\n".getBytes(StandardCharsets.US_ASCII));
                    continue;
                }
                if (words.get(0).equals("INFO")) {
                    String load = "cpu_share=0.1,pending=0,served_ps=1";
                    out.write(("$" + load.length() + "\r\n" + load + "\r\n").getBytes(StandardCharsets.US_ASCII));
                    continue;
                }
                if (!words.get(0).startsWith("CALL.")) {
                    out.write("-ERR unknown\r\n".getBytes(StandardCharsets.US_ASCII));
                    continue;
                }
                orders.begun.add(words.get(2));
                String key = value(words, "k");
                String text;
                if (key == null) {
                    text = "looked up by " + name;
                } else {
                    text = "order " + key + " run " + orders.arrived(name, key, words.get(2));
                    if (now() >= orders.lostFromMs && now() < orders.lostUntilMs) {
                        sleep(orders.resetAfterMs);
                        note(name, "the answer to request " + words.get(2) + " is lost: its connection is reset");
                        guest.setSoLinger(true, 0);
                        guest.close();
                        return;
                    }
                }
                sleep(key == null ? 50 : orders.workMs);
                out.write(("*3\r\n$" + text.length() + "\r\n" + text + "\r\n$-1\r\n$-1\r\n").getBytes(StandardCharsets.US_ASCII));
                if (key != null) { note(name, "answers request " + words.get(2) + ": " + text); }
            }
        });
    }

    // ---- discovery

    int discovery(Map<String, Integer> nodes) throws IOException {
        return listen("discovery", (guest, in, out) -> {
            for (String line; (line = line(in)) != null && !line.isEmpty();) { /* the request's head */ }
            out.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            beforeList.run();
            chunk(out, list(nodes) + "\n");
            for (;;) {
                sleep(2000);
                chunk(out, "\n");
            }
        });
    }

    static String list(Map<String, Integer> nodes) {
        StringBuilder members = new StringBuilder();
        nodes.forEach((id, port) -> members.append(members.length() == 0 ? "" : ",").append("{\"id\":\"").append(id)
                .append("\",\"host_port\":\"127.0.0.1:").append(port)
                .append("\",\"locality\":\"a\",\"flavor\":\"std-4\",\"cell\":0,\"phase\":\"Ready\",\"size\":1.0,\"up_since_ms\":0}"));
        return "{\"revision\":1,\"complete\":true,\"members\":[" + members + "]}";
    }

    private static void chunk(OutputStream out, String text) throws IOException {
        out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    // ---- the ingress

    /** A configuration with the settings of a small deployment: those of the test resources, with addresses of this run. */
    Path config(String name, int me, int listen, int discovery, List<Integer> peers, Map<String, Integer> nodes) throws IOException {
        String text = Files.readString(root.resolve("src/test/resources/ingress.json"));
        int settings = text.indexOf("\"settings\"");
        String own = text.substring(settings).replaceFirst("\"me\": 0", "\"me\": " + me)
                .replaceFirst("\"peers_total\": 3", "\"peers_total\": " + peers.size());
        StringBuilder all = new StringBuilder();
        for (int port : peers) { all.append(all.length() == 0 ? "" : ",").append("\"127.0.0.1:").append(port).append('"'); }
        String head = "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + listen + "\",\"discovery\":\"127.0.0.1:" + discovery
                + "\",\"seed\":\"8c1f30d27a5be96" + me + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                + "\"peer_listen\":\"127.0.0.1:" + peers.get(me) + "\",\"peers\":[" + all + "],\"known\":" + list(nodes) + ",";
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, head + own);
        return file;
    }

    Path settings(String name, String text) throws IOException {
        Path file = folder.resolve(name + ".toml");
        Files.writeString(file, text);
        return file;
    }

    /** Starts an ingress by the command of the deploy file, with our own settings file behind it, null for none. */
    Process start(String name, Path config, Path settings, Path tmp, String admin) throws IOException {
        String run = null;
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = ")) { run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')); }
        }
        if (run == null || !Files.exists(root.resolve("target/yardusher.jar"))) { throw new CannotRun("no build is here"); }
        Files.createDirectories(tmp);
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run + " --limits none --settings "
                + (settings == null ? "none" : settings.toString()));
        builder.directory(root.toFile());
        builder.environment().put("RELAY_CONFIG", config.toString());
        builder.environment().put("TMPDIR", tmp.toString());
        if (admin != null) { builder.environment().put("RELAY_ADMIN_ADDR", admin); }
        builder.redirectErrorStream(true);
        Process process = builder.start();
        processes.add(process);
        note(name, "started");
        thread(name + " log", () -> {
            try (var lines = process.inputReader()) {
                for (String line; (line = lines.readLine()) != null;) {
                    if (!line.contains(" not used: ")) { note(name, "log: " + line); }
                }
            } catch (IOException e) { /* it ended */ }
        });
        return process;
    }

    void awaitPong(int port, Process process) {
        double until = now() + 30_000;
        while (now() < until) {
            if (!process.isAlive()) { throw new CannotRun("the ingress ended at its start with " + process.exitValue()); }
            try (Socket one = new Socket("127.0.0.1", port)) {
                one.setSoTimeout(1000);
                one.getOutputStream().write(encode("PING"));
                if ("+PONG".equals(answer(one.getInputStream()))) { return; }
            } catch (IOException e) { /* not yet */ }
            sleep(50);
        }
        throw new CannotRun("the ingress was not ready in 30 s");
    }

    /** One call at a second address; null if nobody is there. */
    static String admin(int port, String call) {
        try (Socket one = new Socket("127.0.0.1", port)) {
            one.setSoTimeout(1000);
            one.getOutputStream().write((call + "\n").getBytes(StandardCharsets.US_ASCII));
            return line(one.getInputStream());
        } catch (IOException e) {
            return null;
        }
    }

    /** Waits for a yes at the second address; false if the process ends or none comes in time. */
    boolean awaitYes(int port, Process process, double withinMs) {
        for (double until = now() + withinMs; now() < until; sleep(5)) {
            if (!process.isAlive()) { return false; }
            String said = admin(port, "health");
            if (said != null && said.startsWith("200")) { return true; }
        }
        return false;
    }

    void signal(Process process, String name) throws IOException {
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        } catch (InterruptedException e) {
            throw new CannotRun("interrupted");
        }
    }

    // ---- clients

    /** A client's connection; commands go one at a time. Without a name nothing is written down. */
    final class Client implements Closeable {
        final Socket socket;
        private final String name;

        Client(String name, int port) throws IOException {
            this.name = name;
            socket = new Socket("127.0.0.1", port);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(20_000);
        }

        String call(String... words) throws IOException {
            send(words);
            return receive();
        }

        void send(String... words) throws IOException {
            if (name != null) { note(name, "sends " + String.join(" ", words)); }
            socket.getOutputStream().write(encode(words));
        }

        String receive() throws IOException {
            String said = answer(socket.getInputStream());
            if (name != null) { note(name, "is answered: " + said); }
            return said;
        }

        @Override
        public void close() throws IOException { socket.close(); }
    }

    @Override
    public void close() {
        for (Process one : processes) { one.destroyForcibly(); }
        for (Process one : processes) {
            try {
                one.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) { /* ends all the same */ }
        }
        for (ServerSocket one : doors) {
            try {
                one.close();
            } catch (IOException e) { /* closed either way */ }
        }
        try (var files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) { /* a temporary folder */ }
    }

    interface Case { boolean broken(Kit kit) throws Exception; }

    /** Exit 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
    static void run(String[] arguments, Case what) throws IOException {
        Kit kit = new Kit(Path.of(arguments[0]));
        Thread limit = new Thread(() -> {
            sleep(110_000);
            kit.note("verdict", "could not run: out of time");
            kit.close();
            Runtime.getRuntime().halt(2);
        });
        limit.setDaemon(true);
        Runtime.getRuntime().addShutdownHook(new Thread(kit::close));
        limit.start();
        int exit;
        try {
            boolean broken = what.broken(kit);
            kit.note("verdict", broken ? "the rule was broken" : "the rule held");
            exit = broken ? 1 : 0;
        } catch (Exception e) {
            kit.note("verdict", "could not run: " + e);
            exit = 2;
        }
        System.exit(exit);
    }
}

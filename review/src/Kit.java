import java.io.BufferedInputStream;
import java.io.BufferedWriter;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.io.Writer;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** What the cases share: a record, discovery, regions, clients, and ingresses started with the deploy file's command. */
final class Kit {
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private Kit() { }

    // ---- the record -------------------------------------------------------------------------------------------------

    static final long START_NANOS = System.nanoTime();
    private static PrintStream record;

    static double now() { return (System.nanoTime() - START_NANOS) / 1e6; }

    static void openRecord(Path file) throws IOException { record = new PrintStream(Files.newOutputStream(file), true, StandardCharsets.UTF_8); }

    /** Writes a line to the record, with the time in milliseconds since the start of the case. */
    static synchronized void note(String line) { record.printf("%10.1f %s%n", now(), line); }

    static void sleep(double ms) {
        try {
            if (ms > 0) { TimeUnit.NANOSECONDS.sleep((long) (ms * 1e6)); }
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static void sleepUntil(double at) { sleep(at - now()); }

    interface Work { void run() throws Exception; }

    static Thread start(String name, Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException e) {              // a peer has left
            } catch (Exception e) {
                note("stand-in " + name + " failed: " + e);
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    // ---- RESP -------------------------------------------------------------------------------------------------------

    static byte[] ascii(String text) { return text.getBytes(StandardCharsets.ISO_8859_1); }

    static byte[] command(Object... words) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(ascii("*" + words.length + "\r\n"));
        for (Object word : words) {
            byte[] bytes = word instanceof byte[] raw ? raw : ascii(word.toString());
            out.writeBytes(ascii("$" + bytes.length + "\r\n"));
            out.writeBytes(bytes);
            out.writeBytes(ascii("\r\n"));
        }
        return out.toByteArray();
    }

    static String line(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        for (int b; (b = in.read()) != '\n';) {
            if (b < 0) { throw new EOFException("end of input after " + text.length() + " bytes of a line"); }
            if (b != '\r') { text.append((char) b); }
        }
        return text.toString();
    }

    static byte[] exactly(InputStream in, int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) { throw new EOFException("end of input after " + bytes.length + " of " + count + " bytes"); }
        return bytes;
    }

    static String id(long number) { return String.format("%016x", number); }

    /** What an ingress answered: a value, or the text of an error line; or neither, and how the connection ended. */
    record Answer(byte[] value, String error, String end, double atMs) {
        boolean isServed() { return value != null; }

        String text() {
            return value != null ? "served " + (value.length <= 60 ? new String(value, StandardCharsets.ISO_8859_1) : value.length + " bytes")
                    : error != null ? "-" + error : "no answer: " + end;
        }
    }

    /** Reads one answer; the connection's end, or silence until the time-out, is told in the answer. */
    static Answer answer(Socket socket, InputStream in, double untilMs) {
        try {
            socket.setSoTimeout((int) Math.max(1, untilMs - now()));
            String head = line(in);
            if (head.startsWith("-")) { return new Answer(null, head.substring(1), null, now()); }
            if (head.startsWith("+")) { return new Answer(null, head, null, now()); }
            if (!head.startsWith("$")) { return new Answer(null, null, "cannot be read: " + head, now()); }
            byte[] value = exactly(in, Integer.parseInt(head.substring(1)));
            exactly(in, 2);
            return new Answer(value, null, null, now());
        } catch (SocketTimeoutException e) {
            return new Answer(null, null, "silence", now());
        } catch (IOException e) {
            return new Answer(null, null, String.valueOf(e.getMessage()), now());
        }
    }

    // ---- clients ----------------------------------------------------------------------------------------------------

    /** One connection of the clients' front to an ingress. */
    static final class Client implements Closeable {
        final Socket socket;
        final InputStream in;

        Client(InetSocketAddress to) throws IOException {
            socket = new Socket();
            socket.setTcpNoDelay(true);
            socket.connect(to, 2000);
            in = new BufferedInputStream(socket.getInputStream(), 64 * 1024);
        }

        void send(byte[] bytes) throws IOException { socket.getOutputStream().write(bytes); }

        Answer read(double untilMs) { return answer(socket, in, untilMs); }

        @Override
        public void close() throws IOException { socket.close(); }
    }

    // ---- regions ----------------------------------------------------------------------------------------------------

    /** One connection at a region. */
    static final class RegionConnection {
        final Region region;
        final Socket socket;
        final InputStream in;
        private final OutputStream out;

        RegionConnection(Region region, Socket socket) throws IOException {
            this.region = region;
            this.socket = socket;
            in = new BufferedInputStream(socket.getInputStream(), 64 * 1024);
            out = socket.getOutputStream();
        }

        synchronized void write(byte[] bytes) throws IOException { out.write(bytes); }

        /** The answer of the protocol: the value, no figures on use, no load report. */
        void serve(byte[] value) throws IOException { write(served(value)); }

        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    static byte[] served(byte[] value) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(value.length + 32);
        out.writeBytes(ascii("*3\r\n$" + value.length + "\r\n"));
        out.writeBytes(value);
        out.writeBytes(ascii("\r\n$-1\r\n$-1\r\n"));
        return out.toByteArray();
    }

    /** A command as a region read it whole. {@code list} is the list of names and values. */
    record Command(String name, String customer, String id, Map<String, String> list, byte[] body) { }

    interface RegionWork { void run(RegionConnection from, Command command) throws Exception; }

    /** How a region reads a large body: it may be slow. */
    interface BodyReader { byte[] read(RegionConnection from, int length) throws IOException; }

    /** A backend. Commands of a connection are handled one after another; each ingress sends one at a time. */
    static final class Region implements Closeable {
        final String id;
        final ServerSocket door;
        final RegionWork work;
        volatile BodyReader bodies = (from, length) -> exactly(from.in, length);
        final List<RegionConnection> open = new CopyOnWriteArrayList<>();

        Region(String id, RegionWork work) throws IOException {
            this.id = id;
            this.work = work;
            door = new ServerSocket(0, 512, LOOPBACK);
            Kit.start("region " + id, () -> {
                for (;;) {
                    Socket guest = door.accept();
                    guest.setTcpNoDelay(true);
                    RegionConnection connection = new RegionConnection(this, guest);
                    open.add(connection);
                    Kit.start("connection at " + id, () -> serveAll(connection));
                }
            });
        }

        private void serveAll(RegionConnection connection) throws Exception {
            try (Socket guest = connection.socket) {
                for (;;) {
                    int count = Integer.parseInt(line(connection.in).substring(1));
                    byte[][] words = new byte[count][];
                    for (int i = 0; i < count; i++) {
                        int length = Integer.parseInt(line(connection.in).substring(1));
                        words[i] = i == 4 ? bodies.read(connection, length) : exactly(connection.in, length);
                        exactly(connection.in, 2);
                    }
                    String name = new String(words[0], StandardCharsets.ISO_8859_1);
                    if (!name.startsWith("CALL.")) {
                        connection.write(ascii(name.equals("PING") ? "+PONG\r\n" : "-ERR\r\n"));
                        continue;
                    }
                    Map<String, String> list = new LinkedHashMap<>();
                    for (String item : new String(words[3], StandardCharsets.UTF_8).split(",")) {
                        list.put(item.substring(0, item.indexOf('=')), item.substring(item.indexOf('=') + 1));
                    }
                    work.run(connection, new Command(name, new String(words[1], StandardCharsets.ISO_8859_1),
                            new String(words[2], StandardCharsets.ISO_8859_1), list, count > 4 ? words[4] : null));
                }
            } finally {
                open.remove(connection);
            }
        }

        String entry(String phase) {
            return "{\"id\":\"" + id + "\",\"host_port\":\"127.0.0.1:" + door.getLocalPort() + "\",\"locality\":\"a\",\"flavor\":\"std-4\","
                    + "\"cell\":0,\"phase\":\"" + phase + "\",\"size\":1.0,\"up_since_ms\":0}";
        }

        @Override
        public void close() throws IOException { door.close(); }
    }

    // ---- discovery --------------------------------------------------------------------------------------------------

    /** Discovery's agent on the ingresses' machine: a watch gets the whole list, then changes, and an empty line every 2 s. */
    static final class Discovery implements Closeable {
        final ServerSocket door = new ServerSocket(0, 64, LOOPBACK);
        private final Map<String, Region> regions = new LinkedHashMap<>();
        private final List<Socket> watches = new ArrayList<>();
        private int revision = 41;
        private boolean silent;

        Discovery(List<Region> listed) throws IOException {
            for (Region region : listed) { regions.put(region.id, region); }
            Kit.start("discovery", () -> {
                for (;;) {
                    Socket guest = door.accept();
                    Kit.start("watch", () -> talk(guest));
                }
            });
            Kit.start("empty lines", () -> {
                for (;;) {
                    sleep(2000);
                    tell("\n");
                }
            });
        }

        private synchronized void tell(String text) {
            if (silent) { return; }
            for (Socket guest : List.copyOf(watches)) {
                try {
                    chunk(guest, text);
                } catch (IOException e) {
                    watches.remove(guest);
                }
            }
        }

        private static void chunk(Socket guest, String text) throws IOException {
            guest.getOutputStream().write(ascii(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
        }

        synchronized String list() {
            List<String> entries = regions.values().stream().map(region -> region.entry("Ready")).toList();
            return "{\"revision\":" + revision + ",\"complete\":true,\"members\":[" + String.join(",", entries) + "]}";
        }

        /** While discovery is down its agent is silent; afterwards it tells what there is. */
        synchronized void silence(boolean is) {
            silent = is;
            if (!is) { tell(list() + "\n"); }
        }

        private void talk(Socket guest) throws IOException {
            InputStream in = guest.getInputStream();
            while (!line(in).isEmpty()) { /* the head */ }
            synchronized (this) {
                guest.getOutputStream().write(ascii("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
                watches.add(guest);
                if (!silent) { chunk(guest, list() + "\n"); }
            }
            while (in.read() >= 0) { /* until it ends */ }
            synchronized (this) { watches.remove(guest); }
        }

        @Override
        public void close() throws IOException { door.close(); }
    }

    // ---- the platform -----------------------------------------------------------------------------------------------

    /** Sends signals at once, without a new process for each: a shell that reads them line by line. */
    private static Writer signals;

    static synchronized void signal(String name, long pid) throws IOException {
        if (signals == null) {
            Process shell = new ProcessBuilder("bash").redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.DISCARD).start();
            signals = new BufferedWriter(shell.outputWriter());
        }
        signals.write("kill -" + name + " " + pid + "\n");
        signals.flush();
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, LOOPBACK)) { return socket.getLocalPort(); }
    }

    /** One process of an ingress, started as the platform starts it. */
    static final class Ingress {
        final Process process;
        final InetSocketAddress address;

        Ingress(Process process, InetSocketAddress address) {
            this.process = process;
            this.address = address;
        }

        long pid() { return process.pid(); }
    }

    static final List<Process> STARTED = new CopyOnWriteArrayList<>();

    /** Reads {@code run} of the deploy file, as the platform does. */
    static String runCommand(Path root) throws IOException {
        for (String text : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (text.startsWith("run = ")) { return text.substring(text.indexOf('"') + 1, text.lastIndexOf('"')); }
        }
        throw new IOException("the deploy file has no run");
    }

    /** Starts {@code run} from the root with a configuration, and waits until the front takes it in. */
    static Ingress ingress(Path root, Path folder, String name, String config, int port, String admin) throws IOException {
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, config);
        Path tmp = folder.resolve("tmp-" + name);
        Files.createDirectories(tmp);
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand(root)).directory(root.toFile());
        builder.environment().put("RELAY_NAME", name);
        builder.environment().put("RELAY_LISTEN", "127.0.0.1:" + port);
        builder.environment().put("RELAY_CONFIG", file.toString());
        builder.environment().put("TMPDIR", tmp.toString());
        builder.environment().remove("RELAY_ADMIN_ADDR");
        if (admin != null) { builder.environment().put("RELAY_ADMIN_ADDR", admin); }
        File log = folder.resolve(name + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        Process process = builder.start();
        STARTED.add(process);
        Ingress made = new Ingress(process, new InetSocketAddress(LOOPBACK, port));
        note("platform: started ingress " + name + " pid " + process.pid());
        return made;
    }

    /** Waits until the ingress answers PING, as the front does. */
    static void awaitReady(Ingress ingress) throws IOException {
        for (double until = now() + 30_000; now() < until; sleep(50)) {
            if (!ingress.process.isAlive()) { throw new IOException("the ingress ended at its start"); }
            try (Client client = new Client(ingress.address)) {
                client.send(command("PING"));
                if ("+PONG".equals(client.read(now() + 1000).error())) { return; }
            } catch (IOException e) { /* not yet */ }
        }
        throw new IOException("the ingress was not ready in 30 s");
    }

    /** Ends all processes that were started. */
    static void endAll() {
        for (Process process : STARTED) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) { /* killed all the same */ }
        }
    }

    static void copyLog(Path folder, String name) throws IOException {
        for (String text : Files.readAllLines(folder.resolve(name + ".log"))) { note("log of " + name + ": " + text); }
    }

    static void delete(Path folder) throws IOException {
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path one : all.sorted(Comparator.reverseOrder()).toList()) { Files.deleteIfExists(one); }
        }
    }

    // ---- a case -----------------------------------------------------------------------------------------------------

    interface Case {
        /** Plays the case; the result is a list of what broke the rule, empty if it held. */
        List<String> play(Path root, Path folder) throws Exception;
    }

    /** Plays a case with its record, ends all that it started, and exits with 0, 1 or 2. */
    static void main(String[] args, Case played) {
        int status = 2;
        Path folder = null;
        try {
            openRecord(Path.of(args[1]));
            folder = Files.createTempDirectory("review");
            note(TROUBLE ? "with the disruption" : "without the disruption");
            Path made = folder;
            Runtime.getRuntime().addShutdownHook(new Thread(Kit::endAll));
            List<String> broken = played.play(Path.of(args[0]), made);
            for (String text : broken) { note("BROKEN: " + text); }
            status = broken.isEmpty() ? 0 : 1;
            note(broken.isEmpty() ? "the rule held" : "the rule was broken");
            System.out.println(broken.isEmpty() ? "held" : "broken: " + broken.get(0) + (broken.size() > 1 ? " (and " + (broken.size() - 1) + " more)" : ""));
        } catch (Exception e) {
            System.out.println("could not run: " + e);
            if (record != null) { note("could not run: " + e); }
        }
        endAll();
        try {
            if (folder != null) { delete(folder); }
        } catch (IOException e) { /* a temporary folder */ }
        Runtime.getRuntime().halt(status);
    }

    // ---- configurations ---------------------------------------------------------------------------------------------

    /** Settings of a small deployment, in the form and with the figures of the example in the wire's page. */
    static String config(String name, int port, String admin, int memoryMb, Discovery discovery, String peers, String me, String classes, String more) {
        return "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\"," + (admin == null ? "" : "\"admin_addr\":\"" + admin + "\",")
                + "\"discovery\":\"127.0.0.1:" + discovery.door.getLocalPort() + "\",\"seed\":\"8c1f30d27a5be964\","
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb + ",\"sockets\":1024}," + peers + "\"known\":" + discovery.list() + ","
                + "\"settings\":{\"classes\":[" + classes + "],\"clients\":{\"marks_retry\":true},"
                + "\"contracts\":[" + PLANS + "],"
                + "\"domain\":{\"cost_after\":false,\"count_fee\":0.02,\"count_limit_ms\":30.0,\"counter\":true,\"meter_ms\":0.0,\"most_units\":4,"
                + "\"peer_in_per_s\":60.0},"
                + "\"goal\":{\"whole\":0.55,\"worst_class\":0.0,\"worst_tenant\":0.25,\"worst_window\":0.2},\"kinds\":[\"std-4\"],"
                + "\"layers\":[\"preorder-fleet\"],"
                + "\"limits\":{\"conn_idle_ms\":30000.0,\"cpu_us_per_request\":0.0,\"cpu_us_per_s\":400000,\"dial_timeout_ms\":250.0,"
                + "\"max_attempts\":6,\"max_open\":20000,\"max_retry_after_ms\":2000.0,\"max_streams\":32,\"may_cancel\":true,\"peers\":true,"
                + "\"probes\":true,\"retry_after\":false,\"second_copies\":false},"
                + "\"me\":" + me + ",\"membership_mode\":\"push\","
                + "\"prices\":{\"connection\":0.0,\"cross_zone\":0.027,\"handshake\":0.0,\"late_fail\":0.067,\"membership_mode\":0.0,\"moves\":0.0,"
                + "\"origin\":0.0,\"peer\":0.02,\"probe\":0.0081,\"waste\":0.065},"
                + "\"report\":{\"how\":\"on_probe\",\"names\":[\"cpu_share\",\"pending\",\"served_ps\"]},\"resolution_ms\":4.0,"
                + "\"rules\":{\"answer_slack_ms\":16.0,\"cold_from\":0.16,\"drain_grace_ms\":2000.0,\"must_ask_in_ms\":10000.0,"
                + "\"overload_factor\":3.0,\"overload_for_ms\":3000.0,\"warm_after_ms\":18000.0},"
                + "\"service_type\":\"gate\",\"tier\":0,\"weights\":\"nominal\",\"zone\":0,\"zones\":[\"hall-a\",\"hall-b\",\"hall-c\"]" + more + "}}";
    }

    static final String PLANS = plan("basis", 8, 1.9, 0.8, 0, 0, 0) + "," + plan("plus", 11, 7.2, 1.1, 0, 0, 0) + "," + plan("groot", 52, 35, 1.8, 118, 80, 12);

    static String plan(String name, double burst, double rate, double factor, double hardBurst, double ceilingRate, double slack) {
        return "{\"at_once\":0,\"beyond_costs\":0.6,\"beyond_earns\":0.0,\"ceiling_rate\":" + ceilingRate + ",\"ceiling_slack\":" + slack
                + ",\"hard_burst\":" + hardBurst + ",\"name\":\"" + name + "\",\"peak_units\":" + burst + ",\"units_per_s\":" + rate
                + ",\"value_factor\":" + factor + "}";
    }

    static String safeClass(String name, double aim, double deadline) {
        return "{\"aim_ms\":" + aim + ",\"effect\":\"idempotent\",\"group\":\"all\",\"hard_limit_ms\":" + deadline
                + ",\"late_value\":0.0,\"name\":\"" + name + "\",\"streamed\":false,\"window_ms\":5000.0,\"worth\":2.0}";
    }

    static String keyedClass(String name, double aim, double deadline, double window) {
        return "{\"aim_ms\":" + aim + ",\"effect\":\"deduplicated\",\"group\":\"all\",\"hard_limit_ms\":" + deadline
                + ",\"late_value\":0.2,\"name\":\"" + name + "\",\"streamed\":false,\"window_ms\":" + window + ",\"worth\":6.0}";
    }

    /** One ingress alone in its tier, with lookups of 1 s and 2.5 s and orders of 2 s and 8 s that regions drop repeats of for 5 s. */
    static String aloneConfig(String name, int port, String admin, int memoryMb, Discovery discovery) throws IOException {
        String peer = "127.0.0.1:" + freePort();
        return config(name, port, admin, memoryMb, discovery, "\"peer_listen\":\"" + peer + "\",\"peers\":[\"" + peer + "\"],", "0",
                safeClass("lookup", 1000, 2500) + "," + keyedClass("place-order", 2000, 8000, 5000), ",\"peers_total\":1");
    }

    static byte[] lookup(long customer, long id, int waitMs) {
        return command("CALL.GET", id(customer), id(id), "c=lookup,t=plus,d=" + waitMs + ",units=1,spread=1,first=0");
    }

    static byte[] order(long customer, long id, long key, int waitMs, byte[] body) {
        return command("CALL.POST", id(customer), id(id), "c=place-order,t=plus,d=" + waitMs + ",k=" + id(key) + ",units=1,spread=1,first=0", body);
    }
}

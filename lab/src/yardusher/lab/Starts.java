package yardusher.lab;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.DoubleSummaryStatistics;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * What a start and a request cost, side by side: the figures of docs/design/libraries.md. Each round starts each side once by its
 * own {@code deploy/start.sh}, in turn, the order swapped from round to round, so that what else the machine does falls on all. Told are
 * mean, least and most.
 */
public final class Starts {
    private static final int ENTRIES = 60;           // of the list of regions, as many as a large site has
    private static final int TERMINALS = 8;
    private static final int TICKS_MS = 10;          // of the clock in /proc, as the kernel counts

    private Starts() { }

    /** One start's figures: to the first PONG, 0.3 s later when the list is there, then after the requests. CPU is user and system time of all its threads. */
    private record Figures(double startCpuMs, double listedCpuMs, double startMs, double requestCpuUs, double answered, double peakKb, double threads, double classes) {
        double[] all() { return new double[] {startCpuMs, listedCpuMs, startMs, requestCpuUs, answered, peakKb, threads, classes}; }
    }

    private static final String[] NAMES = {"start_cpu_ms", "listed_cpu_ms", "start_ms", "request_cpu_us", "answered", "peak_kb", "threads", "classes"};

    /** {@code ROUNDS REQUESTS FOLDER ...}: each folder holds a build, {@code deploy/start.sh} and {@code target/yardusher.jar} with its archive. */
    public static void main(String[] args) throws Exception {
        int rounds = Integer.parseInt(args[0]);
        int requests = Integer.parseInt(args[1]);
        List<Path> sides = Arrays.stream(args).skip(2).map(Path::of).map(Path::toAbsolutePath).toList();
        List<List<Figures>> all = new ArrayList<>();
        sides.forEach(side -> all.add(new ArrayList<>()));
        Path folder = Files.createTempDirectory("starts");
        InetAddress place = Programs.place(Programs.nextGroup(), 1);
        try (Discovery discovery = new Discovery(place, 1);
                Region region = new Region("r0", Programs.free(place), new Chronicle<>(Path.of("/dev/null")), 1).takes(1, 2)) {
            for (int i = 0; i < ENTRIES; i++) { discovery.put(new Discovery.Entry(String.format("s-%08x", i), region.address(), "a", 0, i < 8 ? "Ready" : "Terminating", 1, 0)); }
            for (int round = -1; round < rounds; round++) {   // the first is not counted: files come into the cache
                for (int i = 0; i < sides.size(); i++) {
                    int side = round % 2 == 0 ? i : sides.size() - 1 - i;
                    Figures one = run(sides.get(side), folder, place, discovery, requests);
                    if (round >= 0) { all.get(side).add(one); }
                }
            }
        }
        for (int side = 0; side < sides.size(); side++) {
            StringBuilder line = new StringBuilder(sides.get(side).toString());
            for (int i = 0; i < NAMES.length; i++) {
                int at = i;
                DoubleSummaryStatistics one = all.get(side).stream().mapToDouble(each -> each.all()[at]).summaryStatistics();
                line.append(' ').append(NAMES[i]).append('=').append(round(one.getAverage())).append('[').append(round(one.getMin())).append("..")
                        .append(round(one.getMax())).append(']');
            }
            System.out.println(line + " rounds=" + rounds);
        }
        System.exit(0);
    }

    private static String round(double value) { return value >= 1000 ? String.valueOf(Math.round(value)) : String.valueOf(Math.round(value * 10) / 10.0); }

    private static Figures run(Path side, Path folder, InetAddress place, Discovery discovery, int requests)
            throws IOException, InterruptedException {
        InetSocketAddress at = Programs.free(place);
        String json = new String(Starts.class.getResourceAsStream("/ingress.json").readAllBytes(), StandardCharsets.UTF_8)
                .replaceFirst("\"listen\": \"[^\"]*\"", "\"listen\": \"" + Programs.text(at) + "\"")
                .replaceFirst("\"discovery\": \"[^\"]*\"", "\"discovery\": \"" + Programs.text(discovery.address(0)) + "\"");
        Path config = Files.writeString(folder.resolve("n0.json"), json);
        ProcessBuilder builder = new ProcessBuilder("bash", "deploy/start.sh", config.toString(), "--limits", "none", "--settings", "none")
                .directory(side.toFile()).redirectErrorStream(true).redirectOutput(folder.resolve("log").toFile());
        builder.environment().put("RELAY_CONFIG", config.toString());
        builder.environment().put("TMPDIR", folder.toString());
        long from = System.nanoTime();
        Process process = builder.start();
        try {
            while (!pongs(at)) {
                if (!process.isAlive()) { throw new IOException(Files.readString(folder.resolve("log"))); }
                Thread.sleep(5);
            }
            double startMs = (System.nanoTime() - from) / 1e6;
            double startCpu = cpuMs(process.pid());
            Thread.sleep(300);                       // the list comes, and what a start leaves for later
            double listedCpu = cpuMs(process.pid());
            ask(at, requests / 4, discovery);        // code warms up
            double before = cpuMs(process.pid());
            int answered = ask(at, requests, discovery);
            double requestUs = 1000 * (cpuMs(process.pid()) - before) / requests;
            return new Figures(startCpu, listedCpu, startMs, requestUs, answered, status(process.pid(), "VmHWM"), status(process.pid(), "Threads"), classes(process.pid()));
        } finally {
            process.destroyForcibly();
            process.waitFor(5, TimeUnit.SECONDS);
        }
    }

    private static boolean pongs(InetSocketAddress at) {
        try (Socket socket = new Socket(at.getAddress(), at.getPort())) {
            socket.getOutputStream().write("*1\r\n$4\r\nPING\r\n".getBytes(StandardCharsets.US_ASCII));
            return socket.getInputStream().read() == '+';
        } catch (IOException e) {
            return false;
        }
    }

    /** So many lookups of as many customers, one out on each connection; a change of the list at each hundredth. How many were served. */
    private static int ask(InetSocketAddress at, int requests, Discovery discovery) throws IOException, InterruptedException {
        int[] served = new int[TERMINALS];
        Thread[] threads = new Thread[TERMINALS];
        for (int t = 0; t < TERMINALS; t++) {
            int mine = t;
            threads[t] = new Thread(() -> {
                try (Socket socket = new Socket(at.getAddress(), at.getPort())) {
                    socket.setTcpNoDelay(true);
                    DataInputStream in = new DataInputStream(socket.getInputStream());
                    for (int i = mine; i < requests; i += TERMINALS) {
                        socket.getOutputStream().write(command(i));
                        if (answer(in)) { served[mine]++; }
                        if (i % 100 == 0) { discovery.put(discovery.entry("s-0000003b")); }
                    }
                } catch (IOException e) { /* fewer are served */ }
            });
            threads[t].start();
        }
        for (Thread thread : threads) { thread.join(60_000); }
        return Arrays.stream(served).sum();
    }

    private static byte[] command(int number) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        String[] words = {"CALL.GET", String.format("%016x", number + 1), String.format("%016x", System.nanoTime() << 8 | number & 255),
            "c=lookup,t=groot,d=2000,units=1,spread=1,first=0"};
        out.write("*4\r\n".getBytes(StandardCharsets.US_ASCII));
        for (String word : words) { out.write(("$" + word.length() + "\r\n" + word + "\r\n").getBytes(StandardCharsets.US_ASCII)); }
        return out.toByteArray();
    }

    /** Reads an error or a bulk string; whether it was the latter. */
    private static boolean answer(InputStream in) throws IOException {
        int first = in.read();
        StringBuilder line = new StringBuilder();
        for (int b; (b = in.read()) != '\n';) {
            if (b < 0) { throw new IOException("closed"); }
            line.append((char) b);
        }
        if (first != '$') { return false; }
        in.readNBytes(Integer.parseInt(line.toString().strip()) + 2);
        return true;
    }

    private static double cpuMs(long pid) throws IOException {
        String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
        String[] words = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(words[11]) + Long.parseLong(words[12])) * (double) TICKS_MS;
    }

    private static double status(long pid, String name) throws IOException {
        return Files.readAllLines(Path.of("/proc/" + pid + "/status")).stream().filter(line -> line.startsWith(name + ":"))
                .mapToDouble(line -> Double.parseDouble(line.replaceAll("[^0-9]", ""))).findFirst().orElse(0);
    }

    /** Classes loaded, as the JVM itself tells. */
    private static double classes(long pid) throws IOException, InterruptedException {
        Process jcmd = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "jcmd").toString(), Long.toString(pid), "VM.classloader_stats")
                .redirectErrorStream(true).start();
        String said = new String(jcmd.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        jcmd.waitFor(10, TimeUnit.SECONDS);
        return said.lines().filter(line -> line.startsWith("Total")).mapToDouble(line -> Double.parseDouble(line.strip().split("\\s+")[3])).findFirst().orElse(0);
    }
}

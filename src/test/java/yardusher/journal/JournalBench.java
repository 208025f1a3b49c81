package yardusher.journal;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;
import yardusher.resp.Decoder;
import yardusher.resp.Encoder;

/**
 * Measures the cost of the journal: real ingresses on one CPU core, with the journal off and on in turn, under the same load. Run
 * by hand: {@code JournalBench ROUNDS CORE [RATE [JAR]]}. With the jar of another build, it compares the two builds with the
 * journal off. Each round starts an ingress for every setting, warms it up, sends requests at a steady rate (open loop, latency
 * from when each was due), then as fast as 16 connections can.
 */
final class JournalBench {
    private static final int CONNECTIONS = 16;
    private static final int REGIONS = 32;
    private static final int WARM_MS = 3000;
    private static final int PACED_MS = 4000;
    private static final int FLAT_OUT_MS = 2000;
    private static String otherBuild;                // jar of the build to compare with, journal off
    private static final AtomicLong IDS = new AtomicLong(System.nanoTime());

    /** The results of one run: CPU in microseconds per request, at the steady rate and at full load. */
    record Figures(double p50Us, double p99Us, double p999Us, double pacedCpuUs, double perSecond, double cpuUs, double bytesAnOrder,
            double residentMb) { }

    private JournalBench() { }

    public static void main(String[] args) throws Exception {
        int rounds = Integer.parseInt(args[0]);
        String core = args[1];
        int rate = args.length > 2 ? Integer.parseInt(args[2]) : 1000;
        StringBuilder members = new StringBuilder();
        for (int i = 1; i <= REGIONS; i++) {
            members.append(i > 1 ? "," : "").append("{\"id\":\"s-").append(i).append("\",\"host_port\":\"127.0.0.1:").append(region())
                    .append("\",\"locality\":\"a\",\"flavor\":\"m\",\"cell\":0,\"phase\":\"Ready\",\"size\":1.0,\"up_since_ms\":0}");
        }
        Map<String, List<Figures>> all = new LinkedHashMap<>();
        if (args.length > 3) { otherBuild = args[3]; }
        String[] settings = otherBuild == null ? new String[] {"off", "process", "group", "machine"} : new String[] {"off", "other"};
        for (int round = 0; round < rounds; round++) {
            for (String setting : settings) {
                Figures figures = run(setting, core, rate, members.toString());
                all.computeIfAbsent(setting, s -> new ArrayList<>()).add(figures);
                System.err.println(round + " " + setting + " " + figures);
            }
        }
        System.out.printf("%d rounds, core %s, %d a second, %d connections; medians, and medians of ratios to off in the same round%n", rounds,
                core, rate, CONNECTIONS);
        System.out.println("| journal | p50 us | p99 us | p99.9 us | CPU us a request, paced | ratio | orders a second, flat out | ratio | CPU us "
                + "a request, flat out | ratio | bytes an order | resident MB |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        List<Figures> off = all.get("off");
        all.forEach((setting, runs) -> System.out.printf("| %s | %.0f | %.0f | %.0f | %.1f | %.3f | %.0f | %.3f | %.1f | %.3f | %.0f | %.0f |%n",
                setting, median(runs, f -> f.p50Us), median(runs, f -> f.p99Us), median(runs, f -> f.p999Us), median(runs, f -> f.pacedCpuUs),
                ratio(runs, off, f -> f.pacedCpuUs), median(runs, f -> f.perSecond), ratio(runs, off, f -> f.perSecond),
                median(runs, f -> f.cpuUs), ratio(runs, off, f -> f.cpuUs), median(runs, f -> f.bytesAnOrder), median(runs, f -> f.residentMb)));
        System.exit(0);
    }

    private static double median(List<Figures> runs, java.util.function.ToDoubleFunction<Figures> of) {
        double[] sorted = runs.stream().mapToDouble(of).sorted().toArray();
        return sorted[sorted.length / 2];
    }

    private static double ratio(List<Figures> runs, List<Figures> off, java.util.function.ToDoubleFunction<Figures> of) {
        double[] ratios = new double[runs.size()];
        Arrays.setAll(ratios, i -> of.applyAsDouble(runs.get(i)) / of.applyAsDouble(off.get(i)));
        Arrays.sort(ratios);
        return ratios[ratios.length / 2];
    }

    private static int region() throws IOException {
        ServerSocket door = new ServerSocket(0, 1000, InetAddress.getByName("127.0.0.1"));
        byte[] answer = new Encoder(64).array(3).bulk("made").raw("$-1\r\n$-1\r\n".getBytes(StandardCharsets.US_ASCII)).toBytes();
        thread(() -> {
            for (;;) {
                Socket guest = door.accept();
                guest.setTcpNoDelay(true);
                thread(() -> {
                    Decoder decoder = new Decoder();
                    for (;;) {
                        if (decoder.nextCommand() != null) {
                            guest.getOutputStream().write(answer);
                        } else {
                            fill(decoder, guest);
                        }
                    }
                });
            }
        });
        return door.getLocalPort();
    }

    private interface Work {
        void run() throws Exception;
    }

    private static Thread thread(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (Exception e) { /* the peer closed the connection */ }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static void fill(Decoder decoder, Socket socket) throws IOException {
        ByteBuffer room = decoder.readBuffer();
        int read = socket.getInputStream().read(room.array(), room.position(), room.remaining());
        if (read < 0) { throw new IOException("ended"); }
        decoder.advance(read);
    }

    private static Figures run(String setting, String core, int rate, String members) throws Exception {
        Path folder = Files.createTempDirectory("journal-bench");
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) { port = free.getLocalPort(); }
        Path config = folder.resolve("n0.json");
        Files.writeString(config, Files.readString(Path.of("src/test/resources/ingress.json")).replace("\"listen\": \"127.0.0.1:0\"",
                "\"listen\": \"127.0.0.1:" + port + "\"").replaceAll("\"(units_per_s|ceiling_rate)\": [0-9.]+", "\"$1\": 0.0")
                .replace("\"members\": []", "\"members\": [" + members + "]"));
        Path own = folder.resolve("own.toml");
        Files.writeString(own, setting.equals("off") || setting.equals("other") ? "" : "[journal]\nfolder = '" + folder.resolve("journal") + "'\ndurability = \"" + setting + "\"\n");
        Process child = new ProcessBuilder("taskset", "-c", core, Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1", "-XX:-UsePerfData", "-Xms24m", "-Xmx64m", "-XX:MaxNewSize=21m", "-Xss256k", "-cp",
                setting.equals("other") ? otherBuild : System.getProperty("java.class.path"), "yardusher.cli.Main", "serve", config.toString(), "--limits", "none", "--settings", own.toString())
                .redirectErrorStream(true).redirectOutput(folder.resolve("log").toFile()).start();
        for (boolean up = false; !up;) {
            try (Socket probe = new Socket("127.0.0.1", port)) {
                up = true;
            } catch (IOException e) {
                Thread.sleep(20);
            }
        }
        load(port, WARM_MS, 0);
        load(port, 1000, rate);
        double cpu = cpuUs(child);
        Histogram paced = load(port, PACED_MS, rate);
        double pacedCpu = (cpuUs(child) - cpu) / paced.getTotalCount();
        cpu = cpuUs(child);
        long begun = System.nanoTime();
        Histogram flatOut = load(port, FLAT_OUT_MS, 0);
        double seconds = (System.nanoTime() - begun) / 1e9;
        double flatCpu = (cpuUs(child) - cpu) / flatOut.getTotalCount();
        double resident = resident(child);
        child.destroy();
        child.waitFor();
        String ends = Files.readString(folder.resolve("log"));
        double bytes = 0;
        Path journal = folder.resolve("journal").resolve("n0");
        if (Files.isDirectory(journal)) {
            try (Stream<Path> files = Files.list(journal)) { bytes = files.mapToLong(file -> file.toFile().length()).sum(); }
        }
        java.util.regex.Matcher served = java.util.regex.Pattern.compile(" served=(\\d+) refused=(\\d+) failed=(\\d+)").matcher(ends);
        if (!served.find() || Long.parseLong(served.group(2)) + Long.parseLong(served.group(3)) > Long.parseLong(served.group(1)) / 200) {
            System.err.println("not all served: " + ends);
        }
        try (Stream<Path> files = Files.walk(folder)) { files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete()); }
        return new Figures(paced.getValueAtPercentile(50) / 1e3, paced.getValueAtPercentile(99) / 1e3, paced.getValueAtPercentile(99.9) / 1e3, pacedCpu,
                flatOut.getTotalCount() / seconds, flatCpu, bytes / Double.parseDouble(served.group(1)), resident);
    }

    /** Sends requests at a total rate per second, 0 for full load. Latencies are in nanoseconds, from when each request was due. */
    private static Histogram load(int port, int forMs, int rate) throws Exception {
        List<Thread> threads = new ArrayList<>();
        List<Histogram> parts = new ArrayList<>();
        long start = System.nanoTime() + 20_000_000L;
        for (int c = 0; c < CONNECTIONS; c++) {
            int at = c;
            Histogram part = new Histogram(60_000_000_000L, 3);
            parts.add(part);
            threads.add(thread(() -> {
                try (Socket socket = new Socket("127.0.0.1", port)) {
                    socket.setTcpNoDelay(true);
                    Decoder decoder = new Decoder();
                    long every = rate == 0 ? 0 : 1_000_000_000L * CONNECTIONS / rate;
                    long due = start + (rate == 0 ? 0 : every * at / CONNECTIONS);
                    for (long now; (now = System.nanoTime()) < start + forMs * 1_000_000L;) {
                        if (every > 0) {
                            while ((now = System.nanoTime()) < due) { LockSupport.parkNanos(due - now); }
                        } else {
                            due = now;
                        }
                        String id = String.format("%016x", IDS.incrementAndGet());
                        socket.getOutputStream().write(new Encoder(256).array(5).bulk("CALL.POST").bulk("0000000000000" + (100 + at)).bulk(id)
                                .bulk("c=place-order,t=groot,d=2000,k=" + id + ",units=1,spread=1,first=0").bulk("BODY").toBytes());
                        for (yardusher.resp.Value value; (value = decoder.nextValue()) == null;) { fill(decoder, socket); }
                        part.recordValue(System.nanoTime() - due);
                        due += every;
                    }
                }
            }));
        }
        for (Thread thread : threads) { thread.join(); }
        Histogram all = new Histogram(60_000_000_000L, 3);
        parts.forEach(all::add);
        return all;
    }

    private static double cpuUs(Process child) { return child.info().totalCpuDuration().orElseThrow().toNanos() / 1e3; }

    private static double resident(Process child) throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/" + child.pid() + "/status"))) {
            if (line.startsWith("VmRSS")) { return Double.parseDouble(line.replaceAll("[^0-9]", "")) / 1024; }
        }
        return 0;
    }
}

package yardusher.lab.scale;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** The processes of hollow ingresses of a run, as {@link ScaleRun} sees them: their orders and what they tell. */
final class Hosts {
    private static final class Host {
        Process process;
        Writer orders;
        final CountDownLatch ready = new CountDownLatch(1);
        final Samples samples = new Samples();
        volatile Map<String, String> heap;
        final CountDownLatch heapTold = new CountDownLatch(1);
    }

    private final List<Host> hosts = new ArrayList<>();
    private final Keeper keeper;

    Hosts(Sizes sizes, Path file, long seed, Block block, Path folder, Keeper keeper) throws IOException {
        this.keeper = keeper;
        for (int i = 0; i < sizes.processes(); i++) {
            int from = sizes.from(i);
            int to = sizes.from(i + 1);
            Host host = new Host();
            List<String> command = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-XX:-UsePerfData",
                    "-Xmx" + sizes.heapMb(to - from) + "m", "-Djava.net.preferIPv4Stack=true", "-cp", System.getProperty("java.class.path"), HollowHost.class.getName()));
            command.addAll(List.of(file.toString(), String.valueOf(seed), String.valueOf(block.number), String.valueOf(from), String.valueOf(to), String.valueOf(sizes.ingresses()),
                    String.valueOf(sizes.backends()), String.valueOf(sizes.tenants()), String.valueOf(sizes.rate()), folder.toString()));
            File log = folder.resolve("hollow-" + from + ".log").toFile();
            host.process = new ProcessBuilder(command).redirectError(log).start();
            keeper.keep(host.process.pid());
            host.orders = host.process.outputWriter(StandardCharsets.US_ASCII);
            hosts.add(host);
            Thread ears = new Thread(() -> listen(host), "hollow " + from);
            ears.setDaemon(true);
            ears.start();
        }
    }

    private static void listen(Host host) {
        try (BufferedReader lines = new BufferedReader(new InputStreamReader(host.process.getInputStream(), StandardCharsets.US_ASCII))) {
            for (String line; (line = lines.readLine()) != null;) {
                if (line.equals("ready")) { host.ready.countDown(); }
                if (line.startsWith("heap ")) {
                    host.heap = cells(line);
                    host.heapTold.countDown();
                }
                if (!line.startsWith("sample ")) { continue; }
                host.samples.add(cells(line));
            }
        } catch (IOException e) { /* as its end */ }
    }

    private static Map<String, String> cells(String line) {
        Map<String, String> cells = new HashMap<>();
        for (String cell : line.split(" ")) {
            int is = cell.indexOf('=');
            if (is > 0) { cells.put(cell.substring(0, is), cell.substring(is + 1)); }
        }
        return cells;
    }

    boolean awaitReady(long ms) throws InterruptedException {
        double until = Moment.now() + ms;
        for (Host host : hosts) {
            while (!host.ready.await(100, TimeUnit.MILLISECONDS)) {
                if (!host.process.isAlive() || Moment.now() > until) { return false; }
            }
        }
        return true;
    }

    boolean isAlive() { return hosts.stream().allMatch(host -> host.process.isAlive()); }

    /** One that has ended hears nothing; {@link #isAlive} tells. */
    void order(String line) {
        for (Host host : hosts) {
            try {
                host.orders.write(line + "\n");
                host.orders.flush();
            } catch (IOException e) { /* as above */ }
        }
    }

    /** What each process has told up to now, the earliest first; the latest has all. */
    List<List<Map<String, String>>> samples() { return hosts.stream().map(host -> host.samples.all()).toList(); }

    /** Samples that all processes have told. */
    int told() { return hosts.stream().mapToInt(host -> host.samples.size()).min().orElse(0); }

    /** Bytes of heap that all their ingresses take, after a collection; -1 where one does not tell. */
    long heap(long ms) throws InterruptedException {
        order("heap");
        long sum = 0;
        for (Host host : hosts) {
            if (!host.heapTold.await(ms, TimeUnit.MILLISECONDS)) { return -1; }
            sum += Long.parseLong(host.heap.get("used"));
        }
        return sum;
    }

    /** Resident memory of all, in kB. */
    long residentKb() throws IOException {
        long sum = 0;
        for (Host host : hosts) { sum += host.process.isAlive() ? Machine.residentKb(host.process.pid()) : 0; }
        return sum;
    }

    void end() throws IOException, InterruptedException {
        for (Host host : hosts) {
            try {
                host.orders.close();
            } catch (IOException e) { /* it has ended */ }
        }
        for (Host host : hosts) {
            if (host.process.waitFor(5, TimeUnit.SECONDS)) { keeper.forget(host.process.pid()); }
        }
    }
}

package yardusher.lab.view;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.IntFunction;
import java.util.stream.IntStream;
import yardusher.cli.RespClient;
import yardusher.lab.DatagramRelay;
import yardusher.lab.Group;
import yardusher.resp.Value;

/**
 * A {@link Group} whose processes keep a view, through the relay {@code view}. What each holds is asked at its second address;
 * since each tells for how long its picture has stood still, times are exact to the millisecond however seldom one asks.
 */
final class ViewGroup implements AutoCloseable {
    static final String PORT = "view";
    private static final int CALL_TIMEOUT_MS = 4000;
    private static final int POLL_THREADS = 8;

    /** What one process holds. {@code changedMs}: Unix time at which its picture last changed. */
    record ProcessView(int process, String phase, int activeCount, String digest, double changedAtMs, int agreeing, int polled, int health, Map<String, String> states,
            Map<String, Long> incarnations, String text) { }

    final Group group;
    private final ExecutorService pollers = Executors.newFixedThreadPool(POLL_THREADS, work -> {
        Thread thread = new Thread(work, "asker");
        thread.setDaemon(true);
        return thread;
    });
    private final IntFunction<String> names;

    /** {@code seeds}: the first so many are every process's seeds; {@code relayed}: through the relay, else straight. */
    ViewGroup(Path folder, int size, long seed, int seeds, boolean relayed) throws IOException { this(folder, size, seed, seeds, relayed, i -> "n" + i); }

    /** With names of the processes; two may have the same. */
    ViewGroup(Path folder, int size, long seed, int seeds, boolean relayed, IntFunction<String> names) throws IOException {
        this.names = names;
        group = new Group(folder, size, seed);
        List<String> seedAddresses = new ArrayList<>();
        for (int i = 0; i < seeds; i++) { seedAddresses.add('"' + format(meshAddress(i, relayed)) + '"'); }
        group.settings(i -> "[view]\nlisten = \"" + format(group.port(i, PORT)) + "\"\nadvertise = \"" + format(meshAddress(i, relayed)) + "\"\ninstallation = \"lab\"\nseeds = "
                + seedAddresses + "\nhall = \"hall-" + (char) ('a' + i % 3) + "\"\n");
        group.configuration((i, json) -> json.replace("\"name\": \"n" + i + "\"", "\"name\": \"" + names.apply(i) + "\""));
    }

    private InetSocketAddress meshAddress(int i, boolean relayed) { return relayed ? group.relayed(i, PORT) : group.port(i, PORT); }

    private static String format(InetSocketAddress at) { return at.getAddress().getHostAddress() + ":" + at.getPort(); }

    DatagramRelay relay() { return group.datagrams(PORT); }

    String name(int i) { return names.apply(i); }

    Set<Integer> all() { return Set.copyOf(IntStream.range(0, group.size()).boxed().toList()); }

    /** Starts some, so many at one moment, and waits for each to take clients. */
    void start(Collection<Integer> processes, int atOnce) throws IOException, InterruptedException {
        List<Integer> waiting = new ArrayList<>();
        for (int i : processes) {
            group.launch(i);
            waiting.add(i);
            if (waiting.size() == atOnce) {
                for (int process : waiting) { group.awaitReady(process, 120_000); }
                waiting.clear();
            }
        }
        for (int process : waiting) { group.awaitReady(process, 120_000); }
    }

    /** What a call at a process's second address answers; null where it does not. */
    String call(int i, String word) {
        try (Socket socket = new Socket()) {
            socket.connect(group.admin(i), CALL_TIMEOUT_MS);
            socket.setSoTimeout(CALL_TIMEOUT_MS);
            socket.getOutputStream().write((word + "\n").getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        } catch (IOException e) {
            return null;
        }
    }

    /** What a process holds; null where it does not answer. */
    ProcessView observe(int i) {
        double before = Group.now();
        String text = call(i, "members");
        double after = Group.now();
        if (text == null || !text.startsWith("view ") || !text.endsWith("EOF\n")) { return null; }
        Map<String, String> header = parseFields(text.lines().findFirst().orElse(""));
        Map<String, String> states = new TreeMap<>();
        Map<String, Long> incarnations = new HashMap<>();
        text.lines().filter(line -> line.startsWith("member ")).map(ViewGroup::parseFields).forEach(one -> {
            states.put(one.get("name"), one.get("state"));
            incarnations.put(one.get("name"), Long.parseLong(one.get("incarnation")));
        });
        return new ProcessView(i, header.get("phase"), Integer.parseInt(header.get("there")), header.get("digest"),
                (before + after) / 2 - Double.parseDouble(header.get("still_ms")), Integer.parseInt(header.get("same")), Integer.parseInt(header.get("asked")),
                Integer.parseInt(header.get("health")), states, incarnations, text);
    }

    private static Map<String, String> parseFields(String line) {
        Map<String, String> fields = new HashMap<>();
        for (String field : line.split(" ")) {
            int separator = field.indexOf('=');
            if (separator > 0) { fields.put(field.substring(0, separator), field.substring(separator + 1)); }
        }
        return fields;
    }

    /** What each of these holds; null for those that do not answer. */
    List<ProcessView> observeAll(Collection<Integer> processes) throws InterruptedException {
        List<Future<ProcessView>> pending = new ArrayList<>();
        for (int i : processes) { pending.add(pollers.submit(() -> observe(i))); }
        List<ProcessView> views = new ArrayList<>();
        for (Future<ProcessView> view : pending) {
            try {
                views.add(view.get());
            } catch (java.util.concurrent.ExecutionException e) {
                throw new IllegalStateException(e.getCause());
            }
        }
        return views;
    }

    /** Whether all of these take part and hold the same picture of so many. */
    static boolean isSettled(List<ProcessView> views, int size) {
        return views.stream().allMatch(one -> one != null && one.phase().equals("in") && one.activeCount() == size && one.digest().equals(views.get(0).digest()));
    }

    /** Waits until all of these hold the same picture of so many, and gives what they hold; null after {@code mostMs}. */
    List<ProcessView> awaitSettled(Collection<Integer> processes, int size, double timeoutMs) throws InterruptedException {
        double until = Group.now() + timeoutMs;
        for (;;) {
            List<ProcessView> views = observeAll(processes);
            if (isSettled(views, size)) { return views; }
            if (Group.now() > until) { return null; }
            Thread.sleep(50);
        }
    }

    /** When the last of them came to hold what it holds, after a moment. */
    static double lastChangeAfter(List<ProcessView> views, double startMs) { return views == null ? -1 : views.stream().mapToDouble(ProcessView::changedAtMs).max().orElse(startMs) - startMs; }

    static double firstChangeAfter(List<ProcessView> views, double startMs) { return views == null ? -1 : views.stream().mapToDouble(ProcessView::changedAtMs).min().orElse(startMs) - startMs; }

    /** The counters of a process; empty where it does not answer. */
    Map<String, Long> counters(int i) {
        Map<String, Long> counters = new HashMap<>();
        String line;
        try {
            line = RespClient.call(format(group.listen(i)), CALL_TIMEOUT_MS, "INFO") instanceof Value.BulkString info ? info.text() : "";
        } catch (yardusher.error.YardusherError e) {
            return counters;
        }
        parseFields(line.strip()).forEach((name, value) -> {
            if (value.matches("-?[0-9]{1,18}")) { counters.put(name, Long.parseLong(value)); }
        });
        return counters;
    }

    long sumOfCounter(Collection<Integer> processes, String name) { return processes.stream().mapToLong(i -> counters(i).getOrDefault(name, 0L)).sum(); }

    /** CPU time of a process so far, in ms. */
    double cpuMs(int i) { return group.process(i).info().totalCpuDuration().map(one -> one.toNanos() / 1e6).orElse(0.0); }

    /** Resident memory of a process, in kB. */
    long residentKb(int i) throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/" + group.process(i).pid() + "/status"))) {
            if (line.startsWith("VmRSS:")) { return Long.parseLong(line.replaceAll("[^0-9]", "")); }
        }
        return 0;
    }

    @Override
    public void close() throws IOException {
        pollers.shutdownNow();
        group.close();
    }
}

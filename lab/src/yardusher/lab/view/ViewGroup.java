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
 * A {@link Group} of processes with the membership view enabled, connected through the relay {@code view}. Their views are read at the
 * admin address. Since each reports for how long its view has been unchanged, times are exact to the millisecond however rarely
 * they are polled.
 */
final class ViewGroup implements AutoCloseable {
    static final String PORT = "view";
    private static final int CALL_TIMEOUT_MS = 4000;
    private static final int POLL_THREADS = 8;

    /** The view of one process. {@code changedAtMs}: Unix time at which it last changed. */
    record ProcessView(int process, String phase, int activeCount, String digest, double changedAtMs, int agreeing, int polled, int health,
            Map<String, String> states,
            Map<String, Long> incarnations, String text) { }

    final Group group;
    private final ExecutorService pollers = Executors.newFixedThreadPool(POLL_THREADS, work -> {
        Thread thread = new Thread(work, "view-poller");
        thread.setDaemon(true);
        return thread;
    });
    private final IntFunction<String> names;

    /** {@code seeds}: how many of the first processes are seeds; {@code relayed}: whether datagrams go through the relay. */
    ViewGroup(Path folder, int size, long seed, int seeds, boolean relayed) throws IOException { this(folder, size, seed, seeds, relayed, i -> "n" + i); }

    /** With the given names of processes, which need not be distinct. */
    ViewGroup(Path folder, int size, long seed, int seeds, boolean relayed, IntFunction<String> names) throws IOException {
        this.names = names;
        group = new Group(folder, size, seed);
        List<String> seedAddresses = new ArrayList<>();
        for (int i = 0; i < seeds; i++) { seedAddresses.add('"' + format(meshAddress(i, relayed)) + '"'); }
        group.settings(i -> "[view]\nlisten = \"" + format(group.port(i, PORT)) + "\"\nadvertise = \"" + format(meshAddress(i, relayed))
                + "\"\ninstallation = \"lab\"\nseeds = "
                + seedAddresses + "\nhall = \"hall-" + (char) ('a' + i % 3) + "\"\n");
        group.configuration((i, json) -> json.replace("\"name\": \"n" + i + "\"", "\"name\": \"" + names.apply(i) + "\""));
    }

    private InetSocketAddress meshAddress(int i, boolean relayed) { return relayed ? group.relayed(i, PORT) : group.port(i, PORT); }

    private static String format(InetSocketAddress at) { return at.getAddress().getHostAddress() + ":" + at.getPort(); }

    DatagramRelay relay() { return group.datagrams(PORT); }

    String name(int i) { return names.apply(i); }

    Set<Integer> all() { return Set.copyOf(IntStream.range(0, group.size()).boxed().toList()); }

    /** Starts processes, {@code atOnce} at a time, and waits until each accepts clients. */
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

    /** Returns the reply to a call at a process's admin address; null if it does not answer. */
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

    /** Returns the view of a process; null if it does not answer. */
    ProcessView observe(int i) {
        double before = Group.now();
        String text = call(i, "members");
        double after = Group.now();
        if (text == null || !text.startsWith("view ") || !text.endsWith("EOF\n")) { return null; }
        Map<String, String> header = parseFields(text.lines().findFirst().orElse(""));
        Map<String, String> states = new TreeMap<>();
        Map<String, Long> incarnations = new HashMap<>();
        text.lines().filter(line -> line.startsWith("member ")).map(ViewGroup::parseFields).forEach(fields -> {
            states.put(fields.get("name"), fields.get("state"));
            incarnations.put(fields.get("name"), Long.parseLong(fields.get("incarnation")));
        });
        return new ProcessView(i, header.get("phase"), Integer.parseInt(header.get("there")), header.get("digest"),
                (before + after) / 2 - Double.parseDouble(header.get("still_ms")), Integer.parseInt(header.get("same")),
                Integer.parseInt(header.get("asked")),
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

    /** Returns the view of each process; null for those that do not answer. */
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

    /** Whether all of these are members and have the same view of that many members. */
    static boolean isSettled(List<ProcessView> views, int size) {
        return views.stream().allMatch(view -> view != null && view.phase().equals("in") && view.activeCount() == size
                && view.digest().equals(views.get(0).digest()));
    }

    /** Waits until all of these have the same view of that many members, and returns their views; null after {@code timeoutMs}. */
    List<ProcessView> awaitSettled(Collection<Integer> processes, int size, double timeoutMs) throws InterruptedException {
        double until = Group.now() + timeoutMs;
        for (;;) {
            List<ProcessView> views = observeAll(processes);
            if (isSettled(views, size)) { return views; }
            if (Group.now() > until) { return null; }
            Thread.sleep(50);
        }
    }

    /** Returns how long after {@code startMs} the last of them changed its view. */
    static double lastChangeAfter(List<ProcessView> views, double startMs) {
        return views == null ? -1 : views.stream().mapToDouble(ProcessView::changedAtMs).max().orElse(startMs) - startMs;
    }

    static double firstChangeAfter(List<ProcessView> views, double startMs) {
        return views == null ? -1 : views.stream().mapToDouble(ProcessView::changedAtMs).min().orElse(startMs) - startMs;
    }

    /** Returns the counters of a process; empty if it does not answer. */
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

    long sumOfCounter(Collection<Integer> processes, String name) {
        return processes.stream().mapToLong(i -> counters(i).getOrDefault(name, 0L)).sum();
    }

    /** Returns the CPU time used by a process so far, in ms. */
    double cpuMs(int i) { return group.process(i).info().totalCpuDuration().map(duration -> duration.toNanos() / 1e6).orElse(0.0); }

    /** Returns the resident memory of a process, in kB. */
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

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
import yardusher.cli.Asking;
import yardusher.lab.DatagramRelay;
import yardusher.lab.Group;
import yardusher.resp.Value;

/**
 * A {@link Group} whose processes keep a view, through the relay {@code view}. What each holds is asked at its second address;
 * since each tells for how long its picture has stood still, times are exact to the millisecond however seldom one asks.
 */
final class ViewGroup implements AutoCloseable {
    static final String PORT = "view";
    private static final int ASK_MS = 4000;
    private static final int ASKERS = 8;

    /** What one process holds. {@code changedMs}: Unix time at which its picture last changed. */
    record Held(int by, String phase, int there, String digest, double changedMs, int same, int asked, int health, Map<String, String> states,
            Map<String, Long> incarnations, String text) { }

    final Group group;
    private final ExecutorService askers = Executors.newFixedThreadPool(ASKERS, work -> {
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
        List<String> at = new ArrayList<>();
        for (int i = 0; i < seeds; i++) { at.add('"' + text(known(i, relayed)) + '"'); }
        group.settings(i -> "[view]\nlisten = \"" + text(group.port(i, PORT)) + "\"\nadvertise = \"" + text(known(i, relayed)) + "\"\ninstallation = \"lab\"\nseeds = "
                + at + "\nhall = \"hall-" + (char) ('a' + i % 3) + "\"\n");
        group.configuration((i, json) -> json.replace("\"name\": \"n" + i + "\"", "\"name\": \"" + names.apply(i) + "\""));
    }

    private InetSocketAddress known(int i, boolean relayed) { return relayed ? group.relayed(i, PORT) : group.port(i, PORT); }

    private static String text(InetSocketAddress at) { return at.getAddress().getHostAddress() + ":" + at.getPort(); }

    DatagramRelay relay() { return group.datagrams(PORT); }

    String name(int i) { return names.apply(i); }

    Set<Integer> all() { return Set.copyOf(IntStream.range(0, group.size()).boxed().toList()); }

    /** Starts some, so many at one moment, and waits for each to take clients. */
    void start(Collection<Integer> some, int atOnce) throws IOException, InterruptedException {
        List<Integer> waiting = new ArrayList<>();
        for (int i : some) {
            group.launch(i);
            waiting.add(i);
            if (waiting.size() == atOnce) {
                for (int one : waiting) { group.awaitReady(one, 120_000); }
                waiting.clear();
            }
        }
        for (int one : waiting) { group.awaitReady(one, 120_000); }
    }

    /** What a call at a process's second address answers; null where it does not. */
    String call(int i, String word) {
        try (Socket socket = new Socket()) {
            socket.connect(group.admin(i), ASK_MS);
            socket.setSoTimeout(ASK_MS);
            socket.getOutputStream().write((word + "\n").getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        } catch (IOException e) {
            return null;
        }
    }

    /** What a process holds; null where it does not answer. */
    Held held(int i) {
        double before = Group.now();
        String text = call(i, "members");
        double after = Group.now();
        if (text == null || !text.startsWith("view ") || !text.endsWith("EOF\n")) { return null; }
        Map<String, String> head = cells(text.lines().findFirst().orElse(""));
        Map<String, String> states = new TreeMap<>();
        Map<String, Long> incarnations = new HashMap<>();
        text.lines().filter(line -> line.startsWith("member ")).map(ViewGroup::cells).forEach(one -> {
            states.put(one.get("name"), one.get("state"));
            incarnations.put(one.get("name"), Long.parseLong(one.get("incarnation")));
        });
        return new Held(i, head.get("phase"), Integer.parseInt(head.get("there")), head.get("digest"),
                (before + after) / 2 - Double.parseDouble(head.get("still_ms")), Integer.parseInt(head.get("same")), Integer.parseInt(head.get("asked")),
                Integer.parseInt(head.get("health")), states, incarnations, text);
    }

    private static Map<String, String> cells(String line) {
        Map<String, String> cells = new HashMap<>();
        for (String cell : line.split(" ")) {
            int is = cell.indexOf('=');
            if (is > 0) { cells.put(cell.substring(0, is), cell.substring(is + 1)); }
        }
        return cells;
    }

    /** What each of these holds; null for those that do not answer. */
    List<Held> look(Collection<Integer> some) throws InterruptedException {
        List<Future<Held>> asked = new ArrayList<>();
        for (int i : some) { asked.add(askers.submit(() -> held(i))); }
        List<Held> held = new ArrayList<>();
        for (Future<Held> one : asked) {
            try {
                held.add(one.get());
            } catch (java.util.concurrent.ExecutionException e) {
                throw new IllegalStateException(e.getCause());
            }
        }
        return held;
    }

    /** Whether all of these take part and hold the same picture of so many. */
    static boolean isSettled(List<Held> held, int size) {
        return held.stream().allMatch(one -> one != null && one.phase().equals("in") && one.there() == size && one.digest().equals(held.get(0).digest()));
    }

    /** Waits until all of these hold the same picture of so many, and gives what they hold; null after {@code mostMs}. */
    List<Held> awaitSettled(Collection<Integer> some, int size, double mostMs) throws InterruptedException {
        double until = Group.now() + mostMs;
        for (;;) {
            List<Held> held = look(some);
            if (isSettled(held, size)) { return held; }
            if (Group.now() > until) { return null; }
            Thread.sleep(50);
        }
    }

    /** When the last of them came to hold what it holds, after a moment. */
    static double last(List<Held> held, double from) { return held == null ? -1 : held.stream().mapToDouble(Held::changedMs).max().orElse(from) - from; }

    static double first(List<Held> held, double from) { return held == null ? -1 : held.stream().mapToDouble(Held::changedMs).min().orElse(from) - from; }

    /** The counters of a process; empty where it does not answer. */
    Map<String, Long> counters(int i) {
        Map<String, Long> counters = new HashMap<>();
        String line;
        try {
            line = Asking.ask(text(group.listen(i)), ASK_MS, "INFO") instanceof Value.BulkString info ? info.text() : "";
        } catch (yardusher.error.YardusherError e) {
            return counters;
        }
        cells(line.strip()).forEach((name, value) -> {
            if (value.matches("-?[0-9]{1,18}")) { counters.put(name, Long.parseLong(value)); }
        });
        return counters;
    }

    long sum(Collection<Integer> some, String name) { return some.stream().mapToLong(i -> counters(i).getOrDefault(name, 0L)).sum(); }

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
        askers.shutdownNow();
        group.close();
    }
}

package yardusher.lab;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import yardusher.cli.RespClient;
import yardusher.error.WireError;
import yardusher.resp.MalformedRespException;
import yardusher.resp.Value;

/**
 * 3 to 100 real {@code serve} processes in one folder, with discovery, regions, terminals and relays between them. Use:
 * {@code try (Group group = new Group(folder, 5, seed)) { group.region("r0", "hall-a"); group.settings(i -> "[view]\n..."); group.start();}
 * {@code Terminals.Try got = group.terminals().send(0, group.terminals().get(17, 500, 0, 5)); group.kill(1); group.restart(1);}
 * {@code group.datagrams().way(0, 2).cut(true); ... group.regionHistory(); group.terminalHistory(); group.log(i);} are what a checker
 * reads. A second port for each process: {@code group.port(i, "view")}, and what others know it by: {@code group.relayed(i, "view")}.
 * Faults by seed: {@link Faults}; many seeds with a replay command: {@link Seeds}. Ends all it started, also when it is cut off.
 */
public final class Group implements AutoCloseable {
    private static final int READY_MS = 60_000;
    private final Path folder;
    private final int size;
    private final long seed;
    private final int number = Programs.nextGroup();
    private final Programs.Guard guard = new Programs.Guard();
    private final InetSocketAddress[] listens;
    private final InetSocketAddress[] admins;
    private final Process[] processes;
    private final Programs.Starved[] starved;
    private final Map<String, InetSocketAddress[]> ports = new LinkedHashMap<>();
    private final Map<String, InetSocketAddress[]> relayed = new LinkedHashMap<>();
    private final Map<String, DatagramRelay> relays = new LinkedHashMap<>();
    private final Discovery discovery;
    private final Map<String, Region> regions = new LinkedHashMap<>();
    private final Chronicle<Region.Event> regionHistory;
    private final Chronicle<Terminals.Try> terminalHistory;
    private final Chronicle<String> deeds;
    private final Terminals terminals;
    private IntFunction<String> settings = i -> null;
    private Edit edit = (i, json) -> json;
    private int heapMb = 24;
    private List<String> options = List.of();
    private IntFunction<Map<String, String>> environment = i -> Map.of();

    /** Changes the JSON of an ingress before it is written. */
    public interface Edit {
        String edit(int ingress, String json);
    }

    /** Nothing is started yet. */
    public Group(Path folder, int size, long seed) throws IOException {
        if (size < 1 || size > 100) { throw new IllegalArgumentException("1 to 100 processes, not " + size); }
        this.folder = Files.createDirectories(folder);
        this.size = size;
        this.seed = seed;
        listens = new InetSocketAddress[size];
        admins = new InetSocketAddress[size];
        processes = new Process[size];
        starved = new Programs.Starved[size];
        for (int i = 0; i < size; i++) {
            listens[i] = Programs.free(place(i));
            admins[i] = Programs.free(place(i));
        }
        discovery = new Discovery(place(200), size);
        regionHistory = new Chronicle<>(folder.resolve("regions.tsv"));
        terminalHistory = new Chronicle<>(folder.resolve("terminals.tsv"));
        deeds = new Chronicle<>(folder.resolve("deeds.txt"));
        terminals = new Terminals(List.of(listens), terminalHistory, seed);
        port(0, "peers");
    }

    private InetAddress place(int party) throws IOException { return Programs.place(number, party); }

    public Path folder() { return folder; }

    public int size() { return size; }

    public long seed() { return seed; }

    /** The text of each process's own settings file, null for none. Read at each start of it. */
    public Group settings(IntFunction<String> text) {
        settings = text;
        return this;
    }

    /** A last change to each process's configuration. Made at each start of it. */
    public Group configuration(Edit last) {
        edit = last;
        return this;
    }

    /** The most that a process's heap takes. */
    public Group heap(int mb) {
        heapMb = mb;
        return this;
    }

    /** More words for the virtual machine of each process. */
    public Group options(List<String> more) {
        options = more;
        return this;
    }

    /** More environment variables of each process. Read at each start of it. */
    public Group environment(IntFunction<Map<String, String>> variables) {
        environment = variables;
        return this;
    }

    /** A port of a process under a name of its own, for datagrams; the same for all its lives. */
    public synchronized InetSocketAddress port(int ingress, String name) {
        if (!ports.containsKey(name)) {
            try {
                DatagramRelay relay = new DatagramRelay(place(201), seed + name.hashCode());
                InetSocketAddress[] real = new InetSocketAddress[size];
                InetSocketAddress[] known = new InetSocketAddress[size];
                for (int i = 0; i < size; i++) {
                    real[i] = Programs.free(place(i));
                    known[i] = relay.join(real[i]);
                }
                ports.put(name, real);
                relayed.put(name, known);
                relays.put(name, relay);
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        }
        return ports.get(name)[ingress];
    }

    /** The address under which the others know that port: what is sent there passes the relay of that name. */
    public synchronized InetSocketAddress relayed(int ingress, String name) {
        port(ingress, name);
        return relayed.get(name)[ingress];
    }

    /** The relay of the ports of a name. */
    public synchronized DatagramRelay datagrams(String name) {
        port(0, name);
        return relays.get(name);
    }

    /** The relay between the peers' ports that the configuration names. */
    public DatagramRelay datagrams() { return datagrams("peers"); }

    /** All relays for datagrams there are. */
    public synchronized List<DatagramRelay> allDatagrams() { return List.copyOf(relays.values()); }

    public Discovery discovery() { return discovery; }

    public Terminals terminals() { return terminals; }

    /** Adds a region of that name to the list; before the start or after it. */
    public synchronized Region region(String name, String hall) throws IOException {
        int index = regions.size();
        Region region = new Region(name, Programs.free(place(202 + index % 40)), regionHistory, seed * 31 + index);
        regions.put(name, region);
        discovery.put(new Discovery.Entry("s-" + name, region.address(), hall, hall.charAt(hall.length() - 1) - 'a', "Ready", 1.0, 0));
        return region;
    }

    public synchronized Region region(String name) { return regions.get(name); }

    public synchronized List<Region> regions() { return List.copyOf(regions.values()); }

    /** A region's process ends, and comes back at once or later with {@link #restart(Region)}. */
    public void crash(Region region) {
        region.crash();
        deed("region " + region.name() + " crashed");
    }

    /** It starts again, and the list says when. */
    public void restart(Region region) {
        region.restart();
        discovery.put(discovery.entry("s-" + region.name()).since((long) Chronicle.now()));
        deed("region " + region.name() + " restarted");
    }

    /** Starts all and waits until each answers. */
    public void start() throws IOException, InterruptedException {
        for (int i = 0; i < size; i++) { launch(i); }
        for (int i = 0; i < size; i++) { awaitReady(i, READY_MS); }
    }

    /** Starts one, without waiting for it. Its output goes on in its log. */
    public synchronized void launch(int i) throws IOException {
        if (isAlive(i)) { return; }
        Files.writeString(config(i), json(i));
        List<String> command = Programs.command(heapMb);
        command.addAll(1, options);
        String own = settings.apply(i);
        if (own != null) { Files.writeString(folder.resolve("n" + i + ".toml"), own); }
        command.addAll(List.of("serve", config(i).toString(), "--limits", "none", "--settings", own == null ? "none" : folder.resolve("n" + i + ".toml").toString()));
        ProcessBuilder builder = new ProcessBuilder(command).redirectInput(new File("/dev/null")).redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log(i).toFile()));
        builder.environment().putAll(environment.apply(i));
        processes[i] = builder.start();
        guard.tell("own", processes[i].pid());
        deed("n" + i + " started pid=" + processes[i].pid());
    }

    private String json(int i) throws IOException {
        String template = new String(Group.class.getResourceAsStream("/ingress.json").readAllBytes(), java.nio.charset.StandardCharsets.UTF_8);
        StringBuilder peers = new StringBuilder();
        for (int j = 0; j < size; j++) { peers.append(j == 0 ? "" : ", ").append('"').append(Programs.text(relayed(j, "peers"))).append('"'); }
        String list = discovery.list();
        String json = template.replace("\"name\": \"n0\"", "\"name\": \"n" + i + "\"")
                .replace("\"listen\": \"127.0.0.1:0\"", "\"listen\": \"" + Programs.text(listens[i]) + "\",\n \"admin_addr\": \"" + Programs.text(admins[i]) + "\"")
                .replace("127.0.0.1:9\"", Programs.text(discovery.address(i)) + "\"")
                .replace("8c1f30d27a5be964", String.format("%016x", (seed * 1_000_003 + i) * 0x9e3779b97f4a7c15L))
                .replace("\"peer_listen\": \"127.0.0.1:0\"", "\"peer_listen\": \"" + Programs.text(port(i, "peers")) + "\"")
                .replaceAll("(?s)\"peers\": \\[.*?]", "\"peers\": [" + peers + "]")
                .replaceAll("\"peers_total\": [0-9]+", "\"peers_total\": " + size)
                .replace("\"me\": 0", "\"me\": " + i)
                .replace("\"zone\": 0", "\"zone\": " + i % 3)
                .replaceAll("(?s)\"known\": \\{.*?},", "\"known\": " + java.util.regex.Matcher.quoteReplacement(list) + ",");
        return edit.edit(i, json);
    }

    public Path config(int i) { return folder.resolve("n" + i + ".json"); }

    /** What a process has said, over all its lives. */
    public Path log(int i) { return folder.resolve("n" + i + ".log"); }

    public InetSocketAddress listen(int i) { return listens[i]; }

    /** Its second address. */
    public InetSocketAddress admin(int i) { return admins[i]; }

    public void awaitReady(int i, long ms) throws InterruptedException {
        double until = Chronicle.now() + ms;
        while (!isReady(i)) {
            if (Chronicle.now() > until || !isAlive(i)) { throw new IllegalStateException("n" + i + " is not ready; see " + log(i)); }
            Thread.sleep(20);
        }
    }

    private boolean isReady(int i) {
        try (Terminals.Connection connection = terminals.connect(i)) {
            return connection.ask(1000, "PING") instanceof Value.SimpleString;
        } catch (IOException | MalformedRespException e) {
            return false;
        }
    }

    /** Asks its second address; an error is given as its text behind a '-'. Null where it does not answer. */
    public String ask(int i, int withinMs, String... words) {
        try {
            Value answer = RespClient.call(Programs.text(admins[i]), withinMs, words);
            return answer instanceof Value.BulkString bulk ? bulk.text() : answer instanceof Value.ErrorReply no ? "-" + no.text() : String.valueOf(answer);
        } catch (WireError e) {
            return null;
        }
    }

    public synchronized boolean isAlive(int i) { return processes[i] != null && processes[i].isAlive(); }

    public synchronized ProcessHandle process(int i) { return processes[i].toHandle(); }

    /** SIGKILL, and its end. */
    public void kill(int i) throws InterruptedException { end(i, "-KILL", 10_000); }

    /** SIGTERM, and its end; after so long SIGKILL. */
    public void terminate(int i, long patienceMs) throws InterruptedException { end(i, "-TERM", patienceMs); }

    /** Sends a signal and does not wait. */
    public void signal(int i, String signal) {
        if (!isAlive(i)) { return; }
        guard.tell(signal, processes[i].pid());
        deed("n" + i + " signal " + signal);
    }

    private void end(int i, String signal, long patienceMs) throws InterruptedException {
        if (!isAlive(i)) { return; }
        feed(i);
        signal(i, signal);
        if (!processes[i].waitFor(patienceMs, TimeUnit.MILLISECONDS)) {
            signal(i, "-KILL");
            processes[i].waitFor();
        }
        guard.tell("forget", processes[i].pid());
        deed("n" + i + " ended");
    }

    /** SIGSTOP. */
    public void pause(int i) { signal(i, "-STOP"); }

    /** SIGCONT. */
    public void resume(int i) { signal(i, "-CONT"); }

    /** Lets it run for this share of each 100 ms only, until it is fed. */
    public synchronized void starve(int i, double share) throws IOException {
        feed(i);
        if (isAlive(i)) { starved[i] = new Programs.Starved(processes[i].pid(), share, 100); }
        deed("n" + i + " starved to " + share);
    }

    public synchronized void feed(int i) {
        if (starved[i] == null) { return; }
        starved[i].close();
        starved[i] = null;
        deed("n" + i + " fed");
    }

    /** Starts it again, from nothing, and waits until it answers. */
    public void restart(int i) throws IOException, InterruptedException {
        launch(i);
        awaitReady(i, READY_MS);
    }

    /** Writes down what was done, for who reads the folder. */
    public void deed(String what) { deeds.add(String.format("%.3f %s", Chronicle.now(), what)); }

    public List<Region.Event> regionHistory() { return regionHistory.all(); }

    public List<Terminals.Try> terminalHistory() { return terminalHistory.all(); }

    /** Unix time in ms, as the histories have it. */
    public static double now() { return Chronicle.now(); }

    /** Ends everything that was started here. */
    @Override
    public void close() throws IOException {
        for (int i = 0; i < size; i++) { feed(i); }
        terminals.close();
        guard.close();
        for (Process process : processes) {
            if (process != null) { process.onExit().join(); }
        }
        discovery.close();
        for (Region region : regions()) { region.close(); }
        for (DatagramRelay relay : allDatagrams()) { relay.close(); }
        regionHistory.close();
        terminalHistory.close();
        deeds.close();
    }
}

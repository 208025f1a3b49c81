package yardusher.lab.fleet;

import java.io.Closeable;
import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import yardusher.cli.RespClient;
import yardusher.error.WireError;
import yardusher.lab.Chronicle;
import yardusher.lab.Discovery;
import yardusher.lab.Programs;
import yardusher.lab.Region;
import yardusher.lab.Relay;
import yardusher.lab.Terminals;
import yardusher.resp.Value;

/**
 * An installation of real processes: agents with instances, each agent on a loopback address of its own and every link
 * between two agents through a {@link Relay}. A process's output goes to a file that its restarts append to. Ends every
 * process that it has started.
 */
public final class Installation implements AutoCloseable {
    private static final String NAME = "lab";

    /** Values for the agents' table {@code fleet} that a test may choose. */
    public record Tuning(int leaseMs, int heartbeatMs, int patienceMs) {
        public static final Tuning DEFAULT = new Tuning(1500, 200, 30_000);
    }

    private final Path folder;
    private final int agents;
    private final int instances;
    private final Tuning tuning;
    private final InetSocketAddress[] controls;
    private final Process[] processes;
    private final Map<List<Integer>, Relay> relays = new LinkedHashMap<>();
    private final int number = Programs.nextGroup();
    private final List<InetSocketAddress> addresses = new ArrayList<>(); // of the instances, in the order of the agents
    private final Plant plant;
    private final Set<Integer> pipedAgents = new HashSet<>();
    private final Discovery discovery;
    private final List<Region> regions = new ArrayList<>();
    private final Chronicle<Region.Event> regionHistory;
    private final Chronicle<Terminals.Try> terminalHistory;
    private final Terminals terminals;
    private final Thread shutdownHook = new Thread(this::end);

    /** {@code instances}: per agent. */
    public Installation(Path folder, int agents, int instances, Tuning tuning) throws IOException {
        this(folder, agents, instances, tuning, null);
    }

    /** The same with a faulty agent program, or null. Every instance knows three stand-in regions. */
    public Installation(Path folder, int agents, int instances, Tuning tuning, Plant plant) throws IOException {
        this.plant = plant;
        this.folder = folder;
        this.agents = agents;
        this.instances = instances;
        this.tuning = tuning;
        controls = new InetSocketAddress[agents];
        processes = new Process[agents];
        Files.createDirectories(folder);
        for (int i = 0; i < agents; i++) { controls[i] = free(i); }
        for (int i = 0; i < agents; i++) {
            for (int j = 0; j < agents; j++) {
                if (i != j) { relays.put(List.of(i, j), new Relay(controls[i].getAddress(), controls[j])); }
            }
        }
        regionHistory = new Chronicle<>(folder.resolve("regions.tsv"));
        terminalHistory = new Chronicle<>(folder.resolve("terminals.tsv"));
        discovery = new Discovery(Programs.place(number, 200), agents * instances);
        for (int i = 0; i < 3; i++) {
            Region region = new Region("r" + i, Programs.free(Programs.place(number, 202 + i)), regionHistory, i).takes(1, 8);
            regions.add(region);
            discovery.put(new Discovery.Entry("s-0000000" + (i + 1), region.address(), "hall-" + "abc".charAt(i), i, "Ready", 1.0, 0));
        }
        for (int i = 0; i < agents; i++) { write(i); }
        terminals = new Terminals(addresses, terminalHistory, number);
        Runtime.getRuntime().addShutdownHook(shutdownHook); // an interrupted run leaves no process behind either
    }

    private InetSocketAddress free(int machine) throws IOException { return Programs.free(Programs.place(number, machine)); }

    private static String text(InetSocketAddress at) { return Programs.text(at); }

    private void write(int i) throws IOException {
        StringBuilder out = new StringBuilder("control = \"" + text(controls[i]) + "\"\nstop_ms = 8000\ncommand = [");
        for (String word : Programs.command(24)) { out.append('\'').append(word).append("', "); }
        out.setLength(out.length() - 2);
        out.append("]\n\n[fleet]\ninstallation = \"" + NAME + "\"\nmember = \"a" + i + "\"\nfolder = '" + folder.resolve("a" + i)
                + "'\nlease_ms = " + tuning.leaseMs() + "\nheartbeat_ms = " + tuning.heartbeatMs() + "\npatience_ms = " + tuning.patienceMs() + "\n");
        for (int j = 0; j < agents; j++) {
            out.append("[[fleet.members]]\nname = \"a" + j + "\"\naddress = \"" + text(i == j ? controls[i] : relay(i, j).address()) + "\"\n");
        }
        Path settings = folder.resolve("settings.toml");
        Files.writeString(settings, "[fleet]\norders = true\n");
        String template = new String(Installation.class.getResourceAsStream("/ingress.json").readAllBytes(), java.nio.charset.StandardCharsets.UTF_8);
        for (int k = 0; k < instances; k++) {
            String name = "n" + i + "x" + k;
            InetSocketAddress listen = free(i);
            addresses.add(listen);
            Path config = folder.resolve(name + ".json");
            Files.writeString(config, template.replace("\"name\": \"n0\"", "\"name\": \"" + name + "\"")
                    .replace("\"listen\": \"127.0.0.1:0\"", "\"listen\": \"" + text(listen) + "\",\n \"admin_addr\": \"" + text(free(i)) + "\"")
                    .replace("127.0.0.1:9\"", text(discovery.address(i * instances + k)) + "\"")
                    .replaceAll("(?s)\"known\": \\{.*?},", "\"known\": " + java.util.regex.Matcher.quoteReplacement(discovery.list()) + ","));
            out.append("[[instance]]\nname = \"" + name + "\"\naddress = \"" + text(listen) + "\"\nconfig = '" + config + "'\nsettings = '" + settings + "'\n");
        }
        Files.writeString(file(i), out);
    }

    private static List<String> command() { return Programs.command(48); }

    /** An agent's configuration file. */
    public Path file(int agent) { return folder.resolve("a" + agent + ".toml"); }

    /** The output of an agent and its instances, over all their lives. */
    public Path log(int agent) { return folder.resolve("a" + agent + ".log"); }

    /** The relay from one agent to another. */
    public Relay relay(int from, int to) { return relays.get(List.of(from, to)); }

    public int agents() { return agents; }

    public int instances() { return instances; }

    public Path folder() { return folder; }

    /** Creates each member's store; called once. */
    public void init() throws IOException, InterruptedException {
        List<Process> all = new ArrayList<>();
        for (int i = 0; i < agents; i++) {
            List<String> command = command();
            command.addAll(List.of("fleet", "init", file(i).toString()));
            all.add(new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.DISCARD).start());
        }
        for (Process one : all) { one.waitFor(); }
    }

    /** Terminals that use the instances as ingresses, in the order of the agents. */
    public Terminals terminals() { return terminals; }

    public List<Region.Event> regionHistory() { return regionHistory.all(); }

    public List<Terminals.Try> terminalHistory() { return terminalHistory.all(); }

    /** Runs a sub-command and returns its exit status and output. */
    public String run(int agent, String... words) throws IOException, InterruptedException {
        List<String> command = command();
        command.addAll(List.of(words));
        Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
        String said = new String(process.getInputStream().readAllBytes(), java.nio.charset.StandardCharsets.UTF_8);
        return process.waitFor() + " " + said;
    }

    public void start(int agent) throws IOException {
        List<String> command = new ArrayList<>();
        // A file size limit on the agent would also limit its log, so a separate process writes it.
        if (pipedAgents.contains(agent)) { command.addAll(List.of("bash", "-c", "exec \"$@\" > >(exec cat >> '" + log(agent) + "') 2>&1", "bash")); }
        command.addAll(plant == null ? command() : plant.command(48));
        command.addAll(List.of("agent", "start", file(agent).toString()));
        processes[agent] = new ProcessBuilder(command).redirectInput(new File("/dev/null")).redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log(agent).toFile())).start();
    }

    /** From its next start on, the agent's files can be kept from growing by {@link #setDiskFull}. */
    public void allowDiskFull(int agent) { pipedAgents.add(agent); }

    /**
     * Keeps all files of an agent prepared by {@link #allowDiskFull} from growing, as on a full disk, or lifts the
     * limit. Its processes see "File too large" instead of "No space left on device", because a disk with a quota is
     * not available here.
     */
    public void setDiskFull(int agent, boolean yes) throws IOException, InterruptedException {
        String limit = yes ? "--fsize=0:unlimited" : "--fsize=unlimited:unlimited";
        int status = new ProcessBuilder("prlimit", "--pid", Long.toString(processes[agent].pid()), limit).inheritIO().start().waitFor();
        if (status != 0) { throw new IOException("prlimit ended with " + status); }
    }

    /** Starts one more agent from a file. Its output is dropped; the caller must end it. */
    public ProcessHandle agent(Path file) throws IOException {
        List<String> command = command();
        command.addAll(List.of("agent", "start", file.toString()));
        return new ProcessBuilder(command).redirectInput(new File("/dev/null")).redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD).start().toHandle();
    }

    public ProcessHandle process(int agent) { return processes[agent].toHandle(); }

    public boolean isAlive(int agent) { return processes[agent] != null && processes[agent].isAlive(); }

    public void kill(int agent) throws InterruptedException {
        if (processes[agent] == null) { return; }
        processes[agent].destroyForcibly();
        processes[agent].waitFor(10, TimeUnit.SECONDS);
    }

    /** Sends SIGTERM and waits for the end. */
    public void stop(int agent) throws InterruptedException {
        processes[agent].destroy();
        processes[agent].waitFor(20, TimeUnit.SECONDS);
    }

    public void pause(int agent) throws IOException, InterruptedException { signal(agent, "-STOP"); }

    public void resume(int agent) throws IOException, InterruptedException { signal(agent, "-CONT"); }

    private void signal(int agent, String signal) throws IOException, InterruptedException {
        if (isAlive(agent)) { new ProcessBuilder("kill", signal, Long.toString(processes[agent].pid())).start().waitFor(); }
    }

    /**
     * Sends a command to an agent's control address. An error is returned as its text after a '-'; null if there is no
     * answer.
     */
    public String ask(int agent, int withinMs, String... words) {
        try {
            Value answer = RespClient.call(text(controls[agent]), withinMs, words);
            return answer instanceof Value.BulkString bulk ? bulk.text() : answer instanceof Value.ErrorReply no ? "-" + no.text()
                    : answer instanceof Value.ArrayValue many ? many.items().stream().map(one -> ((Value.BulkString) one).text())
                            .reduce("", (a, b) -> a + b + "\n") : answer.toString();
        } catch (WireError e) {
            return null;
        }
    }

    /** Sends an operator's command with its id. */
    public String order(int agent, String id, String... words) {
        List<String> all = new ArrayList<>(List.of("FLEET.ASK", NAME, id, "lab"));
        all.addAll(List.of(words));
        return ask(agent, 30_000, all.toArray(new String[0]));
    }

    /** An agent's report on the register, or null. */
    public String report(int agent) { return ask(agent, 4000, "FLEET.READ", NAME); }

    /** A cell of a work's line in a report; empty if there is none. */
    public static String cell(String report, String kind, String name) {
        if (report == null) { return ""; }
        for (String line : report.split("\n")) {
            if (!line.startsWith("work\tkind=" + kind + "\t")) { continue; }
            for (String cell : line.split("\t")) {
                if (cell.startsWith(name + "=")) { return cell.substring(name.length() + 1); }
            }
        }
        return "";
    }

    /** The leader of the register as an agent knows it; -1 if unknown. */
    public int leader(int agent) {
        String report = report(agent);
        if (report == null || !report.contains("\tleader=a")) { return -1; }
        return Integer.parseInt(report.replaceAll("(?s).*?\tleader=a([0-9]+)\t.*", "$1"));
    }

    /** The holder of a work; -1 for none. */
    public int holder(int asked, String kind) {
        String holder = cell(report(asked), kind, "holder");
        return holder.startsWith("a") ? Integer.parseInt(holder.substring(1)) : -1;
    }

    public List<History.Event> history() throws IOException {
        List<History.Event> all = new ArrayList<>();
        for (int i = 0; i < agents; i++) { all.addAll(History.read(log(i), "a" + i)); }
        all.sort(Comparator.comparingLong(History.Event::atMs));
        return all;
    }

    /** Ends the agents and the instances that they left running. */
    @Override
    public void close() {
        end();
        try {
            Runtime.getRuntime().removeShutdownHook(shutdownHook);
        } catch (IllegalStateException e) { /* called from the shutdown hook */ }
    }

    private void end() {
        for (int i = 0; i < agents; i++) {
            if (processes[i] != null) { processes[i].destroyForcibly(); }
        }
        for (int i = 0; i < agents; i++) {
            if (processes[i] != null) { processes[i].onExit().join(); }
        }
        List<History.Event> all;
        try {
            all = history();
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
        for (History.Event event : all) {
            if (event.what().startsWith("started pid=")) {
                long pid = Long.parseLong(event.what().replaceAll("started pid=([0-9]+).*", "$1"));
                ProcessHandle.of(pid).filter(one -> one.info().commandLine().orElse("").contains(folder.toString()))
                        .ifPresent(ProcessHandle::destroyForcibly);
            }
        }
        List<Closeable> rest = new ArrayList<>(relays.values());
        rest.addAll(regions);
        rest.addAll(List.of(terminals, discovery, regionHistory, terminalHistory));
        for (Closeable one : rest) {
            try {
                one.close();
            } catch (IOException e) { /* nothing more to release */ }
        }
    }
}

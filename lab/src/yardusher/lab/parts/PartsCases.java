package yardusher.lab.parts;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import yardusher.lab.Chronicle;
import yardusher.lab.DatagramRelay;
import yardusher.lab.Group;
import yardusher.lab.Programs;
import yardusher.lab.Region;
import yardusher.lab.Seeds;
import yardusher.lab.Terminals;

/** The hard cases of divided connections, each by real processes and by itself; what is found is a line for each breach. */
public final class PartsCases {
    /** Which. */
    public enum Case { STOPPED, LOWERED, COLD, ROLL, UPGRADE, CUT, MANY, KILLED, FROZEN }

    private static final String REGION = "00000000";
    private static final int LOWERED_LIMIT_MS = 5000;      // by then a lowered number holds, where all are told and nobody is away

    private PartsCases() { }

    /** {@code FOLDER CASE PROCESSES NUMBER MS}. */
    public static void main(String[] args) throws Exception {
        StringBuilder note = new StringBuilder();
        Path folder = Path.of(args[0]).resolve(args[1].toLowerCase(java.util.Locale.ROOT));
        if (Files.exists(folder)) { Seeds.delete(folder); }
        List<String> found = play(Files.createDirectories(folder), Case.valueOf(args[1]), Integer.parseInt(args[2]), Integer.parseInt(args[3]), Long.parseLong(args[4]), note);
        System.out.println(args[1] + " n=" + args[2] + " number=" + args[3] + ": " + note + (found.isEmpty() ? ", no breach" : ", BREACH " + found));
        System.exit(found.isEmpty() ? 0 : 1);
    }

    /** Plays a case whose trouble lasts so long. */
    public static List<String> play(Path folder, Case scenario, int processes, int limit, long durationMs, StringBuilder note) throws Exception {
        List<String> found = new ArrayList<>();
        try (Group group = new Group(folder, processes, 11)) {
            Region region = group.region(REGION, "hall-a").takes(15, 25);
            String extra = scenario == Case.COLD ? "cold_percent = 50\n" : "";
            group.settings(i -> PartsRun.settings(group, i, limit, extra));
            group.start();
            awaitSettled(group);
            switch (scenario) {
                case STOPPED -> {
                    try (TerminalLoad hot = new TerminalLoad(group, 2 * limit, 30, 0)) { await(() -> allowance(group, 0) >= limit - processes, 8000); }
                    int keptUnits = allowance(group, 0);
                    group.pause(0);
                    try (TerminalLoad others = new TerminalLoad(group, 2 * limit, 30, 1)) {
                        Thread.sleep(durationMs);
                        note.append("stopped with ").append(keptUnits).append(" of ").append(limit).append(", the other had ").append(allowance(group, 1)).append(" after ").append(durationMs).append(" ms, ");
                        group.resume(0);
                        double startedAtMs = Chronicle.now();
                        await(() -> allowance(group, 1) >= limit - processes, 8000);
                        note.append(allowance(group, 1)).append(" ").append(Math.round(Chronicle.now() - startedAtMs)).append(" ms after it woke");
                    }
                }
                case LOWERED -> {
                    try (TerminalLoad all = new TerminalLoad(group, 2 * limit, 30, -1)) {
                        await(() -> region.open() > limit / 2, 8000);
                        double startedAtMs = Chronicle.now();
                        for (int i = 0; i < processes; i++) {
                            Files.writeString(folder.resolve("n" + i + ".toml"), PartsRun.settings(group, i, limit / 2, extra));
                            group.signal(i, "-HUP");
                        }
                        Thread.sleep(LOWERED_LIMIT_MS);
                        double loweredByMs = Chronicle.now();
                        double lastAboveAtMs = group.regionHistory().stream().filter(one -> one.open() > limit / 2).mapToDouble(Region.Event::atMs).max().orElse(startedAtMs);
                        note.append("from ").append(limit).append(" to ").append(limit / 2).append(" in ").append(Math.round(lastAboveAtMs - startedAtMs)).append(" ms under load");
                        Thread.sleep(durationMs);
                        group.regionHistory().stream().filter(one -> one.what().equals("open") && one.atMs() > loweredByMs && one.open() > limit / 2).limit(3)
                                .forEach(one -> found.add("above the lowered number: " + one));
                    }
                }
                case COLD -> {
                    try (TerminalLoad all = new TerminalLoad(group, 2 * limit, 30, -1)) {
                        await(() -> region.open() > limit / 2, 8000);
                        group.crash(region);
                        Thread.sleep(300);
                        group.restart(region);
                        double startedAtMs = Chronicle.now() + 3000; // by then the list has been told
                        Thread.sleep(3000 + durationMs);
                        note.append("most open while cold ").append(group.regionHistory().stream().filter(one -> one.atMs() > startedAtMs).mapToInt(Region.Event::open).max().orElse(0));
                        group.regionHistory().stream().filter(one -> one.what().equals("open") && one.atMs() > startedAtMs && one.open() > limit / 2).limit(3)
                                .forEach(one -> found.add("above the cold number: " + one));
                    }
                }
                case ROLL -> {
                    double longestMs = 0;
                    try (TerminalLoad all = new TerminalLoad(group, limit, 30, -1)) {
                        for (int i = 0; i < processes; i++) {
                            int one = i;
                            group.terminate(i, 10_000);
                            double startedAtMs = Chronicle.now();
                            group.launch(i);
                            group.awaitReady(i, 30_000);
                            await(() -> allowance(group, one) > 0, 10_000);
                            longestMs = Math.max(longestMs, Chronicle.now() - startedAtMs);
                        }
                    }
                    note.append("longest from start to a part ").append(Math.round(longestMs)).append(" ms");
                }
                case UPGRADE -> upgrade(group, limit, durationMs, note, found);
                case CUT -> {
                    setPartitioned(group, true);
                    try (TerminalLoad left = new TerminalLoad(group, limit, 30, 0); TerminalLoad right = new TerminalLoad(group, limit, 30, processes - 1)) {
                        Thread.sleep(durationMs);
                        note.append("cut: ").append(allowance(group, 0)).append(" and ").append(allowance(group, processes - 1));
                        setPartitioned(group, false);
                        double startedAtMs = Chronicle.now();
                        await(() -> allowance(group, 0) + allowance(group, processes - 1) >= limit - processes, 8000);
                        note.append(", healed: ").append(allowance(group, 0)).append(" and ").append(allowance(group, processes - 1)).append(" after ").append(Math.round(Chronicle.now() - startedAtMs)).append(" ms");
                    }
                }
                case MANY -> {
                    try (TerminalLoad all = new TerminalLoad(group, 2 * processes, 30, -1)) { Thread.sleep(durationMs); }
                    long served = java.util.stream.IntStream.range(0, processes).filter(i -> group.terminalHistory().stream()
                            .anyMatch(one -> one.ingress() == i && one.end() == Terminals.End.SERVED)).count();
                    note.append(served).append(" of ").append(processes).append(" ingresses served something");
                    if (served < processes) { found.add(processes - served + " ingresses starved"); }
                }
                case KILLED -> {
                    int kills = 0;
                    double untilMs = Chronicle.now() + durationMs;
                    try (TerminalLoad all = new TerminalLoad(group, 2 * limit, 40, -1)) {
                        for (Random random = new Random(3); Chronicle.now() < untilMs; kills++) {
                            int hot = kills % processes;
                            try (TerminalLoad stroke = new TerminalLoad(group, 2 * limit, 20, (hot + 1) % processes)) {
                                Thread.sleep(100 + random.nextInt(300));
                                group.kill(hot);     // while it gives
                                Thread.sleep(50);
                            }
                            if (random.nextBoolean()) { Files.deleteIfExists(PartsRun.claimFile(group, hot)); }
                            group.launch(hot);
                            group.awaitReady(hot, 30_000);
                        }
                    }
                    note.append(kills).append(" givers killed");
                }
                case FROZEN -> {                     // what is given up there is not free until it has closed
                    try (TerminalLoad all = new TerminalLoad(group, 2 * limit, 30, -1)) {
                        for (int i = 0; i < 3; i++) {
                            Thread.sleep(500);
                            region.freeze(true);
                            Thread.sleep(durationMs);
                            region.freeze(false);
                        }
                        Thread.sleep(500);
                    }
                    note.append("3 times frozen for ").append(durationMs).append(" ms");
                }
                default -> { }
            }
            note.append(", ");
            found.addAll(PartsRun.check(group, limit, note));
        }
        return found;
    }

    /** The next version of one takes over from it under load. The environment of this program has to name a TMPDIR, by which they find each other. */
    private static void upgrade(Group group, int limit, long durationMs, StringBuilder note, List<String> found) throws Exception {
        if (System.getenv("TMPDIR") == null) { throw new IllegalStateException("no TMPDIR in the environment"); }
        Path log = group.folder().resolve("next.log");
        List<String> command = Programs.command(24);
        command.addAll(List.of("serve", group.config(0).toString(), "--limits", "none", "--settings", group.folder().resolve("n0.toml").toString()));
        ProcessBuilder builder = new ProcessBuilder(command).redirectInput(new java.io.File("/dev/null")).redirectErrorStream(true).redirectOutput(log.toFile());
        java.net.InetSocketAddress admin = Programs.free(Programs.place(Programs.nextGroup(), 1));
        builder.environment().put("RELAY_ADMIN_ADDR", Programs.text(admin));
        Process next = null;
        try (TerminalLoad all = new TerminalLoad(group, 2 * limit, 30, -1)) {
            Thread.sleep(1000);
            double startedAtMs = Chronicle.now();
            next = builder.start();
            await(() -> Files.readString(log).contains(" serves at"), 15_000);
            Thread.sleep(durationMs);
            double terminatedAtMs = Chronicle.now();
            note.append("both: ").append(describeServed(group, startedAtMs, terminatedAtMs)).append(", ");
            group.terminate(0, 12_000);
            Thread.sleep(1500 + durationMs);
            note.append("old one ended: ").append(describeServed(group, terminatedAtMs, Chronicle.now())).append(", ");
            if (!Files.readString(log).contains(" serves at")) { found.add("the next version does not serve"); }
        } finally {
            if (next != null) {
                next.destroyForcibly();
                next.waitFor();
                group.launch(0);
                group.awaitReady(0, 30_000);
            }
        }
    }

    /** Of what was sent to the first ingress in a time: served of all. */
    private static String describeServed(Group group, double fromMs, double untilMs) {
        List<Terminals.Try> attempts = group.terminalHistory().stream().filter(one -> one.ingress() == 0 && one.sentMs() > fromMs && one.sentMs() < untilMs).toList();
        return attempts.stream().filter(one -> one.end() == Terminals.End.SERVED).count() + " served and " + attempts.stream().filter(one -> one.end() == Terminals.End.LOST
                || one.end() == Terminals.End.SILENT || one.end() == Terminals.End.UNSENT).count() + " lost of " + attempts.size() + " at n0";
    }

    private static void setPartitioned(Group group, boolean isCut) {
        DatagramRelay relay = group.datagrams("mesh");
        for (int i = 0; i < group.size(); i++) {
            for (int j = 0; j < group.size(); j++) {
                if (i < group.size() / 2 != j < group.size() / 2) { relay.way(i, j).cut(isCut); }
            }
        }
    }

    /** Waits until each knows what its earlier lives lent. */
    static void awaitSettled(Group group) throws InterruptedException {
        for (int i = 0; i < group.size(); i++) {
            int index = i;
            await(() -> String.valueOf(PartsRun.call(group, index, "parts", 1000)).contains("unsettled=0"), 30_000);
        }
    }

    /** How many connections a process may have open now. */
    static int allowance(Group group, int i) {
        String report = PartsRun.call(group, i, "parts", 1000);
        int allowance = 0;
        for (String cell : report == null ? new String[0] : report.split("[\t\n]")) { allowance += cell.startsWith("may=") ? Integer.parseInt(cell.substring(4)) : 0; }
        return allowance;
    }

    private interface Condition {
        boolean isMet() throws IOException;
    }

    private static void await(Condition condition, long timeoutMs) throws InterruptedException {
        for (double untilMs = Chronicle.now() + timeoutMs; Chronicle.now() < untilMs;) {
            try {
                if (condition.isMet()) { return; }
            } catch (IOException e) { /* not yet */ }
            Thread.sleep(20);
        }
    }

    /** Terminals that each have one transaction out after another, at one ingress or, with -1, at any. */
    static final class TerminalLoad implements AutoCloseable {
        private final List<Thread> threads = new ArrayList<>();
        private volatile boolean isClosed;

        TerminalLoad(Group group, int terminals, int pauseMs, int target) {
            for (int i = 0; i < terminals; i++) {
                int me = i;
                Thread thread = new Thread(() -> {
                    Random random = new Random(me);
                    for (long number = 0; !isClosed; number++) {
                        int to = target >= 0 ? target : random.nextInt(group.size());
                        Terminals.Try got = group.terminals().send(to, group.terminals().get(1000 + me * 200L + number % 200, 1000, to, 1));
                        try {
                            Thread.sleep(got.end() == Terminals.End.SERVED ? random.nextInt(pauseMs) : pauseMs + random.nextInt(pauseMs));
                        } catch (InterruptedException e) {
                            return;
                        }
                    }
                }, "terminal " + i);
                thread.setDaemon(true);
                threads.add(thread);
                thread.start();
            }
        }

        @Override
        public void close() throws InterruptedException {
            isClosed = true;
            for (Thread thread : threads) { thread.join(); }
        }
    }
}

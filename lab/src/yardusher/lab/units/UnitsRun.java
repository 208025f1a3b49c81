package yardusher.lab.units;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import yardusher.lab.Chronicle;
import yardusher.lab.Faults;
import yardusher.lab.Group;
import yardusher.lab.Programs;
import yardusher.lab.Region;
import yardusher.lab.Seeds;
import yardusher.lab.Terminals;

/**
 * Units of work at real processes of mixed modes, with relays between them, stand-in regions in three halls and terminals of
 * all kinds, under faults by seed: every line of the ingresses' traces, the regions' and the terminals' histories is held
 * against {@link UnitsChecker}.
 */
public final class UnitsRun {
    private static final double CLOCK_SKEW_MS = 8;        // clocks of processes of one machine, and a log line's way
    private static final double MIN_STALL_MS = 45;
    private static final String[] MODES = {"session", "unit", "single"};
    private static final Pattern KEY_VALUE = Pattern.compile("([a-z]+)=(\\S+)");

    private final Group group;
    private final long seed;
    private final AtomicInteger completedUnits = new AtomicInteger();
    private final AtomicInteger startedUnits = new AtomicInteger();
    private final List<double[]> stalls = java.util.Collections.synchronizedList(new ArrayList<>()); // when the machine had no time for this program
    private volatile boolean stopped;

    private UnitsRun(Group group, long seed) {
        this.group = group;
        this.seed = seed;
    }

    /** {@code FOLDER FIRST COUNT [PROCESSES [MS [kills]]]}: traffic with faults for so long, then calm. With kills: one each 10 s, nothing else. */
    public static void main(String[] args) throws Exception {
        int processes = args.length > 3 ? Integer.parseInt(args[3]) : 3;
        long ms = args.length > 4 ? Long.parseLong(args[4]) : 4000;
        boolean kills = args.length > 5 && args[5].equals("kills");
        System.exit(Seeds.run(UnitsRun.class, args, (folder, seed, note) -> play(folder, seed, processes, ms, kills, note)) == 0 ? 0 : 1);
    }

    /** The settings of one ingress. */
    static String settings(Group group, int i, String mode, String moreUnitSettings) {
        StringBuilder seeds = new StringBuilder();
        for (int j = 0; j < Math.min(3, group.size()); j++) { seeds.append(j == 0 ? "" : ", ").append('"').append(Programs.text(group.relayed(j, "view"))).append('"'); }
        return "[view]\nlisten = \"" + Programs.text(group.port(i, "view")) + "\"\nadvertise = \"" + Programs.text(group.relayed(i, "view"))
                + "\"\ninstallation = \"lab\"\nseeds = [" + seeds + "]\n[units]\n" + moreUnitSettings + "[[units.mode]]\nplan = \"groot\"\nmode = \"" + mode + "\"\n";
    }

    public static List<String> play(Path folder, long seed, int processes, long ms, boolean kills, StringBuilder note) throws Exception {
        try (Group group = new Group(folder, processes, seed)) {
            for (int i = 0; i < 6; i++) { group.region("b" + i, "hall-" + "abc".charAt(i / 2)).takes(1, i == 1 ? 60 : 8); }
            group.settings(i -> settings(group, i, MODES[(int) ((i + seed) % 3)], "trace = true\nidle_ms = 2000\nsettle_ms = 400\nask_ms = 200\nhand_over_ms = 400\n"));
            group.heap(48);
            group.start();
            UnitsRun run = new UnitsRun(group, seed);
            Set<Integer> disturbed = new HashSet<>();
            List<Thread> threads = new ArrayList<>();
            threads.add(new Thread(run::recordStalls, "watch"));
            threads.get(0).start();
            Thread.sleep(600);                       // the view settles
            for (int i = 0; i < 8; i++) {
                int me = i;
                Thread thread = new Thread(() -> run.runTerminal(me), "terminal " + i);
                thread.setDaemon(true);
                thread.start();
                threads.add(thread);
            }
            if (kills) {
                Random random = new Random(seed);
                for (double until = Chronicle.now() + ms; Chronicle.now() < until;) {
                    int one = random.nextInt(processes);
                    disturbed.add(one);
                    Thread.sleep(5000);
                    group.kill(one);
                    Thread.sleep(200);
                    group.launch(one);
                    Thread.sleep(4800);
                }
            } else {
                Faults faults = new Faults(group, seed, EnumSet.of(Faults.Kind.KILL, Faults.Kind.TERM, Faults.Kind.PAUSE, Faults.Kind.REGION, Faults.Kind.CUT_ONE,
                        Faults.Kind.CUT_ONE_WAY, Faults.Kind.SPLIT, Faults.Kind.LOSS, Faults.Kind.MESS), 3 + processes, ms, ms / 20, ms / 4);
                for (Faults.Fault fault : faults.schedule()) {
                    if (Set.of(Faults.Kind.KILL, Faults.Kind.TERM, Faults.Kind.PAUSE).contains(fault.kind())) { disturbed.addAll(fault.at()); }
                }
                try {
                    faults.play();
                } catch (IllegalStateException e) {  // one that does not answer says where it stands
                    for (int i = 0; i < processes; i++) {
                        if (group.isAlive(i)) {
                            new ProcessBuilder("jstack", Long.toString(group.process(i).pid())).redirectErrorStream(true)
                                    .redirectOutput(folder.resolve("n" + i + ".stacks").toFile()).start().waitFor();
                        }
                    }
                    throw e;
                }
            }
            run.stopped = true;
            for (Thread thread : threads) { thread.join(); }
            Thread.sleep(4500);                      // longer than idle_ms and settle_ms
            return run.check(disturbed, note);
        }
    }

    /** Sees when a thread that asks for little gets nothing: what is late then says nothing of an ingress. */
    private void recordStalls() {
        try {
            for (double before = Chronicle.now(); !stopped;) {
                Thread.sleep(5);
                double now = Chronicle.now();
                if (now - before > MIN_STALL_MS) { stalls.add(new double[] {before, now}); }
                before = now;
            }
        } catch (InterruptedException e) { /* told to stop */ }
    }

    private boolean stalled(Terminals.Try one) {
        synchronized (stalls) {
            return stalls.stream().anyMatch(gap -> gap[0] < one.answeredMs() && gap[1] > one.sentMs());
        }
    }

    private int randomIngress(Random random) { return random.nextInt(group.size()); }

    /** Units of one terminal, one after another, each for a customer of its own. */
    private void runTerminal(int index) {
        Random random = new Random(seed * 31 + index);
        for (long number = 0; !stopped; number++) {
            long customer = 10_000 + index * 1000L + number % 900;
            try {
                int at = randomIngress(random);
                if (MODES[(int) ((at + seed) % 3)].equals("session")) { runSession(random, at, customer); } else { runUnit(random, at, customer, number); }
                Thread.sleep(random.nextInt(30));
            } catch (IOException e) { /* it is not there now */
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private Terminals.Command command(Random random, long customer, int waitMs) {
        return random.nextInt(3) > 0 ? group.terminals().post(customer, waitMs, 0, group.size(), random.nextLong(), "b")
                : group.terminals().get(customer, waitMs, 0, group.size());
    }

    private void runSession(Random random, int at, long customer) throws IOException {
        try (Terminals.Connection connection = group.terminals().connect(at)) {
            String unit = null;
            if (random.nextInt(3) == 0) {
                Terminals.Try opened = connection.send(command(random, customer, 800).with("b", "open"));
                unit = opened.end() == Terminals.End.SERVED ? opened.answer() : null;
            }
            for (int part = 1, count = 1 + random.nextInt(4); part <= count; part++) {
                if (unit != null && random.nextBoolean()) {
                    group.terminals().send(randomIngress(random), command(random, customer, 600).with("u", unit).with("p", "" + part));
                } else {
                    Terminals.Command plain = command(random, customer, 800);
                    Terminals.Try got = connection.send(unit == null ? plain : plain.with("u", unit).with("p", "" + part));
                    if (got.end() == Terminals.End.LOST || got.end() == Terminals.End.SILENT || got.end() == Terminals.End.LATE) { return; }
                }
            }
            if (unit != null && random.nextInt(3) == 0) { group.terminals().send(randomIngress(random), command(random, customer, 800).with("u", unit).with("b", "end")); }
        }
    }

    private void runUnit(Random random, int at, long customer, long number) throws InterruptedException {
        Terminals.Try opened = group.terminals().send(at, command(random, customer, 800).with("b", "open"));
        if (opened.end() != Terminals.End.SERVED) { return; }
        startedUnits.incrementAndGet();
        String unit = opened.answer();
        int count = 1 + random.nextInt(4);
        for (int part = 1; part <= count; part++) {
            Terminals.Command command = command(random, customer, 700).with("u", unit).with("p", "" + part);
            if (part == count && number % 3 == 0) { command = command.with("b", "end"); }
            if (random.nextInt(10) == 0) {           // another try through another ingress while the first runs
                Terminals.Command same = command.again(group.terminals().newId());
                Thread other = new Thread(() -> group.terminals().send((at + 1) % group.size(), same));
                other.setDaemon(true);
                other.start();
            }
            Terminals.Try got = null;
            for (int i = 0; i < 8; i++) {
                got = group.terminals().send(randomIngress(random), i == 0 ? command : command.again(group.terminals().newId()));
                // "part N came where N+1 is due": it ran at an earlier try, whose answer was lost.
                if (got.end() == Terminals.End.SERVED || got.answer().contains("UNIT_ENDED") || got.answer().contains("UNIT_UNKNOWN")
                        || got.answer().contains("where " + (part + 1) + " is due")) { break; }
                Thread.sleep(150 + random.nextInt(150));
            }
            if (got.end() != Terminals.End.SERVED && !got.answer().contains("where " + (part + 1) + " is due")) { return; }
        }
        if (number % 3 != 0) {
            if (random.nextInt(10) == 0) {           // never said: not one that could be whole
                startedUnits.decrementAndGet();
                return;
            }
            for (int i = 0; i < 4; i++) {
                Terminals.Try ended = group.terminals().send(randomIngress(random), command(random, customer, 800).with("u", unit).with("b", "end"));
                if (ended.end() == Terminals.End.SERVED) { break; }
                Thread.sleep(150);
            }
        }
        completedUnits.incrementAndGet();
    }

    private List<String> check(Set<Integer> disturbed, StringBuilder note) throws IOException {
        List<UnitsChecker.HomeEvent> homeEvents = new ArrayList<>();
        List<UnitsChecker.PartStart> partStarts = new ArrayList<>();
        List<String> breaches = new ArrayList<>();
        for (int i = 0; i < group.size(); i++) {
            for (String line : Files.readAllLines(group.log(i))) { readLogLine("n" + i, line, homeEvents, partStarts, breaches); }
        }
        List<UnitsChecker.Execution> executions = new ArrayList<>();
        Map<String, Region.Event> open = new HashMap<>();
        for (Region.Event event : group.regionHistory()) {
            String key = event.region() + " " + event.connection() + " " + event.word(2);
            if (event.what().equals("begin")) {
                open.put(key, event);
            } else if (Set.of("served", "error", "busy", "dropped").contains(event.what()) && open.containsKey(key)) {
                Region.Event from = open.remove(key);
                executions.add(new UnitsChecker.Execution(from.region(), "hall-" + (from.region().charAt(1) - '0') / 2, from.word(2), from.atMs(), event.atMs(), event.atMs()));
            }
        }
        List<UnitsChecker.ClientRequest> clientRequests = new ArrayList<>();
        for (Terminals.Try one : group.terminalHistory()) {
            boolean lost = Set.of(Terminals.End.LOST, Terminals.End.SILENT, Terminals.End.UNSENT).contains(one.end());
            // A connection may end between two requests: what crossed that was never read.
            boolean excused = disturbed.contains(one.ingress()) || one.end() == Terminals.End.LOST || one.end() == Terminals.End.UNSENT
                    || stalled(one);
            clientRequests.add(new UnitsChecker.ClientRequest(one.id(), "," + one.words().split(" ")[3], one.words().split(" ")[1], one.sentMs(),
                    Integer.parseInt(one.words().replaceAll(".*,d=([0-9]+).*", "$1")), one.answeredMs(), lost ? 0 : 1, one.end() == Terminals.End.SERVED, excused));
        }
        List<String> lost = disturbed.stream().map(i -> "n" + i + ".").toList();
        breaches.addAll(UnitsChecker.check(new UnitsChecker.History(homeEvents, partStarts, executions, clientRequests, lost, true, CLOCK_SKEW_MS)));
        long ended = homeEvents.stream().filter(one -> one.what().equals("ended")).count();
        long done = homeEvents.stream().filter(one -> one.what().equals("ended") && one.detail().equals("done")).count();
        note.append(clientRequests.size()).append(" tries, ").append(clientRequests.stream().filter(UnitsChecker.ClientRequest::served).count()).append(" served, ")
                .append(homeEvents.stream().filter(one -> one.what().equals("opened")).count()).append(" units, ").append(ended).append(" ended, ").append(done)
                .append(" done, ").append(partStarts.size()).append(" parts; ").append(completedUnits).append(" of ").append(startedUnits).append(" said ones whole, ")
                .append(stalls.size()).append(" stalls of the machine");
        if (partStarts.isEmpty()) { breaches.add("no part ran"); }
        return breaches;
    }

    private static void readLogLine(String name, String line, List<UnitsChecker.HomeEvent> homeEvents, List<UnitsChecker.PartStart> partStarts, List<String> breaches) {
        if (line.contains("Exception") || line.contains("\tat ")) { breaches.add(name + ": " + line); }
        if (!line.startsWith(name + " unit ") && !line.startsWith(name + " part ")) { return; }
        Map<String, String> values = new HashMap<>();
        Matcher pairs = KEY_VALUE.matcher(line);
        while (pairs.find()) { values.put(pairs.group(1), pairs.group(2)); }
        String unit = values.get("unit");
        double at = Double.parseDouble(values.getOrDefault("at", "0"));
        int part = Integer.parseInt(values.getOrDefault("part", "0"));
        int grantNumber = Integer.parseInt(values.getOrDefault("grant", "0"));
        if (line.startsWith(name + " part begins")) {
            partStarts.add(new UnitsChecker.PartStart(at, name, unit, part, grantNumber, values.get("id")));
        } else if (line.startsWith(name + " unit ")) {
            String what = line.startsWith(name + " unit handed over") ? "moved" : line.split(" ")[2];
            homeEvents.add(new UnitsChecker.HomeEvent(at, name, what, unit, values.getOrDefault("mode", values.getOrDefault("state", "")), part, grantNumber));
        }
    }
}

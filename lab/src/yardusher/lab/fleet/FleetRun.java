package yardusher.lab.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import yardusher.lab.Checks;
import yardusher.lab.Seeds;
import yardusher.lab.Terminals;

/**
 * Runs one seed of an installation under faults: agents are killed, paused and restarted, links are cut, lose, hold and
 * reset, while operators request rolls and bans at any agent. Then a fault-free phase until the work has ended, then
 * the checks. The folder keeps the schedule, logs and histories; the same seed gives the same schedule.
 */
public final class FleetRun {
    private static final long CALM_MS = 60_000;
    private static final double LOAD_PER_S = 40;
    private static final int MAX_ATTEMPTS = 6;
    private static final long MAX_TAKEOVER_MS = 3500;

    /** The result of one seed. */
    public record Verdict(long seed, int faults, int rolls, int rollsDone, int owners, long effects, long refused, int requests, long unserved, List<String> breaches) { }

    private final Installation site;
    private final Random random;
    private final List<String> schedule = new ArrayList<>();
    private final long startedAtMs = System.currentTimeMillis();
    private final int away;
    private int faults;

    private FleetRun(Installation site, long seed) {
        this.site = site;
        random = new Random(seed);
        away = 1 + random.nextInt(2);
    }

    /** Runs a seed in a new folder. */
    public static Verdict play(Path folder, long seed, int agents, int instances, int troubles) throws IOException, InterruptedException {
        return play(folder, seed, agents, instances, troubles, null);
    }

    /** The same with a faulty agent program, or null. */
    static Verdict play(Path folder, long seed, int agents, int instances, int troubles, Plant plant) throws IOException, InterruptedException {
        try (Installation site = new Installation(folder, agents, instances, new Installation.Tuning(800, 100, 20_000), plant)) {
            FleetRun run = new FleetRun(site, seed);
            try {
                return run.underLoad(seed, troubles);
            } finally {
                Files.write(folder.resolve("schedule.txt"), run.schedule);
            }
        }
    }

    private void record(String what) { schedule.add((System.currentTimeMillis() - startedAtMs) + " " + what); }

    /**
     * Runs the seed under a constant load of requests; each must be served in the end, with the answer that a region
     * made for it.
     */
    private Verdict underLoad(long seed, int troubles) throws IOException, InterruptedException {
        Terminals terminals = site.terminals();
        site.init();
        for (int i = 0; i < site.agents(); i++) { site.start(i); }
        List<String> breaches = new ArrayList<>();
        for (int i = 0; i < site.agents(); i++) {
            if (!await(i, 20_000)) { breaches.add("agent " + i + " was never ready"); }
        }
        Verdict verdict;
        try (Terminals.Load load = terminals.load(4, LOAD_PER_S, MAX_ATTEMPTS, (terminal, number) -> {
            long customer = 1000 + terminal * 100L + number % 100;
            return number % 2 == 0 ? terminals.get(customer, 1500, 0, 3) : terminals.post(customer, 1500, 0, 3, terminal * 1_000_000L + number, "b");
        })) {
            verdict = play(seed, troubles, breaches);
        }
        Map<String, Terminals.Try> last = new HashMap<>();
        for (Terminals.Try one : site.terminalHistory()) { last.put(one.retryOf(), one); }
        long lost = last.values().stream().filter(one -> one.end() != Terminals.End.SERVED).count();
        // A machine that stalls for seconds fails all attempts of a request: reported as a figure, not as a breach.
        if (lost * 100 > last.size()) { breaches.add(lost + " transactions of " + last.size() + " were not served in " + MAX_ATTEMPTS + " tries"); }
        breaches.addAll(Checks.served(site.regionHistory(), site.terminalHistory()));
        breaches.addAll(Checks.connections(site.regionHistory()));
        return new Verdict(seed, verdict.faults(), verdict.rolls(), verdict.rollsDone(), verdict.owners(), verdict.effects(), verdict.refused(), last.size(), lost, breaches);
    }

    private Verdict play(long seed, int troubles, List<String> breaches) throws IOException, InterruptedException {
        record("seed " + seed + ", away " + away);
        int rolls = 1;
        order(0, seed + "-roll-" + rolls, "-");
        for (int i = 0; i < troubles && breaches.isEmpty(); i++) {
            injectFault();
            if (random.nextInt(3) > 0) { order(random.nextInt(site.agents()), seed + "-roll-" + ++rolls, random.nextBoolean() ? "take-over" : "-"); }
            if (random.nextInt(3) == 0) { ban(random.nextInt(site.agents()), seed + "-ban-" + i); }
        }
        endFaults();
        String last = awaitSettled();
        if (last == null) { breaches.add("the last roll did not end within " + CALM_MS + " ms of calm"); }
        List<History.Event> history = site.history();
        Set<String> done = new HashSet<>();
        if (last != null && Installation.cell(last, "roll", "state").equals("done")) { done.add(Installation.cell(last, "roll", "id")); }
        for (String line : last == null ? new String[0] : last.split("\n")) {
            if (line.startsWith("history") && line.matches(".* roll [0-9]+ DONE: .*")) { done.add(line.replaceAll(".* roll ([0-9]+) DONE: .*", "$1")); }
        }
        breaches.addAll(Checker.breaches(history, away, done, names()));
        for (int i = 0; i < site.agents(); i++) {
            String status = site.ask(i, 2000, "AGENT.STATUS");
            if (status == null || !status.lines().allMatch(line -> line.contains(" ready "))) { breaches.add("an instance is lost: " + status); }
        }
        int owners = (int) history.stream().filter(event -> event.what().equals("seals")).map(History.Event::token).distinct().count();
        long effects = history.stream().filter(event -> event.what().startsWith("acts")).count();
        long refused = history.stream().filter(event -> !event.step().equals("-") && (event.what().startsWith("refused") || event.what().startsWith("dropped"))).count();
        return new Verdict(seed, faults, rolls, done.size(), owners, effects, refused, 0, 0, breaches);
    }

    private Set<String> names() {
        Set<String> names = new HashSet<>();
        for (int i = 0; i < site.agents(); i++) {
            for (int k = 0; k < site.instances(); k++) { names.add("n" + i + "x" + k); }
        }
        return names;
    }

    private boolean await(int agent, long ms) throws InterruptedException {
        for (long until = System.currentTimeMillis() + ms; System.currentTimeMillis() < until; Thread.sleep(50)) {
            String status = site.ask(agent, 1000, "AGENT.STATUS");
            if (status != null && status.lines().allMatch(line -> line.contains(" ready "))) { return true; }
        }
        return false;
    }

    private void order(int agent, String id, String takeOver) {
        record("a" + agent + " is told to roll, " + takeOver + ": " + site.order(agent, id, "roll", "restart away=" + away + " failures=0", takeOver));
    }

    private void ban(int agent, String id) {
        String verb = random.nextBoolean() ? "ban" : "unban";
        record("a" + agent + " is told to " + verb + ": " + site.order(agent, id, verb, "s-00000001"));
    }

    /** Injects one fault and ends it. */
    private void injectFault() throws IOException, InterruptedException {
        faults++;
        int holder = random.nextInt(2) == 0 ? site.holder(random.nextInt(site.agents()), "roll") : -1;
        int a = holder >= 0 ? holder : random.nextInt(site.agents());
        int b = (a + 1 + random.nextInt(site.agents() - 1)) % site.agents();
        long ms = 200 + random.nextInt(2500);
        int kind = random.nextInt(12);
        record("kind " + kind + " at a" + a + ", a" + b + " for " + ms);
        switch (kind) {
            case 0, 1 -> {
                site.kill(a);
                Thread.sleep(ms);
                site.start(a);
            }
            case 2, 3 -> {
                site.pause(a);
                Thread.sleep(ms);
                site.resume(a);
            }
            case 4 -> {                              // isolated from all others
                for (int j = 0; j < site.agents(); j++) {
                    if (j != a) {
                        site.relay(a, j).cut();
                        site.relay(j, a).cut();
                    }
                }
                Thread.sleep(ms);
            }
            case 5 -> {                              // loss in one direction only
                site.relay(a, b).there.lose(true);
                Thread.sleep(ms);
            }
            case 6 -> {                              // its messages are delivered later, even if it is dead by then
                for (int j = 0; j < site.agents(); j++) {
                    if (j != a) { site.relay(a, j).there.hold(); }
                }
                Thread.sleep(ms / 2);
                boolean dies = random.nextBoolean();
                if (dies) { site.kill(a); }
                Thread.sleep(ms / 2);
                heal();
                if (dies) { site.start(a); }
            }
            case 7 -> lateOrder(b, random.nextInt(site.agents() - 1), random.nextBoolean(), random.nextBoolean());
            case 8 -> {                              // it resumes after another owner has begun
                site.pause(a);
                awaitNext(a, b);
                site.resume(a);
            }
            case 9, 10 -> lateOrder(b, random.nextInt(site.agents() - 1), random.nextBoolean(), true);
            default -> {
                for (int j = 0; j < site.agents(); j++) {
                    if (j == a) { continue; }
                    site.relay(a, j).there.delay(random.nextInt(60));
                    site.relay(j, a).back.reset(random.nextInt(40));
                }
                Thread.sleep(ms);
            }
        }
        heal();
    }

    /**
     * Holds a step request of a new roll until the next owner, possibly of yet another roll, has begun; then delivers
     * it and resumes or restarts its sender.
     */
    private void lateOrder(int asked, int which, boolean dies, boolean another) throws IOException, InterruptedException {
        long seen = highestSealedToken();
        order(asked, "late-" + faults + "-" + startedAtMs, "take-over");
        long until = System.currentTimeMillis() + MAX_TAKEOVER_MS;
        int owner;
        while ((owner = site.holder(asked, "roll")) < 0 || highestSealedToken() <= seen) {
            if (System.currentTimeMillis() > until) { return; }
            Thread.sleep(10);
        }
        int target = (owner + 1 + which) % site.agents();
        site.relay(owner, target).there.holdAt("FLEET.DO");
        for (until = System.currentTimeMillis() + MAX_TAKEOVER_MS; System.currentTimeMillis() < until
                && !site.relay(owner, target).there.isHolding();) { Thread.sleep(10); }
        record((site.relay(owner, target).there.isHolding() ? "an order of a" : "no order of a") + owner + " to a" + target + " is held");
        if (dies) { site.kill(owner); } else { site.pause(owner); }
        // Before the roll is taken over: otherwise the next owner completes the step, and the late request finds it finished.
        if (another) { order(target, "later-" + faults + "-" + startedAtMs, "take-over"); }
        awaitNext(owner, target);
        heal();
        if (dies) { site.start(owner); } else { site.resume(owner); }
    }

    /** Waits, within the usual take-over time, until another owner of a roll has sealed at some target. */
    private void awaitNext(int a, int asked) throws IOException, InterruptedException {
        long until = System.currentTimeMillis() + MAX_TAKEOVER_MS;
        long sealed = highestSealedToken();
        while (System.currentTimeMillis() < until && highestSealedToken() <= sealed) { Thread.sleep(50); }
        record("a" + a + " comes back; a" + site.holder(asked, "roll") + " holds the roll");
    }

    /** The highest token that any target has sealed for a roll. */
    private long highestSealedToken() throws IOException {
        return site.history().stream().filter(event -> event.work().equals("roll") && event.what().equals("seals")).mapToLong(History.Event::token).max().orElse(0);
    }

    private void heal() {
        for (int i = 0; i < site.agents(); i++) {
            for (int j = 0; j < site.agents(); j++) {
                if (i != j) { site.relay(i, j).heal(); }
            }
        }
    }

    private void endFaults() throws IOException, InterruptedException {
        record("calm");
        heal();
        for (int i = 0; i < site.agents(); i++) {
            site.resume(i);
            if (!site.isAlive(i)) { site.start(i); }
        }
    }

    /** Waits until no roll is running and all instances are ready; returns the last report, or null on timeout. */
    private String awaitSettled() throws InterruptedException {
        for (long until = System.currentTimeMillis() + CALM_MS; System.currentTimeMillis() < until; Thread.sleep(100)) {
            String report = site.report(0);
            if (report != null && report.contains("state=current") && !Installation.cell(report, "roll", "state").equals("running")) {
                boolean ready = true;
                for (int i = 0; i < site.agents(); i++) { ready &= await(i, 10_000); }
                if (ready) { return report; }
            }
        }
        return null;
    }

    /**
     * {@code FOLDER FIRST COUNT [AGENTS [INSTANCES [TROUBLES [SIDE [PLANT]]]]]}: prints a line for each seed and runs
     * SIDE of them in parallel; keeps the folders of seeds with breaches. Starts no seed after {@code lab.seconds} have
     * passed. With a plant it ends at the first breach; exit status 1 means that there was none.
     */
    public static void main(String[] args) throws Exception {
        long first = Long.parseLong(args[1]);
        long count = Long.parseLong(args[2]);
        int agents = args.length > 3 ? Integer.parseInt(args[3]) : 5;
        int instances = args.length > 4 ? Integer.parseInt(args[4]) : 2;
        int troubles = args.length > 5 ? Integer.parseInt(args[5]) : 8;
        int side = args.length > 6 ? Integer.parseInt(args[6]) : 1;
        Path root = Files.createDirectories(Path.of(args[0]));
        Plant plant = args.length > 7 ? Plant.of(args[7], root.resolve("planted-" + args[7])) : null;
        long end = System.nanoTime() + Long.getLong("lab.seconds", 1_000_000) * 1_000_000_000;
        AtomicLong next = new AtomicLong(first);
        AtomicLong played = new AtomicLong();
        AtomicLong broken = new AtomicLong();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < side; i++) {
            Thread thread = new Thread(() -> {
                for (long seed; System.nanoTime() < end && (plant == null || broken.get() == 0) && (seed = next.getAndIncrement()) < first + count;) {
                    Path folder = root.resolve("seed-" + seed);
                    long from = System.nanoTime();
                    try {
                        if (Files.exists(folder)) { Seeds.delete(folder); }
                        Verdict verdict = play(folder, seed, agents, instances, troubles, plant);
                        System.out.printf("seed %d: %d faults, %d rolls ordered, %d done, %d owners, %d effects, %d late orders refused, %d transactions, %d unserved, %.0f s%s%n", seed,
                                verdict.faults(), verdict.rolls(), verdict.rollsDone(), verdict.owners(), verdict.effects(), verdict.refused(),
                                verdict.requests(), verdict.unserved(),
                                (System.nanoTime() - from) / 1e9, verdict.breaches().isEmpty() ? "" : "  BREACH " + verdict.breaches());
                        if (verdict.breaches().isEmpty()) { Seeds.delete(folder); } else { broken.incrementAndGet(); }
                    } catch (IOException | InterruptedException | RuntimeException e) {
                        System.out.println("seed " + seed + ": the run itself failed: " + e);
                        broken.incrementAndGet();
                    }
                    played.incrementAndGet();
                }
            });
            threads.add(thread);
            thread.start();
        }
        for (Thread thread : threads) { thread.join(); }
        System.out.println(played + " seeds, " + broken + " with a breach");
        System.exit((broken.get() == 0) == (plant == null) ? 0 : 1);
    }
}

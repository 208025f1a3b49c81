package yardusher.lab.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import yardusher.disk.Directory;
import yardusher.disk.Storage;
import yardusher.register.Answer;
import yardusher.register.WorkKind;
import yardusher.register.RaftThreadExecutor;
import yardusher.register.RegisterNode;
import yardusher.register.Operation;
import yardusher.register.RaftLogStore;
import yardusher.register.RegisterView;

/**
 * Measures the cost of the register and the time until the next owner continues; the figures are in
 * docs/measurements/owners.md.
 */
public final class Costs {
    private Costs() { }

    /** {@code takeover FOLDER AGENTS TIMES [SIDE] | idle FOLDER AGENTS SECONDS | commands FOLDER AGENTS SECONDS | recovery FOLDER ENTRIES}. */
    public static void main(String[] args) throws Exception {
        Path folder = Path.of(args[1]);
        switch (args[0]) {
            case "takeover" -> takeover(folder, Integer.parseInt(args[2]), Integer.parseInt(args[3]), args.length > 4 ? Integer.parseInt(args[4]) : 1);
            case "idle" -> idle(folder, Integer.parseInt(args[2]), Integer.parseInt(args[3]));
            case "commands" -> commands(folder, Integer.parseInt(args[2]), Integer.parseInt(args[3]));
            case "recovery" -> recovery(folder, Integer.parseInt(args[2]));
            default -> throw new IllegalArgumentException("takeover, idle, commands or recovery");
        }
        System.exit(0);
    }

    private static Installation begin(Path folder, int agents, int instances) throws IOException, InterruptedException {
        Installation site = new Installation(folder, agents, instances, Installation.Tuning.DEFAULT);
        site.init();
        for (int i = 0; i < agents; i++) { site.start(i); }
        for (int i = 0; i < agents; i++) { ready(site, i); }
        while (site.leader(0) < 0) { Thread.sleep(50); }
        return site;
    }

    private static void ready(Installation site, int agent) throws InterruptedException {
        for (String status; (status = site.ask(agent, 1000, "AGENT.STATUS")) == null || !status.lines().allMatch(line -> line.contains(" ready "));) {
            Thread.sleep(50);
        }
    }

    /**
     * Time from the owner's SIGKILL to the first target that has sealed the next owner's token; {@code side}
     * installations run in parallel.
     */
    private static void takeover(Path folder, int agents, int times, int side) throws InterruptedException {
        List<Long> all = java.util.Collections.synchronizedList(new ArrayList<>());
        List<Thread> threads = new ArrayList<>();
        for (int s = 0; s < side; s++) {
            Path own = folder.resolve("site-" + s);
            Thread thread = new Thread(() -> {
                try {
                    takeovers(own, agents, times / side, all);
                } catch (IOException | InterruptedException | RuntimeException e) {
                    System.out.println(own + ": " + e);
                }
            });
            threads.add(thread);
            thread.start();
        }
        for (Thread thread : threads) { thread.join(); }
        all.sort(null);
        System.out.printf("%d agents, lease 1500 ms, %d installations side by side, %d owners killed: median %d ms, 90%% %d ms, 99%% %d ms, most %d ms%n", agents,
                side, all.size(), all.get(all.size() / 2), all.get(all.size() * 9 / 10), all.get((int) Math.ceil(all.size() * 0.99) - 1), all.get(all.size() - 1));
    }

    private static void takeovers(Path folder, int agents, int times, List<Long> all) throws IOException, InterruptedException {
        try (Installation site = begin(folder, agents, 1)) {
            for (int i = 0; i < times; i++) {
                site.order(0, "takeover-" + i, "roll", "restart away=1 failures=0", "take-over");
                int owner;
                while ((owner = site.holder((i + 1) % agents, "roll")) < 0) { Thread.sleep(10); }
                long token = Long.parseLong(Installation.cell(site.report(owner), "roll", "token"));
                while (first(site, token, "acts") < 0) { Thread.sleep(5); }
                long from = System.currentTimeMillis();
                site.kill(owner);
                long next;
                while ((next = first(site, token + 1, "seals")) < 0) { Thread.sleep(20); }
                all.add(next - from);
                site.start(owner);
                int asked = (owner + 1) % agents;
                site.order(asked, "takeover-stop-" + i, "stop", "roll");
                ready(site, owner);
                while (Installation.cell(site.report(asked), "roll", "state").equals("running")) { Thread.sleep(50); }
                System.out.println(folder.getFileName() + " takeover " + i + ": " + (next - from) + " ms");
            }
        }
    }

    /** When a target first logged {@code what} for a roll under this token or a later one; -1 if none has. */
    private static long first(Installation site, long token, String what) throws IOException {
        return site.history().stream().filter(event -> event.work().equals("roll") && event.token() >= token && event.what().startsWith(what))
                .mapToLong(History.Event::atMs).min().orElse(-1);
    }

    /** CPU time and memory of idle agents, next to one without a fleet. */
    private static void idle(Path folder, int agents, int seconds) throws IOException, InterruptedException {
        try (Installation site = begin(folder, agents, 1)) {
            Thread.sleep(5000);
            List<ProcessHandle> all = new ArrayList<>();
            for (int i = 0; i < agents; i++) { all.add(site.process(i)); }
            Path alone = folder.resolve("alone.toml");
            String file = Files.readString(site.file(0));
            Files.writeString(alone, file.replaceAll("(?s)\\[fleet].*?(?=\\[\\[instance]])", "").replaceAll("control = \"[^\"]*\"", "control = \"127.0.0.1:0\"")
                    .replaceAll("address = \"([0-9.]+):[0-9]+\"", "address = \"$1:1\""));
            ProcessHandle one = site.agent(alone);
            Thread.sleep(5000);
            List<Duration> before = new ArrayList<>();
            for (ProcessHandle process : all) { before.add(process.info().totalCpuDuration().orElseThrow()); }
            Duration oneBefore = one.info().totalCpuDuration().orElseThrow();
            Thread.sleep(seconds * 1000L);
            for (int i = 0; i < agents; i++) {
                System.out.printf("agent %d: %.2f%% of a core, %d kB resident%n", i,
                        (all.get(i).info().totalCpuDuration().orElseThrow().toMillis() - before.get(i).toMillis()) / (seconds * 10.0), resident(all.get(i)));
            }
            System.out.printf("agent without a fleet: %.2f%% of a core, %d kB resident%n",
                    (one.info().totalCpuDuration().orElseThrow().toMillis() - oneBefore.toMillis()) / (seconds * 10.0), resident(one));
            one.destroyForcibly();
        }
    }

    private static long resident(ProcessHandle process) throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status"))) {
            if (line.startsWith("VmRSS:")) { return Long.parseLong(line.replaceAll("[^0-9]", "")); }
        }
        return -1;
    }

    /** Sends commands one after another to a member that is not the leader. */
    private static void commands(Path folder, int agents, int seconds) throws IOException, InterruptedException {
        try (Installation site = begin(folder, agents, 1)) {
            int asked = (site.leader(0) + 1) % agents;
            int done = 0;
            long until = System.nanoTime() + seconds * 1_000_000_000L;
            for (; System.nanoTime() < until; done++) {
                String answer = site.order(asked, "commands-" + done, done % 2 == 0 ? "ban" : "unban", "s-00000001");
                if (answer == null || answer.startsWith("-")) { throw new IOException("order " + done + ": " + answer); }
            }
            System.out.printf("%d agents: %.0f orders a second, one after another, each on the disks of a majority%n", agents, done / (double) seconds);
        }
    }

    /**
     * A single member writes {@code entries} entries, with snapshots; then measures how long opening its store and
     * applying it takes.
     */
    private static void recovery(Path path, int entries) throws Exception {
        Files.createDirectories(path);
        Storage folder = Directory.openForWriting(path, "m0");
        RaftLogStore store = RaftLogStore.create(folder, "site", "m0", false);
        RaftThreadExecutor loop = new RaftThreadExecutor("register", 200);
        RegisterNode node = node(store, loop, view -> { });
        node.start();
        while (!"m0".equals(node.leader())) { Thread.sleep(20); }
        Semaphore room = new Semaphore(200);
        for (int i = 0; i < entries; i++) {
            room.acquire();
            node.submit(new Operation.Renew(WorkKind.ROLL, 1, i), new RegisterNode.OperationCallback() {
                @Override
                public void onAnswer(Answer answer) { room.release(); }

                @Override
                public void onUnanswered(String leader, boolean unknown) { room.release(); }
            });
        }
        room.acquire(200);
        CountDownLatch over = new CountDownLatch(1);
        long applied = node.view().appliedIndex();
        node.stop(over::countDown);
        over.await();
        loop.shutdown();
        loop.await(2000);
        store.close();
        long from = System.nanoTime();
        RaftLogStore again = RaftLogStore.open(folder, "site", "m0");
        long opened = System.nanoTime();
        RaftThreadExecutor next = new RaftThreadExecutor("register", 200);
        CountDownLatch back = new CountDownLatch(1);
        RegisterNode second = node(again, next, view -> {
            if (view.appliedIndex() >= applied) { back.countDown(); }
        });
        second.start();
        back.await();
        System.out.printf("%d entries: %d kept, store open in %.0f ms, applied and leading after %.0f ms%n", entries, again.entryCount(),
                (opened - from) / 1e6, (System.nanoTime() - from) / 1e6);
    }

    private static RegisterNode node(RaftLogStore store, RaftThreadExecutor loop, java.util.function.Consumer<RegisterView> changed) {
        return new RegisterNode("site", "m0", List.of("m0"), store, 200, loop, () -> System.nanoTime() / 1e6,
                new Random(1), new RegisterNode.Environment() {
            @Override
            public void send(String member, byte[] message) { /* nobody else */ }

            @Override
            public boolean isReachable(String member) { return false; }

            @Override
            public void onViewChanged(RegisterView view) { changed.accept(view); }

            @Override
            public void onStoreFailed(IOException why) { throw new IllegalStateException(why); }
        });
    }
}

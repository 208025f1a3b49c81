package yardusher.lab.register;

import io.microraft.executor.RaftNodeExecutor;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import yardusher.lab.MemoryDisk;
import yardusher.register.Answer;
import yardusher.register.WorkKind;
import yardusher.register.RegisterNode;
import yardusher.register.Operation;
import yardusher.register.Register;
import yardusher.register.RaftLogStore;
import yardusher.register.RegisterView;
import yardusher.register.Work;

/**
 * Simulates the register's members on virtual time, by seed: real nodes and stores, disks that lose what was not
 * synced, lost, delayed and duplicated messages, partitions, crashes and restarts. Clients claim, renew, save
 * checkpoints and read; their replies must be linearizable.
 */
public final class Scripted {
    private static final double LIBRARY_SECOND_MS = 200;
    private static final double OP_MS = 1500;

    /** An operation of a client and its reply; {@code answer} is null if it never arrived. */
    public record ClientCall(double calledAtMs, double answeredAtMs, Operation op, Answer answer) { }

    /** The result of one seed. */
    public record Run(long seed, int asked, int answered, int deaths, String breach) { }

    private record ScheduledTask(double atMs, long sequence, Runnable work) implements Comparable<ScheduledTask> {
        @Override
        public int compareTo(ScheduledTask other) {
            int byTime = Double.compare(atMs, other.atMs);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    private final class SimulatedMember {
        final String name;
        final MemoryDisk disk = new MemoryDisk();
        RegisterNode node;
        RaftLogStore store;
        int lifeNumber;
        final Map<Long, String> states = new HashMap<>(); // by log index, the state after applying it

        SimulatedMember(String name) { this.name = name; }

        void start() {
            int mine = ++lifeNumber;
            try {
                store = node == null && !RaftLogStore.exists(disk) ? RaftLogStore.create(disk, "sim", name, false)
                        : RaftLogStore.open(disk, "sim", name);
            } catch (IOException | RuntimeException e) {
                breach = breach == null ? name + " failed to open its store: " + e.getMessage() : breach;
                return;
            }
            RaftNodeExecutor executor = new RaftNodeExecutor() {
                @Override
                public void execute(Runnable task) { runLater(0, () -> run(task)); }

                @Override
                public void submit(Runnable task) { execute(task); }

                @Override
                public void schedule(Runnable task, long delay, TimeUnit unit) {
                    runLater(unit.toMicros(delay) / 1e6 * LIBRARY_SECOND_MS, () -> run(task));
                }

                private void run(Runnable task) {
                    if (mine == lifeNumber) { task.run(); }
                }
            };
            node = new RegisterNode("sim", name, names, store, LIBRARY_SECOND_MS, executor, () -> now,
                    new Random(random.nextLong()), new RegisterNode.Environment() {
                @Override
                public void send(String member, byte[] message) { Scripted.this.send(SimulatedMember.this, member, message); }

                @Override
                public boolean isReachable(String member) { return true; }

                @Override
                public void onViewChanged(RegisterView view) {
                    String state = view.highestToken() + " " + view.works();
                    states.put(view.appliedIndex(), state);
                    String other = stateByIndex.putIfAbsent(view.appliedIndex(), state);
                    if (other != null && !other.equals(state) && breach == null) {
                        breach = "members differ at " + view.appliedIndex() + ": " + other + " and " + state;
                    }
                }

                @Override
                public void onStoreFailed(IOException why) { /* the simulated crash ends it */ }
            });
            node.start();
        }

        void crash() {
            lifeNumber++;
            disk.die(random);
        }
    }

    private final Random random;
    private final long seed;
    private final double lossRate;
    private double now;
    private long nextSequence;
    private final PriorityQueue<ScheduledTask> due = new PriorityQueue<>();
    private final List<String> names = new ArrayList<>();
    private final Map<String, SimulatedMember> membersByName = new HashMap<>();
    private final Map<Long, String> stateByIndex = new HashMap<>();
    private final Map<String, Double> cutUntil = new HashMap<>();
    private final List<ClientCall> history = new ArrayList<>();
    private int crashes;
    private String breach;

    private Scripted(long seed, int members, boolean liesAboutSync) {
        this.seed = seed;
        random = new Random(seed);
        lossRate = random.nextDouble() * 0.2;
        for (int i = 0; i < members; i++) { names.add("m" + i); }
        for (String name : names) { membersByName.put(name, new SimulatedMember(name)); }
        membersByName.values().forEach(one -> one.disk.liesAboutSync = liesAboutSync);
    }

    private void runLater(double ms, Runnable work) { due.add(new ScheduledTask(now + ms, nextSequence++, work)); }

    private void send(SimulatedMember from, String to, byte[] message) {
        if (random.nextDouble() < lossRate || isCut(from.name, to)) { return; }
        int copies = random.nextInt(20) == 0 ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            double late = random.nextInt(30) == 0 ? random.nextDouble() * 800 : 1 + random.nextDouble() * 20;
            runLater(late, () -> {
                SimulatedMember target = membersByName.get(to);
                if (isCut(from.name, to) || target.node == null || target.lifeNumber % 2 == 0) { return; }
                try {
                    target.node.receive(message);
                } catch (IOException e) {
                    breach = "cannot decode a message: " + e.getMessage();
                }
            });
        }
    }

    private boolean isCut(String a, String b) { return cutUntil.getOrDefault(a + b, 0.0) > now; }

    /** Runs a seed: {@code ms} of faults, then a fault-free phase, then the check. */
    public static Run run(long seed, int members, double ms, boolean liesAboutSync) {
        return new Scripted(seed, members, liesAboutSync).simulate(ms);
    }

    private Run simulate(double ms) {
        names.forEach(name -> membersByName.get(name).start());
        injectFaults(ms);
        for (int i = 0; i < 3; i++) { client(i, ms); }
        while (!due.isEmpty() && due.peek().atMs() < ms + 8000 && breach == null) {
            ScheduledTask one = due.poll();
            now = one.atMs();
            one.work().run();
        }
        if (breach == null && !new Linearizable(history).holds()) { breach = "the clients' replies are not linearizable"; }
        int answered = (int) history.stream().filter(one -> one.answer() != null).count();
        return new Run(seed, history.size(), answered, crashes, breach);
    }

    private void injectFaults(double until) {
        runLater(100 + random.nextDouble() * 900, () -> {
            if (now > until) { return; }
            String one = names.get(random.nextInt(names.size()));
            if (random.nextBoolean()) {
                String other = names.get(random.nextInt(names.size()));
                double end = now + random.nextDouble() * 3000;
                cutUntil.put(one + other, end);
                if (random.nextBoolean()) { cutUntil.put(other + one, end); }
            } else if (membersByName.get(one).lifeNumber % 2 == 1) {
                crashes++;
                membersByName.get(one).crash();
                runLater(50 + random.nextDouble() * 1500, membersByName.get(one)::start);
            }
            injectFaults(until);
        });
    }

    /** A client submits one operation after another at any member and gives up on what is not answered in time. */
    private void client(int i, double until) {
        runLater(random.nextDouble() * 300, () -> {
            if (now > until) { return; }
            Operation op = nextOperation(i);
            SimulatedMember one = membersByName.get(leaderHint != null ? leaderHint : names.get(random.nextInt(names.size())));
            leaderHint = null;
            double from = now;
            boolean[] over = new boolean[1];
            Runnable next = () -> {
                if (!over[0]) {
                    over[0] = true;
                    client(i, until);
                }
            };
            if (one.lifeNumber % 2 == 0 || one.node == null) {
                next.run();
                return;
            }
            int place = history.size();
            history.add(new ClientCall(from, Double.POSITIVE_INFINITY, op, null));
            one.node.submit(op, new RegisterNode.OperationCallback() {
                @Override
                public void onAnswer(Answer answer) {
                    if (!over[0]) { history.set(place, new ClientCall(from, now, op, answer)); }
                    next.run();
                }

                @Override
                public void onUnanswered(String leader, boolean unknown) {
                    // Refused before it was proposed: known not to have taken effect.
                    if (!unknown && !over[0]) { history.set(place, new ClientCall(from, now, null, null)); }
                    leaderHint = random.nextInt(4) > 0 ? leader : null;
                    next.run();
                }
            });
            runLater(OP_MS, next);
        });
    }

    private String leaderHint;                             // the leader that a client was told last
    private long token;
    private long seq;

    private Operation nextOperation(int i) {
        Work seen = null;
        for (ClientCall one : history) {
            if (one.answer() != null && one.answer().state() != null) {
                try {
                    seen = Register.decode(one.answer().state()).work(WorkKind.ROLL);
                } catch (IOException e) {
                    breach = "cannot decode a state: " + e.getMessage();
                }
            }
        }
        for (ClientCall one : history) {
            if (one.op() instanceof Operation.Claim && one.answer() != null && one.answer().ok()) {
                token = Math.max(token, one.answer().token());
            }
        }
        return switch (random.nextInt(6)) {
            case 0 -> new Operation.Submit("c" + i + "-" + history.size(), "c" + i, 0, WorkKind.ROLL, "restart", random.nextInt(3) == 0);
            case 1, 2 -> new Operation.Claim("m" + i, 1 + random.nextInt(1_000_000), 0, WorkKind.ROLL,
                    seen == null ? 0 : seen.token(), seen == null ? 0 : seen.heartbeat());
            case 3 -> new Operation.Renew(WorkKind.ROLL, token, random.nextInt(5));
            case 4 -> new Operation.Checkpoint(WorkKind.ROLL, token, seen == null ? 1 : seen.seq() + 1, "p" + ++seq,
                    Work.State.RUNNING, "");
            default -> new Operation.Read();
        };
    }

    /** Runs COUNT seeds from FIRST on and prints each breach with its seed. */
    public static void main(String[] args) {
        long first = Long.parseLong(args[0]);
        long count = Long.parseLong(args[1]);
        boolean lies = args.length > 2 && args[2].equals("without-sync");
        long from = System.nanoTime();
        java.util.concurrent.atomic.LongAdder asked = new java.util.concurrent.atomic.LongAdder();
        java.util.concurrent.atomic.LongAdder answered = new java.util.concurrent.atomic.LongAdder();
        java.util.concurrent.atomic.LongAdder deaths = new java.util.concurrent.atomic.LongAdder();
        long broken = java.util.stream.LongStream.range(first, first + count).parallel().filter(seed -> {
            Run run = run(seed, seed % 3 == 0 ? 5 : 3, 12_000, lies);
            asked.add(run.asked());
            answered.add(run.answered());
            deaths.add(run.deaths());
            if (run.breach() != null) { System.out.println("seed " + seed + ": " + run.breach()); }
            return run.breach() != null;
        }).count();
        System.out.printf("%d seeds, %d operations asked, %d answered, %d deaths, %d breaches, %.1f s%n", count, asked.sum(), answered.sum(),
                deaths.sum(), broken, (System.nanoTime() - from) / 1e9);
    }
}

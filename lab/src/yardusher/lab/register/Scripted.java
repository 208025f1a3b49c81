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
 * The register's members on scripted time, by seed: real nodes and stores, disks that lose what was not synced, messages
 * that are lost, late and doubled, cuts between members, members that die and come back. Clients claim, renew, write
 * checkpoints and read; what they were told is held against one register in one order.
 */
public final class Scripted {
    private static final double SECOND_MS = 200;
    private static final double OP_MS = 1500;

    /** What a client asked and what it was told; {@code answer} null where it never knew. */
    public record Asked(double from, double until, Operation op, Answer answer) { }

    /** How a run went. */
    public record Run(long seed, int asked, int answered, int deaths, String breach) { }

    private record Due(double at, long order, Runnable work) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            int byTime = Double.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private final class One {
        final String name;
        final MemoryDisk disk = new MemoryDisk();
        RegisterNode node;
        RaftLogStore store;
        int life;
        final Map<Long, String> states = new HashMap<>(); // by place, what it had applied

        One(String name) { this.name = name; }

        void start() {
            int mine = ++life;
            try {
                store = node == null && !RaftLogStore.exists(disk) ? RaftLogStore.create(disk, "sim", name, false) : RaftLogStore.open(disk, "sim", name);
            } catch (IOException | RuntimeException e) {
                breach = breach == null ? name + " cannot open its store: " + e.getMessage() : breach;
                return;
            }
            RaftNodeExecutor executor = new RaftNodeExecutor() {
                @Override
                public void execute(Runnable task) { later(0, () -> run(task)); }

                @Override
                public void submit(Runnable task) { execute(task); }

                @Override
                public void schedule(Runnable task, long delay, TimeUnit unit) {
                    later(unit.toMicros(delay) / 1e6 * SECOND_MS, () -> run(task));
                }

                private void run(Runnable task) {
                    if (mine == life) { task.run(); }
                }
            };
            node = new RegisterNode("sim", name, names, store, SECOND_MS, executor, () -> now, new Random(random.nextLong()), new RegisterNode.Environment() {
                @Override
                public void send(String member, byte[] message) { Scripted.this.send(One.this, member, message); }

                @Override
                public boolean isReachable(String member) { return true; }

                @Override
                public void onViewChanged(RegisterView view) {
                    String state = view.highestToken() + " " + view.works();
                    states.put(view.appliedIndex(), state);
                    String other = agreed.putIfAbsent(view.appliedIndex(), state);
                    if (other != null && !other.equals(state) && breach == null) { breach = "members differ at " + view.appliedIndex() + ": " + other + " and " + state; }
                }

                @Override
                public void onStoreFailed(IOException why) { /* dies with its machine */ }
            });
            node.start();
        }

        void die() {
            life++;
            disk.die(random);
        }
    }

    private final Random random;
    private final long seed;
    private final double loss;
    private double now;
    private long order;
    private final PriorityQueue<Due> due = new PriorityQueue<>();
    private final List<String> names = new ArrayList<>();
    private final Map<String, One> all = new HashMap<>();
    private final Map<Long, String> agreed = new HashMap<>();
    private final Map<String, Double> cutUntil = new HashMap<>();
    private final List<Asked> history = new ArrayList<>();
    private int deaths;
    private String breach;

    private Scripted(long seed, int members, boolean liesAboutSync) {
        this.seed = seed;
        random = new Random(seed);
        loss = random.nextDouble() * 0.2;
        for (int i = 0; i < members; i++) { names.add("m" + i); }
        for (String name : names) { all.put(name, new One(name)); }
        all.values().forEach(one -> one.disk.liesAboutSync = liesAboutSync);
    }

    private void later(double ms, Runnable work) { due.add(new Due(now + ms, order++, work)); }

    private void send(One from, String to, byte[] message) {
        if (random.nextDouble() < loss || isCut(from.name, to)) { return; }
        int copies = random.nextInt(20) == 0 ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            double late = random.nextInt(30) == 0 ? random.nextDouble() * 800 : 1 + random.nextDouble() * 20;
            later(late, () -> {
                One target = all.get(to);
                if (isCut(from.name, to) || target.node == null || target.life % 2 == 0) { return; }
                try {
                    target.node.receive(message);
                } catch (IOException e) {
                    breach = "a message cannot be read: " + e.getMessage();
                }
            });
        }
    }

    private boolean isCut(String a, String b) { return cutUntil.getOrDefault(a + b, 0.0) > now; }

    /** Plays a seed: so many ms of faults, then calm, then the verdict. */
    public static Run run(long seed, int members, double ms, boolean liesAboutSync) { return new Scripted(seed, members, liesAboutSync).play(ms); }

    private Run play(double ms) {
        names.forEach(name -> all.get(name).start());
        trouble(ms);
        for (int i = 0; i < 3; i++) { client(i, ms); }
        while (!due.isEmpty() && due.peek().at() < ms + 8000 && breach == null) {
            Due one = due.poll();
            now = one.at();
            one.work().run();
        }
        if (breach == null && !new Linearizable(history).holds()) { breach = "no one order of all operations fits what clients were told"; }
        int answered = (int) history.stream().filter(one -> one.answer() != null).count();
        return new Run(seed, history.size(), answered, deaths, breach);
    }

    private void trouble(double until) {
        later(100 + random.nextDouble() * 900, () -> {
            if (now > until) { return; }
            String one = names.get(random.nextInt(names.size()));
            if (random.nextBoolean()) {
                String other = names.get(random.nextInt(names.size()));
                double end = now + random.nextDouble() * 3000;
                cutUntil.put(one + other, end);
                if (random.nextBoolean()) { cutUntil.put(other + one, end); }
            } else if (all.get(one).life % 2 == 1) {
                deaths++;
                all.get(one).die();
                later(50 + random.nextDouble() * 1500, all.get(one)::start);
            }
            trouble(until);
        });
    }

    /** A client asks one thing after another, at any member, and forgets what is not answered in time. */
    private void client(int i, double until) {
        later(random.nextDouble() * 300, () -> {
            if (now > until) { return; }
            Operation op = op(i);
            One one = all.get(hint != null ? hint : names.get(random.nextInt(names.size())));
            hint = null;
            double from = now;
            boolean[] over = new boolean[1];
            Runnable next = () -> {
                if (!over[0]) {
                    over[0] = true;
                    client(i, until);
                }
            };
            if (one.life % 2 == 0 || one.node == null) {
                next.run();
                return;
            }
            int place = history.size();
            history.add(new Asked(from, Double.POSITIVE_INFINITY, op, null));
            one.node.submit(op, new RegisterNode.OperationCallback() {
                @Override
                public void onAnswer(Answer answer) {
                    if (!over[0]) { history.set(place, new Asked(from, now, op, answer)); }
                    next.run();
                }

                @Override
                public void onUnanswered(String leader, boolean unknown) {
                    // Refused before anything was done: it is known not to have taken effect.
                    if (!unknown && !over[0]) { history.set(place, new Asked(from, now, null, null)); }
                    hint = random.nextInt(4) > 0 ? leader : null;
                    next.run();
                }
            });
            later(OP_MS, next);
        });
    }

    private String hint;                             // who leads, as a client was told last
    private long token;
    private long seq;

    private Operation op(int i) {
        Work seen = null;
        for (Asked one : history) {
            if (one.answer() != null && one.answer().state() != null) {
                try {
                    seen = Register.decode(one.answer().state()).work(WorkKind.ROLL);
                } catch (IOException e) {
                    breach = "a state cannot be read: " + e.getMessage();
                }
            }
        }
        for (Asked one : history) {
            if (one.op() instanceof Operation.Claim && one.answer() != null && one.answer().ok()) { token = Math.max(token, one.answer().token()); }
        }
        return switch (random.nextInt(6)) {
            case 0 -> new Operation.Submit("c" + i + "-" + history.size(), "c" + i, 0, WorkKind.ROLL, "restart", random.nextInt(3) == 0);
            case 1, 2 -> new Operation.Claim("m" + i, 1 + random.nextInt(1_000_000), 0, WorkKind.ROLL, seen == null ? 0 : seen.token(), seen == null ? 0 : seen.heartbeat());
            case 3 -> new Operation.Renew(WorkKind.ROLL, token, random.nextInt(5));
            case 4 -> new Operation.Checkpoint(WorkKind.ROLL, token, seen == null ? 1 : seen.seq() + 1, "p" + ++seq, Work.State.RUNNING, "");
            default -> new Operation.Read();
        };
    }

    /** Seeds from one on, so many; prints each breach with its seed. */
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

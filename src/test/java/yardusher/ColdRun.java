package yardusher;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import yardusher.Api.*;

/**
 * Simulation, by seed, of a fleet whose backends are replaced or restarted at once: backends with cores, a queue and a warm-up,
 * clients that retry, ingresses with unequal parts of the traffic. Compares the attempts at each cold backend in any time span
 * with what the settings allow. Times are in milliseconds.
 */
final class ColdRun {
    /** Speed of cold backends: slower by their warmth, or as quick as warm ones, which makes the bound harder to keep. */
    enum Pace { BY_WARMTH, AS_WARM }

    /**
     * A scenario. {@code load}: demand as a fraction of the capacity of all warm backends. {@code skew}: the exponent by which
     * the ingresses' parts of the traffic decrease, 0 for equal ones. {@code hot}: the extra fraction that comes through one ingress.
     * {@code restart}: the backends keep their ids. {@code toldOverMs}: the time over which the ingresses get the list.
     * {@code comeAgain}: how often a client retries.
     */
    record Case(int gateways, int servers, int replaced, Rules rules, int cores, double load, double skew, double hot, Pace pace,
            boolean restart, double toldOverMs, int comeAgain, long seed) {
        Case(int gateways, int servers, int replaced, Rules rules, double load, long seed) {
            this(gateways, servers, replaced, rules, 4, load, 0, 0, Pace.AS_WARM, false, 0, 2, seed);
        }

        Case uneven(double exponent, double hotPart) {
            return new Case(gateways, servers, replaced, rules, cores, load, exponent, hotPart, pace, restart, toldOverMs, comeAgain, seed);
        }

        Case cores(int n) { return new Case(gateways, servers, replaced, rules, n, load, skew, hot, pace, restart, toldOverMs, comeAgain, seed); }

        Case paced(Pace p) { return new Case(gateways, servers, replaced, rules, cores, load, skew, hot, p, restart, toldOverMs, comeAgain, seed); }

        Case again(int times) { return new Case(gateways, servers, replaced, rules, cores, load, skew, hot, pace, restart, toldOverMs, times, seed); }

        Case restarted(double overMs) {
            return new Case(gateways, servers, replaced, rules, cores, load, skew, hot, pace, true, overMs, comeAgain, seed);
        }

        Case told(double overMs) {
            return new Case(gateways, servers, replaced, rules, cores, load, skew, hot, pace, restart, overMs, comeAgain, seed);
        }
    }

    private record Due(double at, long order, Runnable work) { }

    /** One attempt at a cold backend: when, and whether its ingress knew of the start. */
    record Sent(double at, boolean told) { }

    private static final double WORK_MS = 80, SETTLED = 6000;
    private static final RequestClass SAFE = new RequestClass(1000, 2500, 2, 0, Effect.IDEMPOTENT, Group.ALL, 0, false);

    private final class Machine {
        final long id;
        double startedAt;
        int busy;
        final ArrayDeque<Runnable> waiting = new ArrayDeque<>();
        final List<Sent> sent = new ArrayList<>();

        Machine(long id, double startedAt) {
            this.id = id;
            this.startedAt = startedAt;
        }

        double warmth(double at) {
            Rules r = of.rules();
            return startedAt <= 0 ? 1 : Math.min(1, r.initialWarmth() + (1 - r.initialWarmth()) * (at - startedAt) / r.warmAfterMs());
        }

        Server listed() { return new Server(id, 0, 0, 1, startedAt, Readiness.READY); }
    }

    private final Case of;
    private final SplittableRandom random;
    private final PriorityQueue<Due> due = new PriorityQueue<>(Comparator.comparingDouble(Due::at).thenComparingLong(Due::order));
    private final Map<Long, Machine> machines = new LinkedHashMap<>();
    private final List<Machine> cold = new ArrayList<>();
    private final Policy[] gateways;
    private final boolean[] told;
    private final double[] parts;
    private final Map<Long, int[]> open = new HashMap<>(); // attempts made, earlier tries, ingress
    private double now = 1000, replacedAt = Double.POSITIVE_INFINITY;
    private long order, ids;
    /** Counts after the replacement. */
    int asked, refused, refusedWithNoBackend, served, failed;

    ColdRun(Case of) {
        this.of = of;
        random = new SplittableRandom(of.seed());
        gateways = new Policy[of.gateways()];
        told = new boolean[of.gateways()];
        parts = new double[of.gateways()];
        double all = 0;
        for (int i = 0; i < parts.length; i++) { all += parts[i] = Math.pow(i + 1, -of.skew()); }
        for (int i = 0; i < parts.length; i++) { parts[i] *= (1 - of.hot()) / all; }
        parts[parts.length - 1] += of.hot();
        for (int i = 0; i < of.servers(); i++) { machines.put(100L + i, new Machine(100 + i, 0)); }
        for (int i = 0; i < parts.length; i++) {
            int self = i;
            Settings settings = new Settings(i, gateways.length, 0, 1, List.of(SAFE), List.of(new Plan(0, 0, 0, 1, 0, 0, 0)),
                    new Limits(4, true, true, 0), of.rules(), List.of(), false, 60, 1, 0, 0.01);
            gateways[i] = new Policy(settings, random.nextLong(), now, action -> act(self, action));
            gateways[i].on(now, new ServerList(ListKind.CACHED, machines.values().stream().map(Machine::listed).toList()));
            arrive(i);
        }
    }

    private double warmPerMs() { return of.cores() / WORK_MS; }

    private void at(double time, Runnable work) { due.add(new Due(Math.max(now, time), order++, work)); }

    private void arrive(int gateway) {
        double perMs = parts[gateway] * of.load() * of.servers() * warmPerMs();
        at(now - Math.log(1 - random.nextDouble()) / perMs, () -> {
            ask(gateway, 0);
            arrive(gateway);
        });
    }

    private int some() {
        double draw = random.nextDouble();
        int at = 0;
        while (at < parts.length - 1 && (draw -= parts[at]) > 0) { at++; }
        return at;
    }

    private void ask(int gateway, int before) {
        long id = ++ids;
        open.put(id, new int[] {0, before, gateway});
        if (now > replacedAt && before == 0) { asked++; }
        gateways[gateway].on(now, new Request(id, 0, 0, id % 500, now + SAFE.deadlineMs(), 1, 0, gateways.length));
    }

    private void again(int[] state) {
        if (state[1] < of.comeAgain()) { at(now + 50 + 350 * random.nextDouble(), () -> ask(some(), state[1] + 1)); }
    }

    private void act(int from, Action action) {
        if (action instanceof SetTimer timer) {
            at(timer.atMs(), () -> gateways[from].on(now, new TimerFired(timer.token())));
        } else if (action instanceof Tell tell) {
            at(now + 1.3 + 20 * random.nextDouble(), () -> gateways[tell.to()].on(now, new PeerMessage(from, tell.body())));
        } else if (action instanceof Refuse refuse) {
            if (now > replacedAt) { refused++; }
            if (now > replacedAt && refuse.reason() == Reason.NO_SERVER) { refusedWithNoBackend++; }
            again(open.remove(refuse.id()));
        } else if (action instanceof Fail fail) {
            if (now > replacedAt) { failed++; }
            again(open.remove(fail.id()));
        } else if (action instanceof Cancel cancel) {
            at(now + 0.1, () -> end(from, cancel.id(), cancel.attempt(), Outcome.CANCELLED));
        } else if (action instanceof Send send) {
            send(from, send);
        }
    }

    private final Map<Long, Double> outSince = new HashMap<>();
    private final Map<Long, Long> outOn = new HashMap<>();

    private void send(int from, Send send) {
        Machine m = machines.get(send.server());
        int number = open.get(send.id())[0]++;
        outSince.put(send.id(), now);
        outOn.put(send.id(), m.id);
        if (m.warmth(now) < 1) { m.sent.add(new Sent(now, told[from])); }
        at(now + send.timeoutMs(), () -> end(from, send.id(), number, Outcome.TIMED_OUT));
        if (m.waiting.size() > 16 * of.cores()) {
            at(now + 1, () -> end(from, send.id(), number, Outcome.REJECTED));
            return;
        }
        double work = -Math.log(1 - random.nextDouble()) * WORK_MS;
        double begun = m.startedAt;
        Runnable begin = () -> {
            m.busy++;
            at(now + 1 + (of.pace() == Pace.AS_WARM ? work : work / m.warmth(now)), () -> {
                if (m.startedAt != begun) { return; }
                m.busy--;
                if (!m.waiting.isEmpty()) { m.waiting.poll().run(); }
                end(from, send.id(), number, Outcome.SERVED);
            });
        };
        if (m.busy < of.cores()) { begin.run(); } else { m.waiting.add(begin); }
    }

    private void end(int from, long id, int number, Outcome how) {
        int[] state = open.get(id);
        if (state == null || state[0] != number + 1 || !outSince.containsKey(id)) { return; }
        double took = now - outSince.remove(id);
        boolean ends = how == Outcome.SERVED;
        if (ends) { open.remove(id); }
        if (ends && now > replacedAt) { served++; }
        gateways[from].on(now, new AttemptDone(id, number, outOn.remove(id), how, took, ends, 0, null));
    }

    /** Runs until a time after the replacement. */
    ColdRun run(double afterMs) {
        play(now + SETTLED);
        replacedAt = now;
        List<Machine> all = new ArrayList<>(machines.values());
        for (Machine old : all.subList(0, of.replaced())) {
            Machine fresh = of.restart() ? old : new Machine(old.id + 1000, now);
            if (of.restart()) {                      // its running requests are lost
                List<Long> lost = outOn.entrySet().stream().filter(e -> e.getValue() == old.id).map(Map.Entry::getKey).sorted().toList();
                old.startedAt = now;
                old.busy = 0;
                old.waiting.clear();
                for (long id : lost) { end(open.get(id)[2], id, open.get(id)[0] - 1, Outcome.CONNECTION_LOST); }
            }
            machines.put(fresh.id, fresh);
            cold.add(fresh);
        }
        List<Machine> left = all.subList(of.replaced(), all.size());
        List<Server> list = new ArrayList<>();
        for (Machine m : cold) { list.add(m.listed()); }
        for (Machine m : left) { list.add(m.listed()); }
        for (int i = 0; i < gateways.length; i++) {
            int gateway = i;
            at(now + of.toldOverMs() * random.nextDouble(), () -> {
                told[gateway] = true;
                gateways[gateway].on(now, new ServerList(ListKind.FULL, list));
            });
        }
        play(now + afterMs);
        return this;
    }

    private void play(double untilMs) {
        while (due.peek().at() <= untilMs) {
            Due next = due.poll();
            now = Math.max(now, next.at());
            next.work().run();
        }
        now = untilMs;
    }

    /** Smallest and largest number of attempts at a cold backend. */
    int[] sent() {
        return new int[] {cold.stream().mapToInt(m -> m.sent.size()).min().orElse(0), cold.stream().mapToInt(m -> m.sent.size()).max().orElse(0)};
    }

    /** The highest load of any cold backend, as a fraction of the bound, in a span with two thirds of the attempts by ingresses that knew. */
    double worst() {
        double span = of.rules().overloadWindowMs(), worst = 0;
        for (Machine m : cold) {
            for (int from = 0; from < m.sent.size(); from++) {
                double begins = m.sent.get(from).at(), allowed = allowed(of.rules(), warmPerMs(), m.warmth(begins));
                int count = 0, knew = 0;
                while (from + count < m.sent.size() && m.sent.get(from + count).at() < begins + span) {
                    knew += m.sent.get(from + count++).told() ? 1 : 0;
                }
                if (knew * 3 >= 2 * count) { worst = Math.max(worst, count / bound(allowed)); }
            }
        }
        return worst;
    }

    /** Requests of mean work that the settings allow a backend of this warmth in their time span. */
    static double allowed(Rules rules, double warmPerMs, double warmth) {
        return rules.overloadFactor() * warmPerMs * warmth * rules.overloadWindowMs();
    }

    /** The overload bound: what is allowed plus a margin for chance. */
    static double bound(double allowed) { return allowed + 2 * Math.sqrt(allowed) + 2; }
}

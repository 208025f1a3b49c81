package yardusher;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import yardusher.Api.*;

/**
 * A hundred gateways on scripted time with thin traffic, by seed: most customers stay under their quotas, some ask for several
 * times as much, from most of the fleet, a few gateways getting most of it. Takes what went beyond the quotas, and what was
 * refused though it fitted, apart: by plan, by set, by what was asked, and by what the deciding gateway had not heard of.
 */
final class ExcessRun {
    /** Two plans whose excess costs, and one with a ceiling whose excess costs nothing. */
    static final List<Plan> PLANS = List.of(new Plan(1.6, 8, 0, 0.8, 0, 0, 0, 0.6), new Plan(8, 13, 0, 1.1, 0, 0, 0, 0.8),
            new Plan(31, 66, 0, 1.8, 65, 139, 14, 0));
    static final int[] CUSTOMERS = {1400, 160, 32};
    static final double[] UNITS = {2, 4}, WORTH = {4, 24};
    private static final double INTAKE_PER_S = 60, PEER_PRICE = 0.02;
    private static final int SERVERS = 64;
    static final boolean DBG = Boolean.getBoolean("dbg");
    private static final double[] AGES = {250, 500, 1000, 2000, Double.POSITIVE_INFINITY};

    /** Worth of tries of one kind: inside the true store and let in, beyond it and let in, inside and refused, in the ideal. */
    static final class Tally {
        double inside, beyond, ideal, tries, refusedFitting, beyondUnits, refusedUnits;
        double missing, believed, truth, decisions, heardMs;
        final double[] missingByAge = new double[AGES.length];
        double refusedMissing, refusedBelieved, refusedTruth, refusals, refusedOver;
    }

    private record Due(double at, long order, Runnable work) { }

    private record Let(double at, int gateway, double units) { }

    private final class Customer {
        final long id;
        final int plan, first, spread;
        final double asks;                           // of its quota
        final double spike;                          // times that, for a while
        double spikeUntil;
        double[] weights;
        double level, ideal, ceiling, at = now;
        final ArrayDeque<Let> let = new ArrayDeque<>();

        Customer(long id, int plan) {
            this.id = id;
            this.plan = plan;
            first = random.nextInt(size);
            int most = PLANS.get(plan).ceilingRate() > 0 ? (int) (PLANS.get(plan).ceilingBurst() / 8) : size;
            spread = Math.max(2, Math.min(most, size / 2 + random.nextInt(size - size / 2 + 1)));
            double kind = random.nextDouble();           // full, heavy, calm, and calm with spikes
            asks = kind < 0.17 ? 0.8 + 0.25 * random.nextDouble() : kind < 0.27 ? 2.6 + 1.7 * random.nextDouble()
                    : 0.15 + 0.35 * random.nextDouble();
            spike = kind > 0.85 ? (2.6 + 3.8 * random.nextDouble()) / asks : 1;
            if (kind > 0.85) { at(now + 12000 * random.nextDouble(), this::spike); }
            shift();
            Plan p = PLANS.get(plan);
            level = ideal = p.burst();
            ceiling = p.ceilingBurst();
        }

        void spike() {
            spikeUntil = now + 730 + 3000 * random.nextDouble();
            at(now + 10_000 + 15_000 * random.nextDouble(), this::spike);
        }

        /** Its gateways get parts of its traffic as ranks do. */
        void shift() {
            double skew = 0.9 + 0.5 * random.nextDouble();
            weights = new double[spread];
            for (int i = 0; i < spread; i++) { weights[i] = Math.pow(i + 1, -skew); }
            for (int i = spread - 1; i > 0; i--) {
                int j = random.nextInt(i + 1);
                double w = weights[i];
                weights[i] = weights[j];
                weights[j] = w;
            }
            at(now + 3300 + 4000 * random.nextDouble(), this::shift);
        }

        int gateway() {
            double all = 0;
            for (double w : weights) { all += w; }
            double draw = random.nextDouble() * all;
            int at = 0;
            while (at < spread - 1 && (draw -= weights[at]) > 0) { at++; }
            return (first + at) % size;
        }

        void refill() {
            Plan p = PLANS.get(plan);
            double gain = p.ratePerS() * (now - at) / 1000;
            level = Math.min(p.burst(), level + gain);
            ideal = Math.min(p.burst(), ideal + gain);
            ceiling = Math.min(p.ceilingBurst(), ceiling + p.ceilingRate() * (now - at) / 1000);
            at = now;
        }
    }

    final Map<String, Tally> tallies = new TreeMap<>();
    final Tally all = new Tally();
    final int size;
    double now = 1000, from, ceilingLeast = Double.POSITIVE_INFINITY;
    long tells, bytes, tries, lost;
    final SplittableRandom random;
    private final Policy[] gateways;
    private final int[] lives;
    private final List<Customer> customers = new ArrayList<>();
    private final PriorityQueue<Due> due = new PriorityQueue<>(Comparator.comparingDouble(Due::at).thenComparingLong(Due::order));
    private final List<Server> servers = new ArrayList<>();
    private final double[] intakeLeft, intakeAt;
    private final Map<Long, int[]> attempts = new HashMap<>();
    private long order, ids, current;
    private boolean sent;

    ExcessRun(int size, long seed) {
        this.size = size;
        random = new SplittableRandom(seed);
        gateways = new Policy[size];
        lives = new int[size];
        intakeLeft = new double[size];
        intakeAt = new double[size];
        for (int i = 0; i < SERVERS; i++) { servers.add(new Server(100 + i, i % 3, 0, 1, 0, Readiness.READY)); }
        for (int i = 0; i < size; i++) { restart(i); }
        long id = 0;
        for (int plan = 0; plan < PLANS.size(); plan++) {
            for (int i = 0; i < CUSTOMERS[plan] * size / 100; i++) {
                Customer c = new Customer(id++, plan);
                customers.add(c);
                arrive(c);
            }
        }
    }

    void at(double time, Runnable work) { due.add(new Due(Math.max(now, time), order++, work)); }

    void restart(int i) {
        int life = ++lives[i];
        gateways[i] = new Policy(settings(i), random.nextLong(), now, action -> act(i, life, action));
        gateways[i].on(now, new ServerList(ListKind.CACHED, servers));
    }

    private Settings settings(int i) {
        return new Settings(i, size, i % 3, 1, List.of(PolicyTest.SAFE, PolicyTest.KEYED), PLANS,
                new Limits(4, true, true, 2000), new Rules(0.25, 10000, 3, 1000, 1000), List.of(), false, INTAKE_PER_S, 4, 0, PEER_PRICE);
    }

    /** Runs on; what comes before {@code from} is not counted. */
    void run(double fromMs, double untilMs) {
        from = fromMs;
        while (!due.isEmpty() && due.peek().at() <= untilMs) {
            Due next = due.poll();
            now = Math.max(now, next.at());
            next.work().run();
        }
        now = untilMs;
    }

    private void act(int g, int life, Action action) {
        if (action instanceof SetTimer timer) {
            at(timer.atMs(), () -> tell(g, life, new TimerFired(timer.token())));
        } else if (action instanceof Tell tell) {
            if (now >= from) {
                tells++;
                if (SPLIT) { split(g, tell.body()); }
                bytes += tell.body().length();
            }
            if (random.nextDouble() >= 0.055) {
                at(now + 1.3 + 20 * random.nextDouble(), () -> deliver(tell.to(), new PeerMessage(g, tell.body())));
            }
        } else if (action instanceof Send send) {
            sent |= send.id() == current;
            int number = attempts.computeIfAbsent(send.id(), id -> new int[1])[0]++;
            double took = 80 + 120 * random.nextDouble();
            at(now + took, () -> tell(g, life, new AttemptDone(send.id(), number, send.server(), Outcome.SERVED, took, true, 0, null)));
        }
    }

    static final boolean SPLIT = Boolean.getBoolean("split");
    final Map<String, int[]> parts = new TreeMap<>();

    private void split(int g, String body) {
        Settings st = settings(g);
        Digits text = new Digits(body, 1);
        text.get(1);
        text.get(2);
        while (text.more()) {
            int left = body.length();
            int kind = (int) text.get(1);
            if (kind % RowText.KINDS >= RowText.FAULT) { Fault.read(kind, text); continue; }
            RowText row = RowText.read(kind, kind / RowText.KINDS, text, st);
            Customer c = customers.get((int) row.customer());
            String asked = c.spike > 1 ? "spiky" : c.asks < 0.6 ? "calm" : c.asks < 1.2 ? "full" : "heavy";
            StringBuilder b = new StringBuilder();
            row.put(b, st);
            int[] n = parts.computeIfAbsent((kind % RowText.KINDS == 0 ? "own " : "sum ") + c.plan + " " + asked, k -> new int[2]);
            n[0]++;
            n[1] += b.length();
        }
    }

    private void tell(int to, int life, Event event) {
        if (lives[to] == life) { gateways[to].on(now, event); }
    }

    private void deliver(int to, PeerMessage message) {
        intakeLeft[to] = Math.min(INTAKE_PER_S / 2, intakeLeft[to] + (now - intakeAt[to]) * INTAKE_PER_S / 1000);
        intakeAt[to] = now;
        if (intakeLeft[to] < 1) {
            lost++;
            return;
        }
        intakeLeft[to]--;
        gateways[to].on(now, message);
    }

    private void arrive(Customer c) {
        Plan p = PLANS.get(c.plan);
        double perS = c.asks * (now < c.spikeUntil ? c.spike : 1) * p.ratePerS() / 2.5; // a quarter of them of four units
        at(now - Math.log(1 - random.nextDouble()) / perS * 1000, () -> {
            ask(c, random.nextInt(4) == 0 ? 1 : 0, 0);
            arrive(c);
        });
    }

    private void ask(Customer c, int k, int tried) {
        c.refill();
        Plan p = PLANS.get(c.plan);
        double units = UNITS[k], worth = WORTH[k] * p.value();
        int g = c.gateway();
        // What the gateway believes and what it has not heard of, before it decides.
        gateways[g].standing(now, c.id, c.plan, units, c.first, c.spread);
        yardusher.Customer known = gateways[g].quotas.customers.get(c.id);
        double window = p.burst() / p.ratePerS() * 1000;
        while (!c.let.isEmpty() && c.let.peek().at() < now - window) { c.let.poll(); }
        double believed = p.burst(), missing = 0;
        double[] byAge = new double[AGES.length];
        if (known != null) {
            double[] others = known.others(-1);
            believed = known.room(others);
            double out = 0;
            for (Let let : c.let) { out += let.gateway() != g ? let.units() : 0; }
            missing = out - others[Row.SLOTS];
            Map<Integer, Double> heard = new HashMap<>();
            for (Row row : known.rows) { heard.merge(row.gateway, row.askedAt, Math::max); }
            for (Let let : c.let) {
                if (let.gateway() == g || heard.getOrDefault(let.gateway(), -1.0) > let.at()) { continue; }
                int age = 0;
                while (now - let.at() > AGES[age]) { age++; }
                byAge[age] += let.units();
            }
        }
        boolean fits = c.level >= units;
        double sumAge = 9999, askedBy = 0, out1 = 0; int nsums = 0;
        if (known != null) { for (Row r : known.sums) { sumAge = Math.min(sumAge, now - r.askedAt); nsums++; } askedBy = known.others(-1)[Row.SLOTS+1]; }
        for (Let let : c.let) { out1 += let.units(); }
        Object[] dbg = {now, c.plan, c.spread, String.format("%.2f", c.asks), g, fits, String.format("%.1f", c.level), String.format("%.1f", believed), String.format("%.1f", missing), String.format("%.1f", out1), String.format("%.0f", sumAge), nsums, String.format("%.1f", askedBy), known == null ? -1 : known.rank, known == null ? 0 : String.format("%.0f", now - known.newsAt), known == null ? 0 : String.format("%.0f", known.newsEvery), known == null ? 0 : String.format("%.0f", known.passEvery())};
        if (c.ideal >= units) {
            c.ideal -= units;
            if (now >= from) {
                all.ideal += worth;
                tally(c).ideal += worth;
            }
        }
        current = ++ids;
        sent = false;
        gateways[g].on(now, new Request(current, k, c.plan, c.id, now + 2000, units, c.first, c.spread));
        if (sent) {
            c.ceiling -= units;
            if (p.ceilingRate() > 0) { ceilingLeast = Math.min(ceilingLeast, c.ceiling); }
            if (fits) { c.level -= units; }
            c.let.add(new Let(now, g, units));
        } else if (tried < 2 && random.nextDouble() < 0.6) {
            at(now + 50 + 350 * random.nextDouble(), () -> ask(c, k, tried + 1));
        }
        if (now < from) { return; }
        if (DBG && c.plan == 1 && c.asks > 2) { System.out.println("D " + sent + " " + java.util.Arrays.toString(dbg)); }
        tries++;
        for (Tally t : List.of(all, tally(c))) {
            t.tries++;
            if (sent && fits) { t.inside += worth; }
            if (sent && !fits) {
                t.beyond += worth * p.overCost();
                t.beyondUnits += units;
                t.decisions++;
                t.believed += believed;
                t.truth += c.level;
                t.missing += missing;
                for (int i = 0; i < byAge.length; i++) { t.missingByAge[i] += byAge[i]; }
            }
            if (!sent && fits) {
                t.refusedFitting += worth;
                t.refusedUnits += units;
                t.refusals++;
                t.refusedBelieved += believed;
                t.refusedTruth += c.level;
                t.refusedMissing += missing;
                t.refusedOver += c.level >= p.burst() / 2 ? worth : 0;
            }
        }
    }

    private Tally tally(Customer c) {
        yardusher.Customer known = gateways[c.first].quotas.customers.get(c.id);
        boolean direct = c.spread - 1 <= Math.max(12, 0.054 * PLANS.get(c.plan).burst() / PLANS.get(c.plan).ratePerS() * 1000 / 3);
        String asked = c.spike > 1 ? "spiky" : c.asks < 0.6 ? "calm" : c.asks < 1.2 ? "full" : "heavy";
        return tallies.computeIfAbsent("plan " + c.plan + (direct ? " direct  " : " met     ") + asked, key -> new Tally());
    }

    /** Arguments: gateways, first seed, how many, seconds. */
    public static void main(String[] args) {
        int size = Integer.parseInt(args[0]);
        long first = Long.parseLong(args[1]), count = Long.parseLong(args[2]);
        double until = 1000 * Double.parseDouble(args[3]);
        boolean quiet = args.length > 4;
        List<ExcessRun> runs = java.util.stream.LongStream.range(first, first + count).parallel().mapToObj(seed -> {
            ExcessRun run = new ExcessRun(size, seed);
            run.run(6000, until);
            return run;
        }).toList();
        for (ExcessRun run : runs) {
            run.parts.forEach((k, v) -> System.out.printf("%-12s rows %d bytes %.3f of all%n", k, v[0], v[1] / (double) run.bytes));
            if (!quiet) {
                run.tallies.forEach((key, t) -> System.out.printf("%-22s %s%n", key, line(run, t)));
            }
            double message = run.tells == 0 ? 0 : run.bytes / 256.0 / run.tries;
            System.out.printf("all: inside %.3f excess %.3f messages %.4f net %.4f | refused fitting %.3f; tells/s %.1f full %.2f lost %.3f tries/s %.1f "
                    + "least ceiling %.0f%n", run.all.inside / run.all.ideal, run.all.beyond / run.all.ideal, 0.02 * message,
                    (run.all.inside - run.all.beyond) / run.all.ideal - 0.02 * message, run.all.refusedFitting / run.all.ideal,
                    run.tells * 1000.0 / size / (until - 6000), run.bytes / 256.0 / run.tells, run.lost / (double) run.tells,
                    run.tries * 1000.0 / size / (until - 6000), run.ceilingLeast);
        }
        System.out.printf("MEAN net %.4f inside %.4f excess %.4f%n", runs.stream().mapToDouble(run -> (run.all.inside - run.all.beyond) / run.all.ideal
                - 0.02 * run.bytes / 256.0 / run.tries).average().orElse(0), runs.stream().mapToDouble(run -> run.all.inside / run.all.ideal).average().orElse(0),
                runs.stream().mapToDouble(run -> run.all.beyond / run.all.ideal).average().orElse(0));
    }

    private static String line(ExcessRun run, Tally t) {
        double n = Math.max(1, t.decisions), r = Math.max(1, t.refusals);
        StringBuilder ages = new StringBuilder();
        for (double age : t.missingByAge) { ages.append(String.format(" %.1f", age / n)); }
        return String.format("ideal %.3f inside %.2f excess %.4f (%.0f: believed %.1f true %.1f missing %.1f by age%s) refused fitting %.4f (%.0f: "
                + "believed %.1f true %.1f missing %.1f, over half %.4f)", t.ideal / run.all.ideal, t.inside / t.ideal, t.beyond / run.all.ideal, t.decisions,
                t.believed / n, t.truth / n, t.missing / n, ages, t.refusedFitting / run.all.ideal, t.refusals, t.refusedBelieved / r, t.refusedTruth / r,
                t.refusedMissing / r, t.refusedOver / run.all.ideal);
    }
}

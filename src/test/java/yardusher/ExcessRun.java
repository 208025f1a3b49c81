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
import java.util.stream.LongStream;
import yardusher.Api.*;

/**
 * Simulation, by seed, of a hundred gateways with sparse traffic: most customers stay under their quotas, some request several
 * times as much, at most of the fleet, with most of it at a few gateways. Breaks down the units admitted beyond the quotas, and
 * those refused within them, by plan, set size, demand, and age of the counts at the deciding gateway.
 */
final class ExcessRun {
    /** Two plans whose excess has a cost, and one with a ceiling whose excess has none. */
    static final List<Plan> PLANS = List.of(new Plan(1.6, 8, 0, 0.8, 0, 0, 0, 0.6), new Plan(8, 13, 0, 1.1, 0, 0, 0, 0.8),
            new Plan(31, 66, 0, 1.8, 65, 139, 14, 0));
    private static final int[] CUSTOMERS = {1400, 160, 32}; // per 100 gateways
    private static final double[] UNITS = {2, 4}, WORTH = {4, 24};
    private static final double INTAKE_PER_S = 60, PEER_PRICE = 0.02;
    private static final int SERVERS = 64;
    private static final double[] AGES = {250, 500, 1000, 2000, Double.POSITIVE_INFINITY};
    private static final String[] NAMES = {"a to 0.25 s", "b to 0.5 s", "c to 1 s", "d to 2 s", "e older, or none"};

    /** Worth of the tries of one kind, and the knowledge at the decisions that admitted beyond the quota or refused within it. */
    static final class Tally {
        double inside, beyond, ideal, refused, refusedOverHalf;
        final Known letIn = new Known(), turnedAway = new Known();
    }

    /** Sums over decisions: the assumed room, the true room, and the units admitted elsewhere within a window that were unknown. */
    static final class Known {
        double n, believed, truth;
        final double[] unheard = new double[AGES.length];

        void add(double itsBelieved, double itsTruth, double[] itsUnheard) {
            n++;
            believed += itsBelieved;
            truth += itsTruth;
            for (int i = 0; i < AGES.length; i++) { unheard[i] += itsUnheard[i]; }
        }

        @Override
        public String toString() {
            double of = Math.max(1, n);
            StringBuilder ages = new StringBuilder();
            for (double units : unheard) { ages.append(String.format(" %.1f", units / of)); }
            return String.format("%.0f | %.1f | %.1f |%s", n, believed / of, truth / of, ages);
        }
    }

    private record Due(double at, long order, Runnable work) { }

    private record Let(double at, int gateway, double units) { }

    private final class Customer {
        final long id;
        final int plan, first, spread;
        final double asks;                           // demand as a fraction of the quota
        final double spike;                          // factor on the demand during a spike
        double spikeUntil;
        double[] weights;
        double level, ideal, ceiling, at = now;
        final ArrayDeque<Let> let = new ArrayDeque<>();

        Customer(long id, int plan) {
            this.id = id;
            this.plan = plan;
            first = random.nextInt(size);
            int most = PLANS.get(plan).ceilingRatePerS() > 0 ? (int) (PLANS.get(plan).ceilingBurst() / 8) : size;
            spread = Math.max(2, Math.min(most, size / 2 + random.nextInt(size - size / 2 + 1)));
            double kind = random.nextDouble();           // at the quota, above it, below it, and below it with spikes
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

        /** Draws how the traffic is spread over its gateways: by a power law of their rank. */
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
            ceiling = Math.min(p.ceilingBurst(), ceiling + p.ceilingRatePerS() * (now - at) / 1000);
            at = now;
        }
    }

    final Map<String, Tally> tallies = new TreeMap<>();
    final int size;
    private final double loss;                       // fraction of messages lost in the network
    double now = 1000, ceilingLeast = Double.POSITIVE_INFINITY;
    private double from = Double.POSITIVE_INFINITY;  // start of the counted time
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

    ExcessRun(int size, double loss, long seed) {
        this.size = size;
        this.loss = loss;
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

    /** Continues the run; counts from {@code fromMs} on. */
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
                bytes += tell.body().length();
            }
            if (random.nextDouble() >= loss) {
                at(now + 1.3 + 20 * random.nextDouble(), () -> deliver(tell.to(), new PeerMessage(g, tell.body())));
            }
        } else if (action instanceof Send send) {
            sent |= send.id() == current;
            int number = attempts.computeIfAbsent(send.id(), id -> new int[1])[0]++;
            double took = 80 + 120 * random.nextDouble();
            at(now + took, () -> tell(g, life, new AttemptDone(send.id(), number, send.server(), Outcome.SERVED, took, true, 0, null)));
        }
    }

    private void tell(int to, int life, Event event) {
        if (lives[to] == life) { gateways[to].on(now, event); }
    }

    private void deliver(int to, PeerMessage message) {
        intakeLeft[to] = Math.min(INTAKE_PER_S / 2, intakeLeft[to] + (now - intakeAt[to]) * INTAKE_PER_S / 1000);
        intakeAt[to] = now;
        if (intakeLeft[to] < 1) {
            lost += now >= from ? 1 : 0;
            return;
        }
        intakeLeft[to]--;
        gateways[to].on(now, message);
    }

    private void arrive(Customer c) {
        Plan p = PLANS.get(c.plan);
        double perS = c.asks * (now < c.spikeUntil ? c.spike : 1) * p.ratePerS() / 2.5; // a quarter of the requests take four units
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
        double window = p.burst() / p.ratePerS() * 1000, believed = p.burst(), age = Double.POSITIVE_INFINITY;
        while (!c.let.isEmpty() && c.let.peek().at() < now - window) { c.let.poll(); }
        gateways[g].quotaStatus(now, c.id, c.plan, units, c.first, c.spread); // read only; sets its clock
        yardusher.Customer known = gateways[g].quotas.customers.get(c.id);
        double[] unheard = new double[AGES.length];
        if (known != null) {
            believed = known.room(known.unitsOfOthers(-1));
            age = now - known.heardAtMs;
        }
        for (Let let : c.let) {
            if (let.gateway() != g && let.at() > now - age) { unheard[bucket(now - let.at())] += let.units(); }
        }
        boolean fits = c.level >= units, ideal = c.ideal >= units;
        if (ideal) { c.ideal -= units; }
        current = ++ids;
        sent = false;
        gateways[g].on(now, new Request(current, k, c.plan, c.id, now + 2000, units, c.first, c.spread));
        double truth = c.level;
        if (sent) {
            c.ceiling -= units;
            if (p.ceilingRatePerS() > 0) { ceilingLeast = Math.min(ceilingLeast, c.ceiling); }
            if (fits) { c.level -= units; }
            c.let.add(new Let(now, g, units));
        } else if (tried < 2 && random.nextDouble() < 0.6) {
            at(now + 50 + 350 * random.nextDouble(), () -> ask(c, k, tried + 1));
        }
        if (now < from) { return; }
        tries++;
        String asked = c.spike > 1 ? "in spikes" : c.asks < 0.6 ? "little" : c.asks < 1.2 ? "nearly all" : "several times";
        String plan = p.ceilingRatePerS() > 0 ? "groot" : c.plan == 0 ? "basis" : "plus";
        String set = c.spread < 50 ? "2 to 49" : c.spread < 65 ? "50 to 64" : c.spread < 80 ? "65 to 79" : "80 and more";
        for (String key : List.of("all", "1 " + plan + ", asks " + asked, "2 " + plan + ", set of " + set, "3 " + plan + ", heard "
                + NAMES[bucket(age)])) {
            Tally t = tallies.computeIfAbsent(key, name -> new Tally());
            t.ideal += ideal ? worth : 0;
            if (sent && fits) {
                t.inside += worth;
            } else if (sent) {
                t.beyond += worth * p.overQuotaCost();
                t.letIn.add(believed, truth, unheard);
            } else if (fits) {
                t.refused += worth;
                t.refusedOverHalf += truth >= p.burst() / 2 ? worth : 0;
                t.turnedAway.add(believed, truth, unheard);
            }
        }
    }

    private static int bucket(double age) {
        int i = 0;
        while (age > AGES[i]) { i++; }
        return i;
    }

    /** The cost of excess as a fraction of the worth that one gateway with full knowledge would admit. */
    double excess() { return tallies.get("all").beyond / tallies.get("all").ideal; }

    double messages() { return PEER_PRICE * bytes / RowMessage.MAX_MESSAGE_BYTES / tries; }

    /** Fraction of messages dropped by receivers at their intake limit. */
    double overrun() { return lost / (double) tells; }

    double inside() { return tallies.get("all").inside / tallies.get("all").ideal; }

    /** Arguments: gateways, first seed, number of seeds, seconds, and "q" for totals only. Prints the tables of docs/measurements/excess.md. */
    public static void main(String[] args) {
        int size = Integer.parseInt(args[0]);
        long first = Long.parseLong(args[1]), count = Long.parseLong(args[2]);
        double until = 1000 * Double.parseDouble(args[3]), seconds = (until - 6000) / 1000;
        List<ExcessRun> runs = LongStream.range(first, first + count).parallel().mapToObj(seed -> {
            ExcessRun run = new ExcessRun(size, 0.055, seed);
            run.run(6000, until);
            return run;
        }).toList();
        double[] mean = new double[3];
        for (ExcessRun run : runs) {
            double whole = run.tallies.get("all").ideal;
            run.tallies.forEach((key, t) -> {
                if (args.length > 4) { return; }
                System.out.printf("| %s | %.3f | %.2f | %.4f | %s | %.3f | %.3f | %s |%n", key, t.ideal / whole, t.inside / Math.max(1e-9, t.ideal),
                        t.beyond / whole, t.letIn, t.refused / whole, t.refusedOverHalf / whole, t.turnedAway);
            });
            System.out.printf("inside %.3f, excess %.3f, messages %.4f; a gateway and second: %.1f tries, %.1f messages, %.2f full; lost at full receivers"
                    + " %.3f; least of the ceilings %.0f%n", run.inside(), run.excess(), run.messages(), run.tries / seconds / size,
                    run.tells / seconds / size, run.bytes / 256.0 / run.tells, run.overrun(), run.ceilingLeast);
            mean[0] += run.inside() / count;
            mean[1] += run.excess() / count;
            mean[2] += run.messages() / count;
        }
        System.out.printf("mean: inside %.4f, excess %.4f, messages %.4f; inside less both %.4f%n", mean[0], mean[1], mean[2], mean[0] - mean[1] - mean[2]);
    }
}

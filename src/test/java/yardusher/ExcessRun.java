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
    private static final double[] AGE_LIMITS_MS = {250, 500, 1000, 2000, Double.POSITIVE_INFINITY};
    private static final String[] AGE_NAMES = {"a to 0.25 s", "b to 0.5 s", "c to 1 s", "d to 2 s", "e older, or none"};

    /** Worth of the tries of one kind, and the knowledge at the decisions that admitted beyond the quota or refused within it. */
    static final class Tally {
        double inside, beyond, ideal, refused, refusedOverHalf;
        final Knowledge admittedBeyond = new Knowledge(), refusedWithin = new Knowledge();
    }

    /** Sums over decisions: the assumed room, the true room, and the units admitted elsewhere within a window that were unknown. */
    static final class Knowledge {
        double count, assumedRoom, trueRoom;
        final double[] unknownUnits = new double[AGE_LIMITS_MS.length];

        void add(double assumed, double actual, double[] unknown) {
            count++;
            assumedRoom += assumed;
            trueRoom += actual;
            for (int i = 0; i < AGE_LIMITS_MS.length; i++) { unknownUnits[i] += unknown[i]; }
        }

        @Override
        public String toString() {
            double of = Math.max(1, count);
            StringBuilder ages = new StringBuilder();
            for (double units : unknownUnits) { ages.append(String.format(" %.1f", units / of)); }
            return String.format("%.0f | %.1f | %.1f |%s", count, assumedRoom / of, trueRoom / of, ages);
        }
    }

    private record Task(double atMs, long number, Runnable work) { }

    private record Admission(double atMs, int gateway, double units) { }

    private final class Customer {
        final long id;
        final int plan, firstGateway, gatewayCount;
        final double demand;                           // demand as a fraction of the quota
        final double spikeFactor;                          // factor on the demand during a spike
        double spikeUntilMs;
        double[] weights;
        double level, ideal, ceiling, updatedAtMs = now;
        final ArrayDeque<Admission> admissions = new ArrayDeque<>();

        Customer(long id, int plan) {
            this.id = id;
            this.plan = plan;
            firstGateway = random.nextInt(size);
            int most = PLANS.get(plan).ceilingRatePerS() > 0 ? (int) (PLANS.get(plan).ceilingBurst() / 8) : size;
            gatewayCount = Math.max(2, Math.min(most, size / 2 + random.nextInt(size - size / 2 + 1)));
            double kind = random.nextDouble();           // at the quota, above it, below it, and below it with spikes
            demand = kind < 0.17 ? 0.8 + 0.25 * random.nextDouble() : kind < 0.27 ? 2.6 + 1.7 * random.nextDouble()
                    : 0.15 + 0.35 * random.nextDouble();
            spikeFactor = kind > 0.85 ? (2.6 + 3.8 * random.nextDouble()) / demand : 1;
            if (kind > 0.85) { schedule(now + 12000 * random.nextDouble(), this::spike); }
            drawWeights();
            Plan p = PLANS.get(plan);
            level = ideal = p.burst();
            ceiling = p.ceilingBurst();
        }

        void spike() {
            spikeUntilMs = now + 730 + 3000 * random.nextDouble();
            schedule(now + 10_000 + 15_000 * random.nextDouble(), this::spike);
        }

        /** Draws how the traffic is spread over its gateways: by a power law of their rank. */
        void drawWeights() {
            double skew = 0.9 + 0.5 * random.nextDouble();
            weights = new double[gatewayCount];
            for (int i = 0; i < gatewayCount; i++) { weights[i] = Math.pow(i + 1, -skew); }
            for (int i = gatewayCount - 1; i > 0; i--) {
                int j = random.nextInt(i + 1);
                double w = weights[i];
                weights[i] = weights[j];
                weights[j] = w;
            }
            schedule(now + 3300 + 4000 * random.nextDouble(), this::drawWeights);
        }

        int gateway() {
            double all = 0;
            for (double w : weights) { all += w; }
            double draw = random.nextDouble() * all;
            int index = 0;
            while (index < gatewayCount - 1 && (draw -= weights[index]) > 0) { index++; }
            return (firstGateway + index) % size;
        }

        void refill() {
            Plan p = PLANS.get(plan);
            double gain = p.ratePerS() * (now - updatedAtMs) / 1000;
            level = Math.min(p.burst(), level + gain);
            ideal = Math.min(p.burst(), ideal + gain);
            ceiling = Math.min(p.ceilingBurst(), ceiling + p.ceilingRatePerS() * (now - updatedAtMs) / 1000);
            updatedAtMs = now;
        }
    }

    final Map<String, Tally> tallies = new TreeMap<>();
    final int size;
    private final double loss;                       // fraction of messages lost in the network
    double now = 1000, lowestCeiling = Double.POSITIVE_INFINITY;
    private double countFromMs = Double.POSITIVE_INFINITY;  // start of the counted time
    long messagesSent, bytes, tries, lost;
    final SplittableRandom random;
    private final Policy[] gateways;
    private final int[] incarnations;
    private final List<Customer> customers = new ArrayList<>();
    private final PriorityQueue<Task> tasks = new PriorityQueue<>(Comparator.comparingDouble(Task::atMs).thenComparingLong(Task::number));
    private final List<Server> servers = new ArrayList<>();
    private final double[] intakeLeft, intakeAtMs;
    private final Map<Long, int[]> attempts = new HashMap<>();
    private long taskCount, requestCount, current;
    private boolean sent;

    ExcessRun(int size, double loss, long seed) {
        this.size = size;
        this.loss = loss;
        random = new SplittableRandom(seed);
        gateways = new Policy[size];
        incarnations = new int[size];
        intakeLeft = new double[size];
        intakeAtMs = new double[size];
        for (int i = 0; i < SERVERS; i++) { servers.add(new Server(100 + i, i % 3, 0, 1, 0, Readiness.READY)); }
        for (int i = 0; i < size; i++) { restart(i); }
        long id = 0;
        for (int plan = 0; plan < PLANS.size(); plan++) {
            for (int i = 0; i < CUSTOMERS[plan] * size / 100; i++) {
                Customer c = new Customer(id++, plan);
                customers.add(c);
                scheduleArrival(c);
            }
        }
    }

    void schedule(double atMs, Runnable action) { tasks.add(new Task(Math.max(now, atMs), taskCount++, action)); }

    void restart(int i) {
        int incarnation = ++incarnations[i];
        gateways[i] = new Policy(settings(i), random.nextLong(), now, action -> handle(i, incarnation, action));
        gateways[i].on(now, new ServerList(ListKind.CACHED, servers));
    }

    private Settings settings(int i) {
        return new Settings(i, size, i % 3, 1, List.of(PolicyTest.IDEMPOTENT, PolicyTest.DEDUPLICATED), PLANS,
                new Limits(4, true, true, 2000), new Rules(0.25, 10000, 3, 1000, 1000), List.of(), false, INTAKE_PER_S, 4, 0, PEER_PRICE);
    }

    /** Continues the run; counts from {@code fromMs} on. */
    void run(double fromMs, double untilMs) {
        countFromMs = fromMs;
        while (!tasks.isEmpty() && tasks.peek().atMs() <= untilMs) {
            Task next = tasks.poll();
            now = Math.max(now, next.atMs());
            next.work().run();
        }
        now = untilMs;
    }

    private void handle(int gateway, int incarnation, Action action) {
        if (action instanceof SetTimer timer) {
            schedule(timer.atMs(), () -> deliverEvent(gateway, incarnation, new TimerFired(timer.token())));
        } else if (action instanceof Tell tell) {
            if (now >= countFromMs) {
                messagesSent++;
                bytes += tell.body().length();
            }
            if (random.nextDouble() >= loss) {
                schedule(now + 1.3 + 20 * random.nextDouble(), () -> deliver(tell.to(), new PeerMessage(gateway, tell.body())));
            }
        } else if (action instanceof Send send) {
            sent |= send.id() == current;
            int number = attempts.computeIfAbsent(send.id(), id -> new int[1])[0]++;
            double tookMs = 80 + 120 * random.nextDouble();
            schedule(now + tookMs, () -> deliverEvent(gateway, incarnation,
                    new AttemptDone(send.id(), number, send.server(), Outcome.SERVED, tookMs, true, 0, null)));
        }
    }

    private void deliverEvent(int to, int incarnation, Event event) {
        if (incarnations[to] == incarnation) { gateways[to].on(now, event); }
    }

    private void deliver(int to, PeerMessage message) {
        intakeLeft[to] = Math.min(INTAKE_PER_S / 2, intakeLeft[to] + (now - intakeAtMs[to]) * INTAKE_PER_S / 1000);
        intakeAtMs[to] = now;
        if (intakeLeft[to] < 1) {
            lost += now >= countFromMs ? 1 : 0;
            return;
        }
        intakeLeft[to]--;
        gateways[to].on(now, message);
    }

    private void scheduleArrival(Customer customer) {
        Plan p = PLANS.get(customer.plan);
        double perS = customer.demand * (now < customer.spikeUntilMs ? customer.spikeFactor : 1) * p.ratePerS() / 2.5; // a quarter of the requests take four units
        schedule(now - Math.log(1 - random.nextDouble()) / perS * 1000, () -> {
            sendRequest(customer, random.nextInt(4) == 0 ? 1 : 0, 0);
            scheduleArrival(customer);
        });
    }

    private void sendRequest(Customer customer, int classIndex, int tried) {
        customer.refill();
        Plan p = PLANS.get(customer.plan);
        double units = UNITS[classIndex], worth = WORTH[classIndex] * p.value();
        int gateway = customer.gateway();
        double window = p.burst() / p.ratePerS() * 1000, assumedRoom = p.burst(), age = Double.POSITIVE_INFINITY;
        while (!customer.admissions.isEmpty() && customer.admissions.peek().atMs() < now - window) { customer.admissions.poll(); }
        gateways[gateway].quotaStatus(now, customer.id, customer.plan, units, customer.firstGateway, customer.gatewayCount); // read only; sets its clock
        yardusher.Customer known = gateways[gateway].quotas.customers.get(customer.id);
        double[] unknownUnits = new double[AGE_LIMITS_MS.length];
        if (known != null) {
            assumedRoom = known.room(known.unitsOfOthers(-1));
            age = now - known.heardAtMs;
        }
        for (Admission let : customer.admissions) {
            if (let.gateway() != gateway && let.atMs() > now - age) { unknownUnits[bucket(now - let.atMs())] += let.units(); }
        }
        boolean fits = customer.level >= units, ideal = customer.ideal >= units;
        if (ideal) { customer.ideal -= units; }
        current = ++requestCount;
        sent = false;
        gateways[gateway].on(now, new Request(current, classIndex, customer.plan, customer.id, now + 2000, units, customer.firstGateway, customer.gatewayCount));
        double trueRoom = customer.level;
        if (sent) {
            customer.ceiling -= units;
            if (p.ceilingRatePerS() > 0) { lowestCeiling = Math.min(lowestCeiling, customer.ceiling); }
            if (fits) { customer.level -= units; }
            customer.admissions.add(new Admission(now, gateway, units));
        } else if (tried < 2 && random.nextDouble() < 0.6) {
            schedule(now + 50 + 350 * random.nextDouble(), () -> sendRequest(customer, classIndex, tried + 1));
        }
        if (now < countFromMs) { return; }
        tries++;
        String demandName = customer.spikeFactor > 1 ? "in spikes" : customer.demand < 0.6 ? "little" : customer.demand < 1.2 ? "nearly all" : "several times";
        String planName = p.ceilingRatePerS() > 0 ? "groot" : customer.plan == 0 ? "basis" : "plus";
        String setName = customer.gatewayCount < 50 ? "2 to 49" : customer.gatewayCount < 65 ? "50 to 64" : customer.gatewayCount < 80 ? "65 to 79" : "80 and more";
        for (String key : List.of("all", "1 " + planName + ", asks " + demandName, "2 " + planName + ", set of " + setName, "3 " + planName + ", heard "
                + AGE_NAMES[bucket(age)])) {
            Tally t = tallies.computeIfAbsent(key, name -> new Tally());
            t.ideal += ideal ? worth : 0;
            if (sent && fits) {
                t.inside += worth;
            } else if (sent) {
                t.beyond += worth * p.overQuotaCost();
                t.admittedBeyond.add(assumedRoom, trueRoom, unknownUnits);
            } else if (fits) {
                t.refused += worth;
                t.refusedOverHalf += trueRoom >= p.burst() / 2 ? worth : 0;
                t.refusedWithin.add(assumedRoom, trueRoom, unknownUnits);
            }
        }
    }

    private static int bucket(double age) {
        int i = 0;
        while (age > AGE_LIMITS_MS[i]) { i++; }
        return i;
    }

    /** The cost of excess as a fraction of the worth that one gateway with full knowledge would admit. */
    double excessCost() { return tallies.get("all").beyond / tallies.get("all").ideal; }

    double messageCost() { return PEER_PRICE * bytes / RowMessage.MAX_MESSAGE_BYTES / tries; }

    /** Fraction of messages dropped by receivers at their intake limit. */
    double droppedFraction() { return lost / (double) messagesSent; }

    double admittedFraction() { return tallies.get("all").inside / tallies.get("all").ideal; }

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
                        t.beyond / whole, t.admittedBeyond, t.refused / whole, t.refusedOverHalf / whole, t.refusedWithin);
            });
            System.out.printf("inside %.3f, excess %.3f, messages %.4f; a gateway and second: %.1f tries, %.1f messages, %.2f full; lost at full receivers"
                    + " %.3f; least of the ceilings %.0f%n", run.admittedFraction(), run.excessCost(), run.messageCost(), run.tries / seconds / size,
                    run.messagesSent / seconds / size, run.bytes / 256.0 / run.messagesSent, run.droppedFraction(), run.lowestCeiling);
            mean[0] += run.admittedFraction() / count;
            mean[1] += run.excessCost() / count;
            mean[2] += run.messageCost() / count;
        }
        System.out.printf("mean: inside %.4f, excess %.4f, messages %.4f; inside less both %.4f%n", mean[0], mean[1], mean[2], mean[0] - mean[1] - mean[2]);
    }
}

package yardusher.lab.rates;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import yardusher.Api.*;
import yardusher.Policy;
import yardusher.rates.Rates;

/**
 * A fleet on scripted time, by seed: the decision module of each ingress with {@link Rates} beside it, and tenants of Zipf's law with wide
 * sets, of whom some ask for nearly all of their quota, some for several times it, and some do so in spikes. Beside it decides a policy that
 * sees what was let in, all of it, a quarter of a second late. Times are ms. A trouble begins at {@link #WARM_MS}, and what is counted begins there too.
 *
 * <p>{@code RatesRun SIZE TROUBLE SEED ...}, a size of {@link #size}; one line a seed.
 */
public final class RatesRun {
    /** ZONE: an eighth of the ingresses is gone. RESTART: a tenth begins anew. APART: two halves do not hear each other. */
    enum Fault { NONE, ZONE, LOSS, RESTART, APART }

    /** {@code wide}: whether rates speak for the sets; else the module's own messages do. */
    record Case(int ingresses, int tenants, double requestsPerS, Fault fault, double loss, double bytesPerS, boolean wide, double seconds, long seed) { }

    static final double WARM_UP_MS = 150_000;
    private static final int PLANS = 18;
    private static final double MIN_RATE_PER_S = 0.25, WINDOW_S = 2, MAX_UNITS = 4, OVER_COST = 0.8, PEER_PRICE = 0.02, INTAKE_PER_S = 60;
    private static final double DETECTION_MS = 5000;   // until views agree on who is gone
    private static final double REFERENCE_DELAY_MS = 250;       // what the policy beside it does not see yet
    private static final int HEADER_BYTES = 43, MAX_BODY_BYTES = 1200, SERVERS = 8;
    /** What is promised; with few tenants one of them is a part of all that counts, and wrong by chance. */
    private static final double MAX_EXCESS = 0.1, MAX_ROOMY_REFUSED = 0.04, MAX_ROOMY_REFUSED_OF_FEW = 0.06, MAX_BYTES_RATIO = 1.02, MAX_HEAVY_ADMITTED = 1.3;
    private static final int FEW_TENANTS = 10_000;
    private static final double[] REQUEST_UNITS = {2, 4};

    private record ScheduledAction(double atMs, long sequence, Runnable action) { }

    private record Admission(double atMs, double units) { }

    private final class Tenant {
        final long id;
        final int plan, first, spread;
        final Plan planTerms;
        final double requestsPerS;
        final double spikeFactor;                          // times that, for a while
        final boolean heavy;
        double spikeUntilMs;
        double level, idealLevel, referenceLevel, refilledAtMs;
        double demandedUnits, admittedUnits;                 // while counted
        final ArrayDeque<Admission> unseenAdmissions = new ArrayDeque<>();

        Tenant(long id, double wantedRequestsPerS) {
            this.id = id;
            double kind = random.nextDouble();       // full, heavy, calm, and calm with spikes
            double demandRatio = kind < 0.17 ? 0.8 + 0.25 * random.nextDouble() : kind < 0.27 ? 2.6 + 1.7 * random.nextDouble() : 0.15 + 0.35 * random.nextDouble();
            heavy = kind >= 0.17 && kind < 0.27;
            double unitsPerRequest = 2.5, quota = wantedRequestsPerS * unitsPerRequest / demandRatio;
            plan = (int) Math.max(0, Math.min(PLANS - 1, Math.round(Math.log(quota / MIN_RATE_PER_S) / Math.log(2))));
            planTerms = plans.get(plan);
            requestsPerS = demandRatio * planTerms.ratePerS() / unitsPerRequest;
            spikeFactor = kind > 0.85 ? (2.6 + 3.8 * random.nextDouble()) / demandRatio : 1;
            if (spikeFactor > 1) { schedule(20_000 * random.nextDouble(), this::startSpike); }
            spread = setup.ingresses / 2 + random.nextInt(setup.ingresses - setup.ingresses / 2 + 1);
            first = random.nextInt(setup.ingresses);
            level = idealLevel = referenceLevel = planTerms.burst();
        }

        void startSpike() {
            spikeUntilMs = now + 730 + 3000 * random.nextDouble();
            schedule(now + 10_000 + 15_000 * random.nextDouble(), this::startSpike);
        }

        void scheduleNext() {
            schedule(now - Math.log(1 - random.nextDouble()) * 1000 / (requestsPerS * (now < spikeUntilMs ? spikeFactor : 1)), () -> {
                request(this);
                scheduleNext();
            });
        }

        void refill() {
            double earned = planTerms.ratePerS() * (now - refilledAtMs) / 1000;
            level = Math.min(planTerms.burst(), level + earned);
            idealLevel = Math.min(planTerms.burst(), idealLevel + earned);
            referenceLevel = Math.min(planTerms.burst(), referenceLevel + earned);
            refilledAtMs = now;
            while (!unseenAdmissions.isEmpty() && unseenAdmissions.peek().atMs < now - REFERENCE_DELAY_MS) { unseenAdmissions.poll(); }
        }
    }

    private final Case setup;
    private final SplittableRandom random;
    private final PriorityQueue<ScheduledAction> queue = new PriorityQueue<>(Comparator.comparingDouble(ScheduledAction::atMs).thenComparingLong(ScheduledAction::sequence));
    private final List<Plan> plans = new ArrayList<>();
    private final Policy[] modules;
    private final Rates[] rates;
    private final int[] generations;
    private final boolean[] gone;
    private final double[] quotas;
    private final List<Tenant> tenants = new ArrayList<>();
    private final List<Server> servers = new ArrayList<>();
    private double now;
    private long lastSequence, lastRequestId, currentRequestId;
    private boolean currentSent, counting, partitioned;
    /** Of what is counted, in units: let in inside the quotas and beyond, the same of the late policy, and what one that saw all would let in. */
    double withinQuota, beyondQuota, referenceBeyondQuota, idealAdmitted;
    /** Tries: all, refused though they fitted, and refused with half of the quota or more unused. */
    long requests, refusedFitting, refusedRoomy;
    private long bytes;

    RatesRun(Case setup) {
        this.setup = setup;
        random = new SplittableRandom(setup.seed);
        for (int i = 0; i < PLANS; i++) {
            double rate = MIN_RATE_PER_S * (1 << i);
            plans.add(new Plan(rate, Math.max(MAX_UNITS, WINDOW_S * rate), 0, 1, 0, 0, 0, OVER_COST));
        }
        quotas = plans.stream().mapToDouble(Plan::ratePerS).toArray();
        modules = new Policy[setup.ingresses];
        rates = new Rates[setup.ingresses];
        generations = new int[setup.ingresses];
        gone = new boolean[setup.ingresses];
        for (int i = 0; i < SERVERS; i++) { servers.add(new Server(100 + i, 0, 0, 1, 0, Readiness.READY)); }
        for (int i = 0; i < setup.ingresses; i++) { startIngress(i); }
        double all = 0;
        for (int i = 1; i <= setup.tenants; i++) { all += Math.pow(i, -0.8); }
        for (int i = 1; i <= setup.tenants; i++) {
            Tenant tenant = new Tenant(10_000 + i, setup.requestsPerS * Math.pow(i, -0.8) / all);
            tenants.add(tenant);
            tenant.scheduleNext();
        }
        schedule(WARM_UP_MS, this::injectFault);
    }

    private void schedule(double atMs, Runnable action) { queue.add(new ScheduledAction(Math.max(now, atMs), lastSequence++, action)); }

    private void startIngress(int i) {
        int generation = ++generations[i];
        Settings settings = new Settings(i, setup.ingresses, 0, 1, List.of(new RequestClass(1000, 2500, 1, 0, Effect.IDEMPOTENT, Group.ALL, 0, false)), plans,
                new Limits(1, true, true, 1000), new Rules(0.25, 10_000, 3, 1000, 10_000), List.of(), false, INTAKE_PER_S, MAX_UNITS, 0, PEER_PRICE);
        modules[i] = new Policy(settings, random.nextLong(), now, action -> perform(i, generation, action));
        modules[i].on(now, new ServerList(ListKind.CACHED, servers));
        if (!setup.wide) { return; }
        modules[i].on(now, new ExternalDemandThreshold(2));
        Rates one = new Rates(new Rates.Parameters(setup.bytesPerS, HEADER_BYTES, MAX_BODY_BYTES, quotas, 20_000), i, random.nextLong(), now, (to, body) -> deliver(i, (int) to, body));
        rates[i] = one;
        one.updateMembers(membersSeenBy(i));
        schedule(now + Rates.TICK_INTERVAL_MS * random.nextDouble(), () -> tick(i, generation));
    }

    private void tick(int i, int generation) {
        if (generations[i] != generation || gone[i]) { return; }
        rates[i].tick(now);
        schedule(now + Rates.TICK_INTERVAL_MS, () -> tick(i, generation));
    }

    private long[] membersSeenBy(int i) {
        List<Long> seen = new ArrayList<>();
        for (int j = 0; j < setup.ingresses; j++) {
            if (!gone[j] && !(partitioned && side(i) != side(j))) { seen.add((long) j); }
        }
        return seen.stream().mapToLong(Long::longValue).toArray();
    }

    private int side(int i) { return i < setup.ingresses / 2 ? 0 : 1; }

    private void deliver(int from, int to, byte[] body) {
        if (counting) { bytes += HEADER_BYTES + body.length; }
        if (random.nextDouble() < setup.loss || partitioned && side(from) != side(to)) { return; }
        schedule(now + 1.3 + 20 * random.nextDouble(), () -> {
            if (!gone[to] && rates[to] != null) { rates[to].receive(now, from, body); }
        });
    }

    private void perform(int ingress, int generation, Action action) {
        if (action instanceof SetTimer timer) {
            schedule(timer.atMs(), () -> dispatch(ingress, generation, new TimerFired(timer.token())));
        } else if (action instanceof Tell tell) {
            if (counting) { bytes += 28 + tell.body().length(); }
            if (random.nextDouble() < setup.loss || partitioned && side(ingress) != side(tell.to())) { return; }
            schedule(now + 1.3 + 20 * random.nextDouble(), () -> {
                if (!gone[tell.to()]) { modules[tell.to()].on(now, new PeerMessage(ingress, tell.body())); }
            });
        } else if (action instanceof Send send) {
            currentSent |= send.id() == currentRequestId;
            schedule(now + 20, () -> dispatch(ingress, generation, new AttemptDone(send.id(), 0, send.server(), Outcome.SERVED, 20, true, 0, null)));
        }
    }

    private void dispatch(int ingress, int generation, Event event) {
        if (generations[ingress] == generation && !gone[ingress]) { modules[ingress].on(now, event); }
    }

    private void request(Tenant tenant) {
        tenant.refill();
        double units = REQUEST_UNITS[random.nextInt(4) == 0 ? 1 : 0];
        int ingress;
        do { ingress = (tenant.first + random.nextInt(tenant.spread)) % setup.ingresses; } while (gone[ingress]);
        boolean fits = tenant.level >= units, roomy = tenant.level >= tenant.planTerms.burst() / 2, isIdeal = tenant.idealLevel >= units;
        double visibleLevel = tenant.referenceLevel;
        for (Admission admission : tenant.unseenAdmissions) { visibleLevel += admission.units; }
        boolean referenceAdmits = Math.min(tenant.planTerms.burst(), visibleLevel) >= units, referenceFits = tenant.referenceLevel >= units;
        currentRequestId = ++lastRequestId;
        currentSent = false;
        if (setup.wide) {
            rates[ingress].recordDemand(now, tenant.id, tenant.plan, units);
            double perS = rates[ingress].overQuotaDemandPerS(now, tenant.id, tenant.plan);
            if (perS > 0) { modules[ingress].on(now, new ExternalDemand(tenant.id, tenant.plan, perS)); }
        }
        modules[ingress].on(now, new Request(currentRequestId, 0, tenant.plan, tenant.id, now + 2000, units, tenant.first, tenant.spread));
        if (currentSent && fits) { tenant.level -= units; }
        if (isIdeal) { tenant.idealLevel -= units; }
        if (referenceAdmits) {
            tenant.unseenAdmissions.add(new Admission(now, units));
            if (referenceFits) { tenant.referenceLevel -= units; }
        }
        if (!counting) { return; }
        requests++;
        tenant.demandedUnits += units;
        tenant.admittedUnits += currentSent ? units : 0;
        idealAdmitted += isIdeal ? units : 0;
        if (currentSent && fits) { withinQuota += units; }
        if (currentSent && !fits) { beyondQuota += units; }
        if (referenceAdmits && !referenceFits) { referenceBeyondQuota += units; }
        if (!currentSent && fits) { refusedFitting++; }
        if (!currentSent && roomy) { refusedRoomy++; }
    }

    private void injectFault() {
        counting = true;
        if (setup.fault == Fault.RESTART) {
            for (int i = 0; i < setup.ingresses; i += 10) { startIngress(i); }
        } else if (setup.fault == Fault.ZONE) {
            for (int i = 0; i < setup.ingresses / 8; i++) { gone[i] = true; }
        } else if (setup.fault == Fault.APART) {
            partitioned = true;
        }
        if (setup.wide && (setup.fault == Fault.ZONE || setup.fault == Fault.APART)) {
            schedule(now + DETECTION_MS, () -> {
                for (int i = 0; i < setup.ingresses; i++) {
                    if (!gone[i]) { rates[i].updateMembers(membersSeenBy(i)); }
                }
            });
        }
    }

    /** The worst of all customers that ask more than their quota, as a part of what their quota gives in the time counted, at most so many. */
    double worstAdmittedRatio(double minUnits) {
        return tenants.stream().filter(t -> t.planTerms.ratePerS() * setup.seconds >= minUnits)
                .mapToDouble(t -> t.admittedUnits / (t.planTerms.burst() + t.planTerms.ratePerS() * setup.seconds)).max().orElse(0);
    }

    /** What heavy customers were let in, of what their quotas give. */
    double heavyAdmittedRatio() {
        double admitted = 0, granted = 0;
        for (Tenant tenant : tenants) {
            if (tenant.heavy) {
                admitted += tenant.admittedUnits;
                granted += Math.min(tenant.demandedUnits, tenant.planTerms.burst() + tenant.planTerms.ratePerS() * setup.seconds);
            }
        }
        return admitted / granted;
    }

    double excess() { return OVER_COST * beyondQuota / idealAdmitted; }

    double referenceExcess() { return OVER_COST * referenceBeyondQuota / idealAdmitted; }

    double fittingRefusedShare() { return refusedFitting / (double) requests; }

    double roomyRefusedShare() { return refusedRoomy / (double) requests; }

    double bytesPerS() { return bytes / setup.seconds / setup.ingresses; }

    /** What does not hold of what docs/design/rates.md promises, a line each. */
    List<String> breaches() {
        List<String> found = new ArrayList<>();
        if (excess() > referenceExcess() + MAX_EXCESS) { found.add(String.format(Locale.ROOT, "excess %.3f, with sight of a quarter of a second ago %.3f", excess(), referenceExcess())); }
        if (roomyRefusedShare() > (setup.tenants < FEW_TENANTS ? MAX_ROOMY_REFUSED_OF_FEW : MAX_ROOMY_REFUSED)) { found.add(String.format(Locale.ROOT, "%.3f of the tries refused with half of the quota unused", roomyRefusedShare())); }
        if (bytesPerS() > setup.bytesPerS * MAX_BYTES_RATIO) { found.add(String.format(Locale.ROOT, "%.0f bytes a second", bytesPerS())); }
        double bound = (setup.fault == Fault.APART ? 2 : 1) * MAX_HEAVY_ADMITTED;
        if (heavyAdmittedRatio() > bound) { found.add(String.format(Locale.ROOT, "customers far over their quota were let in %.2f times it, %.2f are promised", heavyAdmittedRatio(), bound)); }
        return found;
    }

    RatesRun run() {
        double until = WARM_UP_MS + setup.seconds * 1000;
        while (queue.peek().atMs <= until) {
            ScheduledAction next = queue.poll();
            now = Math.max(now, next.atMs);
            next.action.run();
        }
        now = until;
        return this;
    }

    @Override
    public String toString() {
        return String.format(Locale.ROOT, "{\"ingresses\":%d,\"tenants\":%d,\"tries_per_s\":%.0f,\"trouble\":\"%s\",\"loss\":%.2f,\"wide\":%b,\"bytes_per_s\":%.0f,\"seed\":%d,\"seconds\":%.0f,"
                + "\"sent_bytes_per_s\":%.0f,\"inside\":%.4f,\"excess\":%.4f,\"late_excess\":%.4f,\"refused_fitting\":%.4f,\"refused_roomy\":%.4f,\"heavy_let\":%.3f,\"worst_let\":%.2f,"
                + "\"listed\":%.0f}", setup.ingresses, setup.tenants, requests / setup.seconds, setup.fault, setup.loss, setup.wide, setup.bytesPerS, setup.seed, setup.seconds, bytesPerS(), withinQuota / idealAdmitted, excess(), referenceExcess(),
                fittingRefusedShare(), roomyRefusedShare(), heavyAdmittedRatio(), worstAdmittedRatio(200), Arrays.stream(rates).filter(one -> one != null).mapToInt(Rates::overQuotaCount).average().orElse(0));
    }

    /** Sizes by name: the target, a quarter, a tenth of it, each with the target's tenants and tries for an ingress. */
    static Case sizedCase(String name, Fault fault, boolean wide, long seed) {
        int ingresses = switch (name) {
            case "target" -> 850;
            case "quarter" -> 212;
            case "tenth" -> 85;
            case "small" -> 30;
            default -> throw new IllegalArgumentException("target, quarter, tenth or small, not " + name);
        };
        return new Case(ingresses, ingresses * 38_000 / 850, ingresses * 81_000.0 / 850, fault, fault == Fault.LOSS ? 0.1 : 0.01, 1200, wide, 30, seed);
    }

    public static void main(String[] args) {
        if (args.length < 3) {
            System.err.println("RatesRun target|quarter|tenth|small none|zone|loss|restart|apart|rows SEED ...");
            System.exit(2);
        }
        boolean rows = args[1].equals("rows");
        Fault fault = rows ? Fault.NONE : Fault.valueOf(args[1].toUpperCase(Locale.ROOT));
        int broken = 0;
        for (int i = 2; i < args.length; i++) {
            RatesRun run = new RatesRun(sizedCase(args[0], fault, !rows, Long.parseLong(args[i]))).run();
            System.out.println(run + (rows || run.breaches().isEmpty() ? "" : " BREACH " + run.breaches()));
            broken += rows || run.breaches().isEmpty() ? 0 : 1;
        }
        System.exit(broken == 0 ? 0 : 1);
    }
}

package yardusher.connectionquota;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Ingresses, regions and the mesh on scripted time, by seed. The ingresses decide by {@link Negotiator}, the very code that
 * runs; pools, regions and the network are small models. Each region counts its connections from accept to close at every
 * instant. By seed: messages lost, doubled, late; cuts; processes killed, stopped, started with and without a memory; regions
 * that are stopped or restart; numbers lowered. It stands in this package since it looks at decisions that are nobody else's.
 */
public final class PartsScripted {
    /** Which way connections are divided. NEED: without a word, each keeps to as many regions as it needs, by a draw of its own. */
    public enum Scheme { TODAY, FIXED, SUBSETS, NEED, PARTS }

    /** What is done to them. */
    public enum Faults { NONE, ALL }

    /** How demand lies. */
    public enum Load { LIGHT, AMPLE, FULL, SCARCE, HALF_HOT, MOVES, RANDOM }

    /** {@code regions} hold {@code number} connections each. */
    public record Setup(int ingresses, int regions, int limit, Scheme scheme, Faults faults, Load load, double seconds, Ledger.OmittedRule omittedRule) { }

    /** How it went; times in milliseconds, {@code breach} null where the rule held. */
    public record Result(long seed, String breach, long requests, long served, long refused, long rejectedAtRegion, long handshakes, double utilization, double jainIndex,
            double p50, double p99, List<Double> hotspotMs, long movedUnits, long sentMessages, double sentBytes, int faultCount, int maxUnusableUnits) { }

    private static final double LIGHT_PER_S = Double.parseDouble(System.getProperty("lab.light", "30"));
    private static final double IDLE_BONUS = Double.parseDouble(System.getProperty("lab.kept", "0"));
    private static final double ONE_WAY_LATENCY_MS = 0.3;        // one way, on a network of one installation
    private static final double HANDSHAKE_MS = 1.5;  // beyond that, as TLS would
    private static final double SERVICE_MS = 30;
    private static final double REUSE_DELAY_MS = 30;
    private static final double CRASH_DETECTION_MS = 1000;
    private static final double IDLE_TIMEOUT_MS = 21_000;
    private static final double LOWERED_LIMIT_MS = 10_000; // by then a lowered number holds, where nobody is away
    private static final double START_MS = 1e12;

    private record Event(double atMs, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Double.compare(atMs, other.atMs);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    private static final class SimulatedRegion {
        int open;
        int limit;
        int previousLimit;                                  // the number before it was lowered
        double loweredAtMs = Double.NEGATIVE_INFINITY;
        double stoppedUntilMs;
        int incarnation;
    }

    private static final class Connection {
        final int region;
        boolean isAccepted;
        boolean isProcessDead;                                // its process ended before it was accepted
        double processDiedAtMs;
        boolean isClosedByRegion;                              // at the region
        boolean isIdle;
        boolean isClosedByIngress;                                // from the ingress's side
        double idleSinceMs;
        int previousAttempts;                                   // of its request before it
        int regionIncarnation;                                    // of the region

        Connection(int region) { this.region = region; }
    }

    /** What outlives a process, if it does. */
    private static final class StoredLoans implements LoanStore {
        final Map<Long, Map<Integer, Integer>> lent = new HashMap<>();
        boolean isTrusted;
        boolean endedCleanly;

        @Override
        public int lent(long region, int ingress) { return lent.getOrDefault(region, Map.of()).getOrDefault(ingress, 0); }

        @Override
        public boolean store(long region, int ingress, int units) {
            lent.computeIfAbsent(region, r -> new HashMap<>()).put(ingress, units);
            return true;
        }
    }

    private final class Ingress implements Negotiator.World {
        final int number;
        final long incarnation;
        final InetSocketAddress address;
        Negotiator negotiator;
        boolean isDead;
        boolean isStopped;
        boolean isWaiting = true;                        // has not begun yet
        final ArrayDeque<Runnable> queued = new ArrayDeque<>();
        final int[] attemptLimits = new int[setup.regions];
        final int[] open = new int[setup.regions];
        final int[] closing = new int[setup.regions];
        final int[] busy = new int[setup.regions];
        final List<List<Connection>> idle = new ArrayList<>();
        final List<Connection> connections = new ArrayList<>();
        long refusedRequests;
        long startedAttempts;
        double nextTickAtMs = Double.POSITIVE_INFINITY;

        Ingress(int number, long incarnation) {
            this.number = number;
            this.incarnation = incarnation;
            address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 10_000 + number);
            for (int r = 0; r < setup.regions; r++) { idle.add(new ArrayList<>()); }
            if (setup.scheme != Scheme.PARTS) {
                isWaiting = false;
                for (int r = 0; r < setup.regions; r++) { attemptLimits[r] = fixedQuota(number, r); }
            }
        }

        void startNegotiating(StoredLoans storedLoans) {
            if (isDead) { return; }
            isWaiting = false;
            boolean hasTrustedLoans = storedLoans.isTrusted;
            if (!hasTrustedLoans) { storedLoans.lent.clear(); }
            storedLoans.endedCleanly = false;
            Ledger ledger = new Ledger(number, setup.ingresses, incarnation, storedLoans, hasTrustedLoans);
            ledger.omittedRule = setup.omittedRule;
            negotiator = new Negotiator(ledger, new Negotiator.Options(1, 1, 200), this, now);
            for (int r = 0; r < setup.regions; r++) { negotiator.setLimit(now, regionId(r), regions[r].limit); }
            List<InetSocketAddress> addresses = new ArrayList<>();
            for (int i = 0; i < setup.ingresses; i++) {
                if (i != number) { addresses.add(new InetSocketAddress(InetAddress.getLoopbackAddress(), 10_000 + i)); }
            }
            negotiator.setMembers(addresses);
            tickBy(now);
        }

        void tickBy(double atMs) {
            if (atMs >= nextTickAtMs) { return; }
            nextTickAtMs = atMs;
            schedule(atMs, () -> run(this, () -> {
                if (nextTickAtMs > now + 1e-6 && nextTickAtMs != atMs) { return; }
                nextTickAtMs = Double.POSITIVE_INFINITY;
                double next = negotiator.tick(now);
                if (negotiator.ledger().unsettledPeers() == 0) { loanStores[number].isTrusted = true; }
                tickBy(next);
            }));
        }

        @Override
        public int busy(long region) { return busy[regionIndex(region)]; }

        @Override
        public long refusedRequests() { return refusedRequests; }

        @Override
        public long startedAttempts() { return startedAttempts; }

        @Override
        public void setAttemptLimit(long region, int most) { attemptLimits[regionIndex(region)] = most; }

        @Override
        public int closeIdle(long region, int count) {
            int index = regionIndex(region);
            int shed = 0;
            for (; shed < count && !idle.get(index).isEmpty(); shed++) { close(this, idle.get(index).remove(0)); }
            return shed;
        }

        @Override
        public void send(InetSocketAddress to, byte[] body) {
            sentMessages++;
            sentBytes += body.length;
            int recipient = to.getPort() - 10_000;
            int copies = random.nextDouble() < lossRate ? 0 : random.nextDouble() < duplicateRate ? 2 : 1;
            for (int i = 0; i < copies; i++) {
                double delay = ONE_WAY_LATENCY_MS * (0.5 + random.nextDouble()) + (random.nextDouble() < lateRate ? random.nextDouble() * 2000 : 0);
                schedule(now + delay, () -> {
                    Ingress hearer = ingresses[recipient];
                    if (hearer == null || partitions[number] != partitions[recipient]) { return; }
                    run(hearer, () -> {
                        if (hearer.negotiator == null) { return; }
                        hearer.negotiator.receive(now, address, body);
                        hearer.tickBy(now + 1);
                    });
                });
            }
        }
    }

    private final Setup setup;
    private final long seed;
    private final Random random;
    private final PriorityQueue<Event> queue = new PriorityQueue<>();
    private final SimulatedRegion[] regions;
    private final Ingress[] ingresses;
    private final StoredLoans[] loanStores;
    private final int[] partitions;
    private final double[] requestsPerMs;                     // requests a millisecond, by ingress
    private final double[] wantedConnections;                   // connections that would be busy, by ingress
    private double now = START_MS;
    private long eventSequence;
    private String breach;
    private double lossRate;
    private double duplicateRate;
    private double lateRate;
    private long requests;
    private long served;
    private long refused;
    private long rejectedAtRegion;
    private long handshakes;
    private long sentMessages;
    private double sentBytes;
    private int faultCount;
    private int maxUnusableUnits;
    private double measureFromMs;
    private double utilizationSum;
    private double utilizationSamples;
    private double jainSum;
    private double jainSamples;
    private final List<Double> overheadsMs = new ArrayList<>();
    private final List<Double> hotspotMs = new ArrayList<>();
    private long[] servedBy;

    private PartsScripted(Setup setup, long seed) {
        this.setup = setup;
        this.seed = seed;
        random = new Random(seed * 0x9E3779B97F4A7C15L + 17);
        regions = new SimulatedRegion[setup.regions];
        for (int r = 0; r < setup.regions; r++) {
            regions[r] = new SimulatedRegion();
            regions[r].limit = regions[r].previousLimit = setup.limit;
        }
        ingresses = new Ingress[setup.ingresses];
        loanStores = new StoredLoans[setup.ingresses];
        partitions = new int[setup.ingresses];
        requestsPerMs = new double[setup.ingresses];
        wantedConnections = new double[setup.ingresses];
        servedBy = new long[setup.ingresses];
    }

    /** Runs one seed. */
    public static Result run(Setup setup, long seed) { return new PartsScripted(setup, seed).run(); }

    static long regionId(int region) { return 101 + region; }

    private static int regionIndex(long id) { return (int) (id - 101); }

    private void schedule(double atMs, Runnable action) { queue.add(new Event(Math.max(atMs, now), eventSequence++, action)); }

    private void run(Ingress ingress, Runnable action) {
        if (ingress.isDead) { return; }
        if (ingress.isStopped) { ingress.queued.add(action); } else { action.run(); }
    }

    /** What an ingress may have open at a region where nobody negotiates. */
    private int fixedQuota(int ingress, int region) {
        if (setup.scheme == Scheme.TODAY || setup.scheme == Scheme.NEED) { return Integer.MAX_VALUE; }
        if (setup.scheme == Scheme.FIXED) { return Ledger.share(regionId(region), setup.limit, ingress, setup.ingresses); }
        // Subsets: each region serves so many ingresses that each has four at least, each ingress as many regions.
        int sharers = Math.max(1, Math.min(setup.ingresses, setup.limit / 4));
        int rank = (int) Math.floorMod(ingress - region * (long) Math.max(1, setup.ingresses / setup.regions), (long) setup.ingresses);
        return rank < sharers ? setup.limit / sharers : 0;
    }

    private Result run() {
        boolean hasFaults = setup.faults == Faults.ALL;
        if (hasFaults) {
            lossRate = random.nextInt(3) == 0 ? 0 : random.nextDouble() * 0.2;
            duplicateRate = random.nextDouble() * 0.1;
            lateRate = random.nextInt(2) == 0 ? 0 : 0.02;
        }
        for (int i = 0; i < setup.ingresses; i++) {
            loanStores[i] = new StoredLoans();
            loanStores[i].endedCleanly = true;
            int number = i;
            schedule(now + (hasFaults ? random.nextInt(1500) : random.nextInt(20)), () -> startIngress(number));
        }
        measureFromMs = setup.load == Load.LIGHT ? START_MS : START_MS + 3000;
        double end = START_MS + setup.seconds * 1000;
        applyLoad();
        schedule(measureFromMs, this::sample);
        for (int i = 0; i < setup.ingresses; i++) { scheduleRequest(i); }
        if (hasFaults) { schedule(START_MS + 2000, this::injectFault); }
        while (breach == null && !queue.isEmpty() && queue.peek().atMs <= end) {
            Event event = queue.poll();
            now = event.atMs;
            event.action.run();
        }
        double[] sorted = overheadsMs.stream().mapToDouble(Double::doubleValue).sorted().toArray();
        return new Result(seed, breach, requests, served, refused, rejectedAtRegion, handshakes, utilizationSamples == 0 ? 0 : utilizationSum / utilizationSamples,
                jainSamples == 0 ? 0 : jainSum / jainSamples, percentile(sorted, 0.5), percentile(sorted, 0.99), hotspotMs, movedUnits(), sentMessages, sentBytes, faultCount, maxUnusableUnits);
    }

    static double percentile(double[] sorted, double fraction) { return sorted.length == 0 ? 0 : sorted[(int) Math.min(sorted.length - 1, fraction * sorted.length)]; }

    private long movedUnits() {
        long moved = 0;
        for (Ingress ingress : ingresses) { moved += ingress == null || ingress.negotiator == null ? 0 : ingress.negotiator.movedUnits; }
        return moved;
    }

    private void startIngress(int number) {
        if (ingresses[number] != null && !ingresses[number].isDead) { return; }
        Ingress ingress = new Ingress(number, (long) now);
        ingresses[number] = ingress;
        if (setup.scheme == Scheme.NEED) { restrictRegions(ingress, 0); }
        if (setup.scheme == Scheme.PARTS) { schedule(now + (loanStores[number].endedCleanly ? 0 : CRASH_DETECTION_MS), () -> run(ingress, () -> ingress.startNegotiating(loanStores[number]))); }
    }

    /** Keeps a process to as many regions as it needs, the first of a draw of its own. */
    private void restrictRegions(Ingress ingress, double peak) {
        int busy = Arrays.stream(ingress.busy).sum();
        double decayedPeak = Math.max(busy, peak * 0.97);
        int regions = (int) Math.ceil(1.5 * decayedPeak) + 2;
        Integer[] order = new Integer[setup.regions];
        for (int r = 0; r < order.length; r++) { order[r] = r; }
        Arrays.sort(order, java.util.Comparator.comparingLong(r -> Ledger.mix(r * 7919L + ingress.number)));
        for (int k = 0; k < order.length; k++) { ingress.attemptLimits[order[k]] = k < regions ? Integer.MAX_VALUE : 0; }
        schedule(now + 100, () -> run(ingress, () -> restrictRegions(ingress, decayedPeak)));
    }

    // Demand.

    /** How many connections are needed in all, at a region's pace. */
    private double capacity() { return (double) setup.regions * setup.limit; }

    private void setDemand(int ingress, double connections) {
        requestsPerMs[ingress] = connections / SERVICE_MS;
        wantedConnections[ingress] = connections;
    }

    private void applyLoad() {
        int n = setup.ingresses;
        switch (setup.load) {
            case LIGHT -> {
                for (int i = 0; i < n; i++) { setDemand(i, LIGHT_PER_S * SERVICE_MS / 1000); } // from the first moment of a new process
            }
            case AMPLE -> {
                for (int i = 0; i < n; i++) { setDemand(i, 0.4 * capacity() / n); }
            }
            case FULL -> {
                for (int i = 0; i < n; i++) { setDemand(i, 0.85 * capacity() / n); }
            }
            case SCARCE -> {
                for (int i = 0; i < n; i++) { setDemand(i, 1.6 * capacity() / n); }
            }
            case HALF_HOT -> {
                for (int i = 0; i < n; i++) { setDemand(i, (i % 2 == 0 ? 1.1 : 0.1) * capacity() / n); }
            }
            case MOVES -> moveDemand(0);
            default -> {
                for (int i = 0; i < n; i++) { setDemand(i, capacity() / n * 2 * random.nextDouble() * random.nextDouble()); }
                schedule(now + 500 + random.nextInt(3000), this::applyLoad);
            }
        }
    }

    /** All demand moves to the next ingress at one stroke, 85% of the number; it has its part when it may use 90% of what
     * the others' few requests leave. */
    private void moveDemand(int turn) {
        int hot = turn % setup.ingresses;
        for (int i = 0; i < setup.ingresses; i++) { setDemand(i, i == hot ? 0.85 * capacity() : 0.002 * capacity()); }
        scheduleRequest(hot);
        double startedAtMs = now;
        if (turn > 0 && startedAtMs > measureFromMs) { watchHotspot(hot, startedAtMs); }
        schedule(now + 3000, () -> moveDemand(turn + 1));
    }

    private void watchHotspot(int hot, double startedAtMs) {
        int allowance = 0;
        for (int r = 0; r < setup.regions; r++) { allowance += Math.min(ingresses[hot].attemptLimits[r], setup.limit); }
        if (allowance >= 0.9 * Math.min(0.85 * capacity(), capacity() - setup.ingresses + 1)) { // the others need one each
            hotspotMs.add(now - startedAtMs);
        } else if (now - startedAtMs > 2900) {
            hotspotMs.add(3000.0);
        } else {
            schedule(now + 5, () -> watchHotspot(hot, startedAtMs));
        }
    }

    private void scheduleRequest(int ingress) {
        double meanMs = requestsPerMs[ingress] <= 0 ? 1e9 : 1 / requestsPerMs[ingress];
        double rateBefore = requestsPerMs[ingress];
        schedule(now - Math.log(1 - random.nextDouble()) * Math.min(meanMs, 1000), () -> {
            if (rateBefore != requestsPerMs[ingress] && setup.load == Load.MOVES && requestsPerMs[ingress] > rateBefore) { return; } // begun anew by the stroke
            if (meanMs <= 1000) { request(ingress); }
            scheduleRequest(ingress);
        });
    }

    private void request(int number) {
        Ingress ingress = ingresses[number];
        if (ingress == null || ingress.isDead || ingress.isStopped) { return; }
        boolean isMeasured = now >= measureFromMs;
        requests += isMeasured ? 1 : 0;
        send(ingress, now, 0);
    }

    private void send(Ingress ingress, double requestedAtMs, int previousAttempts) {
        boolean isMeasured = now >= measureFromMs;
        int best = -1;
        int drawn = 0;
        int start = random.nextInt(setup.regions);
        for (int i = 0; i < setup.regions && drawn < 3; i++) {
            int index = (start + i) % setup.regions;
            if (ingress.isWaiting || ingress.busy[index] >= ingress.attemptLimits[index]) { continue; }
            drawn++;
            if (best < 0 || regionLoad(ingress, index) < regionLoad(ingress, best)) { best = index; }
        }
        if (best < 0) {
            ingress.refusedRequests++;
            refused += isMeasured ? 1 : 0;
            return;
        }
        ingress.startedAttempts++;
        int region = best;
        ingress.busy[region]++;
        List<Connection> idle = ingress.idle.get(region);
        Connection connection = null;
        for (int i = idle.size() - 1; i >= 0 && connection == null; i--) {
            if (now - idle.get(i).idleSinceMs >= REUSE_DELAY_MS) { connection = idle.remove(i); }
        }
        boolean mayOpen = setup.scheme == Scheme.PARTS ? connection == null && ingress.negotiator.tryAcquire(regionId(region)) : ingress.open[region] < ingress.attemptLimits[region];
        if (connection == null && !mayOpen && !idle.isEmpty()) { connection = idle.remove(0); }
        if (connection == null && !mayOpen) {                  // known too late: the module would not have chosen it
            ingress.busy[region]--;
            refused += isMeasured ? 1 : 0;
            return;
        }
        if (connection != null) {
            connection.isIdle = false;
            serveRequest(ingress, connection, requestedAtMs);
            return;
        }
        Connection dialled = new Connection(region);
        dialled.previousAttempts = previousAttempts;
        ingress.open[region]++;
        ingress.connections.add(dialled);
        handshakes += isMeasured ? 1 : 0;
        schedule(Math.max(now + ONE_WAY_LATENCY_MS, regions[region].stoppedUntilMs), () -> accept(ingress, dialled, requestedAtMs));
    }

    /** What a choice goes by; {@code lab.kept}: a connection that stands ready there counts for so much less. */
    private double regionLoad(Ingress ingress, int region) {
        List<Connection> idle = ingress.idle.get(region);
        return ingress.busy[region] - (IDLE_BONUS > 0 && !idle.isEmpty() && now - idle.get(0).idleSinceMs >= REUSE_DELAY_MS ? IDLE_BONUS : 0);
    }

    private void accept(Ingress ingress, Connection connection, double requestedAtMs) {
        SimulatedRegion region = regions[connection.region];
        boolean isFull = region.open >= region.limit;
        if ((setup.scheme == Scheme.TODAY || setup.scheme == Scheme.NEED) && isFull) {
            rejectedAtRegion += now >= measureFromMs ? 1 : 0;
            connection.isClosedByRegion = true;
            schedule(now + ONE_WAY_LATENCY_MS, () -> run(ingress, () -> {
                regionClosed(ingress, connection);
                if (++connection.previousAttempts < 3) { send(ingress, requestedAtMs, connection.previousAttempts); }
            }));
            return;
        }
        if (connection.isProcessDead && now > connection.processDiedAtMs + CRASH_DETECTION_MS) { // stated: a region takes note of a process's end within that time
            connection.isClosedByRegion = true;
            return;
        }
        connection.isAccepted = true;
        connection.regionIncarnation = region.incarnation;
        region.open++;
        checkLimit(connection.region);
        if (connection.isProcessDead) {
            region.open--;
            connection.isClosedByRegion = true;
            return;
        }
        schedule(now + ONE_WAY_LATENCY_MS + HANDSHAKE_MS, () -> run(ingress, () -> serveRequest(ingress, connection, requestedAtMs)));
    }

    private void checkLimit(int index) {
        SimulatedRegion region = regions[index];
        int allowed = now - region.loweredAtMs < LOWERED_LIMIT_MS || faultCount > 0 ? Math.max(region.limit, region.previousLimit) : region.limit;
        if (region.open > allowed) { breach = (now - START_MS) + " ms: region " + index + " holds " + region.open + " connections of " + allowed; }
    }

    private void serveRequest(Ingress ingress, Connection connection, double requestedAtMs) {
        if (connection.isClosedByIngress) { return; }
        double serviceMs = -Math.log(1 - random.nextDouble()) * SERVICE_MS;
        boolean isCancelled = setup.faults == Faults.ALL && random.nextInt(50) == 0;
        double doneAtMs = Math.max(now + 2 * ONE_WAY_LATENCY_MS + serviceMs, regions[connection.region].stoppedUntilMs);
        schedule(isCancelled ? now + serviceMs / 2 : doneAtMs, () -> run(ingress, () -> {
            if (connection.isClosedByIngress) { return; }
            ingress.busy[connection.region]--;
            if (isCancelled) {
                close(ingress, connection);
                return;
            }
            if (now >= measureFromMs) {
                served++;
                servedBy[ingress.number]++;
                if (overheadsMs.size() < 400_000) { overheadsMs.add(now - requestedAtMs - serviceMs); }
            }
            if (setup.scheme == Scheme.PARTS && ingress.negotiator.isSurplus(regionId(connection.region))) {
                close(ingress, connection);
                return;
            }
            connection.idleSinceMs = now;
            connection.isIdle = true;
            ingress.idle.get(connection.region).add(connection);
            schedule(now + IDLE_TIMEOUT_MS, () -> run(ingress, () -> {
                if (connection.isIdle && now - connection.idleSinceMs >= IDLE_TIMEOUT_MS - 1 && ingress.idle.get(connection.region).remove(connection)) { close(ingress, connection); }
            }));
        }));
    }

    /** Closes from the ingress's side; with parts it waits for the region's close. */
    private void close(Ingress ingress, Connection connection) {
        if (connection.isClosedByIngress) { return; }
        connection.isClosedByIngress = true;
        connection.isIdle = false;
        if (setup.scheme == Scheme.PARTS) {
            ingress.closing[connection.region]++;
            ingress.negotiator.connectionClosing(regionId(connection.region));
        }
        double closedAtMs = Math.max(now + ONE_WAY_LATENCY_MS, regions[connection.region].stoppedUntilMs);
        schedule(closedAtMs, () -> {
            closeAtRegion(connection);
            schedule(now + ONE_WAY_LATENCY_MS, () -> run(ingress, () -> removeConnection(ingress, connection, true)));
        });
    }

    private void closeAtRegion(Connection connection) {
        if (connection.isClosedByRegion) { return; }
        connection.isClosedByRegion = true;
        if (connection.isAccepted && connection.regionIncarnation == regions[connection.region].incarnation) { regions[connection.region].open--; }
    }

    /** The region closed it, or refused it. */
    private void regionClosed(Ingress ingress, Connection connection) {
        if (connection.isClosedByIngress) { return; }                   // its end comes by the way of closing
        connection.isClosedByIngress = true;
        if (connection.isIdle) { ingress.idle.get(connection.region).remove(connection); } else { ingress.busy[connection.region]--; }
        removeConnection(ingress, connection, false);
    }

    private void removeConnection(Ingress ingress, Connection connection, boolean wasClosing) {
        ingress.connections.remove(connection);
        ingress.open[connection.region]--;
        if (setup.scheme != Scheme.PARTS) { return; }
        if (wasClosing) { ingress.closing[connection.region]--; }
        ingress.negotiator.connectionClosed(regionId(connection.region), wasClosing);
        ingress.tickBy(now + 1);
    }

    // Faults.

    private void injectFault() {
        schedule(now + 200 + random.nextInt(1500), this::injectFault);
        faultCount++;
        int number = random.nextInt(setup.ingresses);
        Ingress ingress = ingresses[number];
        switch (random.nextInt(8)) {
            case 0, 1 -> kill(number, random.nextBoolean());
            case 2, 3 -> {
                if (ingress == null || ingress.isDead || ingress.isStopped) { return; }
                ingress.isStopped = true;
                schedule(now + (random.nextInt(4) == 0 ? 10_000 : 200) + random.nextInt(5000), () -> resume(ingress));
            }
            case 4 -> {
                int side = random.nextInt(3);
                for (int i = 0; i < setup.ingresses; i++) { partitions[i] = random.nextInt(1 + side); }
                schedule(now + 500 + random.nextInt(6000), () -> Arrays.fill(partitions, 0));
            }
            case 5 -> {
                SimulatedRegion region = regions[random.nextInt(setup.regions)];
                region.stoppedUntilMs = now + random.nextInt(3000);
            }
            case 6 -> restartRegion(random.nextInt(setup.regions));
            default -> changeLimit(random.nextInt(setup.regions));
        }
    }

    private void kill(int number, boolean deletesLoans) {
        Ingress ingress = ingresses[number];
        if (ingress == null || ingress.isDead) { return; }
        ingress.isDead = true;
        for (Connection connection : ingress.connections) {
            connection.isClosedByIngress = true;
            connection.processDiedAtMs = now;
            double noticedAtMs = now + ONE_WAY_LATENCY_MS + random.nextDouble() * 300;
            if (regions[connection.region].stoppedUntilMs > noticedAtMs) { regions[connection.region].stoppedUntilMs = noticedAtMs; } // stated: regions take note within ENDED_MS
            schedule(noticedAtMs, () -> {
                if (!connection.isAccepted && !connection.isClosedByRegion) { connection.isProcessDead = true; } else { closeAtRegion(connection); }
            });
        }
        if (deletesLoans) { loanStores[number] = new StoredLoans(); }
        loanStores[number].endedCleanly = false;
        schedule(now + random.nextInt(4000), () -> startIngress(number));
    }

    private void resume(Ingress ingress) {
        if (ingress.isDead) { return; }
        ingress.isStopped = false;
        for (Runnable action; !ingress.isStopped && (action = ingress.queued.poll()) != null;) { action.run(); }
    }

    /** A region's process dies and comes back: all its connections are reset. */
    private void restartRegion(int index) {
        SimulatedRegion region = regions[index];
        region.incarnation++;
        region.open = 0;
        for (Ingress ingress : ingresses) {
            if (ingress == null || ingress.isDead) { continue; }
            for (Connection connection : List.copyOf(ingress.connections)) {
                if (connection.region != index || !connection.isAccepted || connection.isClosedByRegion) { continue; }
                connection.isClosedByRegion = true;
                schedule(now + ONE_WAY_LATENCY_MS, () -> run(ingress, () -> regionClosed(ingress, connection)));
            }
        }
    }

    /** The number is changed at all ingresses, one after another. */
    private void changeLimit(int index) {
        SimulatedRegion region = regions[index];
        int newLimit = Math.max(1, setup.limit / 2 + random.nextInt(setup.limit / 2 + 1));
        region.previousLimit = Math.max(region.previousLimit, Math.max(region.limit, newLimit));
        region.limit = newLimit;
        region.loweredAtMs = now;
        for (int i = 0; i < setup.ingresses; i++) {
            int number = i;
            schedule(now + random.nextInt(2000), () -> {
                Ingress proc = ingresses[number];
                if (proc != null) { run(proc, () -> { if (proc.negotiator != null) { proc.negotiator.setLimit(now, regionId(index), region.limit); } }); }
            });
        }
    }

    // What is measured each 50 ms.

    private void sample() {
        schedule(now + 50, this::sample);
        int open = 0;
        int busy = 0;
        double wanted = 0;
        int totalLimit = 0;
        double sum = 0;
        double squares = 0;
        int ingressCount = 0;
        for (SimulatedRegion region : regions) {
            open += region.open;
            totalLimit += region.limit;
        }
        for (int i = 0; i < setup.ingresses; i++) {
            Ingress ingress = ingresses[i];
            if (ingress == null || ingress.isDead) { continue; }
            int busyHere = 0;
            for (int r = 0; r < setup.regions; r++) { busyHere += ingress.busy[r]; }
            busy += busyHere;
            wanted += wantedConnections[i];
            if (ingress.negotiator != null) { maxUnusableUnits = Math.max(maxUnusableUnits, ingress.negotiator.unusableUnits(now)); }
        }
        if (wanted > totalLimit) {
            utilizationSum += (double) busy / totalLimit;
            utilizationSamples++;
        }
        if (setup.load == Load.SCARCE && now > START_MS + setup.seconds * 1000 - 200) { // what each was served, all wanting the same
            for (int i = 0; i < setup.ingresses; i++) {
                sum += servedBy[i];
                squares += (double) servedBy[i] * servedBy[i];
                ingressCount++;
            }
            jainSum += squares == 0 ? 0 : sum * sum / (ingressCount * squares);
            jainSamples++;
        }
    }

    /** Runs seeds: INGRESSES REGIONS NUMBER WAY FAULTS LOAD SECONDS FROM COUNT [WITHOUT]. */
    public static void main(String[] args) {
        Setup setup = new Setup(Integer.parseInt(args[0]), Integer.parseInt(args[1]), Integer.parseInt(args[2]), Scheme.valueOf(args[3]), Faults.valueOf(args[4]),
                Load.valueOf(args[5]), Double.parseDouble(args[6]), args.length > 9 ? Ledger.OmittedRule.valueOf(args[9]) : Ledger.OmittedRule.NOTHING);
        long firstSeed = Long.parseLong(args[7]);
        int count = Integer.parseInt(args[8]);
        int breaches = 0;
        long startedAtNs = System.nanoTime();
        double[] sums = new double[12];
        List<Double> hotspotMs = new ArrayList<>();
        for (long seed = firstSeed; seed < firstSeed + count; seed++) {
            Result result = run(setup, seed);
            if (result.breach != null) {
                breaches++;
                if (breaches <= 5) { System.out.println("seed " + seed + " breach: " + result.breach); }
            }
            double[] values = {result.requests, result.served, result.refused, result.rejectedAtRegion, result.handshakes, result.utilization, result.jainIndex, result.p50, result.p99, result.movedUnits, result.sentMessages, result.faultCount};
            for (int i = 0; i < values.length; i++) { sums[i] += values[i]; }
            hotspotMs.addAll(result.hotspotMs);
        }
        double[] sortedHotspotMs = hotspotMs.stream().mapToDouble(Double::doubleValue).sorted().toArray();
        System.out.printf(java.util.Locale.ROOT, "%s %s %s n=%d regions=%d number=%d seeds=%d breaches=%d asked=%.0f served=%.3f refused=%.3f too_many=%.4f handshakes=%.4f use=%.3f jain=%.3f"
                + " p50+=%.2f p99+=%.2f hot=%d hot_p50=%.0f hot_p99=%.0f moved/s=%.1f told/s=%.1f faults=%.0f in %.1f s%n", setup.scheme, setup.load, setup.faults, setup.ingresses,
                setup.regions, setup.limit, count, breaches, sums[0], sums[1] / sums[0], sums[2] / sums[0], sums[3] / sums[0], sums[4] / Math.max(1, sums[1]), sums[5] / count, sums[6] / count, sums[7] / count,
                sums[8] / count, sortedHotspotMs.length, percentile(sortedHotspotMs, 0.5), percentile(sortedHotspotMs, 0.99), sums[9] / count / setup.seconds / setup.ingresses, sums[10] / count / setup.seconds / setup.ingresses, sums[11], (System.nanoTime() - startedAtNs) / 1e9);
    }
}

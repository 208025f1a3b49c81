package yardusher;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import yardusher.Api.*;

/**
 * Adversarial simulation, by seed, of one customer's ceiling: a calm period, then bursts at all ingresses of the set, with datagrams that are
 * late, lost, duplicated and very old, restarting ingresses, paused processes, and times without connections to backends. Keeps the
 * token bucket that defines the ceiling and takes from it the units that reach a backend.
 */
public final class CeilingRun {
    /** Faults that a run may contain besides the burst. */
    enum Disturbance { LOST_DATAGRAMS, OLD_DATAGRAMS, RESTARTS, PAUSES, CUT_CONNECTIONS }

    private static final RequestClass CLASS = new RequestClass(500, 2000, 1, 0.1, Effect.IDEMPOTENT, Group.ALL, 0, false);

    private static final double CALM_MS = 4000;
    private static final double REST_MS = 5000;
    private static final double DIAL_TIMEOUT_MS = 250;
    private static final double MAX_CUT_MS = 1400;
    private static final double ANSWER_MS = 60;
    private static final double RESTART_MS = 50;
    private static final double MAX_DATAGRAM_DELAY_MS = 150;
    private static final double MAX_STRAY_DELAY_MS = 1500;
    private static final double MAX_DUPLICATE_DELAY_MS = 10_000;
    private static final double MAX_PAUSE_MS = 3000;
    private static final double ROUNDING = 1e-6;
    private static final int SERVERS = 8;
    private static final long CUSTOMER = 7;
    private static final int BURSTS = 3;

    /** An attempt that waits for a connection and may still be written. */
    private record WaitingAttempt(int ingress, int incarnation, double units, double sentAtMs) { }

    private record Task(double atMs, long number, Runnable work) { }

    /** An admitted request: its units, its number of attempts, and whether its units reached a backend. */
    private static final class AdmittedRequest {
        final double units;
        int attempts;
        boolean counted;

        AdmittedRequest(double units) { this.units = units; }
    }

    final long seed;
    final Plan plan;
    final int setSize;
    private final Set<Disturbance> disturbances;
    private final SplittableRandom random;
    private final double lossRate;
    private final double spreadMs;
    private final Settings[] settings;
    private final Policy[] ingresses;
    private final int[] incarnations;
    private final double[] pausedUntilMs;
    private final double[] weights;
    private final PriorityQueue<Task> tasks = new PriorityQueue<>(Comparator.comparingDouble(Task::atMs).thenComparingLong(Task::number));
    private final Map<Long, AdmittedRequest> admitted = new HashMap<>();
    private final List<WaitingAttempt> waiting = new ArrayList<>();
    private final List<Server> servers = new ArrayList<>();
    private double now = 1000;
    private double cutUntilMs;
    private double level;
    private double levelAtMs = now;
    private long taskCount;
    private long requestCount;
    /** Lowest level of the bucket so far: below minus the slack, the ceiling is broken. */
    double lowestLevel;
    /** Largest excess of the tokens of all ingresses, which they may spend at any time, over the bucket and its slack. */
    double largestExcess = Double.NEGATIVE_INFINITY;
    /** Largest sum of the portions of all ingresses. */
    double largestPortionSum;
    /** Units that reached a backend, and units that were requested. */
    double reachedUnits;
    double requestedUnits;

    CeilingRun(long seed, Set<Disturbance> disturbances) {
        this.seed = seed;
        this.disturbances = disturbances;
        random = new SplittableRandom(seed);
        setSize = 2 + random.nextInt(12);
        double quota = between(10, 40);
        double ceilingRate = quota * between(1.6, 2.6);
        double ceilingBurst = ceilingRate * between(1.4, 2.9);
        plan = new Plan(quota, quota * between(1.4, 2.9), 0, 1, ceilingRate, ceilingBurst, Math.max(0.1 * ceilingBurst, 4), 0);
        lossRate = disturbances.contains(Disturbance.LOST_DATAGRAMS) ? 0.2 * random.nextDouble() : 0;
        spreadMs = between(5, 205);
        level = lowestLevel = ceilingBurst;
        for (int i = 0; i < SERVERS; i++) { servers.add(new Server(100 + i, 0, 0, 1, 0, Readiness.READY)); }
        settings = new Settings[setSize];
        ingresses = new Policy[setSize];
        incarnations = new int[setSize];
        pausedUntilMs = new double[setSize];
        weights = new double[setSize];
        for (int i = 0; i < setSize; i++) { weights[i] = Math.pow(random.nextDouble(), 3); }
        for (int i = 0; i < setSize; i++) {
            settings[i] = new Settings(i, setSize, 0, 1, List.of(CLASS), List.of(plan), new Limits(6, true, true, 1000),
                    new Rules(0.25, 10_000, 3, 1000, 1000), List.of(), false, 60, 4, 0, 0.01);
            start(i);
        }
    }

    private double between(double least, double greatest) { return least + (greatest - least) * random.nextDouble(); }

    /** Number of seeds that break the ceiling or could have; the bits of a seed select its faults. */
    public static int countBroken(long first, long draws) {
        return (int) LongStream.range(first, first + draws).parallel().mapToObj(seed -> {
            Set<Disturbance> disturbances = EnumSet.noneOf(Disturbance.class);
            for (Disturbance disturbance : Disturbance.values()) {
                if ((seed >> disturbance.ordinal()) % 2 == 1) { disturbances.add(disturbance); }
            }
            return new CeilingRun(seed, disturbances).play();
        }).filter(run -> run.isBroken() || run.couldBreak()).count();
    }

    /** Whether the bucket went below minus the slack. */
    boolean isBroken() { return lowestLevel < -plan.ceilingSlack() - ROUNDING; }

    /** Whether the bucket could have gone below minus the slack. */
    boolean couldBreak() { return largestExcess > ROUNDING || largestPortionSum > 1 + ROUNDING; }

    @Override
    public String toString() {
        return String.format("seed %d, set of %d, ceiling %.1f per second, burst %.1f, slack %.1f, lowest level %.1f, excess %.4f, portions %.4f, %.0f of %.0f units sent, with %s",
                seed, setSize, plan.ceilingRatePerS(), plan.ceilingBurst(), plan.ceilingSlack(), lowestLevel, largestExcess,
                largestPortionSum, reachedUnits, requestedUnits, disturbances);
    }

    CeilingRun play() {
        double beginMs = now;
        scheduleCalm(beginMs, beginMs + CALM_MS);
        for (int burst = 0; burst < BURSTS; burst++) {
            double atMs = beginMs + CALM_MS + burst * REST_MS;
            scheduleBurst(atMs);
            if (disturbances.contains(Disturbance.CUT_CONNECTIONS)) {
                double cutMs = between(100, MAX_CUT_MS);
                schedule(atMs + between(-cutMs, spreadMs), () -> cutUntilMs = now + cutMs);
            }
            scheduleCalm(atMs + spreadMs, atMs + REST_MS);
        }
        if (disturbances.contains(Disturbance.RESTARTS)) {
            for (int i = 0; i < 4; i++) { schedule(beginMs + between(0, CALM_MS + BURSTS * REST_MS), () -> restart(random.nextInt(setSize))); }
            schedule(beginMs + CALM_MS + 0.9 * spreadMs, () -> restart(random.nextInt(setSize)));
            double secondBurstAtMs = beginMs + CALM_MS + REST_MS;
            int restarted = random.nextInt(setSize);
            schedule(secondBurstAtMs + spreadMs, () -> restart(restarted));
            schedule(secondBurstAtMs + spreadMs + between(RESTART_MS, 2000), () -> restart(restarted));
        }
        if (disturbances.contains(Disturbance.PAUSES)) {
            for (int i = 0; i < 6; i++) {
                schedule(beginMs + between(0, CALM_MS + BURSTS * REST_MS),
                        () -> pausedUntilMs[random.nextInt(setSize)] = now + between(100, MAX_PAUSE_MS));
            }
        }
        double endMs = beginMs + CALM_MS + BURSTS * REST_MS;
        while (!tasks.isEmpty() && tasks.peek().atMs() <= endMs) {
            Task next = tasks.poll();
            now = Math.max(now, next.atMs());
            next.work().run();
            compareHoldings();
        }
        return this;
    }

    private void schedule(double atMs, Runnable action) { tasks.add(new Task(Math.max(now, atMs), taskCount++, action)); }

    private void scheduleCalm(double from, double until) {
        double units = 2.5;
        double loadFraction = between(0.1, 0.6);
        for (double atMs = from; atMs < until; atMs -= Math.log(1 - random.nextDouble()) * 1000 * units / (loadFraction * plan.ratePerS())) {
            int ingress = drawIngress();
            schedule(atMs, () -> sendRequest(ingress));
        }
    }

    /** Draws an ingress for the calm period, in which demand is uneven so that shares are lent. */
    private int drawIngress() {
        double all = 0;
        for (double weight : weights) { all += weight; }
        double draw = all * random.nextDouble();
        int ingress = 0;
        while (ingress < setSize - 1 && (draw -= weights[ingress]) > 0) { ingress++; }
        return ingress;
    }

    /** Compares the tokens of the ingresses with the level of the bucket. */
    private void compareHoldings() {
        double held = 0;
        double portions = 0;
        for (Policy ingress : ingresses) {
            Customer customer = ingress == null ? null : ingress.quotas.customers.get(CUSTOMER);
            if (customer == null || customer.ceilingShare == null) { continue; }
            CeilingShare share = new CeilingShare(customer.ceilingShare);
            share.advance(now);
            held += Math.max(0, share.tokens());
            portions += share.portion();
        }
        waiting.removeIf(attempt -> incarnations[attempt.ingress()] != attempt.incarnation() || now - attempt.sentAtMs() > Api.MAX_WRITE_DELAY_MS);
        for (WaitingAttempt attempt : waiting) { held += attempt.units(); }
        largestPortionSum = Math.max(largestPortionSum, portions);
        double bucket = Math.min(plan.ceilingBurst(), level + plan.ceilingRatePerS() * (now - levelAtMs) / 1000);
        largestExcess = Math.max(largestExcess, held - bucket - plan.ceilingSlack());
    }

    /** Requests twice the ceiling's burst over all ingresses; with an even seed, the ceiling's rate for another second. */
    private void scheduleBurst(double from) {
        int tries = (int) (2 * plan.ceilingBurst() / 2.5);
        for (int i = 0; i < tries; i++) {
            int ingress = random.nextInt(setSize);
            schedule(from + spreadMs * random.nextDouble(), () -> sendRequest(ingress));
        }
        for (int i = 0; seed % 2 == 0 && i < plan.ceilingRatePerS(); i++) {
            int ingress = random.nextInt(setSize);
            schedule(from + spreadMs + 1000 * random.nextDouble(), () -> sendRequest(ingress));
        }
    }

    private void start(int i) {
        int incarnation = ++incarnations[i];
        ingresses[i] = new Policy(settings[i], random.nextLong(), now, action -> handle(i, incarnation, action));
        ingresses[i].on(now, new ServerList(ListKind.CACHED, servers));
    }

    private void restart(int i) {
        if (ingresses[i] == null) { return; }
        incarnations[i]++;
        ingresses[i] = null;
        schedule(now + RESTART_MS, () -> start(i));
    }

    private void sendRequest(int ingress) {
        if (ingresses[ingress] == null) { return; }
        double units = 1 + random.nextInt(4);
        requestedUnits += units;
        deliver(ingress, incarnations[ingress], new Request(++requestCount, 0, 0, CUSTOMER, now + 2000, units, 0, setSize));
    }

    private void deliver(int ingress, int incarnation, Event event) {
        if (pausedUntilMs[ingress] > now) {
            schedule(pausedUntilMs[ingress], () -> deliver(ingress, incarnation, event));
        } else if (incarnations[ingress] == incarnation && ingresses[ingress] != null) {
            if (event instanceof Request q) { admitted.put(q.id(), new AdmittedRequest(q.units())); }
            ingresses[ingress].on(now, event);
        }
    }

    private void handle(int from, int incarnation, Action action) {
        if (action instanceof SetTimer timer) {
            schedule(timer.atMs(), () -> deliver(from, incarnation, new TimerFired(timer.token())));
        } else if (action instanceof Tell message) {
            sendDatagram(from, message);
        } else if (action instanceof Send send) {
            startAttempt(from, incarnation, send);
        }
    }

    private void sendDatagram(int from, Tell message) {
        PeerMessage event = new PeerMessage(from, message.body());
        boolean stray = disturbances.contains(Disturbance.OLD_DATAGRAMS) && random.nextInt(6) == 0;
        double lateMs = between(1, stray ? MAX_STRAY_DELAY_MS : MAX_DATAGRAM_DELAY_MS);
        if (random.nextDouble() >= lossRate) { schedule(now + lateMs, () -> deliver(message.to(), incarnations[message.to()], event)); }
        if (disturbances.contains(Disturbance.OLD_DATAGRAMS) && random.nextInt(4) == 0) {
            double later = between(1, random.nextBoolean() ? MAX_DATAGRAM_DELAY_MS : MAX_DUPLICATE_DELAY_MS);
            schedule(now + later, () -> deliver(message.to(), incarnations[message.to()], event));
        }
    }

    private void startAttempt(int from, int incarnation, Send send) {
        AdmittedRequest request = admitted.get(send.id());
        int number = request.attempts++;
        if (cutUntilMs <= now) {
            takeUnits(request);
            scheduleEnd(from, incarnation, send, number, Outcome.SERVED, ANSWER_MS);
            return;
        }
        schedule(now, () -> deliver(from, incarnation, new AttemptDelayed(send.id(), number)));
        WaitingAttempt waitingAttempt = new WaitingAttempt(from, incarnation, request.units, now);
        if (!request.counted) { waiting.add(waitingAttempt); }
        if (cutUntilMs > now + DIAL_TIMEOUT_MS) {
            schedule(now + DIAL_TIMEOUT_MS, () -> waiting.remove(waitingAttempt));
            scheduleEnd(from, incarnation, send, number, Outcome.CONNECT_FAILED, DIAL_TIMEOUT_MS);
        } else {
            schedule(cutUntilMs, () -> write(waitingAttempt, send, number));
        }
    }

    /** The connection is established: a process that was paused meanwhile writes late, or not at all. */
    private void write(WaitingAttempt waitingAttempt, Send send, int number) {
        int from = waitingAttempt.ingress();
        if (incarnations[from] != waitingAttempt.incarnation()) { return; }
        if (pausedUntilMs[from] > now) {
            schedule(pausedUntilMs[from], () -> write(waitingAttempt, send, number));
        } else if (now - waitingAttempt.sentAtMs() > Api.MAX_WRITE_DELAY_MS) {
            scheduleEnd(from, waitingAttempt.incarnation(), send, number, Outcome.CONNECT_FAILED, 0);
        } else {
            waiting.remove(waitingAttempt);
            takeUnits(admitted.get(send.id()));
            deliver(from, waitingAttempt.incarnation(), new AttemptWritten(send.id(), number));
            scheduleEnd(from, waitingAttempt.incarnation(), send, number, Outcome.SERVED, ANSWER_MS);
        }
    }

    private void scheduleEnd(int from, int incarnation, Send send, int number, Outcome outcome, double afterMs) {
        schedule(now + afterMs, () -> deliver(from, incarnation,
                new AttemptDone(send.id(), number, send.server(), outcome, afterMs, outcome == Outcome.SERVED, 0, null)));
    }

    /** Takes a request's units from the bucket once, when its first attempt reaches a backend. */
    private void takeUnits(AdmittedRequest request) {
        if (request.counted) { return; }
        request.counted = true;
        level = Math.min(plan.ceilingBurst(), level + plan.ceilingRatePerS() * (now - levelAtMs) / 1000) - request.units;
        levelAtMs = now;
        lowestLevel = Math.min(lowestLevel, level);
        reachedUnits += request.units;
    }
}

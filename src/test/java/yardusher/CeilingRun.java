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
    enum Trouble { LOST_DATAGRAMS, OLD_DATAGRAMS, RESTARTS, PAUSES, CUT_CONNECTIONS }

    private static final RequestClass CLASS = new RequestClass(500, 2000, 1, 0.1, Effect.IDEMPOTENT, Group.ALL, 0, false);

    private static final double CALM_MS = 4000;
    private static final double REST_MS = 5000;
    private static final double DIAL_TIMEOUT_MS = 250;
    private static final double LONGEST_CUT_MS = 1400;
    private static final double ANSWER_MS = 60;
    private static final double RESTART_MS = 50;
    private static final double MOST_LATE_DATAGRAM_MS = 150;
    private static final double STRAY_DATAGRAM_MS = 1500;
    private static final double OLDEST_DATAGRAM_MS = 10_000;
    private static final double LONGEST_PAUSE_MS = 3000;
    private static final double ROUNDING = 1e-6;
    private static final int SERVERS = 8;
    private static final long CUSTOMER = 7;
    private static final int BURSTS = 3;

    /** An attempt that waits for a connection and may still be written. */
    private record Waiting(int ingress, int life, double units, double sentAt) { }

    private record Due(double at, long order, Runnable work) { }

    /** An admitted request: its units, its number of attempts, and whether its units reached a backend. */
    private static final class Sent {
        final double units;
        int attempts;
        boolean counted;

        Sent(double units) { this.units = units; }
    }

    final long seed;
    final Plan plan;
    final int set;
    private final Set<Trouble> troubles;
    private final SplittableRandom random;
    private final double lossPart;
    private final double spreadMs;
    private final Settings[] settings;
    private final Policy[] ingresses;
    private final int[] lives;
    private final double[] pausedUntil;
    private final double[] weights;
    private final PriorityQueue<Due> due = new PriorityQueue<>(Comparator.comparingDouble(Due::at).thenComparingLong(Due::order));
    private final Map<Long, Sent> sent = new HashMap<>();
    private final List<Waiting> waiting = new ArrayList<>();
    private final List<Server> servers = new ArrayList<>();
    private double now = 1000;
    private double cutUntil;
    private double level;
    private double levelAt = now;
    private long order;
    private long ids;
    /** Lowest level of the bucket so far: below minus the slack, the ceiling is broken. */
    double least;
    /** Largest excess of the tokens of all ingresses, which they may spend at any time, over the bucket and its slack. */
    double mostTooMuch = Double.NEGATIVE_INFINITY;
    /** Largest sum of the portions of all ingresses. */
    double mostPortions;
    /** Units that reached a backend, and units that were requested. */
    double reached;
    double asked;

    CeilingRun(long seed, Set<Trouble> troubles) {
        this.seed = seed;
        this.troubles = troubles;
        random = new SplittableRandom(seed);
        set = 2 + random.nextInt(12);
        double quota = between(10, 40);
        double ceilingRate = quota * between(1.6, 2.6);
        double ceilingBurst = ceilingRate * between(1.4, 2.9);
        plan = new Plan(quota, quota * between(1.4, 2.9), 0, 1, ceilingRate, ceilingBurst, Math.max(0.1 * ceilingBurst, 4), 0);
        lossPart = troubles.contains(Trouble.LOST_DATAGRAMS) ? 0.2 * random.nextDouble() : 0;
        spreadMs = between(5, 205);
        level = least = ceilingBurst;
        for (int i = 0; i < SERVERS; i++) { servers.add(new Server(100 + i, 0, 0, 1, 0, Readiness.READY)); }
        settings = new Settings[set];
        ingresses = new Policy[set];
        lives = new int[set];
        pausedUntil = new double[set];
        weights = new double[set];
        for (int i = 0; i < set; i++) { weights[i] = Math.pow(random.nextDouble(), 3); }
        for (int i = 0; i < set; i++) {
            settings[i] = new Settings(i, set, 0, 1, List.of(CLASS), List.of(plan), new Limits(6, true, true, 1000),
                    new Rules(0.25, 10_000, 3, 1000, 1000), List.of(), false, 60, 4, 0, 0.01);
            start(i);
        }
    }

    private double between(double least, double most) { return least + (most - least) * random.nextDouble(); }

    /** Number of seeds that break the ceiling or could have; the bits of a seed select its faults. */
    public static int countBroken(long first, long draws) {
        return (int) LongStream.range(first, first + draws).parallel().mapToObj(seed -> {
            Set<Trouble> troubles = EnumSet.noneOf(Trouble.class);
            for (Trouble trouble : Trouble.values()) {
                if ((seed >> trouble.ordinal()) % 2 == 1) { troubles.add(trouble); }
            }
            return new CeilingRun(seed, troubles).play();
        }).filter(run -> run.isBroken() || run.holdTooMuch()).count();
    }

    /** Whether the bucket went below minus the slack. */
    boolean isBroken() { return least < -plan.ceilingSlack() - ROUNDING; }

    /** Whether the bucket could have gone below minus the slack. */
    boolean holdTooMuch() { return mostTooMuch > ROUNDING || mostPortions > 1 + ROUNDING; }

    @Override
    public String toString() {
        return String.format("seed %d, set of %d, ceiling %.1f a second and %.1f at once, slack %.1f, least %.1f, too much held %.4f, portions %.4f, %.0f of %.0f units sent on, with %s",
                seed, set, plan.ceilingRatePerS(), plan.ceilingBurst(), plan.ceilingSlack(), least, mostTooMuch, mostPortions, reached, asked, troubles);
    }

    CeilingRun play() {
        double begin = now;
        calm(begin, begin + CALM_MS);
        for (int burst = 0; burst < BURSTS; burst++) {
            double at = begin + CALM_MS + burst * REST_MS;
            burst(at);
            if (troubles.contains(Trouble.CUT_CONNECTIONS)) {
                double lasts = between(100, LONGEST_CUT_MS);
                at(at + between(-lasts, spreadMs), () -> cutUntil = now + lasts);
            }
            calm(at + spreadMs, at + REST_MS);
        }
        if (troubles.contains(Trouble.RESTARTS)) {
            for (int i = 0; i < 4; i++) { at(begin + between(0, CALM_MS + BURSTS * REST_MS), () -> restart(random.nextInt(set))); }
            at(begin + CALM_MS + 0.9 * spreadMs, () -> restart(random.nextInt(set)));
            double twice = begin + CALM_MS + REST_MS;
            int one = random.nextInt(set);
            at(twice + spreadMs, () -> restart(one));
            at(twice + spreadMs + between(RESTART_MS, 2000), () -> restart(one));
        }
        if (troubles.contains(Trouble.PAUSES)) {
            for (int i = 0; i < 6; i++) { at(begin + between(0, CALM_MS + BURSTS * REST_MS), () -> pausedUntil[random.nextInt(set)] = now + between(100, LONGEST_PAUSE_MS)); }
        }
        double ends = begin + CALM_MS + BURSTS * REST_MS;
        while (!due.isEmpty() && due.peek().at() <= ends) {
            Due next = due.poll();
            now = Math.max(now, next.at());
            next.work().run();
            compareHoldings();
        }
        return this;
    }

    private void at(double time, Runnable work) { due.add(new Due(Math.max(now, time), order++, work)); }

    private void calm(double from, double until) {
        double units = 2.5;
        double part = between(0.1, 0.6);
        for (double at = from; at < until; at -= Math.log(1 - random.nextDouble()) * 1000 * units / (part * plan.ratePerS())) {
            int ingress = busy();
            at(at, () -> ask(ingress));
        }
    }

    /** Draws an ingress for the calm period, in which demand is uneven so that shares are lent. */
    private int busy() {
        double all = 0;
        for (double weight : weights) { all += weight; }
        double draw = all * random.nextDouble();
        int ingress = 0;
        while (ingress < set - 1 && (draw -= weights[ingress]) > 0) { ingress++; }
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
        waiting.removeIf(one -> lives[one.ingress()] != one.life() || now - one.sentAt() > Api.MAX_WRITE_DELAY_MS);
        for (Waiting one : waiting) { held += one.units(); }
        mostPortions = Math.max(mostPortions, portions);
        double bucket = Math.min(plan.ceilingBurst(), level + plan.ceilingRatePerS() * (now - levelAt) / 1000);
        mostTooMuch = Math.max(mostTooMuch, held - bucket - plan.ceilingSlack());
    }

    /** Requests twice the ceiling's burst over all ingresses; with an even seed, the ceiling's rate for another second. */
    private void burst(double from) {
        int tries = (int) (2 * plan.ceilingBurst() / 2.5);
        for (int i = 0; i < tries; i++) {
            int ingress = random.nextInt(set);
            at(from + spreadMs * random.nextDouble(), () -> ask(ingress));
        }
        for (int i = 0; seed % 2 == 0 && i < plan.ceilingRatePerS(); i++) {
            int ingress = random.nextInt(set);
            at(from + spreadMs + 1000 * random.nextDouble(), () -> ask(ingress));
        }
    }

    private void start(int i) {
        int life = ++lives[i];
        ingresses[i] = new Policy(settings[i], random.nextLong(), now, action -> act(i, life, action));
        ingresses[i].on(now, new ServerList(ListKind.CACHED, servers));
    }

    private void restart(int i) {
        if (ingresses[i] == null) { return; }
        lives[i]++;
        ingresses[i] = null;
        at(now + RESTART_MS, () -> start(i));
    }

    private void ask(int ingress) {
        if (ingresses[ingress] == null) { return; }
        double units = 1 + random.nextInt(4);
        asked += units;
        tell(ingress, lives[ingress], new Request(++ids, 0, 0, CUSTOMER, now + 2000, units, 0, set));
    }

    private void tell(int to, int life, Event event) {
        if (pausedUntil[to] > now) {
            at(pausedUntil[to], () -> tell(to, life, event));
        } else if (lives[to] == life && ingresses[to] != null) {
            if (event instanceof Request q) { sent.put(q.id(), new Sent(q.units())); }
            ingresses[to].on(now, event);
        }
    }

    private void act(int from, int life, Action action) {
        if (action instanceof SetTimer timer) {
            at(timer.atMs(), () -> tell(from, life, new TimerFired(timer.token())));
        } else if (action instanceof Tell message) {
            datagram(from, message);
        } else if (action instanceof Send send) {
            attempt(from, life, send);
        }
    }

    private void datagram(int from, Tell message) {
        PeerMessage event = new PeerMessage(from, message.body());
        boolean stray = troubles.contains(Trouble.OLD_DATAGRAMS) && random.nextInt(6) == 0;
        double lateMs = between(1, stray ? STRAY_DATAGRAM_MS : MOST_LATE_DATAGRAM_MS);
        if (random.nextDouble() >= lossPart) { at(now + lateMs, () -> tell(message.to(), lives[message.to()], event)); }
        if (troubles.contains(Trouble.OLD_DATAGRAMS) && random.nextInt(4) == 0) {
            double later = between(1, random.nextBoolean() ? MOST_LATE_DATAGRAM_MS : OLDEST_DATAGRAM_MS);
            at(now + later, () -> tell(message.to(), lives[message.to()], event));
        }
    }

    private void attempt(int from, int life, Send send) {
        Sent one = sent.get(send.id());
        int number = one.attempts++;
        if (cutUntil <= now) {
            reaches(one);
            ends(from, life, send, number, Outcome.SERVED, ANSWER_MS);
            return;
        }
        at(now, () -> tell(from, life, new AttemptDelayed(send.id(), number)));
        Waiting wait = new Waiting(from, life, one.units, now);
        if (!one.counted) { waiting.add(wait); }
        if (cutUntil > now + DIAL_TIMEOUT_MS) {
            at(now + DIAL_TIMEOUT_MS, () -> waiting.remove(wait));
            ends(from, life, send, number, Outcome.CONNECT_FAILED, DIAL_TIMEOUT_MS);
        } else {
            at(cutUntil, () -> write(wait, send, number));
        }
    }

    /** The connection is established: a process that was paused meanwhile writes late, or not at all. */
    private void write(Waiting wait, Send send, int number) {
        int from = wait.ingress();
        if (lives[from] != wait.life()) { return; }
        if (pausedUntil[from] > now) {
            at(pausedUntil[from], () -> write(wait, send, number));
        } else if (now - wait.sentAt() > Api.MAX_WRITE_DELAY_MS) {
            ends(from, wait.life(), send, number, Outcome.CONNECT_FAILED, 0);
        } else {
            waiting.remove(wait);
            reaches(sent.get(send.id()));
            tell(from, wait.life(), new AttemptWritten(send.id(), number));
            ends(from, wait.life(), send, number, Outcome.SERVED, ANSWER_MS);
        }
    }

    private void ends(int from, int life, Send send, int number, Outcome outcome, double afterMs) {
        at(now + afterMs, () -> tell(from, life, new AttemptDone(send.id(), number, send.server(), outcome, afterMs, outcome == Outcome.SERVED, 0, null)));
    }

    /** Takes a request's units from the bucket once, when its first attempt reaches a backend. */
    private void reaches(Sent one) {
        if (one.counted) { return; }
        one.counted = true;
        level = Math.min(plan.ceilingBurst(), level + plan.ceilingRatePerS() * (now - levelAt) / 1000) - one.units;
        levelAt = now;
        least = Math.min(least, level);
        reached += one.units;
    }
}

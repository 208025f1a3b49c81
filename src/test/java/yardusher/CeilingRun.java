package yardusher;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import yardusher.Api.*;

/**
 * An adversary against one customer's ceiling, on scripted time and by seed: a calm time, then bursts at all ingresses of its set, with
 * datagrams that are late, lost, doubled and very old, ingresses that restart, and times in which no connection to a backend comes up. Keeps
 * the token bucket that the rule names, fed by the units that reach a backend.
 */
final class CeilingRun {
    /** What a run may contain beside the burst. */
    enum Trouble { LOST_DATAGRAMS, OLD_DATAGRAMS, RESTARTS, CUT_CONNECTIONS }

    private static final double CALM_MS = 4000;
    private static final double REST_MS = 5000;
    private static final double DIAL_TIMEOUT_MS = 250;
    private static final double LONGEST_CUT_MS = 1400;
    private static final double ANSWER_MS = 60;
    private static final double RESTART_MS = 50;
    private static final double MOST_LATE_DATAGRAM_MS = 150;
    private static final int SERVERS = 8;
    private static final int BURSTS = 3;

    private record Due(double at, long order, Runnable work) { }

    /** A request that was sent on: its ingress, its units and how many attempts it has had. */
    private static final class Sent {
        final double units;
        int attempts;
        boolean counted;

        Sent(double units) { this.units = units; }
    }

    final long seed;
    final Plan plan;
    final int set;
    private final java.util.Set<Trouble> troubles;
    private final SplittableRandom random;
    private final double lossPart;
    private final double spreadMs;
    private final Settings[] settings;
    private final Policy[] ingresses;
    private final int[] lives;
    private final PriorityQueue<Due> due = new PriorityQueue<>(Comparator.comparingDouble(Due::at).thenComparingLong(Due::order));
    private final Map<Long, Sent> sent = new HashMap<>();
    private final List<Server> servers = new ArrayList<>();
    private double now = 1000;
    private double cutUntil;
    private double level;
    private double levelAt = now;
    private long order;
    private long ids;
    /** The least that the bucket ever held: below minus the slack, the rule is broken. */
    double least;
    /** Units that reached a backend, and units that were asked for. */
    double reached;
    double asked;

    CeilingRun(long seed, java.util.Set<Trouble> troubles) {
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
        for (int i = 0; i < set; i++) {
            settings[i] = new Settings(i, set, 0, 1, List.of(PolicyTest.SAFE), List.of(plan), new Limits(6, true, true, 1000),
                    new Rules(0.25, 10_000, 3, 1000, 1000), List.of(), false, 60, 4, 0, 0.01);
            start(i);
        }
    }

    private double between(double least, double most) { return least + (most - least) * random.nextDouble(); }

    /** Whether the bucket went below minus the slack. */
    boolean isBroken() { return least < -plan.ceilingSlack() - 1e-6; }

    @Override
    public String toString() {
        return String.format("seed %d, set of %d, ceiling %.1f a second and %.1f at once, slack %.1f, least %.1f, %.0f of %.0f units sent on, with %s",
                seed, set, plan.ceilingRate(), plan.ceilingBurst(), plan.ceilingSlack(), least, reached, asked, troubles);
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
            calm(at + REST_MS / 2, at + REST_MS);
        }
        if (troubles.contains(Trouble.RESTARTS)) {
            for (int i = 0; i < 4; i++) { at(begin + between(0, CALM_MS + BURSTS * REST_MS), this::restartOne); }
            at(begin + CALM_MS + spreadMs / 2, this::restartOne);
        }
        double ends = begin + CALM_MS + BURSTS * REST_MS;
        while (!due.isEmpty() && due.peek().at() <= ends) {
            Due next = due.poll();
            now = Math.max(now, next.at());
            next.work().run();
        }
        return this;
    }

    private void at(double time, Runnable work) { due.add(new Due(Math.max(now, time), order++, work)); }

    private void calm(double from, double until) {
        double units = 2.5;
        double part = between(0.1, 0.6);
        for (double at = from; at < until; at -= Math.log(1 - random.nextDouble()) * 1000 * units / (part * plan.ratePerS())) {
            int ingress = random.nextInt(set);
            at(at, () -> ask(ingress));
        }
    }

    /** Twice the ceiling's burst is asked for, everywhere, and the rate goes on for a second. */
    private void burst(double from) {
        int tries = (int) (2 * plan.ceilingBurst() / 2.5);
        for (int i = 0; i < tries; i++) {
            int ingress = random.nextInt(set);
            at(from + spreadMs * random.nextDouble(), () -> ask(ingress));
        }
        for (int i = 0; i < plan.ceilingRate(); i++) {
            int ingress = random.nextInt(set);
            at(from + spreadMs + 1000 * random.nextDouble(), () -> ask(ingress));
        }
    }

    private void start(int i) {
        int life = ++lives[i];
        ingresses[i] = new Policy(settings[i], random.nextLong(), now, action -> act(i, life, action));
        ingresses[i].on(now, new ServerList(ListKind.CACHED, servers));
    }

    private void restartOne() {
        int i = random.nextInt(set);
        lives[i]++;
        ingresses[i] = null;
        at(now + RESTART_MS, () -> start(i));
    }

    private void ask(int ingress) {
        if (ingresses[ingress] == null) { return; }
        double units = 1 + random.nextInt(4);
        asked += units;
        tell(ingress, lives[ingress], new Request(++ids, 0, 0, 7, now + 2000, units, 0, set));
    }

    private void tell(int to, int life, Event event) {
        if (lives[to] == life && ingresses[to] != null) {
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
        if (random.nextDouble() >= lossPart) { at(now + between(1, MOST_LATE_DATAGRAM_MS), () -> tell(message.to(), lives[message.to()], event)); }
        if (troubles.contains(Trouble.OLD_DATAGRAMS) && random.nextInt(4) == 0) {
            at(now + between(1, 10_000), () -> tell(message.to(), lives[message.to()], event));
        }
    }

    private void attempt(int from, int life, Send send) {
        Sent one = sent.get(send.id());
        int number = one.attempts++;
        if (cutUntil > now + DIAL_TIMEOUT_MS) {
            at(now + DIAL_TIMEOUT_MS, () -> tell(from, life, new AttemptDone(send.id(), number, send.server(), Outcome.CONNECT_FAILED, DIAL_TIMEOUT_MS, false, 0, null)));
            return;
        }
        double arrives = Math.max(now, cutUntil);
        at(arrives, () -> {
            if (lives[from] == life) { count(one); }
        });
        at(arrives + ANSWER_MS, () -> tell(from, life, new AttemptDone(send.id(), number, send.server(), Outcome.SERVED, ANSWER_MS, true, 0, null)));
    }

    /** A request takes its units once, when its first attempt has reached a backend. */
    private void count(Sent one) {
        if (one.counted) { return; }
        one.counted = true;
        level = Math.min(plan.ceilingBurst(), level + plan.ceilingRate() * (now - levelAt) / 1000) - one.units;
        levelAt = now;
        least = Math.min(least, level);
        reached += one.units;
    }
}

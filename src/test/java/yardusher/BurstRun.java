package yardusher;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import yardusher.Api.*;

/**
 * Simulation, by seed, of a small fleet under a burst, while some backends restart cold and new ones join. Backends
 * share their cores among the running requests, have a bounded queue, and continue abandoned work. Times are in milliseconds.
 */
final class BurstRun {
    /**
     * A scenario. {@code load} and {@code burst}: demand before and during the burst, as a fraction of the capacity of all warm
     * backends. {@code cold}: backends that restart as the burst begins; {@code joining}: new ones; {@code hung}: ones that do no
     * work during the burst.
     */
    record Case(int gateways, int servers, int cold, int joining, int hung, double load, double burst, double coldFrom, double warmAfterMs, double workMs,
            double aimMs, double deadlineMs, int cores, int slots, int queue, boolean dropsExpired, long seed) { }

    static final double BURST_AT = 8000, BURST_MS = 6000;
    static final double TICK = 2;

    private final class Work {
        final int from, number;
        final long id;
        final double expiresAt;
        double left;

        Work(int from, long id, int number, double left, double expiresAt) {
            this.from = from; this.id = id; this.number = number; this.left = left; this.expiresAt = expiresAt;
        }
    }

    private final class Machine {
        final long id;
        double startedAt;
        final List<Work> inWork = new ArrayList<>();
        final ArrayDeque<Work> waiting = new ArrayDeque<>();

        Machine(long id, double startedAt) { this.id = id; this.startedAt = startedAt; }

        double warmth() {
            return startedAt <= 0 ? 1 : Math.min(1, of.coldFrom + (1 - of.coldFrom) * (now - startedAt) / of.warmAfterMs);
        }

        Server listed() { return new Server(id, 0, 0, 1, startedAt, Readiness.READY); }

        void tick() {
            if (id < 100 + of.hung && inBurst()) { return; }
            while (inWork.size() < of.cores * of.slots && !waiting.isEmpty()) {
                Work w = waiting.poll();
                if (of.dropsExpired && w.expiresAt <= now) { continue; }
                inWork.add(w);
            }
            if (inWork.isEmpty()) { return; }
            double each = TICK * warmth() * Math.min(1, (double) of.cores / inWork.size());
            List<Work> over = new ArrayList<>();
            for (Work w : inWork) { if ((w.left -= each) <= 0) { over.add(w); } }
            inWork.removeAll(over);
            for (Work w : over) { at(now + 1, () -> end(w.from, w.id, w.number, Outcome.SERVED)); }
        }
    }

    /** Results of the requests that first arrived in one period of two seconds; refusals of all tries by reason. */
    static final class Part {
        int asked, servedInAim;
        final Map<Reason, Integer> refused = new EnumMap<>(Reason.class);
    }

    private record Due(double at, long order, Runnable work) { }

    private static final class Open {
        int attempts, before, gateway;
        double cameAt, firstAt, sentAt;
        long on;
        boolean out;
    }

    private final Case of;
    private final SplittableRandom random;
    private final PriorityQueue<Due> due = new PriorityQueue<>(Comparator.comparingDouble(Due::at).thenComparingLong(Due::order));
    private final Map<Long, Machine> machines = new LinkedHashMap<>();
    private final Policy[] gateways;
    private final RequestClass safe;
    private final Map<Long, Open> open = new HashMap<>();
    double now = 1000;
    private long order, ids;
    final List<Part> parts = new ArrayList<>();
    final double startedAt = now;

    BurstRun(Case of) {
        this.of = of;
        random = new SplittableRandom(of.seed);
        safe = new RequestClass(of.aimMs, of.deadlineMs, 1, 0, Effect.IDEMPOTENT, Group.ALL, 0, false);
        gateways = new Policy[of.gateways];
        for (int i = 0; i < of.servers; i++) { machines.put(100L + i, new Machine(100 + i, 0)); }
        for (int i = 0; i < gateways.length; i++) {
            int self = i;
            Settings settings = new Settings(i, gateways.length, 0, 1, List.of(safe), List.of(new Plan(0, 0, 0, 1, 0, 0, 0)),
                    new Limits(4, true, true, 2000), new Rules(of.coldFrom, of.warmAfterMs, 3, 1500, 10_000), List.of(), false, 40, 1, 0, 0.02);
            gateways[i] = new Policy(settings, random.nextLong(), now, action -> act(self, action));
            gateways[i].on(now, new ServerList(ListKind.CACHED, machines.values().stream().map(Machine::listed).toList()));
            arrive(i);
        }
        tick();
    }

    private Part part(double cameAt) {
        int at = (int) ((cameAt - startedAt) / 2000);
        while (parts.size() <= at) { parts.add(new Part()); }
        return parts.get(at);
    }

    private void at(double time, Runnable work) { due.add(new Due(Math.max(now, time), order++, work)); }

    private void tick() {
        at(now + TICK, () -> {
            for (Machine m : List.copyOf(machines.values())) { m.tick(); }
            tick();
        });
    }

    private boolean inBurst() { return now - startedAt >= BURST_AT && now - startedAt < BURST_AT + BURST_MS; }

    private double perMs() {
        double load = inBurst() ? of.burst : of.load;
        return load * (of.servers + of.joining) * of.cores / of.workMs / gateways.length;
    }

    private void arrive(int gateway) {
        at(now - Math.log(1 - random.nextDouble()) / perMs(), () -> {
            ask(gateway, 0, now);
            arrive(gateway);
        });
    }

    private void ask(int gateway, int before, double firstAt) {
        long id = ++ids;
        Open o = new Open();
        o.before = before; o.gateway = gateway; o.cameAt = now; o.firstAt = firstAt;
        open.put(id, o);
        if (before == 0) { part(now).asked++; }
        gateways[gateway].on(now, new Request(id, 0, 0, id % 500, now + of.deadlineMs, 1, 0, gateways.length));
    }

    private void again(Open o) {
        if (o.before < 2) { at(now + 40 + 260 * random.nextDouble(), () -> ask(random.nextInt(gateways.length), o.before + 1, o.firstAt)); }
    }

    private void act(int from, Action action) {
        if (action instanceof SetTimer timer) {
            at(timer.atMs(), () -> gateways[from].on(now, new TimerFired(timer.token())));
        } else if (action instanceof Tell tell) {
            at(now + 2 + 20 * random.nextDouble(), () -> gateways[tell.to()].on(now, new PeerMessage(from, tell.body())));
        } else if (action instanceof Refuse refuse) {
            Open o = open.remove(refuse.id());
            part(o.cameAt).refused.merge(refuse.reason(), 1, Integer::sum);
            again(o);
        } else if (action instanceof Fail fail) {
            Open o = open.remove(fail.id());
            again(o);
        } else if (action instanceof Cancel cancel) {
            at(now + 0.1, () -> end(from, cancel.id(), cancel.attempt(), Outcome.CANCELLED));
        } else if (action instanceof Send send) {
            send(from, send);
        }
    }

    private void send(int from, Send send) {
        Machine m = machines.get(send.server());
        Open o = open.get(send.id());
        int number = o.attempts++;
        o.sentAt = now; o.on = m.id; o.out = true;
        at(now + send.timeoutMs(), () -> end(from, send.id(), number, Outcome.TIMED_OUT));
        if (m.waiting.size() >= of.queue * of.cores) {
            at(now + 1, () -> end(from, send.id(), number, Outcome.REJECTED));
            return;
        }
        m.waiting.add(new Work(from, send.id(), number, -Math.log(1 - random.nextDouble()) * of.workMs, now + send.timeoutMs()));
    }

    private void end(int from, long id, int number, Outcome how) {
        Open o = open.get(id);
        if (o == null || o.attempts != number + 1 || !o.out) { return; }
        o.out = false;
        boolean ends = how == Outcome.SERVED;
        if (ends) {
            open.remove(id);
            if (now - o.cameAt <= of.aimMs) { part(o.firstAt).servedInAim++; }
        }
        gateways[from].on(now, new AttemptDone(id, number, o.on, how, now - o.sentAt, ends, 0, null));
    }

    BurstRun run(double forMs) {
        at(startedAt + BURST_AT, () -> {
            List<Machine> all = new ArrayList<>(machines.values());
            for (Machine m : all.subList(0, of.cold)) {
                m.startedAt = now; m.inWork.clear(); m.waiting.clear();
                List<Long> lost = open.entrySet().stream().filter(e -> e.getValue().out && e.getValue().on == m.id).map(Map.Entry::getKey).sorted().toList();
                for (long id : lost) { end(open.get(id).gateway, id, open.get(id).attempts - 1, Outcome.CONNECTION_LOST); }
            }
            for (int i = 0; i < of.joining; i++) { machines.put(1000L + i, new Machine(1000 + i, now)); }
            List<Server> list = machines.values().stream().map(Machine::listed).toList();
            for (Policy gateway : gateways) { at(now + 1000 + 1000 * random.nextDouble(), () -> gateway.on(now, new ServerList(ListKind.FULL, list))); }
        });
        double until = startedAt + forMs;
        while (due.peek().at() <= until) {
            Due next = due.poll();
            now = Math.max(now, next.at());
            next.work().run();
        }
        now = until;
        return this;
    }

    /** Fraction of the requests that arrived between two times and were served within the aim. */
    double served(double from, double to) {
        int asked = 0, in = 0;
        for (int i = (int) (from / 2000); i < Math.min(parts.size(), (int) (to / 2000)); i++) { asked += parts.get(i).asked; in += parts.get(i).servedInAim; }
        return in / (double) asked;
    }

    /** Number of tries that arrived between two times and were refused by load shedding. */
    int refusedForPressure(double from, double to) {
        return parts.subList((int) (from / 2000), Math.min(parts.size(), (int) (to / 2000))).stream().mapToInt(p -> p.refused.getOrDefault(Reason.PRESSURE, 0)).sum();
    }
}

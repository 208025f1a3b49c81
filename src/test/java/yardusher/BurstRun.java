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
     * backends. {@code cold}: backends that restart as the burst begins; {@code joining}: new ones; {@code hanging}: ones that do no
     * work during the burst.
     */
    record Scenario(int gateways, int servers, int cold, int joining, int hanging, double load, double burst,
            double initialWarmth, double warmAfterMs, double workMs, double aimMs, double deadlineMs,
            int cores, int slotsPerCore, int queuePerCore, boolean dropsExpired, long seed) { }

    static final double BURST_AT_MS = 8000, BURST_MS = 6000;
    static final double TICK_MS = 2;

    private final class Job {
        final int gateway, attempt;
        final long id;
        final double expiresAtMs;
        double leftMs;

        Job(int gateway, long id, int attempt, double leftMs, double expiresAtMs) {
            this.gateway = gateway; this.id = id; this.attempt = attempt; this.leftMs = leftMs; this.expiresAtMs = expiresAtMs;
        }
    }

    private final class Backend {
        final long id;
        double startedAtMs;
        final List<Job> running = new ArrayList<>();
        final ArrayDeque<Job> waiting = new ArrayDeque<>();

        Backend(long id, double startedAtMs) { this.id = id; this.startedAtMs = startedAtMs; }

        double warmth() {
            return startedAtMs <= 0 ? 1 : Math.min(1, scenario.initialWarmth + (1 - scenario.initialWarmth) * (now - startedAtMs) / scenario.warmAfterMs);
        }

        Server toServer() { return new Server(id, 0, 0, 1, startedAtMs, Readiness.READY); }

        void tick() {
            if (id < 100 + scenario.hanging && inBurst()) { return; }
            while (running.size() < scenario.cores * scenario.slotsPerCore && !waiting.isEmpty()) {
                Job job = waiting.poll();
                if (scenario.dropsExpired && job.expiresAtMs <= now) { continue; }
                running.add(job);
            }
            if (running.isEmpty()) { return; }
            double stepMs = TICK_MS * warmth() * Math.min(1, (double) scenario.cores / running.size());
            List<Job> finished = new ArrayList<>();
            for (Job job : running) { if ((job.leftMs -= stepMs) <= 0) { finished.add(job); } }
            running.removeAll(finished);
            for (Job job : finished) { schedule(now + 1, () -> endAttempt(job.gateway, job.id, job.attempt, Outcome.SERVED)); }
        }
    }

    /** Results of the requests that first arrived in one period of two seconds; refusals of all tries by reason. */
    static final class Period {
        int requests, servedInAim;
        final Map<Reason, Integer> refused = new EnumMap<>(Reason.class);
    }

    private record Task(double atMs, long number, Runnable work) { }

    private static final class OpenRequest {
        int attempts, triesBefore, gateway;
        double arrivedAtMs, firstTriedAtMs, sentAtMs;
        long backend;
        boolean attemptOpen;
    }

    private final Scenario scenario;
    private final SplittableRandom random;
    private final PriorityQueue<Task> tasks = new PriorityQueue<>(Comparator.comparingDouble(Task::atMs).thenComparingLong(Task::number));
    private final Map<Long, Backend> backends = new LinkedHashMap<>();
    private final Policy[] gateways;
    private final RequestClass requestClass;
    private final Map<Long, OpenRequest> openRequests = new HashMap<>();
    double now = 1000;
    private long taskCount, requestCount;
    final List<Period> periods = new ArrayList<>();
    final double startedAtMs = now;

    BurstRun(Scenario scenario) {
        this.scenario = scenario;
        random = new SplittableRandom(scenario.seed);
        requestClass = new RequestClass(scenario.aimMs, scenario.deadlineMs, 1, 0, Effect.IDEMPOTENT, Group.ALL, 0, false);
        gateways = new Policy[scenario.gateways];
        for (int i = 0; i < scenario.servers; i++) { backends.put(100L + i, new Backend(100 + i, 0)); }
        for (int i = 0; i < gateways.length; i++) {
            int self = i;
            Settings settings = new Settings(i, gateways.length, 0, 1, List.of(requestClass), List.of(new Plan(0, 0, 0, 1, 0, 0, 0)),
                    new Limits(4, true, true, 2000), new Rules(scenario.initialWarmth, scenario.warmAfterMs, 3, 1500, 10_000), List.of(), false, 40, 1, 0, 0.02);
            gateways[i] = new Policy(settings, random.nextLong(), now, action -> handle(self, action));
            gateways[i].on(now, new ServerList(ListKind.CACHED, backends.values().stream().map(Backend::toServer).toList()));
            scheduleArrival(i);
        }
        tick();
    }

    private Period period(double arrivedAtMs) {
        int index = (int) ((arrivedAtMs - startedAtMs) / 2000);
        while (periods.size() <= index) { periods.add(new Period()); }
        return periods.get(index);
    }

    private void schedule(double atMs, Runnable action) { tasks.add(new Task(Math.max(now, atMs), taskCount++, action)); }

    private void tick() {
        schedule(now + TICK_MS, () -> {
            for (Backend backend : List.copyOf(backends.values())) { backend.tick(); }
            tick();
        });
    }

    private boolean inBurst() { return now - startedAtMs >= BURST_AT_MS && now - startedAtMs < BURST_AT_MS + BURST_MS; }

    private double requestsPerMs() {
        double load = inBurst() ? scenario.burst : scenario.load;
        return load * (scenario.servers + scenario.joining) * scenario.cores / scenario.workMs / gateways.length;
    }

    private void scheduleArrival(int gateway) {
        schedule(now - Math.log(1 - random.nextDouble()) / requestsPerMs(), () -> {
            sendRequest(gateway, 0, now);
            scheduleArrival(gateway);
        });
    }

    private void sendRequest(int gateway, int triesBefore, double firstTriedAtMs) {
        long id = ++requestCount;
        OpenRequest request = new OpenRequest();
        request.triesBefore = triesBefore; request.gateway = gateway; request.arrivedAtMs = now; request.firstTriedAtMs = firstTriedAtMs;
        openRequests.put(id, request);
        if (triesBefore == 0) { period(now).requests++; }
        gateways[gateway].on(now, new Request(id, 0, 0, id % 500, now + scenario.deadlineMs, 1, 0, gateways.length));
    }

    private void retryLater(OpenRequest request) {
        if (request.triesBefore < 2) {
            schedule(now + 40 + 260 * random.nextDouble(),
                    () -> sendRequest(random.nextInt(gateways.length), request.triesBefore + 1, request.firstTriedAtMs));
        }
    }

    private void handle(int gateway, Action action) {
        if (action instanceof SetTimer timer) {
            schedule(timer.atMs(), () -> gateways[gateway].on(now, new TimerFired(timer.token())));
        } else if (action instanceof Tell tell) {
            schedule(now + 2 + 20 * random.nextDouble(), () -> gateways[tell.to()].on(now, new PeerMessage(gateway, tell.body())));
        } else if (action instanceof Refuse refuse) {
            OpenRequest request = openRequests.remove(refuse.id());
            period(request.arrivedAtMs).refused.merge(refuse.reason(), 1, Integer::sum);
            retryLater(request);
        } else if (action instanceof Fail fail) {
            OpenRequest request = openRequests.remove(fail.id());
            retryLater(request);
        } else if (action instanceof Cancel cancel) {
            schedule(now + 0.1, () -> endAttempt(gateway, cancel.id(), cancel.attempt(), Outcome.CANCELLED));
        } else if (action instanceof Send send) {
            send(gateway, send);
        }
    }

    private void send(int gateway, Send send) {
        Backend backend = backends.get(send.server());
        OpenRequest request = openRequests.get(send.id());
        int attempt = request.attempts++;
        request.sentAtMs = now; request.backend = backend.id; request.attemptOpen = true;
        schedule(now + send.timeoutMs(), () -> endAttempt(gateway, send.id(), attempt, Outcome.TIMED_OUT));
        if (backend.waiting.size() >= scenario.queuePerCore * scenario.cores) {
            schedule(now + 1, () -> endAttempt(gateway, send.id(), attempt, Outcome.REJECTED));
            return;
        }
        backend.waiting.add(new Job(gateway, send.id(), attempt, -Math.log(1 - random.nextDouble()) * scenario.workMs, now + send.timeoutMs()));
    }

    private void endAttempt(int gateway, long id, int attempt, Outcome outcome) {
        OpenRequest request = openRequests.get(id);
        if (request == null || request.attempts != attempt + 1 || !request.attemptOpen) { return; }
        request.attemptOpen = false;
        boolean finished = outcome == Outcome.SERVED;
        if (finished) {
            openRequests.remove(id);
            if (now - request.arrivedAtMs <= scenario.aimMs) { period(request.firstTriedAtMs).servedInAim++; }
        }
        gateways[gateway].on(now, new AttemptDone(id, attempt, request.backend, outcome, now - request.sentAtMs, finished, 0, null));
    }

    BurstRun run(double forMs) {
        schedule(startedAtMs + BURST_AT_MS, () -> {
            List<Backend> all = new ArrayList<>(backends.values());
            for (Backend backend : all.subList(0, scenario.cold)) {
                backend.startedAtMs = now; backend.running.clear(); backend.waiting.clear();
                List<Long> lost = openRequests.entrySet().stream().filter(e -> e.getValue().attemptOpen && e.getValue().backend == backend.id)
                        .map(Map.Entry::getKey).sorted().toList();
                for (long id : lost) { endAttempt(openRequests.get(id).gateway, id, openRequests.get(id).attempts - 1, Outcome.CONNECTION_LOST); }
            }
            for (int i = 0; i < scenario.joining; i++) { backends.put(1000L + i, new Backend(1000 + i, now)); }
            List<Server> list = backends.values().stream().map(Backend::toServer).toList();
            for (Policy gateway : gateways) { schedule(now + 1000 + 1000 * random.nextDouble(), () -> gateway.on(now, new ServerList(ListKind.FULL, list))); }
        });
        double untilMs = startedAtMs + forMs;
        while (tasks.peek().atMs() <= untilMs) {
            Task next = tasks.poll();
            now = Math.max(now, next.atMs());
            next.work().run();
        }
        now = untilMs;
        return this;
    }

    /** Fraction of the requests that arrived between two times and were served within the aim. */
    double served(double fromMs, double toMs) {
        int requests = 0, served = 0;
        for (int i = (int) (fromMs / 2000); i < Math.min(periods.size(), (int) (toMs / 2000)); i++) {
            requests += periods.get(i).requests; served += periods.get(i).servedInAim;
        }
        return served / (double) requests;
    }

    /** Number of tries that arrived between two times and were refused by load shedding. */
    int refusedForPressure(double fromMs, double toMs) {
        return periods.subList((int) (fromMs / 2000), Math.min(periods.size(), (int) (toMs / 2000))).stream()
                .mapToInt(p -> p.refused.getOrDefault(Reason.PRESSURE, 0)).sum();
    }
}

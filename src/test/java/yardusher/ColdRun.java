package yardusher;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import yardusher.Api.*;

/**
 * Simulation, by seed, of a fleet whose backends are replaced or restarted at once: backends with cores, a queue and a warm-up,
 * clients that retry, ingresses with unequal parts of the traffic. Compares the attempts at each cold backend in any time span
 * with what the settings allow. Times are in milliseconds.
 */
final class ColdRun {
    /** Speed of cold backends: slower by their warmth, or as quick as warm ones, which makes the bound harder to keep. */
    enum Pace { BY_WARMTH, AS_WARM }

    /**
     * A scenario. {@code load}: demand as a fraction of the capacity of all warm backends. {@code skew}: the exponent by which
     * the ingresses' parts of the traffic decrease, 0 for equal ones. {@code hotFraction}: the extra fraction that comes through one ingress.
     * {@code restart}: the backends keep their ids. {@code listDelayMs}: the time over which the ingresses get the list.
     * {@code retries}: how often a client retries.
     */
    record Scenario(int gateways, int servers, int replaced, Rules rules, int cores, double load, double skew, double hotFraction, Pace pace,
            boolean restart, double listDelayMs, int retries, long seed) {
        Scenario(int gateways, int servers, int replaced, Rules rules, double load, long seed) {
            this(gateways, servers, replaced, rules, 4, load, 0, 0, Pace.AS_WARM, false, 0, 2, seed);
        }

        Scenario withUnevenTraffic(double exponent, double hotPart) {
            return new Scenario(gateways, servers, replaced, rules, cores, load, exponent, hotPart, pace, restart, listDelayMs, retries, seed);
        }

        Scenario cores(int n) { return new Scenario(gateways, servers, replaced, rules, n, load, skew, hotFraction, pace, restart, listDelayMs, retries, seed); }

        Scenario withPace(Pace p) { return new Scenario(gateways, servers, replaced, rules, cores, load, skew, hotFraction, p, restart, listDelayMs, retries, seed); }

        Scenario withRetries(int times) { return new Scenario(gateways, servers, replaced, rules, cores, load, skew, hotFraction, pace, restart, listDelayMs, times, seed); }

        Scenario withRestarts(double overMs) {
            return new Scenario(gateways, servers, replaced, rules, cores, load, skew, hotFraction, pace, true, overMs, retries, seed);
        }

        Scenario withListDelay(double overMs) {
            return new Scenario(gateways, servers, replaced, rules, cores, load, skew, hotFraction, pace, restart, overMs, retries, seed);
        }
    }

    private record Task(double atMs, long number, Runnable work) { }

    /** One attempt at a cold backend: when, and whether its ingress knew of the start. */
    record Sent(double atMs, boolean informed) { }

    private static final double WORK_MS = 80, SETTLE_MS = 6000;
    private static final RequestClass IDEMPOTENT = new RequestClass(1000, 2500, 2, 0, Effect.IDEMPOTENT, Group.ALL, 0, false);

    private final class Backend {
        final long id;
        double startedAtMs;
        int running;
        final ArrayDeque<Runnable> waiting = new ArrayDeque<>();
        final List<Sent> sent = new ArrayList<>();

        Backend(long id, double startedAtMs) {
            this.id = id;
            this.startedAtMs = startedAtMs;
        }

        double warmth(double atMs) {
            Rules r = scenario.rules();
            return startedAtMs <= 0 ? 1 : Math.min(1, r.initialWarmth() + (1 - r.initialWarmth()) * (atMs - startedAtMs) / r.warmAfterMs());
        }

        Server toServer() { return new Server(id, 0, 0, 1, startedAtMs, Readiness.READY); }
    }

    private final Scenario scenario;
    private final SplittableRandom random;
    private final PriorityQueue<Task> tasks = new PriorityQueue<>(Comparator.comparingDouble(Task::atMs).thenComparingLong(Task::number));
    private final Map<Long, Backend> backends = new LinkedHashMap<>();
    private final List<Backend> cold = new ArrayList<>();
    private final Policy[] gateways;
    private final boolean[] informed;
    private final double[] trafficParts;
    private final Map<Long, int[]> openRequests = new HashMap<>(); // attempts made, earlier tries, ingress
    private double now = 1000, replacedAtMs = Double.POSITIVE_INFINITY;
    private long taskCount, requestCount;
    /** Counts after the replacement. */
    int requested, refused, refusedWithNoBackend, served, failed;

    ColdRun(Scenario scenario) {
        this.scenario = scenario;
        random = new SplittableRandom(scenario.seed());
        gateways = new Policy[scenario.gateways()];
        informed = new boolean[scenario.gateways()];
        trafficParts = new double[scenario.gateways()];
        double all = 0;
        for (int i = 0; i < trafficParts.length; i++) { all += trafficParts[i] = Math.pow(i + 1, -scenario.skew()); }
        for (int i = 0; i < trafficParts.length; i++) { trafficParts[i] *= (1 - scenario.hotFraction()) / all; }
        trafficParts[trafficParts.length - 1] += scenario.hotFraction();
        for (int i = 0; i < scenario.servers(); i++) { backends.put(100L + i, new Backend(100 + i, 0)); }
        for (int i = 0; i < trafficParts.length; i++) {
            int self = i;
            Settings settings = new Settings(i, gateways.length, 0, 1, List.of(IDEMPOTENT), List.of(new Plan(0, 0, 0, 1, 0, 0, 0)),
                    new Limits(4, true, true, 0), scenario.rules(), List.of(), false, 60, 1, 0, 0.01);
            gateways[i] = new Policy(settings, random.nextLong(), now, action -> handle(self, action));
            gateways[i].on(now, new ServerList(ListKind.CACHED, backends.values().stream().map(Backend::toServer).toList()));
            scheduleArrival(i);
        }
    }

    private double warmPerMs() { return scenario.cores() / WORK_MS; }

    private void schedule(double atMs, Runnable action) { tasks.add(new Task(Math.max(now, atMs), taskCount++, action)); }

    private void scheduleArrival(int gateway) {
        double perMs = trafficParts[gateway] * scenario.load() * scenario.servers() * warmPerMs();
        schedule(now - Math.log(1 - random.nextDouble()) / perMs, () -> {
            sendRequest(gateway, 0);
            scheduleArrival(gateway);
        });
    }

    private int drawGateway() {
        double draw = random.nextDouble();
        int index = 0;
        while (index < trafficParts.length - 1 && (draw -= trafficParts[index]) > 0) { index++; }
        return index;
    }

    private void sendRequest(int gateway, int triesBefore) {
        long id = ++requestCount;
        openRequests.put(id, new int[] {0, triesBefore, gateway});
        if (now > replacedAtMs && triesBefore == 0) { requested++; }
        gateways[gateway].on(now, new Request(id, 0, 0, id % 500, now + IDEMPOTENT.deadlineMs(), 1, 0, gateways.length));
    }

    private void retryLater(int[] state) {
        if (state[1] < scenario.retries()) { schedule(now + 50 + 350 * random.nextDouble(), () -> sendRequest(drawGateway(), state[1] + 1)); }
    }

    private void handle(int gateway, Action action) {
        if (action instanceof SetTimer timer) {
            schedule(timer.atMs(), () -> gateways[gateway].on(now, new TimerFired(timer.token())));
        } else if (action instanceof Tell tell) {
            schedule(now + 1.3 + 20 * random.nextDouble(), () -> gateways[tell.to()].on(now, new PeerMessage(gateway, tell.body())));
        } else if (action instanceof Refuse refuse) {
            if (now > replacedAtMs) { refused++; }
            if (now > replacedAtMs && refuse.reason() == Reason.NO_SERVER) { refusedWithNoBackend++; }
            retryLater(openRequests.remove(refuse.id()));
        } else if (action instanceof Fail fail) {
            if (now > replacedAtMs) { failed++; }
            retryLater(openRequests.remove(fail.id()));
        } else if (action instanceof Cancel cancel) {
            schedule(now + 0.1, () -> endAttempt(gateway, cancel.id(), cancel.attempt(), Outcome.CANCELLED));
        } else if (action instanceof Send send) {
            send(gateway, send);
        }
    }

    private final Map<Long, Double> attemptSentAtMs = new HashMap<>();
    private final Map<Long, Long> attemptBackend = new HashMap<>();

    private void send(int gateway, Send send) {
        Backend backend = backends.get(send.server());
        int attempt = openRequests.get(send.id())[0]++;
        attemptSentAtMs.put(send.id(), now);
        attemptBackend.put(send.id(), backend.id);
        if (backend.warmth(now) < 1) { backend.sent.add(new Sent(now, informed[gateway])); }
        schedule(now + send.timeoutMs(), () -> endAttempt(gateway, send.id(), attempt, Outcome.TIMED_OUT));
        if (backend.waiting.size() > 16 * scenario.cores()) {
            schedule(now + 1, () -> endAttempt(gateway, send.id(), attempt, Outcome.REJECTED));
            return;
        }
        double work = -Math.log(1 - random.nextDouble()) * WORK_MS;
        double begun = backend.startedAtMs;
        Runnable startWork = () -> {
            backend.running++;
            schedule(now + 1 + (scenario.pace() == Pace.AS_WARM ? work : work / backend.warmth(now)), () -> {
                if (backend.startedAtMs != begun) { return; }
                backend.running--;
                if (!backend.waiting.isEmpty()) { backend.waiting.poll().run(); }
                endAttempt(gateway, send.id(), attempt, Outcome.SERVED);
            });
        };
        if (backend.running < scenario.cores()) { startWork.run(); } else { backend.waiting.add(startWork); }
    }

    private void endAttempt(int gateway, long id, int attempt, Outcome outcome) {
        int[] state = openRequests.get(id);
        if (state == null || state[0] != attempt + 1 || !attemptSentAtMs.containsKey(id)) { return; }
        double tookMs = now - attemptSentAtMs.remove(id);
        boolean finished = outcome == Outcome.SERVED;
        if (finished) { openRequests.remove(id); }
        if (finished && now > replacedAtMs) { served++; }
        gateways[gateway].on(now, new AttemptDone(id, attempt, attemptBackend.remove(id), outcome, tookMs, finished, 0, null));
    }

    /** Runs until a time after the replacement. */
    ColdRun run(double afterMs) {
        runTo(now + SETTLE_MS);
        replacedAtMs = now;
        List<Backend> all = new ArrayList<>(backends.values());
        for (Backend old : all.subList(0, scenario.replaced())) {
            Backend replacement = scenario.restart() ? old : new Backend(old.id + 1000, now);
            if (scenario.restart()) {                      // its running requests are lost
                List<Long> lost = attemptBackend.entrySet().stream().filter(e -> e.getValue() == old.id).map(Map.Entry::getKey).sorted().toList();
                old.startedAtMs = now;
                old.running = 0;
                old.waiting.clear();
                for (long id : lost) { endAttempt(openRequests.get(id)[2], id, openRequests.get(id)[0] - 1, Outcome.CONNECTION_LOST); }
            }
            backends.put(replacement.id, replacement);
            cold.add(replacement);
        }
        List<Backend> remaining = all.subList(scenario.replaced(), all.size());
        List<Server> list = new ArrayList<>();
        for (Backend backend : cold) { list.add(backend.toServer()); }
        for (Backend backend : remaining) { list.add(backend.toServer()); }
        for (int i = 0; i < gateways.length; i++) {
            int gateway = i;
            schedule(now + scenario.listDelayMs() * random.nextDouble(), () -> {
                informed[gateway] = true;
                gateways[gateway].on(now, new ServerList(ListKind.FULL, list));
            });
        }
        runTo(now + afterMs);
        return this;
    }

    private void runTo(double untilMs) {
        while (tasks.peek().atMs() <= untilMs) {
            Task next = tasks.poll();
            now = Math.max(now, next.atMs());
            next.work().run();
        }
        now = untilMs;
    }

    /** Smallest and largest number of attempts at a cold backend. */
    int[] attemptRange() {
        return new int[] {cold.stream().mapToInt(m -> m.sent.size()).min().orElse(0), cold.stream().mapToInt(m -> m.sent.size()).max().orElse(0)};
    }

    /** The highest load of any cold backend, as a fraction of the bound, in a span with two thirds of the attempts by ingresses that knew. */
    double highestLoad() {
        double span = scenario.rules().overloadWindowMs(), highest = 0;
        for (Backend backend : cold) {
            for (int from = 0; from < backend.sent.size(); from++) {
                double spanStartMs = backend.sent.get(from).atMs(), allowed = allowed(scenario.rules(), warmPerMs(), backend.warmth(spanStartMs));
                int count = 0, informedCount = 0;
                while (from + count < backend.sent.size() && backend.sent.get(from + count).atMs() < spanStartMs + span) {
                    informedCount += backend.sent.get(from + count++).informed() ? 1 : 0;
                }
                if (informedCount * 3 >= 2 * count) { highest = Math.max(highest, count / bound(allowed)); }
            }
        }
        return highest;
    }

    /** Requests of mean work that the settings allow a backend of this warmth in their time span. */
    static double allowed(Rules rules, double warmPerMs, double warmth) {
        return rules.overloadFactor() * warmPerMs * warmth * rules.overloadWindowMs();
    }

    /** The overload bound: what is allowed plus a margin for chance. */
    static double bound(double allowed) { return allowed + 2 * Math.sqrt(allowed) + 2; }
}

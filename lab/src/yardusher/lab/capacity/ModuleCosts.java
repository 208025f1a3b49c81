package yardusher.lab.capacity;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import yardusher.Api.*;
import yardusher.Policy;

/**
 * What the decision module of one ingress costs by its sizes, alone and on scripted time: {@code hosts} and {@code tenants} for
 * heap and processor time, {@code rows} for the counts that others tell. JSON lines, one a size.
 */
public final class ModuleCosts {
    private static final int[] TENANTS = {500, 2000, 5000, 10_000, 20_000, 38_000};
    private static final int[] TELLERS = {1, 12, 50, 100, 200, 400, 849};
    private static final int WARM_UP = 30_000, REQUESTS = 60_000, SWEEPS = 400, ALIKE = 5, TOLD_OF = 100;
    private static final double STEP_MS = 1000 / 95.3; // between two requests of one ingress at the target
    private static final long SWEEP = 0;             // the module's timer for its upkeep

    private ModuleCosts() { }

    public static void main(String[] args) {
        switch (args.length == 1 ? args[0] : "") {
            case "hosts" -> {
                alone(1000, 1000, null);             // compiled before it is measured
                for (int backends : Target.BACKENDS) { alone(backends, 100, "module-hosts"); }
            }
            case "tenants" -> {
                alone(1000, 1000, null);
                for (int tenants : TENANTS) { alone(100, tenants, "module-tenants"); }
            }
            case "rows" -> {
                told(100, false);
                for (int tellers : TELLERS) { told(tellers, true); }
            }
            default -> {
                System.err.println("ModuleCosts hosts|tenants|rows");
                System.exit(2);
            }
        }
    }

    /** No peers: what choice, health, counts and upkeep take. */
    private static void alone(int backends, int tenants, String day) {
        List<Action> actions = new ArrayList<>();
        long listed = Lines.held(() -> {
            List<Policy> alike = new ArrayList<>();
            for (int i = 0; i < ALIKE; i++) {
                alike.add(new Policy(Target.settings(0, 850, 0), 7, 0, action -> { }));
                alike.get(i).on(0, Target.list(backends, ListKind.FULL));
            }
            return alike;
        }) / ALIKE;
        Policy policy = new Policy(Target.settings(0, 850, 0), 7, 0, actions::add);
        policy.on(0, Target.list(backends, ListKind.FULL));
        SplittableRandom random = new SplittableRandom(11);
        double now = 10_000;
        for (int i = 0; i < WARM_UP; i++) { serve(policy, now += STEP_MS, i, random.nextInt(tenants), actions); }
        long from = Lines.cpu();
        for (int i = 0; i < REQUESTS; i++) { serve(policy, now += STEP_MS, WARM_UP + i, random.nextInt(tenants), actions); }
        double requestNs = (Lines.cpu() - from) / (double) REQUESTS;
        policy.on(now += 120_000, new TimerFired(SWEEP));
        for (int i = 0; i < 100; i++) { policy.on(now, new TimerFired(SWEEP)); } // nobody is held
        actions.clear();
        long empty = Lines.heap();
        for (int i = 0; i < tenants; i++) { serve(policy, now, WARM_UP + REQUESTS + i, i, actions); } // all at one time
        actions.clear();
        long full = Lines.heap() - empty;
        from = Lines.cpu();
        for (int i = 0; i < SWEEPS; i++) {
            policy.on(now, new TimerFired(SWEEP));
            actions.clear();
        }
        double sweepUs = (Lines.cpu() - from) / 1000.0 / SWEEPS;
        if (day == null) { return; }
        Lines.print(day, 7, REQUESTS * STEP_MS / 1000, Map.of("backends", backends, "tenants", tenants, "ingresses", 850),
                Map.of("hosts_heap_bytes", listed, "tenants_heap_bytes", full, "request_us", requestNs / 1000, "sweep_us", sweepUs));
        policy.countAvoided(now);                         // still held while the heap was measured
    }

    /** One request, sent and served at once. */
    private static void serve(Policy policy, double now, long id, long tenant, List<Action> actions) {
        actions.clear();
        policy.on(now, new Request(id, 0, Target.PLANS - 1, tenant, now + 2000, 1, 0, 1));
        for (int i = 0; i < actions.size(); i++) {
            if (actions.get(i) instanceof Send send) {
                policy.on(now, new AttemptDone(id, 0, send.server(), Outcome.SERVED, 8, true, 0, null));
                return;
            }
        }
        throw new IllegalStateException("not sent: " + actions);
    }

    /** So many others tell one ingress of the same tenants: heap a row heard, and processor time a message and a row taken in. */
    private static void told(int tellers, boolean tell) {
        List<PeerMessage> messages = new ArrayList<>();
        for (int teller = 1; teller <= tellers; teller++) { tells(teller, messages); }
        Policy warm = hearer();
        messages.forEach(message -> warm.on(1000, message));
        Policy policy = hearer();
        long from = Lines.cpu();
        messages.forEach(message -> policy.on(1000, message));
        double us = (Lines.cpu() - from) / 1000.0;
        long rows = messages.stream().mapToLong(message -> Rows.in(message.body())).sum();
        long bytes = messages.stream().mapToLong(message -> message.body().length()).sum();
        if (!tell) { return; }
        long heap = Lines.held(() -> {
            Policy held = hearer();
            messages.forEach(message -> held.on(1000, message));
            return held;
        });
        Lines.print("module-rows", 7, 1, Map.of("ingresses", tellers, "tenants", TOLD_OF, "backends", 100),
                Map.of("heard_heap_bytes", heap, "heard_us", us, "rows", rows, "row_bytes", bytes / (double) rows, "messages", messages.size(), "row_us", us / rows));
    }

    private static Policy hearer() {
        Policy policy = new Policy(Target.settings(0, 850, 1e6), 3, 1000, action -> { });
        policy.on(1000, Target.list(100, ListKind.FULL));
        return policy;
    }

    /** What an ingress tells number 0 once it has served one request of each tenant. */
    private static void tells(int self, List<PeerMessage> messages) {
        Map<Long, Double> timers = new HashMap<>();
        List<Action> actions = new ArrayList<>();
        Consumer<Action> out = action -> {
            if (action instanceof SetTimer timer && timer.token() == 1) { timers.put(timer.token(), timer.atMs()); }
            if (action instanceof Tell tell && tell.to() == 0) { messages.add(new PeerMessage(self, tell.body())); }
            actions.add(action);
        };
        Policy policy = new Policy(Target.settings(self, 850, 1e6), self, 0, out);
        policy.on(0, Target.list(100, ListKind.FULL));
        for (int tenant = 0; tenant < TOLD_OF; tenant++) {
            actions.clear();
            policy.on(5, new Request(tenant, 0, Target.PLANS - 1, tenant, 2000, 1, 0, 13));
        }
        for (int i = 0; i < 100 && !timers.isEmpty(); i++) {
            double at = timers.remove(1L);
            if (at > 500) { break; }
            policy.on(Math.max(5, at), new TimerFired(1));
        }
    }
}

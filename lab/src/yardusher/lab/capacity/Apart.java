package yardusher.lab.capacity;

import java.util.Comparator;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import yardusher.Api.*;
import yardusher.Policy;

/**
 * What is let through of one tenant's quota while two sides of its set cannot hear each other, on scripted time: {@code Apart SEED ...}.
 * All ingresses of the set are asked alike, for several times the quota together. Messages take 1 to 20 ms and are lost across the cut
 * alone. JSON lines, one a seed and size of the set: {@code let_whole} and {@code let_apart} are units over what the store gives in
 * the time measured, so 1 is the quota and 2 two of them.
 */
public final class Apart {
    private static final int[] SETS = {2, 4, 8, 16, 32, 64, 128, 256, 850};
    private static final double BEFORE_MS = 6000, CUT_MS = 20_000, ASKED = 5, INTAKE_PER_S = 60;
    private static final int PLAN = 4;               // 8 units a second, 16 at once

    private record Due(double at, long order, int ingress, Event event) { }

    private final SplittableRandom random;
    private final Policy[] ingresses;
    private final boolean apart;
    private final PriorityQueue<Due> due = new PriorityQueue<>(Comparator.comparingDouble(Due::at).thenComparingLong(Due::order));
    private long order, sent, ids, crossed;
    private double now;

    private Apart(int set, long seed, boolean apart) {
        random = new SplittableRandom(seed);
        this.apart = apart;
        ingresses = new Policy[set];
        for (int i = 0; i < set; i++) {
            int self = i;
            ingresses[i] = new Policy(Target.settings(i, Math.max(set, 2), INTAKE_PER_S), random.nextLong(), 0, action -> act(self, action));
            ingresses[i].on(0, Target.list(20, ListKind.FULL));
        }
    }

    public static void main(String[] args) {
        if (args.length == 0) {
            System.err.println("Apart SEED ...");
            System.exit(2);
        }
        for (String seed : args) {
            for (int set : SETS) {
                double whole = new Apart(set, Long.parseLong(seed), false).let();
                double cut = new Apart(set, Long.parseLong(seed), true).let();
                Lines.print("apart", Long.parseLong(seed), CUT_MS / 1000, Map.of("ingresses", set), Map.of("let_whole", whole, "let_apart", cut));
            }
        }
    }

    /** Units let through in the measured time, over those that one store gives; it is nearly empty when that begins. */
    private double let() {
        double rate = Target.LEAST_RATE * (1 << PLAN);
        double gap = 1000 / (ASKED * rate);
        for (double at = gap; at < BEFORE_MS + CUT_MS; at += gap) { put(at, random.nextInt(ingresses.length), null); }
        long before = 0;
        while (!due.isEmpty() && due.peek().at() < BEFORE_MS + CUT_MS) {
            Due next = due.poll();
            now = next.at();
            if (now < BEFORE_MS) { before = sent; }
            Event event = next.event() != null ? next.event() : new Request(++ids, 0, PLAN, 77, now + 2000, 1, 0, ingresses.length);
            ingresses[next.ingress()].on(now, event);
        }
        if (!apart || ingresses.length < 2) { return (sent - before) / (rate * CUT_MS / 1000); }
        if (crossed == 0) { throw new IllegalStateException("nothing was cut off"); }
        return (sent - before) / (rate * CUT_MS / 1000);
    }

    private void put(double at, int ingress, Event event) { due.add(new Due(Math.max(at, now), order++, ingress, event)); }

    private void act(int self, Action action) {
        if (action instanceof SetTimer timer) { put(timer.atMs(), self, new TimerFired(timer.token())); }
        if (action instanceof Send send) {
            sent++;
            put(now + 8, self, new AttemptDone(send.id(), 0, send.server(), Outcome.SERVED, 8, true, 0, null));
        }
        if (action instanceof Tell tell && tell.to() != self) {
            boolean across = apart && now >= BEFORE_MS && (self < ingresses.length / 2) != (tell.to() < ingresses.length / 2);
            crossed += across ? 1 : 0;
            if (!across) { put(now + 1 + 19 * random.nextDouble(), tell.to(), new PeerMessage(self, tell.body())); }
        }
    }
}

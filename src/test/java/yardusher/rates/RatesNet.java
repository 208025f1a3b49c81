package yardusher.rates;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/** Some {@link Rates} on scripted time with messages between them that take a while and may be lost, by seed. Times in ms. */
final class RatesNet {
    static final double[] QUOTAS = {0, 4, 20, 1000};
    static final int HEADER_BYTES = 43, MAX_BODY_BYTES = 1200;

    private record ScheduledAction(double atMs, long sequence, Runnable action) { }

    final Rates[] all;
    final boolean[] gone;
    final SplittableRandom random;
    private final PriorityQueue<ScheduledAction> queue = new PriorityQueue<>(Comparator.comparingDouble(ScheduledAction::atMs).thenComparingLong(ScheduledAction::sequence));
    private final double bytesPerS;
    double loss;
    double now;
    long bytes;
    private long lastSequence;

    RatesNet(int size, double bytesPerS, long seed) {
        random = new SplittableRandom(seed);
        this.bytesPerS = bytesPerS;
        all = new Rates[size];
        gone = new boolean[size];
        for (int i = 0; i < size; i++) { startIngress(i); }
        updateMembers();
    }

    void startIngress(int i) {
        Rates one = new Rates(new Rates.Parameters(bytesPerS, HEADER_BYTES, MAX_BODY_BYTES, QUOTAS, 20_000), i, random.nextLong(), now, (to, body) -> deliver(i, (int) to, body));
        all[i] = one;
        tick(i, one);
    }

    private void tick(int i, Rates one) {
        schedule(now + Rates.TICK_INTERVAL_MS, () -> {
            if (all[i] != one || gone[i]) { return; }
            one.tick(now);
            tick(i, one);
        });
    }

    /** All see who is there. */
    void updateMembers() {
        long[] active = java.util.stream.LongStream.range(0, all.length).filter(i -> !gone[(int) i]).toArray();
        for (int i = 0; i < all.length; i++) {
            if (!gone[i]) { all[i].updateMembers(active); }
        }
    }

    private void deliver(int from, int to, byte[] body) {
        bytes += HEADER_BYTES + body.length;
        if (body.length > MAX_BODY_BYTES) { throw new AssertionError(body.length + " bytes"); }
        if (random.nextDouble() < loss) { return; }
        schedule(now + 1 + 20 * random.nextDouble(), () -> {
            if (!gone[to]) { all[to].receive(now, from, body); }
        });
    }

    void schedule(double timeMs, Runnable action) { queue.add(new ScheduledAction(timeMs, lastSequence++, action)); }

    /** Tries of two units for a customer at all ingresses alike, from now until then. */
    void demand(long customer, int plan, double unitsPerS, double untilMs) {
        double next = now - Math.log(1 - random.nextDouble()) * 2000 / unitsPerS;
        if (next > untilMs) { return; }
        schedule(next, () -> {
            int i;
            do { i = random.nextInt(all.length); } while (gone[i]);
            all[i].recordDemand(now, customer, plan, 2);
            demand(customer, plan, unitsPerS, untilMs);
        });
    }

    RatesNet run(double untilMs) {
        while (!queue.isEmpty() && queue.peek().atMs <= untilMs) {
            ScheduledAction next = queue.poll();
            now = next.atMs;
            next.action.run();
        }
        now = untilMs;
        return this;
    }

    /** At how many ingresses that are there a customer is known to be asked more than its quota. */
    long knownAt(long customer, int plan) {
        long count = 0;
        for (int i = 0; i < all.length; i++) { count += !gone[i] && all[i].overQuotaDemandPerS(now, customer, plan) > 0 ? 1 : 0; }
        return count;
    }
}

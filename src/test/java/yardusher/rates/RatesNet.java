package yardusher.rates;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/** A simulated network of {@link Rates} instances whose messages are delayed and may be lost, by seed. Times are in ms. */
final class RatesNet {
    static final double[] QUOTAS = {0, 4, 20, 1000};
    static final int HEAD = 43, MOST = 1200;

    private record Due(double at, long order, Runnable work) { }

    final Rates[] all;
    final boolean[] gone;
    final SplittableRandom random;
    private final PriorityQueue<Due> due = new PriorityQueue<>(Comparator.comparingDouble(Due::at).thenComparingLong(Due::order));
    private final double bytesPerS;
    double loss;
    double now;
    long bytes;
    private long order;

    RatesNet(int size, double bytesPerS, long seed) {
        random = new SplittableRandom(seed);
        this.bytesPerS = bytesPerS;
        all = new Rates[size];
        gone = new boolean[size];
        for (int i = 0; i < size; i++) { begin(i); }
        view();
    }

    void begin(int i) {
        Rates one = new Rates(new Rates.Terms(bytesPerS, HEAD, MOST, QUOTAS, 20_000), i, random.nextLong(), now, (to, body) -> carry(i, (int) to, body));
        all[i] = one;
        tick(i, one);
    }

    private void tick(int i, Rates one) {
        at(now + Rates.TICK_MS, () -> {
            if (all[i] != one || gone[i]) { return; }
            one.tick(now);
            tick(i, one);
        });
    }

    /** Gives the active members to all. */
    void view() {
        long[] there = java.util.stream.LongStream.range(0, all.length).filter(i -> !gone[(int) i]).toArray();
        for (int i = 0; i < all.length; i++) {
            if (!gone[i]) { all[i].members(there); }
        }
    }

    private void carry(int from, int to, byte[] body) {
        bytes += HEAD + body.length;
        if (body.length > MOST) { throw new AssertionError(body.length + " bytes"); }
        if (random.nextDouble() < loss) { return; }
        at(now + 1 + 20 * random.nextDouble(), () -> {
            if (!gone[to]) { all[to].heard(now, from, body); }
        });
    }

    void at(double time, Runnable work) { due.add(new Due(time, order++, work)); }

    /** Schedules requests of two units for a customer at random ingresses until {@code untilMs}. */
    void demand(long customer, int plan, double unitsPerS, double untilMs) {
        double next = now - Math.log(1 - random.nextDouble()) * 2000 / unitsPerS;
        if (next > untilMs) { return; }
        at(next, () -> {
            int i;
            do { i = random.nextInt(all.length); } while (gone[i]);
            all[i].asked(now, customer, plan, 2);
            demand(customer, plan, unitsPerS, untilMs);
        });
    }

    RatesNet run(double untilMs) {
        while (!due.isEmpty() && due.peek().at <= untilMs) {
            Due next = due.poll();
            now = next.at;
            next.work.run();
        }
        now = untilMs;
        return this;
    }

    /** Returns how many running ingresses know that the customer exceeds its quota. */
    long knownAt(long customer, int plan) {
        long count = 0;
        for (int i = 0; i < all.length; i++) { count += !gone[i] && all[i].askedPerS(now, customer, plan) > 0 ? 1 : 0; }
        return count;
    }
}

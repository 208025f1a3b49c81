package yardusher.lab.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Who asks for how much: tenants by Zipf's law, each with a plan that fits its mean demand, and a set of ingresses. The same seed gives the
 * same demand and the same sequence of requests in every process, each of which takes those for its own ingresses.
 */
final class Demand {
    private static final double LEAST_RATE = 2;      // of the smallest plan, units a second; each next one has twice that
    private static final double LEAST_BURST = 8;
    private static final double BURST_S = 2;
    private static final int LEAST_SPREAD = 2;
    private static final int OVER_STEPS = 2;         // plans below the fitting one, of those who ask for more than their quota

    /** A plan: units a second, and units that may be used at once. */
    record Plan(String name, double rate, double burst) { }

    final List<Plan> plans = new ArrayList<>();
    final int[] plan;
    final int[] first;
    final int[] spread;
    private final Sizes sizes;
    private final double[] share;                    // alias method: the part of a column that is its own tenant's
    private final int[] other;

    Demand(Sizes sizes, long seed) {
        this.sizes = sizes;
        int n = sizes.tenants();
        SplittableRandom random = new SplittableRandom(seed * 31 + 1);
        double[] weight = new double[n];
        double sum = 0;
        for (int i = 0; i < n; i++) { sum += weight[i] = Math.pow(i + 1, -sizes.skewPercent() / 100.0); }
        plan = new int[n];
        first = new int[n];
        spread = new int[n];
        double units = sizes.rate() * (1 + sizes.mostUnits()) / 2.0;
        int most = 0;
        for (int i = 0; i < n; i++) {
            double wanted = units * weight[i] / sum * sizes.headroomPercent() / 100.0;
            int fits = (int) Math.max(0, Math.ceil(Math.log(wanted / LEAST_RATE) / Math.log(2)));
            most = Math.max(most, fits);
            plan[i] = random.nextInt(100) < sizes.overPercent() ? Math.max(0, fits - OVER_STEPS) : fits;
            first[i] = random.nextInt(sizes.ingresses());
            int percent = sizes.spreadLeastPercent() + random.nextInt(sizes.spreadMostPercent() - sizes.spreadLeastPercent() + 1);
            spread[i] = Math.max(Math.min(LEAST_SPREAD, sizes.ingresses()), sizes.ingresses() * percent / 100);
        }
        for (int k = 0; k <= most; k++) {
            double rate = LEAST_RATE * Math.pow(2, k);
            plans.add(new Plan("p" + k, rate, Math.max(LEAST_BURST, rate * BURST_S)));
        }
        share = new double[n];
        other = new int[n];
        alias(weight, sum);
    }

    private void alias(double[] weight, double sum) {
        int n = weight.length;
        int[] small = new int[n];
        int[] large = new int[n];
        int smalls = 0;
        int larges = 0;
        for (int i = 0; i < n; i++) {
            share[i] = weight[i] / sum * n;
            if (share[i] < 1) { small[smalls++] = i; } else { large[larges++] = i; }
        }
        while (smalls > 0 && larges > 0) {
            int less = small[--smalls];
            int more = large[larges - 1];
            other[less] = more;
            share[more] -= 1 - share[less];
            if (share[more] < 1) {
                larges--;
                small[smalls++] = more;
            }
        }
        while (larges > 0) { share[large[--larges]] = 1; }
        while (smalls > 0) { share[small[--smalls]] = 1; }
    }

    static long customer(int tenant) { return 0x10000L + tenant; }

    /** The sequence of all requests of the run, one after another. */
    final class Arrivals {
        private final SplittableRandom random;
        private final double meanMs;
        private final int[] turns = new int[sizes.even() ? sizes.tenants() : 0];
        double atMs;                                 // of the present one, since the beginning
        int tenant;
        int ingress;
        int units;
        int service;

        Arrivals(long seed) {
            random = new SplittableRandom(seed * 31 + 2);
            meanMs = 1000.0 / sizes.rate();
        }

        void next() {
            atMs -= meanMs * Math.log(1 - random.nextDouble());
            int column = random.nextInt(share.length);
            tenant = random.nextDouble() < share[column] ? column : other[column];
            int drawn = random.nextInt(spread[tenant]);
            if (sizes.even()) { drawn = turns[tenant]++ % spread[tenant]; }
            ingress = (first[tenant] + drawn) % sizes.ingresses();
            units = 1 + random.nextInt(sizes.mostUnits());
            service = random.nextInt(sizes.services());
        }
    }
}

package yardusher.connectionquota;

/**
 * How a region's connections are divided by need, as one ingress works it out from what it was told: the least served come
 * first (max-min), by weight, and nobody gets more than it needs while another needs more. All who know the same come to the
 * same result; who knows less gives too little or too much, and later back. Free of I/O and clock; arrays are used again.
 */
final class MaxMinAllocator {
    private int size;
    private int[] ingresses = new int[8];
    private int[] allowances = new int[8];
    private int[] needs = new int[8];
    private int[] wants = new int[8];
    private int[] demands = new int[8];
    private int[] weights = new int[8];
    private int[] fairShares = new int[8];
    private int[] lenders = new int[8];
    private boolean isScarce;
    private boolean someGetNone;                         // somebody who needs one gets none

    void clear() { size = 0; }

    void add(int ingress, int allowance, int need, int want, int weight) {
        if (size == ingresses.length) {
            ingresses = java.util.Arrays.copyOf(ingresses, 2 * size);
            allowances = java.util.Arrays.copyOf(allowances, 2 * size);
            needs = java.util.Arrays.copyOf(needs, 2 * size);
            wants = java.util.Arrays.copyOf(wants, 2 * size);
            demands = new int[2 * size];
            weights = java.util.Arrays.copyOf(weights, 2 * size);
            fairShares = new int[2 * size];
            lenders = new int[2 * size];
        }
        ingresses[size] = ingress;
        allowances[size] = allowance;
        needs[size] = Math.max(0, Math.min(need, want));
        wants[size] = Math.max(0, want);
        weights[size++] = Math.max(1, weight);
    }

    /** Whether anyone wants more than it has. */
    boolean anyWantsMore() {
        for (int i = 0; i < size; i++) {
            if (wants[i] > allowances[i]) { return true; }
        }
        return false;
    }

    /** Whether all together need more than there is, by the last {@link #divide}. */
    boolean isScarce() { return isScarce; }

    /**
     * Works the fair parts out: where there is enough each gets what it wants, else what it uses, and where there is too
     * little even for that the level rises evenly. {@code region} and {@code turn} decide who gets what cannot be split.
     */
    void allocate(long region, long rotation) {
        int total = 0;
        long totalWanted = 0;
        long totalNeeded = 0;
        for (int i = 0; i < size; i++) {
            total += allowances[i];
            totalWanted += wants[i];
            totalNeeded += needs[i];
        }
        total = Math.max(0, total);
        isScarce = totalWanted > total;
        someGetNone = false;
        if (!isScarce) {
            System.arraycopy(wants, 0, fairShares, 0, size);
        } else if (totalNeeded >= total) {
            System.arraycopy(needs, 0, demands, 0, size);
            allocateScarce(region, rotation, total);
        } else {
            for (int i = 0; i < size; i++) { fairShares[i] = needs[i]; }
        }
    }

    /** Divides so many units by {@link #need}, which is more. */
    private void allocateScarce(long region, long rotation, int units) {
        java.util.Arrays.fill(fairShares, 0, size, -1);
        int remaining = units;
        double level = fillToLevel(remaining);
        for (int i = 0; i < size; i++) {
            if (fairShares[i] < 0) { fairShares[i] = (int) (level * weights[i] + 1e-9); }
            remaining -= fairShares[i];
        }
        someGetNone = level < 1;
        for (; remaining > 0; remaining--) {                   // one each to those whom the draw names first
            int best = -1;
            for (int i = 0; i < size; i++) {
                if (fairShares[i] < demands[i] && (best < 0 || precedes(region, rotation, i, best, level))) { best = i; }
            }
            if (best < 0) { return; }
            fairShares[best]++;
        }
    }

    private boolean precedes(long region, long rotation, int a, int b, double level) {
        double shortfallA = level * weights[a] - fairShares[a];
        double shortfallB = level * weights[b] - fairShares[b];
        if (Math.abs(shortfallA - shortfallB) > 1e-9) { return shortfallA > shortfallB; }
        return tieBreak(region, rotation, ingresses[a]) < tieBreak(region, rotation, ingresses[b]);
    }

    /** Where some get none, who they are changes with the turn. */
    private long tieBreak(long region, long rotation, int ingress) { return Ledger.mix(region * 1_000_003 + ingress + (someGetNone ? rotation * 7919 : 0)); }

    /** The level of the water; those whose need lies below it are filled. */
    private double fillToLevel(int units) {
        double remaining = units;
        for (;;) {
            double totalWeight = 0;
            for (int i = 0; i < size; i++) { totalWeight += fairShares[i] < 0 ? weights[i] : 0; }
            if (totalWeight == 0) { return 0; }
            double level = remaining / totalWeight;
            someGetNone = level < 1;
            boolean anyFilled = false;
            for (int i = 0; i < size; i++) {
                if (fairShares[i] < 0 && demands[i] <= level * weights[i]) {
                    fairShares[i] = demands[i];
                    remaining -= demands[i];
                    anyFilled = true;
                }
            }
            if (!anyFilled) { return level; }
        }
    }

    int fairShare(int ingress) {
        for (int i = 0; i < size; i++) {
            if (ingresses[i] == ingress) { return fairShares[i]; }
        }
        return 0;
    }

    /** Units that one has beyond its fair part, and could give. */
    int excess(int ingress) {
        for (int i = 0; i < size; i++) {
            if (ingresses[i] == ingress) { return Math.max(0, allowances[i] - fairShares[i]); }
        }
        return 0;
    }

    /** What all but one have beyond their fair parts. */
    int excessOfOthers(int ingress) {
        int excess = 0;
        for (int i = 0; i < size; i++) { excess += ingresses[i] == ingress ? 0 : Math.max(0, allowances[i] - fairShares[i]); }
        return excess;
    }

    /** What is done for each that is asked. */
    interface RequestHandler {
        void request(int lender, int units);
    }

    /** Chooses whom to ask for so many units: who has most beyond its fair part comes first. */
    void chooseLenders(int requester, int units, RequestHandler handler) {
        int lenderCount = 0;
        for (int i = 0; i < size; i++) {
            if (allowances[i] > fairShares[i] && ingresses[i] != requester) { lenders[lenderCount++] = i; }
        }
        for (int i = 1; i < lenderCount; i++) {
            int candidate = lenders[i];
            int position = i;
            for (; position > 0 && precedesAsLender(candidate, lenders[position - 1], requester); position--) { lenders[position] = lenders[position - 1]; }
            lenders[position] = candidate;
        }
        int remaining = units;
        for (int i = 0; i < lenderCount && remaining > 0; i++) {
            int amount = Math.min(remaining, allowances[lenders[i]] - fairShares[lenders[i]]);
            handler.request(ingresses[lenders[i]], amount);
            remaining -= amount;
        }
    }

    /** Askers go to different ones where several have as much. */
    private boolean precedesAsLender(int a, int b, int requester) {
        int excessA = allowances[a] - fairShares[a];
        int excessB = allowances[b] - fairShares[b];
        return excessA != excessB ? excessA > excessB : Ledger.mix(ingresses[a] * 1009L + requester) < Ledger.mix(ingresses[b] * 1009L + requester);
    }
}

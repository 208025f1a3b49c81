package yardusher.parts;

/**
 * Weighted max-min fair allocation of a region's connections by need, as one ingress computes it from what its peers reported:
 * no ingress gets more than it needs while another one needs more. Ingresses with the same information compute the same result;
 * one with outdated information lends too little or too much, which is corrected later. No I/O and no clock; the arrays
 * are reused.
 */
final class Division {
    private int size;
    private int[] who = new int[8];
    private int[] has = new int[8];
    private int[] uses = new int[8];
    private int[] wants = new int[8];
    private int[] need = new int[8];
    private int[] weight = new int[8];
    private int[] fair = new int[8];
    private int[] givers = new int[8];
    private boolean scarce;
    private boolean starves;                         // an ingress that needs units gets none

    void clear() { size = 0; }

    void add(int ingress, int itHas, int itUses, int itWants, int itsWeight) {
        if (size == who.length) {
            who = java.util.Arrays.copyOf(who, 2 * size);
            has = java.util.Arrays.copyOf(has, 2 * size);
            uses = java.util.Arrays.copyOf(uses, 2 * size);
            wants = java.util.Arrays.copyOf(wants, 2 * size);
            need = new int[2 * size];
            weight = java.util.Arrays.copyOf(weight, 2 * size);
            fair = new int[2 * size];
            givers = new int[2 * size];
        }
        who[size] = ingress;
        has[size] = itHas;
        uses[size] = Math.max(0, Math.min(itUses, itWants));
        wants[size] = Math.max(0, itWants);
        weight[size++] = Math.max(1, itsWeight);
    }

    /** Whether any ingress wants more than it has. */
    boolean isWanted() {
        for (int i = 0; i < size; i++) {
            if (wants[i] > has[i]) { return true; }
        }
        return false;
    }

    /** Whether, at the last {@link #allocate}, all ingresses together wanted more than there is. */
    boolean isScarce() { return scarce; }

    /**
     * Computes the fair shares: what each ingress wants if there is enough for all, else what it needs, and if there is too little even
     * for that, max-min shares of the needs. {@code region} and {@code rotation} decide who gets the units that cannot be split.
     */
    void divide(long region, long turn) {
        int all = 0;
        long wanted = 0;
        long used = 0;
        for (int i = 0; i < size; i++) {
            all += has[i];
            wanted += wants[i];
            used += uses[i];
        }
        all = Math.max(0, all);
        scarce = wanted > all;
        starves = false;
        if (!scarce) {
            System.arraycopy(wants, 0, fair, 0, size);
        } else if (used >= all) {
            System.arraycopy(uses, 0, need, 0, size);
            fillAll(region, turn, all);
        } else {
            for (int i = 0; i < size; i++) { fair[i] = uses[i]; }
        }
    }

    /** Allocates fewer units than the sum of {@link #demands}. */
    private void fillAll(long region, long turn, int units) {
        java.util.Arrays.fill(fair, 0, size, -1);
        int left = units;
        double level = fill(left);
        for (int i = 0; i < size; i++) {
            if (fair[i] < 0) { fair[i] = (int) (level * weight[i] + 1e-9); }
            left -= fair[i];
        }
        starves = level < 1;
        for (; left > 0; left--) {                   // one each, in the order of the shortfall and the hash
            int best = -1;
            for (int i = 0; i < size; i++) {
                if (fair[i] < need[i] && (best < 0 || before(region, turn, i, best, level))) { best = i; }
            }
            if (best < 0) { return; }
            fair[best]++;
        }
    }

    private boolean before(long region, long turn, int a, int b, double level) {
        double shortA = level * weight[a] - fair[a];
        double shortB = level * weight[b] - fair[b];
        if (Math.abs(shortA - shortB) > 1e-9) { return shortA > shortB; }
        return draw(region, turn, who[a]) < draw(region, turn, who[b]);
    }

    /** Breaks ties by a hash. Where some ingresses get nothing, the hash changes with the rotation, so that none starves. */
    private long draw(long region, long turn, int ingress) { return Ledger.mix(region * 1_000_003 + ingress + (starves ? turn * 7919 : 0)); }

    /** Water filling: satisfies the demands that lie below the level, and returns the level. */
    private double fill(int units) {
        double left = units;
        for (;;) {
            double weights = 0;
            for (int i = 0; i < size; i++) { weights += fair[i] < 0 ? weight[i] : 0; }
            if (weights == 0) { return 0; }
            double level = left / weights;
            starves = level < 1;
            boolean filled = false;
            for (int i = 0; i < size; i++) {
                if (fair[i] < 0 && need[i] <= level * weight[i]) {
                    fair[i] = need[i];
                    left -= need[i];
                    filled = true;
                }
            }
            if (!filled) { return level; }
        }
    }

    int fair(int ingress) {
        for (int i = 0; i < size; i++) {
            if (who[i] == ingress) { return fair[i]; }
        }
        return 0;
    }

    /** Units that an ingress has beyond its fair share and could give. */
    int excess(int ingress) {
        for (int i = 0; i < size; i++) {
            if (who[i] == ingress) { return Math.max(0, has[i] - fair[i]); }
        }
        return 0;
    }

    /** Units that all other ingresses have beyond their fair shares. */
    int excessBut(int ingress) {
        int excess = 0;
        for (int i = 0; i < size; i++) { excess += who[i] == ingress ? 0 : Math.max(0, has[i] - fair[i]); }
        return excess;
    }

    /** Receives how many units to request from which ingress. */
    interface Asked {
        void ask(int giver, int units);
    }

    /** Chooses the ingresses to request units from: the one with the most units beyond its fair share comes first. */
    void choose(int asker, int units, Asked asked) {
        int many = 0;
        for (int i = 0; i < size; i++) {
            if (has[i] > fair[i] && who[i] != asker) { givers[many++] = i; }
        }
        for (int i = 1; i < many; i++) {
            int row = givers[i];
            int at = i;
            for (; at > 0 && ahead(row, givers[at - 1], asker); at--) { givers[at] = givers[at - 1]; }
            givers[at] = row;
        }
        int left = units;
        for (int i = 0; i < many && left > 0; i++) {
            int some = Math.min(left, has[givers[i]] - fair[givers[i]]);
            asked.ask(who[givers[i]], some);
            left -= some;
        }
    }

    /** Orders by excess; a hash with the requester spreads the requesters over lenders with the same excess. */
    private boolean ahead(int a, int b, int asker) {
        int overA = has[a] - fair[a];
        int overB = has[b] - fair[b];
        return overA != overB ? overA > overB : Ledger.mix(who[a] * 1009L + asker) < Ledger.mix(who[b] * 1009L + asker);
    }
}

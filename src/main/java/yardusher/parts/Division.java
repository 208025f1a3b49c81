package yardusher.parts;

/**
 * How a region's connections are divided by need, as one ingress works it out from what it was told: the least served come
 * first (max-min), by weight, and nobody gets more than it needs while another needs more. All who know the same come to the
 * same result; who knows less gives too little or too much, and later back. Free of I/O and clock; arrays are used again.
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
    private boolean starves;                         // somebody who needs one gets none

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

    /** Whether anyone wants more than it has. */
    boolean isWanted() {
        for (int i = 0; i < size; i++) {
            if (wants[i] > has[i]) { return true; }
        }
        return false;
    }

    /** Whether all together need more than there is, by the last {@link #divide}. */
    boolean isScarce() { return scarce; }

    /**
     * Works the fair parts out: where there is enough each gets what it wants, else what it uses, and where there is too
     * little even for that the level rises evenly. {@code region} and {@code turn} decide who gets what cannot be split.
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

    /** Divides so many units by {@link #need}, which is more. */
    private void fillAll(long region, long turn, int units) {
        java.util.Arrays.fill(fair, 0, size, -1);
        int left = units;
        double level = fill(left);
        for (int i = 0; i < size; i++) {
            if (fair[i] < 0) { fair[i] = (int) (level * weight[i] + 1e-9); }
            left -= fair[i];
        }
        starves = level < 1;
        for (; left > 0; left--) {                   // one each to those whom the draw names first
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

    /** Where some get none, who they are changes with the turn. */
    private long draw(long region, long turn, int ingress) { return Ledger.mix(region * 1_000_003 + ingress + (starves ? turn * 7919 : 0)); }

    /** The level of the water; those whose need lies below it are filled. */
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

    /** Units that one has beyond its fair part, and could give. */
    int excess(int ingress) {
        for (int i = 0; i < size; i++) {
            if (who[i] == ingress) { return Math.max(0, has[i] - fair[i]); }
        }
        return 0;
    }

    /** What all but one have beyond their fair parts. */
    int excessBut(int ingress) {
        int excess = 0;
        for (int i = 0; i < size; i++) { excess += who[i] == ingress ? 0 : Math.max(0, has[i] - fair[i]); }
        return excess;
    }

    /** What is done for each that is asked. */
    interface Asked {
        void ask(int giver, int units);
    }

    /** Chooses whom to ask for so many units: who has most beyond its fair part comes first. */
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

    /** Askers go to different ones where several have as much. */
    private boolean ahead(int a, int b, int asker) {
        int overA = has[a] - fair[a];
        int overB = has[b] - fair[b];
        return overA != overB ? overA > overB : Ledger.mix(who[a] * 1009L + asker) < Ledger.mix(who[b] * 1009L + asker);
    }
}

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
    private int[] takers = new int[8];
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
            takers = new int[2 * size];
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
     * Works the fair parts out: where there is enough each gets what it wants, else what it uses comes first, and the rest
     * stays where it is. {@code region} and {@code turn} decide who gets what cannot be split.
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
            spare();
        }
    }

    /**
     * There is enough for what is used, and too little for what all would like to keep: who uses more than it has gets that
     * from those who have most to spare, and nothing else is moved.
     */
    private void spare() {
        int wanted = 0;
        for (int i = 0; i < size; i++) {
            fair[i] = Math.max(has[i], uses[i]);
            wanted += fair[i] - has[i];
        }
        int high = 0;                                // so much is left to each of those who give
        int low = 0;
        for (int i = 0; i < size; i++) { high = Math.max(high, has[i] - uses[i]); }
        while (low < high) {
            int level = (low + high) / 2;
            int given = 0;
            for (int i = 0; i < size; i++) { given += Math.max(0, has[i] - uses[i] - level); }
            if (given <= wanted) { high = level; } else { low = level + 1; }
        }
        for (int i = 0; i < size; i++) {             // first down to just above the level, then one each, in order
            int given = Math.max(0, has[i] - uses[i] - low);
            fair[i] -= given;
            wanted -= given;
        }
        for (int i = 0; i < size && wanted > 0; i++) {
            if (low > 0 && fair[i] == has[i] - Math.max(0, has[i] - uses[i] - low) && has[i] - uses[i] >= low) {
                fair[i]--;
                wanted--;
            }
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

    /** What is done for each taker to whom an ingress is to give. */
    interface Gift {
        void give(int taker, int units);
    }

    /**
     * Lays what some have too much beside what others have too little, the largest first, and tells what of it falls to this
     * giver. After {@link #divide}.
     */
    void gifts(int giver, Gift gift) {
        int mine = -1;
        int many = 0;
        int few = 0;
        for (int i = 0; i < size; i++) {
            if (has[i] > fair[i]) { givers[many++] = i; }
            if (has[i] < fair[i]) { takers[few++] = i; }
            if (who[i] == giver) { mine = i; }
        }
        if (mine < 0 || has[mine] <= fair[mine] || few == 0) { return; }
        sort(givers, many);
        sort(takers, few);
        int from = 0;                                // where this giver's units begin in the row of all
        for (int g = 0; givers[g] != mine; g++) { from += has[givers[g]] - fair[givers[g]]; }
        int to = from + has[mine] - fair[mine];
        int at = 0;
        for (int t = 0; t < few && at < to; t++) {
            int end = at + fair[takers[t]] - has[takers[t]];
            int units = Math.min(end, to) - Math.max(at, from);
            if (units > 0) { gift.give(who[takers[t]], units); }
            at = end;
        }
    }

    private void sort(int[] rows, int count) {
        for (int i = 1; i < count; i++) {
            int row = rows[i];
            int at = i;
            for (; at > 0 && ahead(row, rows[at - 1]); at--) { rows[at] = rows[at - 1]; }
            rows[at] = row;
        }
    }

    private boolean ahead(int a, int b) {
        int apartA = Math.abs(has[a] - fair[a]);
        int apartB = Math.abs(has[b] - fair[b]);
        return apartA != apartB ? apartA > apartB : Ledger.mix(who[a]) < Ledger.mix(who[b]);
    }
}

package yardusher.parts;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * Tracks how many connections one incarnation of an ingress may have open, and guarantees the limit of each region. The limit
 * is divided into fixed shares, one for each configured ingress, which each ingress computes without a message. An ingress lends from its
 * share and borrows from others; it may have open what is left of its share and what it has borrowed. Over all ingresses
 * that is never more than the limit, whatever messages are lost, duplicated, late or out of order, because a lender
 * reduces its own allowance before it tells the borrower of the loan.
 *
 * <p>An incarnation that starts without stored loans owns its whole share but does not know what its earlier ones lent: it
 * assumes that each peer holds all of the share until that peer has told this incarnation what it holds. No I/O and no clock.
 */
final class Ledger {
    /**
     * A rule that the models leave out, to check that they detect the violation. The names are arguments of the models.
     * LESS_BEFORE_MORE: a lender's allowance falls before the borrower's grows. REPEAT_CHECK: a repeated message does not count
     * again. STOPPED_KEEPS: a silent peer keeps its units. OLD_LIVES: a new incarnation asks what earlier ones lent.
     */
    enum Without { NOTHING, LESS_BEFORE_MORE, REPEAT_CHECK, STOPPED_KEEPS, OLD_LIVES }

    /** One region: its limit, this ingress's share, and the accounts by the number of the peer. */
    static final class Region {
        final long id;
        final Account[] accounts;
        int number;                                  // connections in all, now
        int most;                                    // highest limit that it had here
        int share;                                   // of the limit, this ingress's own
        int guest;                                   // of the share, given to the next version's process that runs beside this one
        int open;                                    // counted from before the dial until the region has closed too
        boolean gone;                                // no longer listed

        Region(long id, int count) {
            this.id = id;
            accounts = new Account[count];
        }

        Account account(int ingress) { return accounts[ingress] == null ? accounts[ingress] = new Account() : accounts[ingress]; }

        int lent() {
            int lent = guest;
            for (Account one : accounts) { lent += one == null ? 0 : one.lent(); }
            return lent;
        }

        int held() {
            int held = 0;
            for (Account one : accounts) { held += one == null ? 0 : one.held(); }
            return held;
        }
    }

    private static final int MOST_REGIONS = 4096;    // listed ones and those that only peers report

    final int self;
    final int count;
    final long life;
    private final Memory memory;
    final long[] lives;                      // of the peers, 0 for one that was not heard yet
    final boolean[] settled;                 // peers that have reported what earlier incarnations lent them
    private final boolean remembers;
    int unsettled;
    private final Map<Long, Region> regions = new HashMap<>();
    long far;                                        // rows with impossible figures
    Without without = Without.NOTHING;

    /** {@code hasTrustedLoans}: the store holds all that earlier incarnations lent. */
    Ledger(int self, int count, long life, Memory memory, boolean remembers) {
        this.self = self;
        this.count = count;
        this.life = life;
        this.memory = memory;
        this.remembers = remembers;
        lives = new long[count];
        settled = new boolean[count];
        settled[self] = true;
        unsettled = count - 1;
    }

    /**
     * The share of a region's limit that an ingress owns. Shares are as even as possible, and the remainder goes to different
     * ingresses at different regions. They add up to the limit, and none shrinks when the limit grows.
     */
    static int share(long region, int number, int ingress, int count) {
        int turn = (int) Long.remainderUnsigned(mix(region) + ingress, count);
        return number / count + (turn < number % count ? 1 : 0);
    }

    static long mix(long value) {
        long x = value * 0x9E3779B97F4A7C15L;
        x = (x ^ x >>> 32) * 0xD6E8FEB86659FD93L;
        return (x ^ x >>> 32) >>> 1;
    }

    /** Lists a region, or changes its limit. */
    Region number(long id, int number) {
        Region region = regions.computeIfAbsent(id, this::begun);
        region.number = number;
        region.most = Math.max(region.most, number);
        region.share = share(id, number, self, count);
        region.gone = false;
        return region;
    }

    private Region begun(long id) {
        Region region = new Region(id, count);
        for (int i = 0; i < count && remembers; i++) {
            int lent = i == self ? 0 : memory.lent(id, i);
            if (lent > 0) { region.account(i).bound = lent; }
        }
        return region;
    }

    /** A region is no longer listed: its connections close, and it is removed once nothing is lent or borrowed there. */
    void gone(long id) {
        Region region = regions.get(id);
        if (region != null) { region.gone = true; }
    }

    /** Removes the delisted regions where nothing is open, lent or borrowed. */
    void sweep() {
        for (Iterator<Region> all = regions.values().iterator(); all.hasNext();) {
            Region region = all.next();
            if (region.gone && region.open == 0 && Arrays.stream(region.accounts).allMatch(one -> one == null || one.isEmpty())) { all.remove(); }
        }
    }

    boolean remembers() { return remembers; }

    Region region(long id) { return regions.get(id); }

    Iterable<Region> regions() { return regions.values(); }

    long life(int ingress) { return lives[ingress]; }

    boolean isSettled(int ingress) { return settled[ingress]; }

    /** Number of peers that have not reported yet what they hold of this ingress's earlier incarnations. */
    int unsettled() { return unsettled; }

    /** The part of the own share that is not lent; negative if the limit was lowered below what is lent. */
    int home(Region region) {
        // Without stored loans, earlier incarnations may have lent the whole share unknown to this one.
        if (unsettled > 0 && !remembers && without != Without.OLD_LIVES) { return Math.min(0, region.share - region.lent()); }
        int home = region.share - region.lent();
        if (without == Without.LESS_BEFORE_MORE) { // planted: reduced only after the borrower has received it
            for (Account one : region.accounts) { home += one == null ? 0 : one.granted - Math.min(one.granted, Math.max(one.seenTaken, one.back)); }
        }
        return home;
    }

    /** How many connections may be open; negative if the limit was lowered and peers hold more than the new share. */
    int allowance(Region region) { return home(region) + region.held(); }

    int spare(Region region) { return allowance(region) - region.open; }

    /** Counts a connection that is about to be dialled; false if there is no unit for it. */
    boolean take(Region region) {
        if (spare(region) <= 0) { return false; }
        region.open++;
        return true;
    }

    /** A connection has been closed by the region too. */
    void ended(Region region) { region.open--; }

    /** Lends up to so many units that are not in use; returns how many. */
    int lend(Region region, int to, int wanted) {
        int many = Math.min(wanted, Math.min(home(region), spare(region)));
        if (many <= 0 || lives[to] == 0 || to == self) { return 0; }
        Account account = region.account(to);
        if (!memory.put(region.id, to, account.lent() + many)) { return 0; }
        account.granted += many;
        return many;
    }

    /** Gives the next version's process up to so many units that are not in use; returns how many. */
    int giveGuest(Region region, int wanted) {
        int many = Math.max(0, Math.min(wanted, Math.min(home(region), spare(region))));
        region.guest += many;
        return many;
    }

    /** Returns up to so many borrowed units that are not in use to their lender; returns how many. */
    int giveBack(Region region, int to, int wanted) {
        Account account = region.account(to);
        int many = Math.min(wanted, Math.min(account.held(), spare(region)));
        if (many <= 0) { return 0; }
        int ofOld = Math.min(many, account.old);
        account.old -= ofOld;
        account.returned += many - ofOld;
        return many;
    }

    /**
     * A message of a peer names this incarnation, which means that all its earlier ones have ended; false for an incarnation that
     * has ended itself, whose message is ignored.
     */
    boolean alive(int ingress, long heardLife) {
        if (heardLife < lives[ingress] || ingress == self) { return false; }
        if (heardLife > lives[ingress]) {
            for (Region region : regions.values()) {
                Account account = region.accounts[ingress];
                if (account == null) { continue; }
                account.reborn();
                if (settled[ingress]) { account.bound = 0; } // no process is left that could hold any of them
                remember(region, ingress, account);
            }
            lives[ingress] = heardLife;
        }
        return true;
    }

    /** Applies a peer's row that was addressed to this incarnation. An impossible row is counted and ignored. */
    boolean row(int from, Telling.Row row) {
        Region region = regions.get(row.region());
        if (region == null) {
            if (row.granted() == 0 && row.returned() == 0 && row.old() == 0 || regions.size() >= MOST_REGIONS) { return true; }
            region = regions.computeIfAbsent(row.region(), this::begun);
            region.gone = true;                      // until it is listed here too
        }
        Account account = region.account(from);
        int most = Math.max(region.most, region.gone ? Telling.MOST : 0);
        if (row.granted() - account.returned > most || row.returned() > account.granted || row.taken() > account.granted
                || row.back() > account.returned || row.returned() > row.taken()) {
            far++;
            return false;
        }
        if (without == Without.REPEAT_CHECK) {
            account.taken = row.granted() > account.taken ? row.granted() : account.taken + (row.granted() > 0 ? 1 : 0);
        } else {
            account.taken = Math.max(account.taken, row.granted());
        }
        account.seenTaken = Math.max(account.seenTaken, row.taken());
        account.seenReturned = Math.max(account.seenReturned, row.back());
        int before = account.lent();
        account.back = Math.max(account.back, row.returned());
        if (settled[from]) { account.bound = Math.min(account.bound, row.old()); }
        if (account.lent() != before) { remember(region, from, account); }
        return true;
    }

    /** A peer has told this incarnation at which regions it holds units that earlier ones lent; it holds none elsewhere. */
    void settle(int from, Map<Long, Integer> held) {
        if (settled[from]) { return; }
        settled[from] = true;
        unsettled--;
        for (Region region : regions.values()) {
            int old = held.getOrDefault(region.id, 0);
            Account account = old == 0 && region.accounts[from] == null ? null : region.account(from);
            if (account == null) { continue; }
            account.bound = remembers ? Math.min(account.bound, old) : old;
            remember(region, from, account);
        }
        held.forEach((id, old) -> {
            if (!regions.containsKey(id) && old > 0 && regions.size() < MOST_REGIONS) {
                Region region = regions.computeIfAbsent(id, this::begun);
                region.gone = true;
                Account account = region.account(from);
                account.bound = remembers ? Math.min(account.bound, old) : old;
                remember(region, from, account);
            }
        });
    }

    /** What became of a received message. */
    enum Heard { STALE, OF_ANOTHER_LIFE, TAKEN }

    /** Applies a peer's message: its incarnation, what it holds of earlier incarnations of this ingress, and its totals. */
    Heard hears(Telling telling) {
        int from = telling.number();
        if (!alive(from, telling.life())) { return Heard.STALE; }
        if (telling.to() != life) { return Heard.OF_ANOTHER_LIFE; }
        if (telling.whole() && !settled[from]) {
            Map<Long, Integer> held = new HashMap<>();
            telling.rows().forEach(row -> held.put(row.region(), row.old()));
            settle(from, held);
        }
        telling.rows().forEach(row -> row(from, row));
        return Heard.TAKEN;
    }

    /** Treats a peer as ended, with all its connections: what it borrowed comes back. Only for callers that can prove it. */
    void peerEnded(int ingress) {
        for (Region region : regions.values()) {
            Account account = region.accounts[ingress];
            if (account == null) { continue; }
            account.reborn();
            account.bound = 0;
            remember(region, ingress, account);
        }
        lives[ingress] = lives[ingress] == 0 ? 1 : lives[ingress] + 1; // messages of that incarnation are ignored from now on
        if (!settled[ingress]) {
            settled[ingress] = true;
            unsettled--;
        }
    }

    private void remember(Region region, int ingress, Account account) { memory.put(region.id, ingress, account.lent()); }
}

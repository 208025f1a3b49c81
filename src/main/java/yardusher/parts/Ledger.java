package yardusher.parts;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * Who may have how many connections open, as one life of one ingress knows it. Each region's number is divided into fixed
 * shares, one for each configured ingress, without a word between them. An ingress lends of its share and borrows of others';
 * it may have open what is left of its share and what it holds of others'. Over all ingresses that is never more than the
 * number, whatever is lost, doubled, late or out of order, since every loan is less here before it is told there.
 *
 * <p>A life that begins with an empty memory owns its whole share, but does not know what of it its earlier lives lent: each
 * other ingress is held to have all of it until it has said what it holds, to this very life. Free of I/O and clock.
 */
final class Ledger {
    /** What is left out, to see that the rules notice. */
    enum Without { NOTHING, LESS_BEFORE_MORE, REPEAT_CHECK, STOPPED_KEEPS, OLD_LIVES }

    /** A region's accounts, by the number of the other ingress. */
    static final class Region {
        final long id;
        final Account[] accounts;
        int number;                                  // of connections, now
        int most;                                    // the highest number that it had here
        int share;                                   // of it, this ingress's
        int guest;                                   // of the share, given to the next version's process beside this one
        int open;                                    // connections from before they are dialled to after their close
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

    private static final int MOST_REGIONS = 4096;    // listed ones beside those that only others tell of

    final int self;
    final int count;
    final long life;
    private final Memory memory;
    final long[] lives;                      // of the others, 0 for one not heard yet
    final boolean[] settled;                 // what earlier lives lent to it is known
    private final boolean remembers;
    int unsettled;
    private final Map<Long, Region> regions = new HashMap<>();
    long far;                                        // figures that cannot be true
    Without without = Without.NOTHING;

    /** {@code remembers}: the memory holds all that earlier lives lent, and is believed. */
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
     * The part of a region's number that an ingress owns: as even as can be, and what is left over falls to other ingresses
     * at other regions. They add up to the number, and none falls where the number grows.
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

    /** A region has this number from now on. */
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

    /** A region is no longer listed: its connections close, and it is forgotten once nothing is lent or held there. */
    void gone(long id) {
        Region region = regions.get(id);
        if (region != null) { region.gone = true; }
    }

    /** Forgets regions that are gone and where nothing stands any more. */
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

    /** How many others have not said yet what they hold of this one's earlier lives. */
    int unsettled() { return unsettled; }

    /** Of its own share, what is not lent; negative where the number was lowered below what is lent. */
    int home(Region region) {
        // Guards against units that an earlier life lent and this one does not know of: without a memory, all may be there.
        if (unsettled > 0 && !remembers && without != Without.OLD_LIVES) { return Math.min(0, region.share - region.lent()); }
        int home = region.share - region.lent();
        if (without == Without.LESS_BEFORE_MORE) { // less here only once it is more there
            for (Account one : region.accounts) { home += one == null ? 0 : one.granted - Math.min(one.granted, Math.max(one.seenTaken, one.back)); }
        }
        return home;
    }

    /** How many connections may be open; negative where the number was lowered and it is owed to others. */
    int allowance(Region region) { return home(region) + region.held(); }

    int spare(Region region) { return allowance(region) - region.open; }

    /** A connection is to be opened: counts from here on, where there is room. */
    boolean take(Region region) {
        if (spare(region) <= 0) { return false; }
        region.open++;
        return true;
    }

    /** A connection has ended at the region too. */
    void ended(Region region) { region.open--; }

    /** Lends up to so many that are not in use; the result says how many. */
    int lend(Region region, int to, int wanted) {
        int many = Math.min(wanted, Math.min(home(region), spare(region)));
        if (many <= 0 || lives[to] == 0 || to == self) { return 0; }
        Account account = region.account(to);
        if (!memory.put(region.id, to, account.lent() + many)) { return 0; }
        account.granted += many;
        return many;
    }

    /** Gives the next version's process beside this one up to so many that are not in use; the result says how many. */
    int giveGuest(Region region, int wanted) {
        int many = Math.max(0, Math.min(wanted, Math.min(home(region), spare(region))));
        region.guest += many;
        return many;
    }

    /** Gives back up to so many of another's that are not in use; the result says how many. */
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
     * Another ingress speaks as this life, whose earlier ones have all ended; false for one of an earlier life, which is
     * passed over.
     */
    boolean alive(int ingress, long heardLife) {
        if (heardLife < lives[ingress] || ingress == self) { return false; }
        if (heardLife > lives[ingress]) {
            for (Region region : regions.values()) {
                Account account = region.accounts[ingress];
                if (account == null) { continue; }
                account.reborn();
                if (settled[ingress]) { account.bound = 0; } // nobody is left who could hold any of them
                remember(region, ingress, account);
            }
            lives[ingress] = heardLife;
        }
        return true;
    }

    /** Takes in what another says of an account, to this very life. A row that cannot be true is passed over and counted. */
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

    /** Another has said, to this very life, at which regions it holds what earlier lives lent; at all others it holds nothing of them. */
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

    /** What became of something heard. */
    enum Heard { STALE, OF_ANOTHER_LIFE, TAKEN }

    /** Takes in what another ingress tells: who it is, what it holds of earlier lives where that is asked, and its counters. */
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

    /** Holds an ingress to have ended, and its connections with it: what it held comes back. Only for who can prove that. */
    void ended(int ingress) {
        for (Region region : regions.values()) {
            Account account = region.accounts[ingress];
            if (account == null) { continue; }
            account.reborn();
            account.bound = 0;
            remember(region, ingress, account);
        }
        lives[ingress] = lives[ingress] == 0 ? 1 : lives[ingress] + 1; // whoever speaks as that life is not believed
        if (!settled[ingress]) {
            settled[ingress] = true;
            unsettled--;
        }
    }

    private void remember(Region region, int ingress, Account account) { memory.put(region.id, ingress, account.lent()); }
}

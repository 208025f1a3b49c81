package yardusher.connectionquota;

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
    enum OmittedRule { NOTHING, LESS_BEFORE_MORE, REPEAT_CHECK, STOPPED_KEEPS, OLD_LIVES }

    /** A region's accounts, by the number of the other ingress. */
    static final class Region {
        final long id;
        final PeerAccount[] accounts;
        int limit;                                  // of connections, now
        int highestLimit;                                    // the highest number that it had here
        int share;                                   // of it, this ingress's
        int successorUnits;                                   // of the share, given to the next version's process beside this one
        int open;                                    // connections from before they are dialled to after their close
        boolean isDelisted;                                // no longer listed

        Region(long id, int ingressCount) {
            this.id = id;
            accounts = new PeerAccount[ingressCount];
        }

        PeerAccount account(int ingress) { return accounts[ingress] == null ? accounts[ingress] = new PeerAccount() : accounts[ingress]; }

        int lent() {
            int lent = successorUnits;
            for (PeerAccount account : accounts) { lent += account == null ? 0 : account.lent(); }
            return lent;
        }

        int borrowed() {
            int borrowed = 0;
            for (PeerAccount account : accounts) { borrowed += account == null ? 0 : account.borrowed(); }
            return borrowed;
        }
    }

    private static final int MAX_REGIONS = 4096;    // listed ones beside those that only others tell of

    final int self;
    final int ingressCount;
    final long incarnation;
    private final LoanStore loanStore;
    final long[] peerIncarnations;                      // of the others, 0 for one not heard yet
    final boolean[] settledPeers;                 // what earlier lives lent to it is known
    private final boolean hasTrustedLoans;
    int unsettledPeers;
    private final Map<Long, Region> regions = new HashMap<>();
    long implausibleRows;                                        // figures that cannot be true
    OmittedRule omittedRule = OmittedRule.NOTHING;

    /** {@code remembers}: the memory holds all that earlier lives lent, and is believed. */
    Ledger(int self, int ingressCount, long incarnation, LoanStore loanStore, boolean hasTrustedLoans) {
        this.self = self;
        this.ingressCount = ingressCount;
        this.incarnation = incarnation;
        this.loanStore = loanStore;
        this.hasTrustedLoans = hasTrustedLoans;
        peerIncarnations = new long[ingressCount];
        settledPeers = new boolean[ingressCount];
        settledPeers[self] = true;
        unsettledPeers = ingressCount - 1;
    }

    /**
     * The part of a region's number that an ingress owns: as even as can be, and what is left over falls to other ingresses
     * at other regions. They add up to the number, and none falls where the number grows.
     */
    static int share(long region, int limit, int ingress, int ingressCount) {
        int rank = (int) Long.remainderUnsigned(mix(region) + ingress, ingressCount);
        return limit / ingressCount + (rank < limit % ingressCount ? 1 : 0);
    }

    static long mix(long value) {
        long x = value * 0x9E3779B97F4A7C15L;
        x = (x ^ x >>> 32) * 0xD6E8FEB86659FD93L;
        return (x ^ x >>> 32) >>> 1;
    }

    /** A region has this number from now on. */
    Region setLimit(long id, int limit) {
        Region region = regions.computeIfAbsent(id, this::newRegion);
        region.limit = limit;
        region.highestLimit = Math.max(region.highestLimit, limit);
        region.share = share(id, limit, self, ingressCount);
        region.isDelisted = false;
        return region;
    }

    private Region newRegion(long id) {
        Region region = new Region(id, ingressCount);
        for (int i = 0; i < ingressCount && hasTrustedLoans; i++) {
            int lent = i == self ? 0 : loanStore.lent(id, i);
            if (lent > 0) { region.account(i).maxLegacyLent = lent; }
        }
        return region;
    }

    /** A region is no longer listed: its connections close, and it is forgotten once nothing is lent or held there. */
    void delist(long id) {
        Region region = regions.get(id);
        if (region != null) { region.isDelisted = true; }
    }

    /** Forgets regions that are gone and where nothing stands any more. */
    void sweep() {
        for (Iterator<Region> iterator = regions.values().iterator(); iterator.hasNext();) {
            Region region = iterator.next();
            if (region.isDelisted && region.open == 0 && Arrays.stream(region.accounts).allMatch(one -> one == null || one.isEmpty())) { iterator.remove(); }
        }
    }

    boolean hasTrustedLoans() { return hasTrustedLoans; }

    Region region(long id) { return regions.get(id); }

    Iterable<Region> regions() { return regions.values(); }

    long peerIncarnation(int ingress) { return peerIncarnations[ingress]; }

    boolean isSettled(int ingress) { return settledPeers[ingress]; }

    /** How many others have not said yet what they hold of this one's earlier lives. */
    int unsettledPeers() { return unsettledPeers; }

    /** Of its own share, what is not lent; negative where the number was lowered below what is lent. */
    int unlentShare(Region region) {
        // Guards against units that an earlier life lent and this one does not know of: without a memory, all may be there.
        if (unsettledPeers > 0 && !hasTrustedLoans && omittedRule != OmittedRule.OLD_LIVES) { return Math.min(0, region.share - region.lent()); }
        int unlent = region.share - region.lent();
        if (omittedRule == OmittedRule.LESS_BEFORE_MORE) { // less here only once it is more there
            for (PeerAccount account : region.accounts) { unlent += account == null ? 0 : account.granted - Math.min(account.granted, Math.max(account.ackedGranted, account.recovered)); }
        }
        return unlent;
    }

    /** How many connections may be open; negative where the number was lowered and it is owed to others. */
    int allowance(Region region) { return unlentShare(region) + region.borrowed(); }

    int spare(Region region) { return allowance(region) - region.open; }

    /** A connection is to be opened: counts from here on, where there is room. */
    boolean tryAcquire(Region region) {
        if (spare(region) <= 0) { return false; }
        region.open++;
        return true;
    }

    /** A connection has ended at the region too. */
    void connectionClosed(Region region) { region.open--; }

    /** Lends up to so many that are not in use; the result says how many. */
    int lend(Region region, int borrower, int wanted) {
        int units = Math.min(wanted, Math.min(unlentShare(region), spare(region)));
        if (units <= 0 || peerIncarnations[borrower] == 0 || borrower == self) { return 0; }
        PeerAccount account = region.account(borrower);
        if (!loanStore.store(region.id, borrower, account.lent() + units)) { return 0; }
        account.granted += units;
        return units;
    }

    /** Gives the next version's process beside this one up to so many that are not in use; the result says how many. */
    int giveSuccessor(Region region, int wanted) {
        int units = Math.max(0, Math.min(wanted, Math.min(unlentShare(region), spare(region))));
        region.successorUnits += units;
        return units;
    }

    /** Gives back up to so many of another's that are not in use; the result says how many. */
    int giveBack(Region region, int lender, int wanted) {
        PeerAccount account = region.account(lender);
        int units = Math.min(wanted, Math.min(account.borrowed(), spare(region)));
        if (units <= 0) { return 0; }
        int legacyUnits = Math.min(units, account.legacyBorrowed);
        account.legacyBorrowed -= legacyUnits;
        account.returned += units - legacyUnits;
        return units;
    }

    /**
     * Another ingress speaks as this life, whose earlier ones have all ended; false for one of an earlier life, which is
     * passed over.
     */
    boolean observeIncarnation(int ingress, long reported) {
        if (reported < peerIncarnations[ingress] || ingress == self) { return false; }
        if (reported > peerIncarnations[ingress]) {
            for (Region region : regions.values()) {
                PeerAccount account = region.accounts[ingress];
                if (account == null) { continue; }
                account.peerRestarted();
                if (settledPeers[ingress]) { account.maxLegacyLent = 0; } // nobody is left who could hold any of them
                storeLent(region, ingress, account);
            }
            peerIncarnations[ingress] = reported;
        }
        return true;
    }

    /** Takes in what another says of an account, to this very life. A row that cannot be true is passed over and counted. */
    boolean applyRow(int sender, QuotaMessage.Row row) {
        Region region = regions.get(row.region());
        if (region == null) {
            if (row.granted() == 0 && row.returned() == 0 && row.legacyBorrowed() == 0 || regions.size() >= MAX_REGIONS) { return true; }
            region = regions.computeIfAbsent(row.region(), this::newRegion);
            region.isDelisted = true;                      // until it is listed here too
        }
        PeerAccount account = region.account(sender);
        int maxPlausible = Math.max(region.highestLimit, region.isDelisted ? QuotaMessage.MAX_UNITS : 0);
        if (row.granted() - account.returned > maxPlausible || row.returned() > account.granted || row.received() > account.granted
                || row.recovered() > account.returned || row.returned() > row.received()) {
            implausibleRows++;
            return false;
        }
        if (omittedRule == OmittedRule.REPEAT_CHECK) {
            account.received = row.granted() > account.received ? row.granted() : account.received + (row.granted() > 0 ? 1 : 0);
        } else {
            account.received = Math.max(account.received, row.granted());
        }
        account.ackedGranted = Math.max(account.ackedGranted, row.received());
        account.ackedReturned = Math.max(account.ackedReturned, row.recovered());
        int lentBefore = account.lent();
        account.recovered = Math.max(account.recovered, row.returned());
        if (settledPeers[sender]) { account.maxLegacyLent = Math.min(account.maxLegacyLent, row.legacyBorrowed()); }
        if (account.lent() != lentBefore) { storeLent(region, sender, account); }
        return true;
    }

    /** Another has said, to this very life, at which regions it holds what earlier lives lent; at all others it holds nothing of them. */
    void settle(int sender, Map<Long, Integer> legacyByRegion) {
        if (settledPeers[sender]) { return; }
        settledPeers[sender] = true;
        unsettledPeers--;
        for (Region region : regions.values()) {
            int legacy = legacyByRegion.getOrDefault(region.id, 0);
            PeerAccount account = legacy == 0 && region.accounts[sender] == null ? null : region.account(sender);
            if (account == null) { continue; }
            account.maxLegacyLent = hasTrustedLoans ? Math.min(account.maxLegacyLent, legacy) : legacy;
            storeLent(region, sender, account);
        }
        legacyByRegion.forEach((id, legacy) -> {
            if (!regions.containsKey(id) && legacy > 0 && regions.size() < MAX_REGIONS) {
                Region region = regions.computeIfAbsent(id, this::newRegion);
                region.isDelisted = true;
                PeerAccount account = region.account(sender);
                account.maxLegacyLent = hasTrustedLoans ? Math.min(account.maxLegacyLent, legacy) : legacy;
                storeLent(region, sender, account);
            }
        });
    }

    /** What became of something heard. */
    enum MessageResult { STALE, OTHER_INCARNATION, APPLIED }

    /** Takes in what another ingress tells: who it is, what it holds of earlier lives where that is asked, and its counters. */
    MessageResult apply(QuotaMessage message) {
        int sender = message.sender();
        if (!observeIncarnation(sender, message.incarnation())) { return MessageResult.STALE; }
        if (message.recipientIncarnation() != incarnation) { return MessageResult.OTHER_INCARNATION; }
        if (message.legacyComplete() && !settledPeers[sender]) {
            Map<Long, Integer> legacyByRegion = new HashMap<>();
            message.rows().forEach(row -> legacyByRegion.put(row.region(), row.legacyBorrowed()));
            settle(sender, legacyByRegion);
        }
        message.rows().forEach(row -> applyRow(sender, row));
        return MessageResult.APPLIED;
    }

    /** Holds an ingress to have ended, and its connections with it: what it held comes back. Only for who can prove that. */
    void connectionClosed(int ingress) {
        for (Region region : regions.values()) {
            PeerAccount account = region.accounts[ingress];
            if (account == null) { continue; }
            account.peerRestarted();
            account.maxLegacyLent = 0;
            storeLent(region, ingress, account);
        }
        peerIncarnations[ingress] = peerIncarnations[ingress] == 0 ? 1 : peerIncarnations[ingress] + 1; // whoever speaks as that life is not believed
        if (!settledPeers[ingress]) {
            settledPeers[ingress] = true;
            unsettledPeers--;
        }
    }

    private void storeLent(Region region, int ingress, PeerAccount account) { loanStore.store(region.id, ingress, account.lent()); }
}

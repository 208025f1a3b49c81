package yardusher.connectionquota;

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
    enum OmittedRule { NOTHING, LESS_BEFORE_MORE, REPEAT_CHECK, STOPPED_KEEPS, OLD_LIVES }

    /** One region: its limit, this ingress's share, and the accounts by the number of the peer. */
    static final class Region {
        final long id;
        final PeerAccount[] accounts;
        int limit;                                   // connections in all, now
        int highestLimit;                            // since the region became known here
        int share;                                   // of the limit, this ingress's own
        int successorUnits;                          // of the share, given to the next version's process that runs beside this one
        int open;                                    // counted from before the dial until the region has closed too
        boolean isDelisted;

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

    private static final int MAX_REGIONS = 4096;     // listed ones and those that only peers report

    final int self;
    final int ingressCount;
    final long incarnation;
    private final LoanStore loanStore;
    final long[] peerIncarnations;                   // 0 for a peer without any message yet
    final boolean[] settledPeers;                    // peers that have reported what earlier incarnations lent them
    private final boolean hasTrustedLoans;
    int unsettledPeers;
    private final Map<Long, Region> regions = new HashMap<>();
    long implausibleRows;
    OmittedRule omittedRule = OmittedRule.NOTHING;

    /** {@code hasTrustedLoans}: the store holds all that earlier incarnations lent. */
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
     * The share of a region's limit that an ingress owns. Shares are as even as possible, and the remainder goes to different
     * ingresses at different regions. They add up to the limit, and none shrinks when the limit grows.
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

    /** Lists a region, or changes its limit. */
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

    /** A region is no longer listed: its connections close, and it is removed once nothing is lent or borrowed there. */
    void delist(long id) {
        Region region = regions.get(id);
        if (region != null) { region.isDelisted = true; }
    }

    /** Removes the delisted regions where nothing is open, lent or borrowed. */
    void sweep() {
        for (Iterator<Region> iterator = regions.values().iterator(); iterator.hasNext();) {
            Region region = iterator.next();
            if (region.isDelisted && region.open == 0
                    && Arrays.stream(region.accounts).allMatch(account -> account == null || account.isEmpty())) {
                iterator.remove();
            }
        }
    }

    boolean hasTrustedLoans() { return hasTrustedLoans; }

    Region region(long id) { return regions.get(id); }

    Iterable<Region> regions() { return regions.values(); }

    long peerIncarnation(int ingress) { return peerIncarnations[ingress]; }

    boolean isSettled(int ingress) { return settledPeers[ingress]; }

    /** Number of peers that have not reported yet what they hold of this ingress's earlier incarnations. */
    int unsettledPeers() { return unsettledPeers; }

    /** The part of the own share that is not lent; negative if the limit was lowered below what is lent. */
    int unlentShare(Region region) {
        // Without stored loans, earlier incarnations may have lent the whole share unknown to this one.
        if (unsettledPeers > 0 && !hasTrustedLoans && omittedRule != OmittedRule.OLD_LIVES) {
            return Math.min(0, region.share - region.lent());
        }
        int unlent = region.share - region.lent();
        if (omittedRule == OmittedRule.LESS_BEFORE_MORE) { // planted: reduced only after the borrower has received it
            for (PeerAccount account : region.accounts) {
                unlent += account == null ? 0
                        : account.granted - Math.min(account.granted, Math.max(account.ackedGranted, account.recovered));
            }
        }
        return unlent;
    }

    /** How many connections may be open; negative if the limit was lowered and peers hold more than the new share. */
    int allowance(Region region) { return unlentShare(region) + region.borrowed(); }

    int spare(Region region) { return allowance(region) - region.open; }

    /** Counts a connection that is about to be dialled; false if there is no unit for it. */
    boolean tryAcquire(Region region) {
        if (spare(region) <= 0) { return false; }
        region.open++;
        return true;
    }

    /** A connection has been closed by the region too. */
    void connectionClosed(Region region) { region.open--; }

    /** Lends up to so many units that are not in use; returns how many. */
    int lend(Region region, int borrower, int wanted) {
        int units = Math.min(wanted, Math.min(unlentShare(region), spare(region)));
        if (units <= 0 || peerIncarnations[borrower] == 0 || borrower == self) { return 0; }
        PeerAccount account = region.account(borrower);
        if (!loanStore.store(region.id, borrower, account.lent() + units)) { return 0; }
        account.granted += units;
        return units;
    }

    /** Gives the next version's process up to so many units that are not in use; returns how many. */
    int giveSuccessor(Region region, int wanted) {
        int units = Math.max(0, Math.min(wanted, Math.min(unlentShare(region), spare(region))));
        region.successorUnits += units;
        return units;
    }

    /** Gives up to so many borrowed units that are not in use back to their lender; returns how many. */
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
     * A message of a peer names this incarnation, which means that all its earlier ones have ended; false for an incarnation that
     * has ended itself, whose message is ignored.
     */
    boolean observeIncarnation(int ingress, long reported) {
        if (reported < peerIncarnations[ingress] || ingress == self) { return false; }
        if (reported > peerIncarnations[ingress]) {
            for (Region region : regions.values()) {
                PeerAccount account = region.accounts[ingress];
                if (account == null) { continue; }
                account.peerRestarted();
                if (settledPeers[ingress]) { account.maxLegacyLent = 0; } // no process is left that could hold any of them
                storeLent(region, ingress, account);
            }
            peerIncarnations[ingress] = reported;
        }
        return true;
    }

    /** Applies a peer's row that was addressed to this incarnation. An impossible row is counted and ignored. */
    boolean applyRow(int sender, QuotaMessage.Row row) {
        Region region = regions.get(row.region());
        if (region == null) {
            if (row.granted() == 0 && row.returned() == 0 && row.legacyBorrowed() == 0 || regions.size() >= MAX_REGIONS) { return true; }
            region = regions.computeIfAbsent(row.region(), this::newRegion);
            region.isDelisted = true;                // until it is listed here too
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

    /** A peer has told this incarnation at which regions it holds units that earlier ones lent; it holds none elsewhere. */
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

    /** What became of a received message. */
    enum MessageResult { STALE, OTHER_INCARNATION, APPLIED }

    /** Applies a peer's message: its incarnation, what it holds of earlier incarnations of this ingress, and its totals. */
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

    /** Treats a peer as ended, with all its connections: what it borrowed comes back. Only for callers that can prove it. */
    void peerEnded(int ingress) {
        for (Region region : regions.values()) {
            PeerAccount account = region.accounts[ingress];
            if (account == null) { continue; }
            account.peerRestarted();
            account.maxLegacyLent = 0;
            storeLent(region, ingress, account);
        }
        // Messages of the ended incarnation are ignored from now on.
        peerIncarnations[ingress] = peerIncarnations[ingress] == 0 ? 1 : peerIncarnations[ingress] + 1;
        if (!settledPeers[ingress]) {
            settledPeers[ingress] = true;
            unsettledPeers--;
        }
    }

    private void storeLent(Region region, int ingress, PeerAccount account) { loanStore.store(region.id, ingress, account.lent()); }
}

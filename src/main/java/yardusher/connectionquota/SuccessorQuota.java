package yardusher.connectionquota;

import java.util.HashMap;
import java.util.Map;

/**
 * The connections of a process that stands beside the one that has its ingress's claim, as its next version: it has open what
 * that one gives it of the share, tells it what it wants, and negotiates with nobody until the claim is its own. Free of
 * I/O and clock.
 */
final class SuccessorQuota {
    /** A region as this process stands there. */
    static final class RegionQuota {
        int givenUnits;
        int open;
        int closing;
        private int reportedLimit = -1;

        private int attemptLimit() { return Math.max(0, givenUnits - closing); }
    }

    private final Negotiator.World environment;
    private final Map<Long, RegionQuota> regions = new HashMap<>();

    SuccessorQuota(Negotiator.World environment) { this.environment = environment; }

    RegionQuota regionQuota(long region) { return regions.computeIfAbsent(region, none -> new RegionQuota()); }

    /** So much has been given there so far; the result is what is wanted. What is given is never taken back from a living process. */
    int updateGivenUnits(long region, int units) {
        RegionQuota quota = regionQuota(region);
        quota.givenUnits = units;
        reportLimit(region, quota);
        int busy = environment.busy(region);
        return busy + Math.max(2, busy / 2);
    }

    boolean tryAcquire(long region) {
        RegionQuota quota = regionQuota(region);
        if (quota.open >= quota.givenUnits) { return false; }
        quota.open++;
        return true;
    }

    void connectionClosing(long region) {
        RegionQuota quota = regionQuota(region);
        quota.closing++;
        reportLimit(region, quota);
    }

    void connectionClosed(long region, boolean wasClosing) {
        RegionQuota quota = regionQuota(region);
        quota.open--;
        if (wasClosing) { quota.closing--; }
        reportLimit(region, quota);
    }

    /** The module's list is new: the room is told again. */
    void relisted(long region) {
        RegionQuota quota = regionQuota(region);
        quota.reportedLimit = -1;
        reportLimit(region, quota);
    }

    private void reportLimit(long region, RegionQuota quota) {
        if (quota.reportedLimit == quota.attemptLimit()) { return; }
        quota.reportedLimit = quota.attemptLimit();
        environment.setAttemptLimit(region, quota.reportedLimit);
    }
}

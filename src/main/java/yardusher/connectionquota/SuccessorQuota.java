package yardusher.connectionquota;

import java.util.HashMap;
import java.util.Map;

/**
 * The connections of a process that runs, as the next version, beside the process that owns its ingress's claim. It opens
 * what the owner gives it of the share, tells the owner what it wants, and negotiates with no other ingress until it owns the
 * claim itself. No I/O and no clock.
 */
final class SuccessorQuota {
    /** This process's connections at one region. */
    static final class RegionQuota {
        int givenUnits;
        int open;
        int closing;
        private int reportedLimit = -1;

        private int attemptLimit() { return Math.max(0, givenUnits - closing); }
    }

    private final Negotiator.Environment environment;
    private final Map<Long, RegionQuota> regions = new HashMap<>();

    SuccessorQuota(Negotiator.Environment environment) { this.environment = environment; }

    RegionQuota regionQuota(long region) { return regions.computeIfAbsent(region, none -> new RegionQuota()); }

    /** Sets how many units the owner has given in all, and returns how many are wanted. None are taken back from a living process. */
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

    /** The decision module has a new backend list: reports the attempt limit again. */
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

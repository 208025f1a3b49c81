package yardusher.fleet;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import yardusher.register.WorkKind;
import yardusher.register.RegisterView;
import yardusher.register.Work;

/**
 * One member's view of the leases, free of I/O. The register has no clock. A holder renews regularly and counts its
 * lease from the moment at which it sent the request; the other members watch the heartbeat and may claim once they
 * have seen it unchanged for a lease by their own clock. Clocks only decide how soon another member takes over and that
 * a holder usually stops before that; safety against a former holder rests on the tokens.
 */
public final class LeaseManager {
    private static final double CLAIM_SPREAD_MS = 60;
    private static final int RENEWALS = 4;           // renewals per lease

    /**
     * {@code error}: by how much the rates of two clocks may differ, as a fraction. {@code pauseMs}: added to the wait
     * before a take-over.
     */
    public record LeaseTimings(double leaseMs, double clockError, double pauseMs) {
        public static LeaseTimings of(FleetSettings settings) {
            return new LeaseTimings(settings.leaseMs(), settings.clockErrorPermille() / 1000.0, settings.pauseMs());
        }

        /** How long a holder may act, counted from the request. */
        double usableLeaseMs() { return leaseMs * (1 - clockError); }

        /** How long a heartbeat must be seen unchanged before a claim. */
        double takeOverWaitMs() { return leaseMs * (1 + clockError) + pauseMs; }
    }

    /** What the caller has to do now. */
    public sealed interface Action { }

    /** Claim a work from the register. */
    public record Claim(WorkKind kind, long nonce, long seenToken, long seenHeartbeat) implements Action { }

    /** Renew the lease. */
    public record Renew(WorkKind kind, long token, long heartbeat) implements Action { }

    /** This member has become the holder. */
    public record Begin(WorkKind kind, long token) implements Action { }

    /** This member must stop: its lease may have expired for others, or the register refused it. */
    public record Stop(WorkKind kind, long token, String why) implements Action { }

    private final class LeaseState {
        final WorkKind kind;
        long seenToken = -1;
        long seenHeartbeat = -1;
        double seenAtMs;                               // when the token or heartbeat last changed
        double nextClaimAtMs = Double.POSITIVE_INFINITY;
        long nonce;                                  // of the pending or granted claim; 0 for none
        double requestedAtMs;
        long token;                                  // 0 while not held
        double expiresAtMs;
        double nextRenewalAtMs;
        long heartbeat;
        boolean renewalPending;

        LeaseState(WorkKind kind) { this.kind = kind; }
    }

    private final String self;
    private final LeaseTimings terms;
    private final RandomGenerator random;
    private final Map<WorkKind, LeaseState> states = new EnumMap<>(WorkKind.class);

    public LeaseManager(String self, LeaseTimings terms, RandomGenerator random) {
        this.self = self;
        this.terms = terms;
        this.random = random;
        for (WorkKind kind : WorkKind.values()) { states.put(kind, new LeaseState(kind)); }
    }

    /**
     * The actions due, given the local copy of the register and the time in ms. {@code wants}: whether a work has
     * anything to be done.
     */
    public List<Action> nextActions(double now, RegisterView view, java.util.function.Predicate<Work> wants) {
        List<Action> acts = new ArrayList<>();
        for (LeaseState lease : states.values()) {
            Work work = view.works().get(lease.kind);
            if (lease.token != 0) { checkHeld(lease, work, now, acts); }
            if (lease.token == 0) { checkClaim(lease, work, now, wants, acts); }
        }
        return acts;
    }

    private void checkHeld(LeaseState lease, Work work, double now, List<Action> acts) {
        if (work != null && work.token() > lease.token) {
            stop(lease, "token " + work.token() + " was given since", acts);
        } else if (work != null && work.token() == lease.token && !work.isRunning()) {
            stop(lease, "the work is over", acts);
        } else if (now >= lease.expiresAtMs) {
            stop(lease, "its lease was not renewed in time", acts);
        } else if (now >= lease.nextRenewalAtMs && !lease.renewalPending) {
            lease.renewalPending = true;
            lease.requestedAtMs = now;
            acts.add(new Renew(lease.kind, lease.token, ++lease.heartbeat));
        }
    }

    private void stop(LeaseState lease, String why, List<Action> acts) {
        acts.add(new Stop(lease.kind, lease.token, why));
        lease.token = 0;
        lease.nonce = 0;
        lease.renewalPending = false;
    }

    private void checkClaim(LeaseState lease, Work work, double now, java.util.function.Predicate<Work> wants, List<Action> acts) {
        if (work == null || !work.isRunning()) {
            lease.nonce = 0;
            return;
        }
        if (lease.nonce != 0 && work.isHeld() && work.holder().equals(self) && work.nonce() == lease.nonce) {
            take(lease, work.token(), acts);           // granted, even if the reply was lost
            if (now >= lease.expiresAtMs) { stop(lease, "its lease was over when the grant was heard of", acts); }
            return;
        }
        if (work.token() != lease.seenToken || work.heartbeat() != lease.seenHeartbeat) {
            lease.seenToken = work.token();
            lease.seenHeartbeat = work.heartbeat();
            lease.seenAtMs = now;
            lease.nextClaimAtMs = now + random.nextDouble() * CLAIM_SPREAD_MS + (work.isHeld() ? terms.takeOverWaitMs() : 0);
        }
        boolean free = !work.isHeld();
        if (now < lease.nextClaimAtMs || lease.nonce != 0 || free && !wants.test(work)) { return; }
        lease.nonce = random.nextLong() >>> 1 | 1;
        lease.requestedAtMs = now;
        acts.add(new Claim(lease.kind, lease.nonce, work.token(), work.heartbeat()));
    }

    private void take(LeaseState lease, long token, List<Action> acts) {
        lease.token = token;
        lease.heartbeat = 0;
        lease.expiresAtMs = lease.requestedAtMs + terms.usableLeaseMs();
        lease.nextRenewalAtMs = lease.requestedAtMs + terms.leaseMs() / RENEWALS;
        lease.renewalPending = false;
        acts.add(new Begin(lease.kind, token));
    }

    /** Handles the reply to a claim; {@code token} is 0 if it was refused or there was no reply, and it may be repeated. */
    public void claimed(double now, WorkKind kind, long nonce, long token) {
        LeaseState lease = states.get(kind);
        if (lease.nonce != nonce || lease.token != 0) { return; }
        if (token == 0) {
            lease.nonce = 0;
            // Never sooner than the observed heartbeat allows: this member may already have seen the winner's grant.
            lease.nextClaimAtMs = Math.max(lease.nextClaimAtMs, now + (0.5 + random.nextDouble()) * 2 * CLAIM_SPREAD_MS);
        }
    }

    /** Handles the reply to a renewal: whether this member still holds the work, or null if there was no reply. */
    public void renewed(double now, WorkKind kind, long token, Boolean holds) {
        LeaseState lease = states.get(kind);
        if (lease.token != token || !lease.renewalPending) { return; }
        lease.renewalPending = false;
        if (holds == null) {
            lease.nextRenewalAtMs = now + terms.leaseMs() / (4 * RENEWALS);
        } else if (holds) {
            lease.expiresAtMs = lease.requestedAtMs + terms.usableLeaseMs();
            lease.nextRenewalAtMs = lease.requestedAtMs + terms.leaseMs() / RENEWALS;
        } else {
            lease.expiresAtMs = now;                         // the next call of nextActions stops the work
        }
    }

    /** Whether this member may act for the work now under this token. */
    public boolean holds(double now, WorkKind kind, long token) {
        LeaseState lease = states.get(kind);
        return lease.token == token && now < lease.expiresAtMs;
    }

    /** The work was released. */
    public void released(WorkKind kind, long token) {
        LeaseState lease = states.get(kind);
        if (lease.token != token) { return; }
        lease.token = 0;
        lease.nonce = 0;
        lease.renewalPending = false;
    }

    /** When {@link #nextActions} must be called again at the latest. */
    public double nextDueAtMs() {
        double next = Double.POSITIVE_INFINITY;
        for (LeaseState lease : states.values()) {
            next = Math.min(next, lease.token != 0
                    ? lease.renewalPending ? lease.expiresAtMs : Math.min(lease.nextRenewalAtMs, lease.expiresAtMs)
                    : lease.nextClaimAtMs);
        }
        return next;
    }
}

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
    public record LeaseTimings(double leaseMs, double error, double pauseMs) {
        public static LeaseTimings of(FleetSettings settings) {
            return new LeaseTimings(settings.leaseMs(), settings.clockErrorPermille() / 1000.0, settings.pauseMs());
        }

        /** How long a holder may act, counted from the request. */
        double usableLeaseMs() { return leaseMs * (1 - error); }

        /** How long a heartbeat must be seen unchanged before a claim. */
        double takeOverWaitMs() { return leaseMs * (1 + error) + pauseMs; }
    }

    /** What the caller has to do now. */
    public sealed interface Action { }

    /** Claim a work from the register. */
    public record Claim(WorkKind kind, long nonce, long seenToken, long seenBeat) implements Action { }

    /** Renew the lease. */
    public record Renew(WorkKind kind, long token, long beat) implements Action { }

    /** This member has become the holder. */
    public record Begin(WorkKind kind, long token) implements Action { }

    /** This member must stop: its lease may have expired for others, or the register refused it. */
    public record Stop(WorkKind kind, long token, String why) implements Action { }

    private final class LeaseState {
        final WorkKind kind;
        long seenToken = -1;
        long seenBeat = -1;
        double seenAt;                               // when the token or heartbeat last changed
        double claimAt = Double.POSITIVE_INFINITY;
        long nonce;                                  // of the pending or granted claim; 0 for none
        double claimedAt;
        long token;                                  // 0 while not held
        double until;
        double renewAt;
        long beat;
        boolean renewing;

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
        for (LeaseState one : states.values()) {
            Work work = view.works().get(one.kind);
            if (one.token != 0) { held(one, work, now, acts); }
            if (one.token == 0) { watched(one, work, now, wants, acts); }
        }
        return acts;
    }

    private void held(LeaseState one, Work work, double now, List<Action> acts) {
        if (work != null && work.token() > one.token) {
            stop(one, "token " + work.token() + " was given since", acts);
        } else if (work != null && work.token() == one.token && !work.isRunning()) {
            stop(one, "the work is over", acts);
        } else if (now >= one.until) {
            stop(one, "its lease was not renewed in time", acts);
        } else if (now >= one.renewAt && !one.renewing) {
            one.renewing = true;
            one.claimedAt = now;
            acts.add(new Renew(one.kind, one.token, ++one.beat));
        }
    }

    private void stop(LeaseState one, String why, List<Action> acts) {
        acts.add(new Stop(one.kind, one.token, why));
        one.token = 0;
        one.nonce = 0;
        one.renewing = false;
    }

    private void watched(LeaseState one, Work work, double now, java.util.function.Predicate<Work> wants, List<Action> acts) {
        if (work == null || !work.isRunning()) {
            one.nonce = 0;
            return;
        }
        if (one.nonce != 0 && work.isHeld() && work.holder().equals(self) && work.nonce() == one.nonce) {
            take(one, work.token(), acts);           // granted, even if the reply was lost
            if (now >= one.until) { stop(one, "its lease was over when the grant was heard of", acts); }
            return;
        }
        if (work.token() != one.seenToken || work.heartbeat() != one.seenBeat) {
            one.seenToken = work.token();
            one.seenBeat = work.heartbeat();
            one.seenAt = now;
            one.claimAt = now + random.nextDouble() * CLAIM_SPREAD_MS + (work.isHeld() ? terms.takeOverWaitMs() : 0);
        }
        boolean free = !work.isHeld();
        if (now < one.claimAt || one.nonce != 0 || free && !wants.test(work)) { return; }
        one.nonce = random.nextLong() >>> 1 | 1;
        one.claimedAt = now;
        acts.add(new Claim(one.kind, one.nonce, work.token(), work.heartbeat()));
    }

    private void take(LeaseState one, long token, List<Action> acts) {
        one.token = token;
        one.beat = 0;
        one.until = one.claimedAt + terms.usableLeaseMs();
        one.renewAt = one.claimedAt + terms.leaseMs() / RENEWALS;
        one.renewing = false;
        acts.add(new Begin(one.kind, token));
    }

    /** Handles the reply to a claim; {@code token} is 0 if it was refused or there was no reply, and it may be repeated. */
    public void claimed(double now, WorkKind kind, long nonce, long token) {
        LeaseState one = states.get(kind);
        if (one.nonce != nonce || one.token != 0) { return; }
        if (token == 0) {
            one.nonce = 0;
            // Never sooner than the observed heartbeat allows: this member may already have seen the winner's grant.
            one.claimAt = Math.max(one.claimAt, now + (0.5 + random.nextDouble()) * 2 * CLAIM_SPREAD_MS);
        }
    }

    /** Handles the reply to a renewal: whether this member still holds the work, or null if there was no reply. */
    public void renewed(double now, WorkKind kind, long token, Boolean holds) {
        LeaseState one = states.get(kind);
        if (one.token != token || !one.renewing) { return; }
        one.renewing = false;
        if (holds == null) {
            one.renewAt = now + terms.leaseMs() / (4 * RENEWALS);
        } else if (holds) {
            one.until = one.claimedAt + terms.usableLeaseMs();
            one.renewAt = one.claimedAt + terms.leaseMs() / RENEWALS;
        } else {
            one.until = now;                         // the next call of nextActions stops the work
        }
    }

    /** Whether this member may act for the work now under this token. */
    public boolean holds(double now, WorkKind kind, long token) {
        LeaseState one = states.get(kind);
        return one.token == token && now < one.until;
    }

    /** The work was released. */
    public void released(WorkKind kind, long token) {
        LeaseState one = states.get(kind);
        if (one.token != token) { return; }
        one.token = 0;
        one.nonce = 0;
        one.renewing = false;
    }

    /** When {@link #look} is due again at the latest. */
    public double nextAt() {
        double next = Double.POSITIVE_INFINITY;
        for (LeaseState one : states.values()) {
            next = Math.min(next, one.token != 0 ? one.renewing ? one.until : Math.min(one.renewAt, one.until) : one.claimAt);
        }
        return next;
    }
}

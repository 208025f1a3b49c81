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
 * Who does a work: one member's part in that, free of I/O. The register knows no clock. A holder asks for a renewal now
 * and then and takes its lease to end so long after the moment at which it asked; the others watch the beat, and may
 * claim once they have seen it stand still for a lease by their own clock. What rests on clocks is only how soon another
 * begins and that a holder usually stops before that; that an old one does no harm rests on tokens.
 */
public final class LeaseManager {
    private static final double CLAIM_SPREAD_MS = 60;
    private static final int RENEWALS = 4;           // asked for in a lease

    /** {@code error}: by how much rates of two clocks may differ, as a share of 1. {@code pauseMs}: added to a wait. */
    public record LeaseTimings(double leaseMs, double error, double pauseMs) {
        public static LeaseTimings of(FleetSettings settings) {
            return new LeaseTimings(settings.leaseMs(), settings.clockErrorPermille() / 1000.0, settings.pauseMs());
        }

        /** How long after asking a holder may act. */
        double usableLeaseMs() { return leaseMs * (1 - error); }

        /** How long a beat must be seen to stand still. */
        double takeOverWaitMs() { return leaseMs * (1 + error) + pauseMs; }
    }

    /** What to do now. */
    public sealed interface Action { }

    /** Ask the register for a work. */
    public record Claim(WorkKind kind, long nonce, long seenToken, long seenBeat) implements Action { }

    /** Ask the register for a longer lease. */
    public record Renew(WorkKind kind, long token, long beat) implements Action { }

    /** This member holds the work from now on. */
    public record Begin(WorkKind kind, long token) implements Action { }

    /** This member must stop: its lease may be over for others, or the register has said so. */
    public record Stop(WorkKind kind, long token, String why) implements Action { }

    private final class LeaseState {
        final WorkKind kind;
        long seenToken = -1;
        long seenBeat = -1;
        double seenAt;                               // when the token or beat was new
        double claimAt = Double.POSITIVE_INFINITY;
        long nonce;                                  // of the claim under way or granted; 0 for none
        double claimedAt;
        long token;                                  // held; 0 for none
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
     * What follows from the member's copy of the register and the time, in ms. {@code wants}: the works that have
     * something to be done.
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
            take(one, work.token(), acts);           // granted, also where the answer was lost
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

    /** The register has answered a claim, or nobody has ({@code token} 0): then it may be asked again. */
    public void claimed(double now, WorkKind kind, long nonce, long token) {
        LeaseState one = states.get(kind);
        if (one.nonce != nonce || one.token != 0) { return; }
        if (token == 0) {
            one.nonce = 0;
            // Never sooner than what was seen allows: who was refused has perhaps seen the winner's grant already.
            one.claimAt = Math.max(one.claimAt, now + (0.5 + random.nextDouble()) * 2 * CLAIM_SPREAD_MS);
        }
    }

    /** The register has answered a renewal: whether it holds. Nobody answered: {@code null}. */
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
            one.until = now;                         // the next look stops
        }
    }

    /** Whether this member may act for the work now, under this token. */
    public boolean holds(double now, WorkKind kind, long token) {
        LeaseState one = states.get(kind);
        return one.token == token && now < one.until;
    }

    /** The work was given up. */
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

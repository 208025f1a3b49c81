package yardusher;

import java.util.*;
import java.util.function.*;
import yardusher.Api.*;

/** Admits requests, starts their attempts, learns from the outcomes, and retries or ends the requests. */
final class Attempts {
    private static final double RETRY_PART = 0.2;    // retry tokens earned by each admitted request
    private static final double RETRY_MOST = 10;     // retry tokens saved up at most
    private static final double PAYS = 0.5;          // fraction of reruns that must be answered quickly
    private static final int LOOKS = 8;              // below that, one in this many hanging attempts is still rerun
    private static final double LEAST = 0.2;         // lower bound of a server's limit: one attempt, then a pause
    private final Settings settings; private final Clock clock; private final SplittableRandom random;
    private final Consumer<Action> out; private final Quotas quotas; private final Standings standings;
    private final Ceilings ceilings; private final CeilingLoans loans;
    private final Servers servers; private final Pressure pressure;
    private final BiConsumer<Customer, Boolean> told; // the own row changed: by its counts (true), or by demand alone
    final Map<Long, PendingRequest> requests = new HashMap<>();  // by id; never iterated, so its order affects nothing
    private double retryTokens = RETRY_MOST;
    private double hanging;                          // recent fraction of attempts that hang alone while their server answers others
    private double rerunPays = 1;                    // recent fraction of reruns of such attempts that were answered quickly

    Attempts(Settings settings, Clock clock, SplittableRandom random, Consumer<Action> out, Quotas quotas,
            Ceilings ceilings, CeilingLoans loans, Standings standings, Servers servers, Pressure pressure,
            BiConsumer<Customer, Boolean> told) {
        this.ceilings = ceilings; this.loans = loans;
        this.settings = settings; this.clock = clock; this.random = random; this.out = out;
        this.quotas = quotas; this.standings = standings; this.servers = servers;
        this.pressure = pressure; this.told = told;
    }

    void request(Request q) {
        RequestClass of = settings.classes().get(q.classIndex());
        Customer c = quotas.customer(q.customer(), q.plan());
        boolean moved = c.first != q.firstGateway() || c.spread != Math.min(q.spread(), settings.gateways());
        if (moved) { c.reachedBy(q.firstGateway(), q.spread()); }
        c.usedAt = clock.now;
        PendingRequest pending = new PendingRequest(q, of, c, clock.now);
        Reason why = q.dueMs() > clock.now ? quotas.beyond(c, q.units()) : Reason.LATE;
        why = why == null && pressure.shed(q) ? Reason.PRESSURE : why;
        c.ask(q.units());
        Host host = why == null ? servers.choose(pending) : null;
        if (host == null) {
            told.accept(c, false);
            out.accept(new Refuse(q.id(), advice(c, q), why == null ? Reason.NO_SERVER : why));
            loans.look(c);
            return;
        }
        c.count(q.units());
        pending.share = ceilings.spend(c, q.units()); retryTokens = Math.min(RETRY_MOST, retryTokens + RETRY_PART);
        requests.put(q.id(), pending);
        send(pending, host);
        loans.look(c);
    }

    /** An attempt waits for a connection: its units stay reserved in the share of the ceiling until an attempt has been written. */
    void delayed(long id, int attempt) {
        PendingRequest pending = requests.get(id);
        boolean taken = pending == null || pending.share == null || pending.reserved || attempt != pending.spentAt;
        if (taken) { return; }
        pending.share.reserve(pending.request.units(), clock.now); pending.reserved = true;
    }

    void written(long id, int attempt) {
        PendingRequest pending = requests.get(id);
        if (pending != null && pending.reserved && attempt == pending.attempts - 1) { settle(pending); }
    }

    private void settle(PendingRequest pending) {
        pending.share.settle(pending.request.units(), clock.now); pending.reserved = false;
    }

    /** Releases the reserved units of an attempt that never reached a server. */
    private void release(PendingRequest pending, Outcome outcome) {
        if (!pending.reserved) { return; }
        if (!outcome.neverRan() || outcome == Outcome.REJECTED) { settle(pending); return; }
        pending.share.release(pending.request.units(), clock.now); pending.reserved = false; pending.share = null;
    }

    /** Takes the units again if the previous attempt released them; false if the ceiling has too few left. */
    private boolean takesUnits(PendingRequest pending) {
        Customer c = pending.customer; double units = pending.request.units();
        if (pending.share != null || !Ceilings.hasCeiling(c.plan)) { return true; }
        if (!ceilings.holds(c, units)) { return false; }
        pending.share = ceilings.spend(c, units); pending.spentAt = pending.attempts;
        return true;
    }

    /** When to retry after a refusal: once the quota has room again, or else after the next evaluation of the pressure. */
    private double advice(Customer c, Request q) {
        double most = settings.limits().maxRetryAfterMs(); if (most <= 0) { return 0; }
        double wait = standings.of(q.customer(), q.plan(), q.units(), c.first, c.spread).retryAfterMs();
        return Math.min(most, Math.max(1, wait > 0 ? wait : Clock.SWEEP_MS));
    }

    /** A streamed answer began. */
    void begun(long id) { requests.computeIfPresent(id, (key, pending) -> pending.begin(clock.now)); }

    private void send(PendingRequest pending, Host host) {
        double until = pending.request.dueMs();
        if (pending.of.lateValue() == 0 && !pending.of.streamed() && settings.limits().mayCancel()) {
            until = Math.min(until, pending.aimAt()); // a later answer is worth nothing, so the server is freed for others
        }
        pending.sent(host, clock.now); servers.outstanding++;
        if (host.open++ == 0) { host.quietSince = clock.now; }
        pending.customer.mine.open++;
        told.accept(pending.customer, true);
        out.accept(new Send(pending.request.id(), host.id, Math.max(0.001, until - clock.now)));
        double check = clock.now + pending.of.aimMs() / 2;
        if (pending.of.effect() != Effect.AT_MOST_ONCE && check < until) {
            out.accept(new SetTimer(check, pending.request.id() + Clock.REQUESTS));
        }
    }

    /**
     * Half of the aim has passed: cancels the attempt to start it over elsewhere if its server has answered nothing since the send,
     * or if only this attempt hangs while others are quick and some hung alone recently. One gateway of hundreds may have no other
     * attempt at that server, so silence proves less; when all servers are late it proves nothing. A request that is slow by itself
     * is as slow elsewhere and should stay where it is, so the success rate of reruns is learned.
     */
    void check(long id) {
        PendingRequest pending = requests.get(id);
        if (pending == null || pending.gone || pending.begun) { return; }
        int k = pending.request.classIndex();
        double waited = clock.now - pending.sentAt;
        if (waited < pending.of.aimMs() / 2 - 1
                || pending.last.quietSince > pending.sentAt && !(hanging > 0.02 && alone(pending) && rerunMayPay())
                || pending.last.open < 2 && waited < 3 * servers.times.classMs[k]
                        && clock.now >= pending.last.outUntil[k]
                || retryTokens < 1 || servers.times.fleetPart > Pressure.SLOW
                || !settings.limits().mayCancel() || pending.attempts >= settings.limits().maxAttempts()
                || !servers.elsewhere(pending)) { return; }
        if (alone(pending)) { pending.lone = pending.attempts; pending.waited = waited; }
        out.accept(new Cancel(id, pending.attempts - 1));
    }

    /** Whether a rerun is worthwhile; never in overload, where everything is late and a second attempt adds load. */
    private boolean rerunMayPay() {
        return pressure.shedPart < 0.05 && (rerunPays > PAYS || random.nextInt(LOOKS) == 0);
    }

    /** Whether this attempt hangs alone: its server has answered others since, and answers of all servers are quick. */
    private boolean alone(PendingRequest pending) {
        return pending.last.quietSince > pending.sentAt && servers.times.fleetPart < Pressure.SLOW
                && clock.now - pending.sentAt > 3 * servers.times.classMs[pending.request.classIndex()];
    }

    void done(AttemptDone e) {
        PendingRequest pending = requests.get(e.id());
        if (pending == null || e.attempt() != pending.attempts - 1) { return; }
        Host host = pending.last;
        servers.outstanding--; host.open--; pending.customer.mine.open--;
        if (pending.customer.plan.openCap() > 0) { told.accept(pending.customer, true); }
        host.reports(e.load());
        judge(pending, host, e);
        release(pending, e.outcome());
        if (e.billed() > 0) { pending.customer.count(e.billed() - pending.request.units()); }
        if (e.finished() || pending.gone) { requests.remove(e.id()); return; }
        pending.ran |= !e.outcome().neverRan();
        retryOrEnd(pending, e.outcome());
    }

    private void judge(PendingRequest pending, Host host, AttemptDone e) {
        int k = pending.request.classIndex();
        if (pending.lone > 0 && pending.attempts > pending.lone && !e.outcome().neverRan()) {
            boolean quick = e.outcome() == Outcome.SERVED && e.tookMs() < pending.waited / 2;
            rerunPays += Servers.FAILING * ((quick ? 1 : 0) - rerunPays); pending.lone = 0;
        }
        switch (e.outcome()) {
            case SERVED -> {
                host.quietSince = clock.now; hanging *= 0.99;
                servers.answered(host, k); servers.cold.took(host, e.tookMs() / servers.times.classMs[k]);
                servers.times.took(k, e.tookMs(), pending.of.aimMs());
                sample(host, e.tookMs() / servers.times.classMs[k], pending);
            }
            case SERVER_ERROR -> { host.quietSince = clock.now; servers.failed(host, k, false); }
            case REJECTED -> host.fullUntil = clock.now + 2 * servers.times.typicalMs;
            case CONNECT_FAILED -> servers.failed(host, k, true);
            // Servers that cut single connections must not all be taken for down. One that is down refuses the next
            // connection too, which costs nothing; so a lost connection counts as an ordinary failure.
            case CONNECTION_LOST -> servers.failed(host, k, false);
            case TIMED_OUT, CANCELLED -> {
                if (!pending.gone) { servers.times.gaveUp((clock.now - pending.sentAt) / pending.of.aimMs()); }
                if (host.quietSince <= pending.sentAt) { servers.failed(host, k, false); }
                host.ghosts += alone(pending) ? 0 : 1; servers.cold.took(host, Double.POSITIVE_INFINITY);
                hanging += alone(pending) ? 0.01 * (1 - hanging) : 0;
                sample(host, Math.max(1, e.tookMs() / servers.times.classMs[k]), pending);
            }
            default -> { }
        }
    }

    /**
     * Adapts a server's concurrency limit to its latency. Guards against servers that work on abandoned requests and so answer
     * everything too late: abandoned attempts count towards the load for about a deadline, and the limit falls while answers take
     * much of the aim. Covers overload, slow servers and full queues; counterproductive if the aim is shorter than the work itself.
     */
    private void sample(Host host, double ratio, PendingRequest pending) {
        double usual = servers.times.classMs[pending.request.classIndex()];
        double took = pending.begun ? ratio * usual : clock.now - pending.sentAt;
        double part = took / pending.of.aimMs();
        host.took(part);
        boolean late = host.part > 0.4 || servers.times.fleetPart > 0.3 && part > 0.5;
        if (late && clock.now - host.cutAt > servers.times.typicalMs) {
            host.limit = Math.max(LEAST, Math.min(host.limit, host.load() + 1) * 0.85);
            host.cutAt = clock.now;
        } else if (host.part < 0.35 && part < 0.5 && host.load() + 1 >= Pressure.BUSY * host.limit) {
            host.limit += 1 / Math.max(1, host.limit);
        }
        host.ratio += 0.1 * (Math.min(ratio, 10) - host.ratio); host.sampledAt = clock.now;
    }

    private void retryOrEnd(PendingRequest pending, Outcome outcome) {
        Request q = pending.request;
        double until = pending.of.lateValue() == 0 ? Math.min(q.dueMs(), pending.aimAt()) : q.dueMs();
        boolean cheap = outcome == Outcome.CONNECT_FAILED;
        if (outcome != Outcome.NOT_SENT && pending.attempts < settings.limits().maxAttempts()
                && clock.now + servers.times.classMs[q.classIndex()] / 2 < until
                && (cheap || retryTokens >= 1)) {
            Host host = servers.choose(pending);
            if (host != null && takesUnits(pending)) { retryTokens -= cheap ? 0 : 1; send(pending, host); return; }
        }
        requests.remove(q.id());
        boolean harmless = !pending.ran || pending.of.effect() == Effect.IDEMPOTENT
                || pending.of.effect() == Effect.DEDUPLICATED && pending.of.group() == Group.ALL;
        boolean refused = harmless && clock.now < q.dueMs();
        out.accept(!refused ? new Fail(q.id())
                : new Refuse(q.id(), advice(pending.customer, q), Reason.ATTEMPTS));
    }

    void gone(long id) {
        PendingRequest pending = requests.get(id);
        if (pending != null && !pending.gone) {
            pending.gone = true;                        // the outcome of its attempt still follows
            if (settings.limits().mayCancel()) { out.accept(new Cancel(id, pending.attempts - 1)); }
        }
    }
}

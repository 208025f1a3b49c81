package yardusher;

import java.util.*;
import java.util.function.*;
import yardusher.Api.*;

/** Admits requests, starts their attempts, learns from the outcomes, and retries or ends the requests. */
final class Attempts {
    private static final double RETRY_TOKENS_PER_REQUEST = 0.2; // a retry costs one token, or none after a failed connect
    private static final double MAX_RETRY_TOKENS = 10;
    private static final double MIN_RERUN_SUCCESS_RATE = 0.5; // fraction of reruns that must be answered quickly
    private static final int RERUN_PROBE_INTERVAL = 8; // below that, one in this many hanging attempts is still rerun
    private static final double MIN_SERVER_LIMIT = 0.2; // lower bound of a server's limit: one attempt, then a pause
    private final Settings settings; private final Clock clock; private final SplittableRandom random;
    private final Consumer<Action> actions; private final Quotas quotas; private final QuotaStatusReader quotaStatusReader;
    private final Ceilings ceilings; private final CeilingLoans loans;
    private final Servers servers; private final Pressure pressure;
    private final BiConsumer<Customer, Boolean> rowChanged; // the own row changed: by its counts (true), or by demand alone
    final Map<Long, PendingRequest> pendingRequests = new HashMap<>(); // by id; never iterated, so its order affects nothing
    private double retryTokens = MAX_RETRY_TOKENS;
    private double hangRate; // recent fraction of attempts that hang alone while their server answers others
    private double rerunSuccessRate = 1; // recent fraction of reruns of such attempts that were answered quickly

    Attempts(Settings settings, Clock clock, SplittableRandom random, Consumer<Action> actions, Quotas quotas,
            Ceilings ceilings, CeilingLoans loans, QuotaStatusReader quotaStatusReader, Servers servers, Pressure pressure,
            BiConsumer<Customer, Boolean> rowChanged) {
        this.ceilings = ceilings; this.loans = loans;
        this.settings = settings; this.clock = clock; this.random = random; this.actions = actions;
        this.quotas = quotas; this.quotaStatusReader = quotaStatusReader; this.servers = servers;
        this.pressure = pressure; this.rowChanged = rowChanged;
    }

    void requestArrived(Request request) {
        RequestClass requestClass = settings.classes().get(request.classIndex());
        Customer customer = quotas.customer(request.customer(), request.plan());
        boolean gatewaysChanged = customer.firstGateway != request.firstGateway()
                || customer.gatewayCount != Math.min(request.gatewayCount(), settings.gateways());
        if (gatewaysChanged) { customer.setGateways(request.firstGateway(), request.gatewayCount()); }
        customer.usedAtMs = clock.now;
        PendingRequest pending = new PendingRequest(request, requestClass, customer, clock.now);
        Reason refusal = request.dueMs() > clock.now ? quotas.refusalReason(customer, request.units()) : Reason.LATE;
        refusal = refusal == null && pressure.shouldShed(request) ? Reason.PRESSURE : refusal;
        customer.recordRequested(request.units());
        Host host = refusal == null ? servers.choose(pending) : null;
        if (host == null) {
            rowChanged.accept(customer, false);
            actions.accept(new Refuse(request.id(), retryAfterMs(customer, request), refusal == null ? Reason.NO_SERVER : refusal));
            loans.requestIfShort(customer);
            return;
        }
        customer.addUsed(request.units());
        pending.ceilingShare = ceilings.spend(customer, request.units());
        retryTokens = Math.min(MAX_RETRY_TOKENS, retryTokens + RETRY_TOKENS_PER_REQUEST);
        pendingRequests.put(request.id(), pending);
        send(pending, host);
        loans.requestIfShort(customer);
    }

    /** An attempt waits for a connection: its units stay reserved in the share of the ceiling until an attempt has been written. */
    void attemptDelayed(long id, int attempt) {
        PendingRequest pending = pendingRequests.get(id);
        boolean ignored = pending == null || pending.ceilingShare == null || pending.unitsReserved || attempt != pending.spentAttempt;
        if (ignored) { return; }
        pending.ceilingShare.reserve(pending.request.units(), clock.now); pending.unitsReserved = true;
    }

    void attemptWritten(long id, int attempt) {
        PendingRequest pending = pendingRequests.get(id);
        if (pending != null && pending.unitsReserved && attempt == pending.attempts - 1) { settle(pending); }
    }

    private void settle(PendingRequest pending) {
        pending.ceilingShare.settle(pending.request.units(), clock.now); pending.unitsReserved = false;
    }

    /** Releases the reserved units of an attempt that never reached a server. */
    private void release(PendingRequest pending, Outcome outcome) {
        if (!pending.unitsReserved) { return; }
        if (!outcome.neverRan() || outcome == Outcome.REJECTED) { settle(pending); return; }
        pending.ceilingShare.release(pending.request.units(), clock.now); pending.unitsReserved = false; pending.ceilingShare = null;
    }

    /** Takes the units again if the previous attempt released them; false if the ceiling has too few left. */
    private boolean takeUnits(PendingRequest pending) {
        Customer customer = pending.customer; double units = pending.request.units();
        if (pending.ceilingShare != null || !Ceilings.hasCeiling(customer.plan)) { return true; }
        if (!ceilings.canSpend(customer, units)) { return false; }
        pending.ceilingShare = ceilings.spend(customer, units); pending.spentAttempt = pending.attempts;
        return true;
    }

    /** When to retry after a refusal: once the quota has room again, or else after the next evaluation of the pressure. */
    private double retryAfterMs(Customer customer, Request request) {
        double maxMs = settings.limits().maxRetryAfterMs(); if (maxMs <= 0) { return 0; }
        double waitMs = quotaStatusReader.of(request.customer(), request.plan(), request.units(), customer.firstGateway,
                customer.gatewayCount).retryAfterMs();
        return Math.min(maxMs, Math.max(1, waitMs > 0 ? waitMs : Clock.SWEEP_MS));
    }

    /** A streamed answer began. */
    void streamBegan(long id) { pendingRequests.computeIfPresent(id, (key, pending) -> pending.beginStreaming(clock.now)); }

    /** A value is passed on to the client: no more work that its server has to begin. */
    void valuePassedOn(long id, int attempt) {
        PendingRequest pending = pendingRequests.get(id);
        if (pending == null || pending.passedOn || attempt != pending.attempts - 1) { return; }
        pending.passedOn = true;
        pending.lastHost.passedOnValues++;
        servers.workingAttempts--;
    }

    private void send(PendingRequest pending, Host host) {
        double untilMs = pending.request.dueMs();
        if (pending.requestClass.lateValue() == 0 && !pending.requestClass.streamed() && settings.limits().mayCancel()) {
            untilMs = Math.min(untilMs, pending.aimAtMs()); // a later answer is worth nothing, so the server is freed for others
        }
        pending.attemptSent(host, clock.now); servers.workingAttempts++;
        if (host.workingAttempts() == 0) { host.lastAnswerAtMs = clock.now; }
        host.openAttempts++;
        pending.customer.ownRow.openAttempts++;
        rowChanged.accept(pending.customer, true);
        actions.accept(new Send(pending.request.id(), host.id, Math.max(0.001, untilMs - clock.now)));
        double checkAtMs = clock.now + pending.requestClass.aimMs() / 2;
        if (pending.requestClass.effect() != Effect.AT_MOST_ONCE && checkAtMs < untilMs) {
            actions.accept(new SetTimer(checkAtMs, pending.request.id() + Clock.FIRST_REQUEST_TOKEN));
        }
    }

    /**
     * Half of the aim has passed: cancels the attempt to start it over elsewhere if its server has answered nothing since the send,
     * or if only this attempt hangs while others are quick and some hung alone recently. One gateway of hundreds may have no other
     * attempt at that server, so silence proves less; when all servers are late it proves nothing. A request that is slow by itself
     * is as slow elsewhere and should stay where it is, so the success rate of reruns is learned.
     */
    void checkForHang(long id) {
        PendingRequest pending = pendingRequests.get(id);
        if (pending == null || pending.clientGone || pending.streaming) { return; }
        int classIndex = pending.request.classIndex();
        double waitedMs = clock.now - pending.sentAtMs;
        if (waitedMs < pending.requestClass.aimMs() / 2 - 1
                || pending.lastHost.lastAnswerAtMs > pending.sentAtMs && !(hangRate > 0.02 && hangsAlone(pending) && rerunMayPay())
                || pending.lastHost.workingAttempts() < 2 && waitedMs < 3 * servers.latencies.classLatencyMs[classIndex]
                        && clock.now >= pending.lastHost.ejectedUntilMs[classIndex]
                || retryTokens < 1 || servers.latencies.fleetFraction > Pressure.SHED_FROM_LATENCY
                || !settings.limits().mayCancel() || pending.attempts >= settings.limits().maxAttempts()
                || !servers.hasAlternative(pending)) { return; }
        if (hangsAlone(pending)) { pending.hungAttempts = pending.attempts; pending.hungMs = waitedMs; }
        actions.accept(new Cancel(id, pending.attempts - 1));
    }

    /** Whether a rerun is worthwhile; never in overload, where everything is late and a second attempt adds load. */
    private boolean rerunMayPay() {
        return pressure.shedFraction < 0.05 && (rerunSuccessRate > MIN_RERUN_SUCCESS_RATE || random.nextInt(RERUN_PROBE_INTERVAL) == 0);
    }

    /** Whether this attempt hangs alone: its server has answered others since, and answers of all servers are quick. */
    private boolean hangsAlone(PendingRequest pending) {
        return pending.lastHost.lastAnswerAtMs > pending.sentAtMs && servers.latencies.fleetFraction < Pressure.SHED_FROM_LATENCY
                && clock.now - pending.sentAtMs > 3 * servers.latencies.classLatencyMs[pending.request.classIndex()];
    }

    void attemptDone(AttemptDone event) {
        PendingRequest pending = pendingRequests.get(event.id());
        if (pending == null || event.attempt() != pending.attempts - 1) { return; }
        Host host = pending.lastHost;
        if (pending.passedOn) { host.passedOnValues--; } else { servers.workingAttempts--; }
        host.openAttempts--; pending.customer.ownRow.openAttempts--;
        if (pending.customer.plan.openCap() > 0) { rowChanged.accept(pending.customer, true); }
        host.recordLoadReport(event.load());
        recordOutcome(pending, host, event);
        release(pending, event.outcome());
        if (event.billedUnits() > 0) { pending.customer.addUsed(event.billedUnits() - pending.request.units()); }
        if (event.finished() || pending.clientGone) { pendingRequests.remove(event.id()); return; }
        pending.mayHaveRun |= !event.outcome().neverRan();
        retryOrEnd(pending, event.outcome());
    }

    private void recordOutcome(PendingRequest pending, Host host, AttemptDone event) {
        int classIndex = pending.request.classIndex();
        if (pending.hungAttempts > 0 && pending.attempts > pending.hungAttempts && !event.outcome().neverRan()) {
            boolean quick = event.outcome() == Outcome.SERVED && event.tookMs() < pending.hungMs / 2;
            rerunSuccessRate += Servers.FAILURE_RATE_WEIGHT * ((quick ? 1 : 0) - rerunSuccessRate); pending.hungAttempts = 0;
        }
        switch (event.outcome()) {
            case SERVED -> {
                host.lastAnswerAtMs = clock.now; hangRate *= 0.99;
                servers.recordAnswer(host, classIndex);
                servers.cold.recordLatency(host, event.tookMs() / servers.latencies.classLatencyMs[classIndex]);
                servers.latencies.recordAnswer(classIndex, event.tookMs(), pending.requestClass.aimMs());
                adaptLimit(host, event.tookMs() / servers.latencies.classLatencyMs[classIndex], pending);
            }
            case SERVER_ERROR -> { host.lastAnswerAtMs = clock.now; servers.recordFailure(host, classIndex, false); }
            case REJECTED -> host.rejectingUntilMs = clock.now + 2 * servers.latencies.typicalLatencyMs;
            case CONNECT_FAILED -> servers.recordFailure(host, classIndex, true);
            // Servers that cut single connections must not all be taken for down. One that is down refuses the next
            // connection too, which costs nothing; so a lost connection counts as an ordinary failure.
            case CONNECTION_LOST -> servers.recordFailure(host, classIndex, false);
            case TIMED_OUT, CANCELLED -> {
                if (pending.streaming && !pending.clientGone) { recordUnfinished(host, classIndex, event.outcome()); return; }
                if (!pending.clientGone) { servers.latencies.recordAbandoned((clock.now - pending.sentAtMs) / pending.requestClass.aimMs()); }
                if (host.lastAnswerAtMs <= pending.sentAtMs) { servers.recordFailure(host, classIndex, false); }
                host.abandonedAttempts += hangsAlone(pending) ? 0 : 1; servers.cold.recordLatency(host, Double.POSITIVE_INFINITY);
                hangRate += hangsAlone(pending) ? 0.01 * (1 - hangRate) : 0;
                adaptLimit(host, Math.max(1, event.tookMs() / servers.latencies.classLatencyMs[classIndex]), pending);
            }
            default -> { }
        }
    }

    /**
     * An answer had begun and was not whole in its request's time: the server's failure, but not a sign of load. One that was given up
     * before is neither.
     */
    private void recordUnfinished(Host host, int classIndex, Outcome outcome) {
        if (outcome == Outcome.TIMED_OUT) { servers.recordFailure(host, classIndex, false); }
    }

    /**
     * Adapts a server's concurrency limit to its latency. Guards against servers that work on abandoned requests and so answer
     * everything too late: abandoned attempts count towards the load for about a deadline, and the limit falls while answers take
     * much of the aim. Covers overload, slow servers and full queues; counterproductive if the aim is shorter than the work itself.
     */
    private void adaptLimit(Host host, double latencyRatio, PendingRequest pending) {
        double usualMs = servers.latencies.classLatencyMs[pending.request.classIndex()];
        double tookMs = pending.streaming ? latencyRatio * usualMs : clock.now - pending.sentAtMs;
        double latencyFraction = tookMs / pending.requestClass.aimMs();
        host.recordLatency(latencyFraction);
        boolean late = host.latencyFraction > 0.4 || servers.latencies.fleetFraction > 0.3 && latencyFraction > 0.5;
        if (late && clock.now - host.limitCutAtMs > servers.latencies.typicalLatencyMs) {
            host.limit = Math.max(MIN_SERVER_LIMIT, Math.min(host.limit, host.load() + 1) * 0.85);
            host.limitCutAtMs = clock.now;
        } else if (host.latencyFraction < 0.35 && latencyFraction < 0.5 && host.load() + 1 >= Pressure.SHED_FROM_LOAD * host.limit) {
            host.limit += 1 / Math.max(1, host.limit);
        }
        host.latencyRatio += 0.1 * (Math.min(latencyRatio, 10) - host.latencyRatio); host.sampledAtMs = clock.now;
    }

    private void retryOrEnd(PendingRequest pending, Outcome outcome) {
        Request request = pending.request;
        double untilMs = pending.requestClass.lateValue() == 0 ? Math.min(request.dueMs(), pending.aimAtMs()) : request.dueMs();
        boolean neverConnected = outcome == Outcome.CONNECT_FAILED || outcome == Outcome.LOCAL_FAILURE;
        if (outcome != Outcome.NOT_SENT && pending.attempts < settings.limits().maxAttempts()
                && clock.now + servers.latencies.classLatencyMs[request.classIndex()] / 2 < untilMs
                && (neverConnected || retryTokens >= 1)) {
            Host host = servers.choose(pending);
            if (host != null && takeUnits(pending)) { retryTokens -= neverConnected ? 0 : 1; send(pending, host); return; }
        }
        pendingRequests.remove(request.id());
        boolean harmless = !pending.mayHaveRun || pending.requestClass.effect() == Effect.IDEMPOTENT
                || pending.requestClass.effect() == Effect.DEDUPLICATED && pending.requestClass.group() == Group.ALL;
        boolean refused = harmless && clock.now < request.dueMs();
        actions.accept(!refused ? new Fail(request.id())
                : new Refuse(request.id(), retryAfterMs(pending.customer, request), Reason.ATTEMPTS));
    }

    void clientGone(long id) {
        PendingRequest pending = pendingRequests.get(id);
        if (pending != null && !pending.clientGone) {
            pending.clientGone = true; // the outcome of its attempt still follows
            if (settings.limits().mayCancel()) { actions.accept(new Cancel(id, pending.attempts - 1)); }
        }
    }
}

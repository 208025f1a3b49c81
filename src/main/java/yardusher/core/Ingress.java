package yardusher.core;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import yardusher.Api;
import yardusher.Policy;

/**
 * The core: requests, attempts and outcomes, processed in a chain of stages around the decision module. It is independent of
 * network protocols. All methods are called on the event loop.
 */
public final class Ingress implements RequestAcceptor {
    /** The module may still answer this long after the deadline; then the core ends the request. */
    private static final double DEADLINE_GRACE_MS = 8;

    private final Map<Long, Request> openRequests = new HashMap<>();
    private final ArrayDeque<Api.Action> actions = new ArrayDeque<>();
    private final EventLoop loop;
    private final Backends backends;
    private final Api.Settings settings;
    private final PeerSender peerSender;
    private final Counters counters;
    private final RequestLog log;
    private final Policy module;
    private final IntakeStage intakeStage;
    private final DecisionStage decisionStage;
    private final RoutingStage routingStage;
    private final DispatchStage dispatchStage;
    private final ResponseStage responseStage;
    private final CleanupStage cleanupStage;
    private boolean runningActions;
    private RequestTrace trace = RequestTrace.NONE;

    public Ingress(Api.Settings settings, long seed, EventLoop loop, Backends backends, PeerSender peerSender,
            Counters counters, RequestLog log) {
        this(settings, seed, loop.now(), loop, backends, peerSender, counters, log);
    }

    /** {@code processStartMs} is the start of this process, when no other process of this ingress was running any more. */
    public Ingress(Api.Settings settings, long seed, double processStartMs, EventLoop loop, Backends backends, PeerSender peerSender,
            Counters counters, RequestLog log) {
        this.log = log;
        this.settings = settings;
        this.loop = loop;
        this.backends = backends;
        this.peerSender = peerSender;
        this.counters = counters;
        counters.setClassCount(settings.classes().size());
        module = new Policy(settings, seed, loop.now(), processStartMs, actions::add);
        intakeStage = new IntakeStage(loop, settings.classes(), openRequests, counters, this::terminalLeft);
        decisionStage = new DecisionStage(loop, module);
        routingStage = new RoutingStage(backends, settings.limits().maxAttempts());
        dispatchStage = new DispatchStage(loop, backends, counters, log, this::intentNotRecorded, this::attemptEnded);
        responseStage = new ResponseStage(counters, log);
        cleanupStage = new CleanupStage(loop, openRequests, counters, log);
        runActions();
    }

    /** Sets what is told of single requests from now on. */
    public void setTrace(RequestTrace to) { trace = to; }

    public Api.Settings settings() { return settings; }

    public Counters counters() { return counters; }

    public String countersLine() { return counters.line(openRequests.size()); }

    public int openCount() { return openRequests.size(); }

    /** The number of listed backends that get no attempts now, banned by an operator or avoided by the module. */
    public int avoidedBackends() { return module.countAvoided(loop.now()); }

    /** Accepts a request. Its terminal gets exactly one final answer. */
    @Override
    public Request accept(IncomingRequest incoming) {
        Request[] taken = new Request[1];
        Request request = intakeStage.accept(incoming, () -> deadlinePassed(taken[0]), DEADLINE_GRACE_MS);
        taken[0] = request;
        request.hasCeiling = settings.plans().get(incoming.plan()).ceilingRatePerS() > 0;
        RequestLog.Admission admission = log.admit(request);
        request.recorded = admission == RequestLog.Admission.RECORDED;
        if (admission == RequestLog.Admission.REFUSED) {
            responseStage.reject(request, Math.min(log.retryAfterMs(), settings.limits().maxRetryAfterMs()));
            cleanupStage.closeRequest(request);
            return request;
        }
        try {
            decisionStage.submit(request);
            runActions();
        } catch (RuntimeException e) {
            // A fault in one decision must not leave its terminal, and the requests behind it, without an answer.
            counters.faults++;
            responseStage.failed(request, "internal");
            cleanupStage.closeRequest(request);
        }
        return request;
    }

    /** Counts a request that a frontend refused before it was accepted here. */
    public void countRefusedUnaccepted(int classIndex, Api.Reason reason) {
        counters.accepted++;
        counters.refused[classIndex]++;
        counters.refusalsByReason[reason.ordinal()]++;
    }

    /**
     * Returns the limits and the current use of a customer. Asks the module only: nothing is consumed and no backend is
     * contacted.
     */
    public Api.QuotaStatus standing(long customer, int plan, double units, int first, int spread) {
        counters.limitQueries++;
        return module.quotaStatus(loop.now(), customer, plan, units, first, spread);
    }

    /** The terminal has left and gets no answer. */
    private void terminalLeft(Request request) {
        if (!request.state.abandon()) { return; }
        if (request.incoming.terminal().hasLeftByItself()) { counters.clientsGone++; } else { counters.clientsCutOff++; }
        if (request.recorded) { log.answered(request, RequestLog.Answer.GONE); }
        releaseRequest(request);
    }

    /** Reports the end of an attempt, as seen by the backend side. */
    public void attemptEnded(Attempt attempt, Attempt.Result result) {
        if (!attempt.request.state.endAttempt(attempt.number, result.outcome())) { return; }
        // An answer proves that the command was written completely, even if it is read before the write completion.
        boolean answered = result.outcome() == Api.Outcome.SERVED || result.outcome() == Api.Outcome.SERVER_ERROR;
        counters.largeValuesOpen -= attempt.answer().isPassedOn() ? 1 : 0;
        if (answered && attempt.mayHaveBeenSent() || result.outcome() == Api.Outcome.REJECTED) { countForwarded(attempt); }
        cleanupStage.attemptEnded(attempt, result);
        counters.maxPauseMs = Math.max(counters.maxPauseMs, attempt.answer().longestPauseMs());
        Request request = attempt.request;
        if (attempt.answer().giveUpReason() != null) { attemptGivenUp(attempt); }
        if (result.outcome().isUnanswered()) { trace.attemptFailed(attempt, result.outcome()); }
        if (result.outcome() == Api.Outcome.SERVED) { responseStage.served(request, result.value()); }
        // No other attempt may follow a chunk.
        if (request.state.stage() == RequestState.Stage.STREAMING) {
            trace.failed(request, "value_" + result.outcome().label());
            responseStage.streamFailed(request);
        }
        boolean finished = request.state.isOver();
        if (finished) { cleanupStage.closeRequest(request); }
        decisionStage.deliver(new Api.AttemptDone(request.number, attempt.number, attempt.backend, result.outcome(),
                attempt.latencyMs(loop.now()), finished, 0, result.load()));
        runActions();
    }

    /**
     * The first bytes of an answer have arrived that is too large to be buffered, and are to be passed on. From here on it is
     * streamed to the terminal, and no deadline cancels it. Returns null if the answer is not wanted.
     */
    public ResponseStream beginStream(Attempt attempt, long length) {
        Request request = attempt.request;
        if (request.state.stage() != RequestState.Stage.OPEN || !request.state.isHanded(attempt.number)) { return null; }
        ResponseStream stream = request.incoming.terminal().beginStream(length);
        if (stream == null) { return null; }
        request.state.beginStreaming(attempt.number);
        request.stream = stream;
        attempt.answer().passOn();
        counters.largeValues++;
        counters.maxLargeValuesOpen = Math.max(counters.maxLargeValuesOpen, ++counters.largeValuesOpen);
        loop.deadlines().cancel(attempt.timeoutEntry);
        loop.deadlines().cancel(request.deadlineEntry);
        countForwarded(attempt);
        deliver(new Api.ValuePassedOn(request.number, attempt.number));
        return stream;
    }

    /** So many bytes of an answer have arrived by now, of a value of the announced length, 0 while that is unknown; it is not whole. */
    public void answerReceived(Attempt attempt, long bytes, long announced) {
        boolean first = !attempt.answer().hasBegun();
        attempt.answer().received(bytes, announced, loop.now());
        if (first && !attempt.isOver()) { deliver(new Api.FirstByte(attempt.request.number, attempt.number, attempt.backend)); }
    }

    private void attemptGivenUp(Attempt attempt) {
        counters.attemptsGivenUp[attempt.answer().giveUpReason().ordinal()]++;
        trace.attemptGivenUp(attempt);
    }

    /** The attempt's last byte was written to the socket. */
    public void attemptWritten(Attempt attempt) {
        attempt.answer().commandWritten();
        countForwarded(attempt);
        if (attempt.request.recorded && !attempt.isOver()) { log.attemptWritten(attempt); }
    }

    private void countForwarded(Attempt attempt) {
        counters.forwards += attempt.countedAsForwarded ? 0 : 1;
        if (attempt.delayReported && !attempt.countedAsForwarded) {
            decisionStage.deliver(new Api.AttemptWritten(attempt.request.number, attempt.number));
        }
        attempt.countedAsForwarded = true;
    }

    /** An intent could not be recorded. An attempt without a record is not sent, and the request ends at once. */
    private void intentNotRecorded(Request request) {
        if (request.state.endedAttemptMayHaveRun()) {
            responseStage.failed(request, "no record can be made");
        } else {
            responseStage.reject(request, Math.min(log.retryAfterMs(), settings.limits().maxRetryAfterMs()));
        }
        attemptEnded(request.newestAttempt, Attempt.Result.of(Api.Outcome.NOT_SENT));
    }

    /** Delivers an event: a change of the service table or a message of another ingress. */
    public void deliver(Api.Event event) {
        decisionStage.deliver(event);
        runActions();
    }

    private void deadlinePassed(Request request) {
        if (request.state.isOver()) { return; }
        trace.failed(request, "deadline passed");
        responseStage.failed(request, "deadline passed");
        releaseRequest(request);
    }

    /** The request needs no further answer. An attempt that is still active is cancelled, unless the module did so. */
    private void releaseRequest(Request request) {
        cleanupStage.closeRequest(request);
        decisionStage.deliver(new Api.ClientGone(request.number));
        runActions();
        if (request.newestAttempt != null && !request.newestAttempt.isOver()) { cancel(request, request.newestAttempt.number); }
    }

    /** Runs the module's actions in order, after the module has returned. */
    private void runActions() {
        if (runningActions) { return; }
        runningActions = true;
        try {
            for (Api.Action action; (action = actions.poll()) != null;) { runAction(action); }
        } finally {
            runningActions = false;
        }
    }

    private void runAction(Api.Action action) {
        if (action instanceof Api.Send a) {
            send(openRequests.get(a.id()), a);
        } else if (action instanceof Api.Refuse a) {
            Request request = openRequests.get(a.id());
            if (request != null) {
                counters.refusalsByReason[a.reason().ordinal()]++;
                if (a.reason().isLackOfCapacity()) { trace.refused(request, a.reason()); }
                responseStage.reject(request, a.retryAfterMs());
                cleanupStage.closeRequest(request);
            }
        } else if (action instanceof Api.Fail a) {
            Request request = openRequests.get(a.id());
            if (request != null) {
                trace.failed(request, "failed");
                responseStage.failed(request, "failed");
                cleanupStage.closeRequest(request);
            }
        } else if (action instanceof Api.Cancel a) {
            Request request = openRequests.get(a.id());
            if (request != null) { cancel(request, a.attempt()); }
        } else if (action instanceof Api.SetTimer a) {
            loop.deadlines().schedule(a.atMs(), () -> deliver(new Api.TimerFired(a.token())));
        } else if (action instanceof Api.Tell a) {
            counters.peerMessagesSent++;
            peerSender.send(a.to(), a.body());
        }
        // Subscribe needs no action: the service table is watched from the start.
    }

    private void send(Request request, Api.Send a) {
        if (request == null) { return; }
        if (routingStage.canSend(request, a.server(), loop.now())) {
            dispatchStage.send(request, a.server(), a.timeoutMs());
            reportDelay(request);
            return;
        }
        int number = request.attemptCount++;
        counters.attemptsByOutcome[Api.Outcome.NOT_SENT.ordinal()]++;
        decisionStage.deliver(new Api.AttemptDone(request.number, number, a.server(), Api.Outcome.NOT_SENT, 0, request.state.isOver(), 0,
                null));
    }

    /** The module counts an attempt as written at once unless told otherwise. Only plans with a ceiling need this. */
    private void reportDelay(Request request) {
        Attempt attempt = request.newestAttempt;
        if (!request.hasCeiling || attempt.isOver() || attempt.isWrittenImmediately()) { return; }
        attempt.delayReported = true;
        decisionStage.deliver(new Api.AttemptDelayed(request.number, attempt.number));
    }

    private void cancel(Request request, int number) {
        Attempt attempt = request.newestAttempt;
        if (attempt == null || attempt.isOver() || attempt.number != number) { return; }
        GiveUpReason reason = cancelReason(request);
        if (reason.endsBegunAnswer()) {
            abort(attempt, reason);
        } else {
            backends.onceInputIsHandled(() -> abort(attempt, reason)); // the first byte may lie unread while this process is held up
        }
    }

    private void abort(Attempt attempt, GiveUpReason reason) {
        if (attempt.isOver() || !attempt.giveUp(reason)) { return; }
        attempt.abort.run();
        loop.defer(() -> attemptEnded(attempt, Attempt.Result.of(Api.Outcome.CANCELLED)));
    }

    private static GiveUpReason cancelReason(Request request) {
        return switch (request.state.stage()) {
            case GONE -> GiveUpReason.CLIENT_LEFT;
            case ANSWERED -> GiveUpReason.REQUEST_TIME; // answered as failed at the deadline
            default -> GiveUpReason.HANGING;
        };
    }
}

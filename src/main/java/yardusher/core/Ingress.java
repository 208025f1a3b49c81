package yardusher.core;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import yardusher.Api;
import yardusher.Policy;

/**
 * The core: requests, attempts and outcomes, in a chain of stages around the decision module. It knows no
 * wire. All methods are called within loop.
 */
public final class Ingress implements Intake {
    /** After the deadline the module's own answer may still come this late; then the core ends it. */
    private static final double GRACE_MS = 8;

    private final Map<Long, Request> open = new HashMap<>();
    private final ArrayDeque<Api.Action> actions = new ArrayDeque<>();
    private final EventLoop loop;
    private final Api.Settings settings;
    private final Neighbours neighbours;
    private final Counters counters;
    private final OrderLog log;
    private final Policy module;
    private final TakeIn takeIn;
    private final Admit admit;
    private final Route route;
    private final Dispatch dispatch;
    private final Relay relay;
    private final Book book;
    private boolean acting;

    public Ingress(Api.Settings settings, long seed, EventLoop loop, Backends backends, Neighbours neighbours,
            Counters counters, OrderLog log) {
        this(settings, seed, loop.now(), loop, backends, neighbours, counters, log);
    }

    /** In a process that began at {@code bornMs}, when no other one of this ingress was there any more. */
    public Ingress(Api.Settings settings, long seed, double bornMs, EventLoop loop, Backends backends, Neighbours neighbours,
            Counters counters, OrderLog log) {
        this.log = log;
        this.settings = settings;
        this.loop = loop;
        this.neighbours = neighbours;
        this.counters = counters;
        counters.classes(settings.classes().size());
        module = new Policy(settings, seed, loop.now(), bornMs, actions::add);
        takeIn = new TakeIn(loop, settings.classes(), open, counters, this::gone);
        admit = new Admit(loop, module);
        route = new Route(backends, settings.limits().maxAttempts());
        dispatch = new Dispatch(loop, backends, counters, log, this::unrecorded, this::ended);
        relay = new Relay(counters, log);
        book = new Book(loop, open, counters, log);
        act();
    }

    public Api.Settings settings() { return settings; }

    public Counters counters() { return counters; }

    public String countersLine() { return counters.line(open.size()); }

    public int openCount() { return open.size(); }

    /** How many listed backends get no attempts now, kept out by hand or by choice. */
    public int avoided() { return module.countAvoided(loop.now()); }

    /** A front brings a request. Its terminal gets exactly one final answer. */
    @Override
    public Request take(Order order) {
        Request[] taken = new Request[1];
        Request t = takeIn.take(order, () -> overdue(taken[0]), GRACE_MS);
        taken[0] = t;
        t.hasCeiling = settings.plans().get(order.plan()).ceilingRatePerS() > 0;
        OrderLog.Admission admission = log.take(t);
        t.recorded = admission == OrderLog.Admission.RECORDED;
        if (admission == OrderLog.Admission.REFUSED) {
            relay.reject(t, Math.min(log.retryAfterMs(), settings.limits().maxRetryAfterMs()));
            book.close(t);
            return t;
        }
        try {
            admit.ask(t);
            act();
        } catch (RuntimeException e) {
            // Guards against a fault in one decision that leaves its terminal, and all behind it, unanswered.
            counters.faults++;
            relay.failed(t, "internal");
            book.close(t);
        }
        return t;
    }

    /** How a customer stands: asks the module only, takes nothing and reaches no backend. */
    public Api.QuotaStatus standing(long customer, int plan, double units, int first, int spread) {
        counters.lookups++;
        return module.quotaStatus(loop.now(), customer, plan, units, first, spread);
    }

    /** The terminal left: nothing more is owed. */
    private void gone(Request t) {
        if (!t.course.leave()) { return; }
        counters.clientsGone++;
        if (t.recorded) { log.answered(t, OrderLog.Answer.GONE); }
        release(t);
    }

    /** An attempt ended, as the backends' side saw it. */
    public void ended(Attempt attempt, Attempt.Result result) {
        if (!attempt.request.course.end(attempt.number, result.outcome())) { return; }
        // An answer proves that it was written whole, also where it is read before the write's own end is told.
        boolean answered = result.outcome() == Api.Outcome.SERVED || result.outcome() == Api.Outcome.SERVER_ERROR;
        counters.largeOpen -= attempt.beganMs >= 0 ? 1 : 0;
        if (answered && attempt.mayHaveGone() || result.outcome() == Api.Outcome.REJECTED) { forwarded(attempt); }
        book.attempt(attempt, result);
        Request t = attempt.request;
        if (result.outcome() == Api.Outcome.SERVED) { relay.served(t, result.value()); }
        if (t.course.stage() == Course.Stage.PASSING) { relay.broken(t); } // no other attempt may follow a part
        boolean finished = t.course.isOver();
        if (finished) { book.close(t); }
        admit.tell(new Api.AttemptDone(t.number, attempt.number, attempt.backend, result.outcome(),
                attempt.beganMs >= 0 ? attempt.beganMs : loop.now() - attempt.sentAt, finished, 0, result.load()));
        act();
    }

    /**
     * A backend begins to answer with a value too large to be held: from here on it is its terminal's, and no deadline
     * cuts it off. Null where nobody takes it.
     */
    public Flow begin(Attempt attempt, long length) {
        Request t = attempt.request;
        if (t.course.stage() != Course.Stage.OPEN || !t.course.isHanded(attempt.number)) { return null; }
        Flow flow = t.order.terminal().begin(length);
        if (flow == null) { return null; }
        t.course.pass(attempt.number);
        t.flow = flow;
        counters.large++;
        counters.largeMost = Math.max(counters.largeMost, ++counters.largeOpen);
        attempt.beganMs = loop.now() - attempt.sentAt;
        loop.deadlines().cancel(attempt.timeOut);
        loop.deadlines().cancel(t.lastCall);
        forwarded(attempt);
        tell(new Api.FirstByte(t.number, attempt.number, attempt.backend));
        return flow;
    }

    /** The socket has taken an attempt's last byte. */
    public void written(Attempt attempt) {
        forwarded(attempt);
        if (attempt.request.recorded && !attempt.isOver()) { log.written(attempt); }
    }

    private void forwarded(Attempt attempt) {
        counters.forwards += attempt.forwarded ? 0 : 1;
        if (attempt.delayed && !attempt.forwarded) { admit.tell(new Api.AttemptWritten(attempt.request.number, attempt.number)); }
        attempt.forwarded = true;
    }

    /** An intent could not be recorded: what is not recorded is not sent, and is given up at once. */
    private void unrecorded(Request t) {
        if (t.course.mayHaveRunBefore()) {
            relay.failed(t, "no record can be made");
        } else {
            relay.reject(t, Math.min(log.retryAfterMs(), settings.limits().maxRetryAfterMs()));
        }
        ended(t.attempt, Attempt.Result.of(Api.Outcome.NOT_SENT));
    }

    /** The service table changed, or another ingress spoke. */
    public void tell(Api.Event event) {
        admit.tell(event);
        act();
    }

    private void overdue(Request t) {
        if (t.course.isOver()) { return; }
        relay.failed(t, "deadline passed");
        release(t);
    }

    /** Nothing is owed any more; an attempt still out is given up by the module. */
    private void release(Request t) {
        book.close(t);
        admit.tell(new Api.ClientGone(t.number));
        act();
        if (t.attempt != null && !t.attempt.isOver()) { cancel(t, t.attempt.number); }
    }

    /** Actions run after the module has returned, in the order in which it gave them. */
    private void act() {
        if (acting) { return; }
        acting = true;
        try {
            for (Api.Action action; (action = actions.poll()) != null;) { act(action); }
        } finally {
            acting = false;
        }
    }

    private void act(Api.Action action) {
        if (action instanceof Api.Send a) {
            send(open.get(a.id()), a);
        } else if (action instanceof Api.Refuse a) {
            Request t = open.get(a.id());
            if (t != null) {
                counters.reasons[a.reason().ordinal()]++;
                relay.reject(t, a.retryAfterMs());
                book.close(t);
            }
        } else if (action instanceof Api.Fail a) {
            Request t = open.get(a.id());
            if (t != null) {
                relay.failed(t, "failed");
                book.close(t);
            }
        } else if (action instanceof Api.Cancel a) {
            Request t = open.get(a.id());
            if (t != null) { cancel(t, a.attempt()); }
        } else if (action instanceof Api.SetTimer a) {
            loop.deadlines().at(a.atMs(), () -> tell(new Api.TimerFired(a.token())));
        } else if (action instanceof Api.Tell a) {
            counters.peerOut++;
            neighbours.tell(a.to(), a.body());
        }
        // Subscribe asks for nothing: the service table is watched from the start.
    }

    private void send(Request t, Api.Send a) {
        if (t == null) { return; }
        if (route.open(t, a.server(), loop.now())) {
            dispatch.send(t, a.server(), a.timeoutMs());
            tellDelay(t);
            return;
        }
        int number = t.attempts++;
        counters.outcomes[Api.Outcome.NOT_SENT.ordinal()]++;
        admit.tell(new Api.AttemptDone(t.number, number, a.server(), Api.Outcome.NOT_SENT, 0, t.course.isOver(), 0,
                null));
    }

    /** The module counts an attempt as written at once, unless it is told otherwise; only ceilings ask for this. */
    private void tellDelay(Request t) {
        Attempt attempt = t.attempt;
        if (!t.hasCeiling || attempt.isOver() || attempt.isWrittenAtOnce()) { return; }
        attempt.delayed = true;
        admit.tell(new Api.AttemptDelayed(t.number, attempt.number));
    }

    private void cancel(Request t, int number) {
        Attempt attempt = t.attempt;
        if (attempt == null || attempt.isOver() || attempt.number != number) { return; }
        attempt.giveUp.run();
        loop.afterwards(() -> ended(attempt, Attempt.Result.of(Api.Outcome.CANCELLED)));
    }
}

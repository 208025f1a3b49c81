package yardusher.core;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import yardusher.Api;
import yardusher.Policy;

/**
 * The core: transactions, attempts and outcomes, in a chain of stages around the decision module. It knows no
 * wire. All methods are called within turns.
 */
public final class Ingress implements Intake {
    /** After the deadline the module's own answer may still come this late; then the core ends it. */
    private static final double GRACE_MS = 8;

    private final Map<Long, Transaction> open = new HashMap<>();
    private final ArrayDeque<Api.Action> actions = new ArrayDeque<>();
    private final Turns turns;
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

    public Ingress(Api.Settings settings, long seed, Turns turns, Regions regions, Neighbours neighbours,
            Counters counters, OrderLog log) {
        this.log = log;
        this.settings = settings;
        this.turns = turns;
        this.neighbours = neighbours;
        this.counters = counters;
        counters.classes(settings.classes().size());
        module = new Policy(settings, seed, turns.now(), actions::add);
        takeIn = new TakeIn(turns, open, counters, this::gone);
        admit = new Admit(turns, module);
        route = new Route(regions, settings.limits().maxAttempts());
        dispatch = new Dispatch(turns, regions, counters, log, this::unrecorded, this::ended);
        relay = new Relay(counters, log);
        book = new Book(turns, open, counters, log);
        act();
    }

    public Api.Settings settings() { return settings; }

    public Counters counters() { return counters; }

    public String countersLine() { return counters.line(open.size()); }

    public int openCount() { return open.size(); }

    /** How many listed regions get no attempts now, kept out by hand or by choice. */
    public int avoided() { return module.avoided(turns.now()); }

    /** A front brings a transaction. Its terminal gets exactly one final answer. */
    @Override
    public Transaction take(Order order) {
        Transaction[] taken = new Transaction[1];
        Transaction t = takeIn.take(order, () -> overdue(taken[0]), GRACE_MS);
        taken[0] = t;
        OrderLog.Admission admission = log.take(t);
        t.recorded = admission == OrderLog.Admission.RECORDED;
        if (admission == OrderLog.Admission.REFUSED) {
            relay.shortOnCapacity(t, Math.min(log.retryAfterMs(), settings.limits().maxRetryAfterMs()));
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

    /** How a customer stands: asks the module only, takes nothing and reaches no region. */
    public Api.Standing standing(long customer, int plan, double units, int first, int spread) {
        counters.lookups++;
        return module.standing(turns.now(), customer, plan, units, first, spread);
    }

    /** The terminal left: nothing more is owed. */
    private void gone(Transaction t) {
        if (t.answered || t.gone) { return; }
        t.gone = true;
        counters.clientsGone++;
        if (t.recorded) { log.answered(t, OrderLog.Answer.GONE); }
        release(t);
    }

    /** An attempt ended, as the regions' side saw it. */
    public void ended(Attempt attempt, Attempt.Result result) {
        if (attempt.over) { return; }
        // An answer proves that it was written whole, also where it is read before the write's own end is told.
        boolean answered = result.outcome() == Api.Outcome.SERVED || result.outcome() == Api.Outcome.SERVER_ERROR;
        counters.largeOpen -= attempt.beganMs >= 0 ? 1 : 0;
        if (answered && attempt.written || result.outcome() == Api.Outcome.REJECTED) { forwarded(attempt); }
        book.attempt(attempt, result);
        Transaction t = attempt.transaction;
        if (result.outcome() == Api.Outcome.SERVED) { relay.served(t, result.value()); }
        if (t.flow != null) { relay.broken(t); }     // nothing where it was served; no other attempt may follow a part
        boolean finished = t.answered || t.gone;
        if (finished) { book.close(t); }
        admit.tell(new Api.AttemptDone(t.number, attempt.number, attempt.region, result.outcome(),
                attempt.beganMs >= 0 ? attempt.beganMs : turns.now() - attempt.sentAt, finished, 0, result.load()));
        act();
    }

    /**
     * A region begins to answer with a value too large to be held: from here on it is its terminal's, and no deadline
     * cuts it off. Null where nobody takes it.
     */
    public Flow begin(Attempt attempt, long length) {
        Transaction t = attempt.transaction;
        if (attempt.over || attempt.beganMs >= 0 || t.answered || t.gone) { return null; }
        Flow flow = t.order.terminal().begin(length);
        if (flow == null) { return null; }
        t.flow = flow;
        counters.large++;
        counters.largeMost = Math.max(counters.largeMost, ++counters.largeOpen);
        attempt.beganMs = turns.now() - attempt.sentAt;
        turns.deadlines().cancel(attempt.timeOut);
        turns.deadlines().cancel(t.lastCall);
        forwarded(attempt);
        tell(new Api.FirstByte(t.number, attempt.number, attempt.region));
        return flow;
    }

    /** The socket has taken an attempt's last byte. */
    public void written(Attempt attempt) {
        forwarded(attempt);
        if (attempt.transaction.recorded && !attempt.over) { log.written(attempt); }
    }

    private void forwarded(Attempt attempt) {
        counters.forwards += attempt.forwarded ? 0 : 1;
        attempt.forwarded = true;
    }

    /** An intent could not be recorded: what is not recorded is not sent, and is given up at once. */
    private void unrecorded(Transaction t) {
        if (t.mayHaveRun) {
            relay.failed(t, "no record can be made");
        } else {
            relay.shortOnCapacity(t, Math.min(log.retryAfterMs(), settings.limits().maxRetryAfterMs()));
        }
        ended(t.attempt, Attempt.Result.of(Api.Outcome.NOT_SENT));
    }

    /** The service table changed, or another ingress spoke. */
    public void tell(Api.Event event) {
        admit.tell(event);
        act();
    }

    private void overdue(Transaction t) {
        if (t.answered || t.gone) { return; }
        relay.failed(t, "deadline passed");
        release(t);
    }

    /** Nothing is owed any more; an attempt still out is given up by the module. */
    private void release(Transaction t) {
        book.close(t);
        admit.tell(new Api.ClientGone(t.number));
        act();
        if (t.attempt != null && !t.attempt.over) { cancel(t, t.attempt.number); }
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
            Transaction t = open.get(a.id());
            if (t != null) {
                counters.reasons[a.reason().ordinal()]++;
                relay.shortOnCapacity(t, a.retryAfterMs());
                book.close(t);
            }
        } else if (action instanceof Api.Fail a) {
            Transaction t = open.get(a.id());
            if (t != null) {
                relay.failed(t, "failed");
                book.close(t);
            }
        } else if (action instanceof Api.Cancel a) {
            Transaction t = open.get(a.id());
            if (t != null) { cancel(t, a.attempt()); }
        } else if (action instanceof Api.SetTimer a) {
            turns.deadlines().at(a.atMs(), () -> tell(new Api.TimerFired(a.token())));
        } else if (action instanceof Api.Tell a) {
            counters.peerOut++;
            neighbours.tell(a.to(), a.body());
        }
        // Subscribe asks for nothing: the service table is watched from the start.
    }

    private void send(Transaction t, Api.Send a) {
        if (t == null) { return; }
        if (route.open(t, a.server(), turns.now())) {
            dispatch.send(t, a.server(), a.timeoutMs());
            return;
        }
        int number = t.attempts++;
        counters.outcomes[Api.Outcome.NOT_SENT.ordinal()]++;
        admit.tell(new Api.AttemptDone(t.number, number, a.server(), Api.Outcome.NOT_SENT, 0, t.answered || t.gone, 0,
                null));
    }

    private void cancel(Transaction t, int number) {
        Attempt attempt = t.attempt;
        if (attempt == null || attempt.over || attempt.number != number) { return; }
        attempt.giveUp.run();
        turns.afterwards(() -> ended(attempt, Attempt.Result.of(Api.Outcome.CANCELLED)));
    }
}

package yardusher.units;

import java.util.IdentityHashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.ToIntFunction;
import yardusher.Api;
import yardusher.core.Attempt;
import yardusher.core.Cargo;
import yardusher.core.OrderLog;
import yardusher.core.Request;

/**
 * A request log that follows the attempts of parts and makes the last check before one is sent: the part must be granted and not
 * answered yet, and the region must match the unit's binding and the earlier attempts. Requests that are no parts pass unchanged to
 * the log behind this one.
 */
final class UnitLog implements OrderLog {
    private final OrderLog inner;
    private final Map<Cargo, Asked> running = new IdentityHashMap<>();
    private ToIntFunction<Long> zones = region -> -1; // a region's zone, -1 where it is not listed
    private Consumer<Asked> settles = asked -> { };
    private double settleMs;
    long held;                                       // attempts that were not sent

    UnitLog(OrderLog inner) { this.inner = inner; }

    void join(ToIntFunction<Long> zonesOf, Consumer<Asked> then) {
        zones = zonesOf;
        settles = then;
    }

    void settleMs(double ms) { settleMs = ms; }

    void runs(Asked asked) { running.put(asked.order.cargo(), asked); }

    void over(Asked asked) { running.remove(asked.order.cargo(), asked); }

    int runningCount() { return running.size(); }

    private Asked of(Request transaction) { return running.isEmpty() ? null : running.get(transaction.order.cargo()); }

    @Override
    public Admission take(Request transaction) {
        Admission admission = inner.take(transaction);
        Asked asked = of(transaction);
        if (asked == null || admission == Admission.REFUSED) { return admission; }
        asked.recorded = admission == Admission.RECORDED;
        return Admission.RECORDED;
    }

    @Override
    public void intend(Attempt attempt, Consumer<Boolean> then) {
        Asked asked = of(attempt.request);
        if (asked == null) {
            inner.intend(attempt, then);
            return;
        }
        asked.out++;
        asked.letOut = false;
        Consumer<Boolean> look = may -> {
            int zone = zones.applyAsInt(attempt.backend);
            boolean goes = may && fits(asked, attempt.backend, zone);
            asked.outZone = zone;                    // noted now: the region may be unlisted when the attempt ends
            if (may && !goes) { held++; }
            asked.letOut = goes && !attempt.isOver();
            then.accept(goes);
        };
        if (asked.recorded) { inner.intend(attempt, look); } else { look.accept(true); }
    }

    private static boolean fits(Asked asked, long region, int zone) {
        return asked.stage == Asked.Stage.RUNS && !asked.answered && zone >= 0 && (asked.server < 0 || asked.server == region)
                && (asked.zone < 0 || asked.zone == zone);
    }

    @Override
    public void written(Attempt attempt) {
        Asked asked = of(attempt.request);
        if (asked == null || asked.recorded) { inner.written(attempt); }
    }

    @Override
    public void ended(Attempt attempt, Api.Outcome outcome) {
        Asked asked = of(attempt.request);
        if (asked == null) {
            inner.ended(attempt, outcome);
            return;
        }
        if (asked.recorded) { inner.ended(attempt, outcome); }
        asked.out--;
        boolean ran = asked.letOut && !outcome.neverRan();
        if (ran) {
            asked.mayHaveRun |= outcome != Api.Outcome.SERVED;
            if (asked.toRegion) { asked.server = attempt.backend; } else { asked.zone = asked.outZone; }
            boolean heard = outcome == Api.Outcome.SERVED || outcome == Api.Outcome.SERVER_ERROR;
            if (!heard) { asked.looseUntil = Math.max(asked.looseUntil, attempt.sentAt + attempt.waitMs + settleMs); }
        }
        settles.accept(asked);
    }

    @Override
    public void answered(Request transaction, Answer answer) {
        Asked asked = of(transaction);
        if (asked == null || asked.recorded) { inner.answered(transaction, answer); }
    }

    @Override
    public double retryAfterMs() { return inner.retryAfterMs(); }
}

package yardusher.units;

import java.util.IdentityHashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.ToIntFunction;
import yardusher.Api;
import yardusher.core.Attempt;
import yardusher.core.BackendCommand;
import yardusher.core.RequestLog;
import yardusher.core.Request;

/**
 * Sees the attempts of parts go out and end, and is the last look before one goes: it has to be granted, its unit not over,
 * and the region must fit the unit's binding and the attempts before. What is not a part goes on to the log behind this one
 * as it came.
 */
final class UnitLog implements RequestLog {
    private final RequestLog inner;
    private final Map<BackendCommand, Asked> running = new IdentityHashMap<>();
    private ToIntFunction<Long> zones = region -> -1; // a region's zone, -1 where it is not listed
    private Consumer<Asked> settles = asked -> { };
    private double settleMs;
    long held;                                       // attempts that were not let out

    UnitLog(RequestLog inner) { this.inner = inner; }

    void join(ToIntFunction<Long> zonesOf, Consumer<Asked> then) {
        zones = zonesOf;
        settles = then;
    }

    void settleMs(double ms) { settleMs = ms; }

    void runs(Asked asked) { running.put(asked.order.command(), asked); }

    void over(Asked asked) { running.remove(asked.order.command(), asked); }

    int runningCount() { return running.size(); }

    private Asked of(Request transaction) { return running.isEmpty() ? null : running.get(transaction.incoming.command()); }

    @Override
    public Admission admit(Request transaction) {
        Admission admission = inner.admit(transaction);
        Asked asked = of(transaction);
        if (asked == null || admission == Admission.REFUSED) { return admission; }
        asked.recorded = admission == Admission.RECORDED;
        return Admission.RECORDED;
    }

    @Override
    public void recordIntent(Attempt attempt, Consumer<Boolean> then) {
        Asked asked = of(attempt.request);
        if (asked == null) {
            inner.recordIntent(attempt, then);
            return;
        }
        asked.out++;
        asked.letOut = false;
        Consumer<Boolean> look = may -> {
            int zone = zones.applyAsInt(attempt.backend);
            boolean goes = may && fits(asked, attempt.backend, zone);
            asked.outZone = zone;                    // by its end it may be listed no more
            if (may && !goes) { held++; }
            asked.letOut = goes && !attempt.isOver();
            then.accept(goes);
        };
        if (asked.recorded) { inner.recordIntent(attempt, look); } else { look.accept(true); }
    }

    private static boolean fits(Asked asked, long region, int zone) {
        return asked.stage == Asked.Stage.RUNS && !asked.answered && zone >= 0 && (asked.server < 0 || asked.server == region)
                && (asked.zone < 0 || asked.zone == zone);
    }

    @Override
    public void attemptWritten(Attempt attempt) {
        Asked asked = of(attempt.request);
        if (asked == null || asked.recorded) { inner.attemptWritten(attempt); }
    }

    @Override
    public void attemptEnded(Attempt attempt, Api.Outcome outcome) {
        Asked asked = of(attempt.request);
        if (asked == null) {
            inner.attemptEnded(attempt, outcome);
            return;
        }
        if (asked.recorded) { inner.attemptEnded(attempt, outcome); }
        asked.out--;
        boolean ran = asked.letOut && !outcome.neverRan();
        if (ran) {
            asked.mayHaveRun |= outcome != Api.Outcome.SERVED;
            if (asked.toRegion) { asked.server = attempt.backend; } else { asked.zone = asked.outZone; }
            boolean heard = outcome == Api.Outcome.SERVED || outcome == Api.Outcome.SERVER_ERROR;
            if (!heard) { asked.looseUntil = Math.max(asked.looseUntil, attempt.sentAtMs + attempt.waitMs + settleMs); }
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

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
final class UnitRequestLog implements RequestLog {
    private final RequestLog inner;
    private final Map<BackendCommand, UnitRequest> running = new IdentityHashMap<>();
    private ToIntFunction<Long> zoneOfRegion = region -> -1; // a region's zone, -1 where it is not listed
    private Consumer<UnitRequest> onSettled = asked -> { };
    private double settleMs;
    long blockedAttempts;                                       // attempts that were not let out

    UnitRequestLog(RequestLog inner) { this.inner = inner; }

    void connect(ToIntFunction<Long> newZoneOfRegion, Consumer<UnitRequest> newOnSettled) {
        zoneOfRegion = newZoneOfRegion;
        onSettled = newOnSettled;
    }

    void setSettleMs(double ms) { settleMs = ms; }

    void add(UnitRequest part) { running.put(part.clientRequest.command(), part); }

    void remove(UnitRequest part) { running.remove(part.clientRequest.command(), part); }

    int runningCount() { return running.size(); }

    private UnitRequest find(Request request) { return running.isEmpty() ? null : running.get(request.incoming.command()); }

    @Override
    public Admission admit(Request transaction) {
        Admission admission = inner.admit(transaction);
        UnitRequest asked = find(transaction);
        if (asked == null || admission == Admission.REFUSED) { return admission; }
        asked.recorded = admission == Admission.RECORDED;
        return Admission.RECORDED;
    }

    @Override
    public void recordIntent(Attempt attempt, Consumer<Boolean> then) {
        UnitRequest asked = find(attempt.request);
        if (asked == null) {
            inner.recordIntent(attempt, then);
            return;
        }
        asked.openAttempts++;
        asked.attemptReleased = false;
        Consumer<Boolean> look = may -> {
            int zone = zoneOfRegion.applyAsInt(attempt.backend);
            boolean goes = may && mayGo(asked, attempt.backend, zone);
            asked.attemptZone = zone;                    // by its end it may be listed no more
            if (may && !goes) { blockedAttempts++; }
            asked.attemptReleased = goes && !attempt.isOver();
            then.accept(goes);
        };
        if (asked.recorded) { inner.recordIntent(attempt, look); } else { look.accept(true); }
    }

    private static boolean mayGo(UnitRequest part, long region, int zone) {
        return part.stage == UnitRequest.Stage.RUNNING && !part.answered && zone >= 0 && (part.region < 0 || part.region == region)
                && (part.zone < 0 || part.zone == zone);
    }

    @Override
    public void attemptWritten(Attempt attempt) {
        UnitRequest asked = find(attempt.request);
        if (asked == null || asked.recorded) { inner.attemptWritten(attempt); }
    }

    @Override
    public void attemptEnded(Attempt attempt, Api.Outcome outcome) {
        UnitRequest asked = find(attempt.request);
        if (asked == null) {
            inner.attemptEnded(attempt, outcome);
            return;
        }
        if (asked.recorded) { inner.attemptEnded(attempt, outcome); }
        asked.openAttempts--;
        boolean ran = asked.attemptReleased && !outcome.neverRan();
        if (ran) {
            asked.mayHaveRun |= outcome != Api.Outcome.SERVED;
            if (asked.bindsToRegion) { asked.region = attempt.backend; } else { asked.zone = asked.attemptZone; }
            boolean heard = outcome == Api.Outcome.SERVED || outcome == Api.Outcome.SERVER_ERROR;
            if (!heard) { asked.mayRunUntilMs = Math.max(asked.mayRunUntilMs, attempt.sentAtMs + attempt.waitMs + settleMs); }
        }
        onSettled.accept(asked);
    }

    @Override
    public void answered(Request request, Answer answer) {
        UnitRequest part = find(request);
        if (part == null || part.recorded) { inner.answered(request, answer); }
    }

    @Override
    public double retryAfterMs() { return inner.retryAfterMs(); }
}

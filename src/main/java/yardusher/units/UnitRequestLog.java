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
    public Admission admit(Request request) {
        Admission admission = inner.admit(request);
        UnitRequest part = find(request);
        if (part == null || admission == Admission.REFUSED) { return admission; }
        part.recorded = admission == Admission.RECORDED;
        return Admission.RECORDED;
    }

    @Override
    public void recordIntent(Attempt attempt, Consumer<Boolean> then) {
        UnitRequest part = find(attempt.request);
        if (part == null) {
            inner.recordIntent(attempt, then);
            return;
        }
        part.openAttempts++;
        part.attemptReleased = false;
        Consumer<Boolean> check = recorded -> {
            int zone = zoneOfRegion.applyAsInt(attempt.backend);
            boolean released = recorded && mayGo(part, attempt.backend, zone);
            part.attemptZone = zone;                    // by its end it may be listed no more
            if (recorded && !released) { blockedAttempts++; }
            part.attemptReleased = released && !attempt.isOver();
            then.accept(released);
        };
        if (part.recorded) { inner.recordIntent(attempt, check); } else { check.accept(true); }
    }

    private static boolean mayGo(UnitRequest part, long region, int zone) {
        return part.stage == UnitRequest.Stage.RUNNING && !part.answered && zone >= 0 && (part.region < 0 || part.region == region)
                && (part.zone < 0 || part.zone == zone);
    }

    @Override
    public void attemptWritten(Attempt attempt) {
        UnitRequest part = find(attempt.request);
        if (part == null || part.recorded) { inner.attemptWritten(attempt); }
    }

    @Override
    public void attemptEnded(Attempt attempt, Api.Outcome outcome) {
        UnitRequest part = find(attempt.request);
        if (part == null) {
            inner.attemptEnded(attempt, outcome);
            return;
        }
        if (part.recorded) { inner.attemptEnded(attempt, outcome); }
        part.openAttempts--;
        boolean mayHaveRun = part.attemptReleased && !outcome.neverRan();
        if (mayHaveRun) {
            part.mayHaveRun |= outcome != Api.Outcome.SERVED;
            if (part.bindsToRegion) { part.region = attempt.backend; } else { part.zone = part.attemptZone; }
            boolean answered = outcome == Api.Outcome.SERVED || outcome == Api.Outcome.SERVER_ERROR;
            if (!answered) { part.mayRunUntilMs = Math.max(part.mayRunUntilMs, attempt.sentAtMs + attempt.waitMs + settleMs); }
        }
        onSettled.accept(part);
    }

    @Override
    public void answered(Request request, Answer answer) {
        UnitRequest part = find(request);
        if (part == null || part.recorded) { inner.answered(request, answer); }
    }

    @Override
    public double retryAfterMs() { return inner.retryAfterMs(); }
}

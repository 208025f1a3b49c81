package yardusher.lab.faults;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import yardusher.lab.Region;
import yardusher.lab.faults.FaultRequest.End;
import yardusher.lab.faults.FaultRequest.RequestClass;
import yardusher.lab.oracle.Oracle;

/** Holds the rules of the protocol page against what clients and backends recorded; each breach names rule, request and instance. */
public final class FaultChecker {
    /** A request that an ingress had not read may cross the end of its connection; it then ends this soon. */
    private static final double CROSSING_MS = 20;
    /** By the protocol page, for time limits on sockets: an ingress counts from the earliest time at which a command may have arrived. */
    private static final double SOCKET_SLACK_MS = 50;
    private static final double TOLD_SLACK_MS = 150;
    private static final double AFTER_END_MS = 100;
    private static final double KILL_SLACK_MS = 100;

    /** A process that was killed: what it had taken before, and not answered, is nobody's fault. */
    private record Kill(int ingress, double atMs) { }

    private final Map<String, List<Region.Event>> begunById = new HashMap<>();

    private final Map<String, List<Region.Event>> cutById = new HashMap<>(); // answers that had begun when their connection ended

    private final HeldUpTimes heldUp;
    private final List<Kill> kills = new ArrayList<>();

    public FaultChecker(List<Region.Event> regionHistory, HeldUpTimes heldUp) {
        this.heldUp = heldUp;
        for (Region.Event event : regionHistory) {
            if (event.what().equals("begin")) { begunById.computeIfAbsent(event.word(2), id -> new ArrayList<>()).add(event); }
            if (event.what().equals("cut")) { cutById.computeIfAbsent(event.word(2), id -> new ArrayList<>()).add(event); }
        }
    }

    /** An ingress was killed then, no sooner than the protocol page allows. */
    public void killed(int ingress, double atMs) { kills.add(new Kill(ingress, atMs)); }

    private boolean isKilled(FaultRequest request) {
        return kills.stream().anyMatch(kill -> kill.ingress == request.ingress() && Math.abs(request.endedMs() - kill.atMs) < KILL_SLACK_MS);
    }

    /**
     * {@code closesAllowed}: the ingress was told to end, so that connections may close between requests. {@code valuesMayBreak}:
     * backends crashed, so that a value that had begun may end early.
     */
    public List<String> breaches(List<FaultRequest> requests, boolean closesAllowed, boolean valuesMayBreak) {
        List<String> breaches = new ArrayList<>();
        for (FaultRequest request : requests) {
            List<Region.Event> begun = begunById.getOrDefault(request.id(), List.of());
            switch (request.end()) {
                case LOST -> {
                    if (!isBehindBrokenValue(request, valuesMayBreak) && !(closesAllowed && isCrossing(request, begun))) { breaches.add("lost: " + request); }
                }
                case TRUNCATED -> {
                    boolean timeOver = cutById.containsKey(request.id()) && request.endedMs() >= request.sentMs() + request.waitMs();
                    boolean isAllowed = timeOver && FaultClient.Values.lengthOf(request.id()) <= Oracle.MAX_TIMED_TO_END_BYTES || isKilled(request);
                    if (!valuesMayBreak && !isAllowed) { breaches.add("lost in its value: " + request); }
                }
                case SILENT -> breaches.add("no final answer: " + request);
                case CORRUPT -> breaches.add("a value that no backend made: " + request);
                default -> { }
            }
            if (request.requestClass() == RequestClass.BOOK_ONCE && begun.size() > 1) { breaches.add("run " + begun.size() + " times: " + request); }
            for (Region.Event attempt : begun) { checkAttempt(request, attempt, breaches); }
            for (Region.Event cut : cutById.getOrDefault(request.id(), List.of())) {
                if (!isBehindBrokenValue(request, valuesMayBreak)) { checkCut(request, cut, breaches); }
            }
        }
        return breaches;
    }

    /** Its connection ended with a value before it that a backend had broken off; so its client has left. */
    private static boolean isBehindBrokenValue(FaultRequest request, boolean valuesMayBreak) {
        return valuesMayBreak && request.answer().equals(FaultClient.BEHIND_BROKEN_VALUE);
    }

    /** An answer that has begun is given up only once its request's time is over, or its client has left. */
    private static void checkCut(FaultRequest request, Region.Event cut, List<String> breaches) {
        boolean timeOver = cut.atMs() >= request.sentMs() + request.waitMs() - SOCKET_SLACK_MS;
        if (!timeOver && request.end() != End.UNSENT) { breaches.add("answer cut off after " + Math.round(cut.atMs() - request.sentMs()) + " ms: " + request); }
    }

    private boolean isCrossing(FaultRequest request, List<Region.Event> begun) {
        double stoodMs = heldUp.between(request.ingress(), request.sentMs(), request.endedMs());
        return request.end() == End.LOST && begun.isEmpty() && request.endedMs() - request.sentMs() < CROSSING_MS + stoodMs;
    }

    private void checkAttempt(FaultRequest request, Region.Event attempt, List<String> breaches) {
        // What a process cannot see: the time in which it did not run.
        double stoodMs = heldUp.between(request.ingress(), request.sentMs(), attempt.arrivedFromMs());
        double leftMs = request.sentMs() + request.waitMs() - attempt.arrivedFromMs() + stoodMs;
        if (Double.parseDouble(attempt.value("d")) > leftMs + TOLD_SLACK_MS) {
            breaches.add("told " + attempt.value("d") + " ms of " + Math.round(leftMs) + ": " + request);
        }
        if (request.end() != End.UNSENT && attempt.arrivedFromMs() > request.endedMs() + AFTER_END_MS + stoodMs) { breaches.add("sent after its end: " + request); }
    }

    /** How many requests ended so. */
    public static long count(List<FaultRequest> requests, End end) { return requests.stream().filter(request -> request.end() == end).count(); }
}

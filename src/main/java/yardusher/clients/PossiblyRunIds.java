package yardusher.clients;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The ids of requests that must not run twice, may have run, and got no answer since their connection ended: a client may send such a
 * request once more. Times are in milliseconds of one clock that never goes back.
 */
final class PossiblyRunIds {
    /** Longer than any request is out. */
    static final double KEPT_MS = 60_000;
    /** Beyond it the oldest are forgotten. */
    static final int MAX_IDS = 4096;

    private final Map<Long, Double> endedAtMs = new LinkedHashMap<>();

    void add(long id, double nowMs) {
        endedAtMs.remove(id);                        // moves it to the newest end
        endedAtMs.put(id, nowMs);
        if (endedAtMs.size() > MAX_IDS) { endedAtMs.remove(endedAtMs.keySet().iterator().next()); }
    }

    boolean contains(long id, double nowMs) {
        Double endedMs = endedAtMs.get(id);
        return endedMs != null && nowMs - endedMs < KEPT_MS;
    }
}

package yardusher.lab.view;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import yardusher.view.View.State;

/**
 * The rules of the view, over what each observer came to hold and when. Nobody who runs is held to be gone, but in and shortly
 * after trouble that the run has told of; an incarnation never falls; who left or was replaced is never there again; and once
 * all is calm everyone holds the same, which is what is true.
 */
final class ViewChecker {
    /** What an observer holds of one name. */
    record TableRecord(long instanceId, long incarnation, State state) { }

    /** One change at an observer, by number. */
    record Change(double atMs, int observer, String name, TableRecord record) { }

    private record FaultPeriod(double fromMs, double toMs) { }

    private static final int MAX_REPORTED = 20;

    private final double graceMs;
    private final Map<Integer, Map<String, TableRecord>> tables = new HashMap<>();
    private final Map<Integer, Map<String, Set<Long>>> endedInstances = new HashMap<>();  // lives that left or were replaced, by observer and name
    private final Map<Integer, String> observerNames = new HashMap<>();
    private final Map<Long, Double> endedAtMs = new HashMap<>();
    private final Map<String, List<FaultPeriod>> faults = new HashMap<>();
    private final List<Change> goneDeclarations = new ArrayList<>();
    private final List<Change> suspicions = new ArrayList<>();
    private final List<String> breaches = new ArrayList<>();
    private long changeCount;

    /** {@code graceMs}: for how long after its trouble somebody may still be held to be gone. */
    ViewChecker(double graceMs) { this.graceMs = graceMs; }

    /** Takes a change in. */
    void recordChange(double atMs, int observer, String name, long instanceId, long incarnation, State state) {
        changeCount++;
        TableRecord record = new TableRecord(instanceId, incarnation, state);
        TableRecord previous = tables.computeIfAbsent(observer, none -> new HashMap<>()).put(name, record);
        Set<Long> ended = endedInstances.computeIfAbsent(observer, none -> new HashMap<>()).computeIfAbsent(name, none -> new HashSet<>());
        boolean active = state == State.ALIVE || state == State.SUSPECT;
        if (previous != null && incarnation < previous.incarnation()) {
            addBreach(atMs, observer, name + " fell from incarnation " + previous.incarnation() + " to " + incarnation);
        }
        if (active && ended.contains(instanceId)) { addBreach(atMs, observer, name + " is there again in a life that left or was replaced"); }
        if (previous != null && previous.instanceId() != instanceId) { ended.add(previous.instanceId()); }
        if (state == State.LEFT) { ended.add(instanceId); }
        Change change = new Change(atMs, observer, name, record);
        if (state == State.GONE && (previous == null || previous.state() != State.GONE || previous.instanceId() != instanceId)) { goneDeclarations.add(change); }
        if (state == State.SUSPECT && (previous == null || previous.state() == State.ALIVE)) { suspicions.add(change); }
    }

    /** That observer is the process of that name: in its own trouble, and when it reads what came meanwhile, it may be wrong. */
    void setObserverName(int observer, String name) { observerNames.put(observer, name); }

    /** The process of that life ended, for whatever cause. */
    void recordEnd(double atMs, long instanceId) { endedAtMs.putIfAbsent(instanceId, atMs); }

    /** That name's process could not be heard, or could not hear, for longer than is promised to be borne. */
    void recordFault(String name, double fromMs, double toMs) { faults.computeIfAbsent(name, none -> new ArrayList<>()).add(new FaultPeriod(fromMs, toMs)); }

    /** {@code truth}: the life of each name that runs and takes part; {@code observers}: who of them holds what, and the digest. */
    void checkAgreement(double atMs, Map<String, Long> truth, Map<Integer, Long> digests, Collection<Integer> observers) {
        Set<Long> distinctDigests = new HashSet<>();
        for (int observer : observers) {
            distinctDigests.add(digests.get(observer));
            Map<String, TableRecord> table = tables.getOrDefault(observer, Map.of());
            for (Map.Entry<String, Long> one : truth.entrySet()) {
                TableRecord record = table.get(one.getKey());
                if (record == null || record.state() != State.ALIVE) {
                    addBreach(atMs, observer, one.getKey() + " runs and is held " + (record == null ? "unknown" : record.state()));
                } else if (record.instanceId() != one.getValue()) {
                    addBreach(atMs, observer, one.getKey() + " is held in another life than runs");
                }
            }
            for (Map.Entry<String, TableRecord> one : table.entrySet()) {
                State state = one.getValue().state();
                if ((state == State.ALIVE || state == State.SUSPECT) && !truth.containsKey(one.getKey())) {
                    addBreach(atMs, observer, one.getKey() + " is held " + state + " and does not run");
                }
            }
        }
        if (distinctDigests.size() > 1) { addBreach(atMs, -1, distinctDigests.size() + " different digests in calm"); }
    }

    /** Those who were held to be gone and ran, without trouble that excuses it. */
    List<Change> falseGone() {
        return goneDeclarations.stream().filter(one -> one.atMs() < endedAtMs.getOrDefault(one.record().instanceId(), Double.POSITIVE_INFINITY)
                && !isExcused(one.name(), one.atMs()) && !isExcused(observerNames.get(one.observer()), one.atMs())).toList();
    }

    /** Those who were suspected and ran, however short. */
    List<Change> falseSuspicions() {
        return suspicions.stream().filter(one -> one.atMs() < endedAtMs.getOrDefault(one.record().instanceId(), Double.POSITIVE_INFINITY)).toList();
    }

    private boolean isExcused(String name, double atMs) {
        return faults.getOrDefault(name, List.of()).stream().anyMatch(one -> one.fromMs() <= atMs && atMs <= one.toMs() + graceMs);
    }

    /** When each observer came to hold that life to be gone. */
    Map<Integer, Double> goneAtByObserver(long instanceId) {
        Map<Integer, Double> goneAtMs = new HashMap<>();
        for (Change change : goneDeclarations) {
            if (change.record().instanceId() == instanceId) { goneAtMs.putIfAbsent(change.observer(), change.atMs()); }
        }
        return goneAtMs;
    }

    long changeCount() { return changeCount; }

    private void addBreach(double atMs, int observer, String what) {
        if (breaches.size() < MAX_REPORTED) { breaches.add(String.format(java.util.Locale.ROOT, "%.0f ms, observer %d: %s", atMs, observer, what)); }
    }

    /** All breaches, the wrongly lost among them; a few of each. */
    List<String> breaches() {
        List<String> all = new ArrayList<>(breaches);
        for (Change one : falseGone().stream().limit(MAX_REPORTED).toList()) {
            all.add(String.format(java.util.Locale.ROOT, "%.0f ms, observer %d: %s runs and is held to be gone", one.atMs(), one.observer(), one.name()));
        }
        return all;
    }
}

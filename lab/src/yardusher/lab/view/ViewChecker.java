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
 * Checks the rules of the membership view against every change of every observer's table. A running member is not held GONE, except
 * during and shortly after a fault that the run has declared; an incarnation never decreases; an instance that left or was
 * replaced never becomes active again; and once all faults have ended, all observers agree and match the processes that run.
 */
final class ViewChecker {
    /** An observer's record of one name. */
    record TableRecord(long instanceId, long incarnation, State state) { }

    /** One change in the table of an observer, which is identified by number. */
    record Change(double atMs, int observer, String name, TableRecord record) { }

    private record FaultPeriod(double fromMs, double toMs) { }

    private static final int MAX_REPORTED = 20;

    private final double graceMs;
    private final Map<Integer, Map<String, TableRecord>> tables = new HashMap<>();
    // instances that left or were replaced, by observer and name
    private final Map<Integer, Map<String, Set<Long>>> endedInstances = new HashMap<>();
    private final Map<Integer, String> observerNames = new HashMap<>();
    private final Map<Long, Double> endedAtMs = new HashMap<>();
    private final Map<String, List<FaultPeriod>> faults = new HashMap<>();
    private final List<Change> goneDeclarations = new ArrayList<>();
    private final List<Change> suspicions = new ArrayList<>();
    private final List<String> breaches = new ArrayList<>();
    private long changeCount;

    /** {@code graceMs}: how long after its fault a member may still be held GONE. */
    ViewChecker(double graceMs) { this.graceMs = graceMs; }

    /** Records a change and checks it. */
    void recordChange(double atMs, int observer, String name, long instanceId, long incarnation, State state) {
        changeCount++;
        TableRecord record = new TableRecord(instanceId, incarnation, state);
        TableRecord previous = tables.computeIfAbsent(observer, none -> new HashMap<>()).put(name, record);
        Set<Long> ended = endedInstances.computeIfAbsent(observer, none -> new HashMap<>()).computeIfAbsent(name, none -> new HashSet<>());
        boolean active = state == State.ALIVE || state == State.SUSPECT;
        if (previous != null && incarnation < previous.incarnation()) {
            addBreach(atMs, observer, name + " fell from incarnation " + previous.incarnation() + " to " + incarnation);
        }
        if (active && ended.contains(instanceId)) {
            addBreach(atMs, observer, name + " is active again in an instance that left or was replaced");
        }
        if (previous != null && previous.instanceId() != instanceId) { ended.add(previous.instanceId()); }
        if (state == State.LEFT) { ended.add(instanceId); }
        Change change = new Change(atMs, observer, name, record);
        if (state == State.GONE && (previous == null || previous.state() != State.GONE || previous.instanceId() != instanceId)) {
            goneDeclarations.add(change);
        }
        if (state == State.SUSPECT && (previous == null || previous.state() == State.ALIVE)) { suspicions.add(change); }
    }

    /** Sets the name of an observer's own process; during its own faults and the grace time after them its view may be wrong. */
    void setObserverName(int observer, String name) { observerNames.put(observer, name); }

    /** Records that the process with that instance id ended, for any reason. */
    void recordEnd(double atMs, long instanceId) { endedAtMs.putIfAbsent(instanceId, atMs); }

    /** Records that the process of that name could not send or receive for longer than the view promises to tolerate. */
    void recordFault(String name, double fromMs, double toMs) {
        faults.computeIfAbsent(name, none -> new ArrayList<>()).add(new FaultPeriod(fromMs, toMs));
    }

    /**
     * Checks agreement after all faults have ended. {@code truth}: the instance id of each running member by name;
     * {@code digests}: the view digest of each observer.
     */
    void checkAgreement(double atMs, Map<String, Long> truth, Map<Integer, Long> digests, Collection<Integer> observers) {
        Set<Long> distinctDigests = new HashSet<>();
        for (int observer : observers) {
            distinctDigests.add(digests.get(observer));
            Map<String, TableRecord> table = tables.getOrDefault(observer, Map.of());
            for (Map.Entry<String, Long> expected : truth.entrySet()) {
                TableRecord record = table.get(expected.getKey());
                if (record == null || record.state() != State.ALIVE) {
                    addBreach(atMs, observer, expected.getKey() + " runs but is recorded as "
                            + (record == null ? "unknown" : record.state()));
                } else if (record.instanceId() != expected.getValue()) {
                    addBreach(atMs, observer, expected.getKey() + " is recorded with another instance than the one that runs");
                }
            }
            for (Map.Entry<String, TableRecord> recorded : table.entrySet()) {
                State state = recorded.getValue().state();
                if ((state == State.ALIVE || state == State.SUSPECT) && !truth.containsKey(recorded.getKey())) {
                    addBreach(atMs, observer, recorded.getKey() + " is recorded as " + state + " but does not run");
                }
            }
        }
        if (distinctDigests.size() > 1) { addBreach(atMs, -1, distinctDigests.size() + " different digests after all faults ended"); }
    }

    /** Returns the changes in which a running member was declared GONE without a fault that excuses it. */
    List<Change> falseGone() {
        return goneDeclarations.stream().filter(change -> change.atMs() < endedAtMs.getOrDefault(change.record().instanceId(),
                Double.POSITIVE_INFINITY)
                && !isExcused(change.name(), change.atMs()) && !isExcused(observerNames.get(change.observer()), change.atMs())).toList();
    }

    /** Returns the changes in which a running member was suspected, however briefly. */
    List<Change> falseSuspicions() {
        return suspicions.stream().filter(change -> change.atMs() < endedAtMs.getOrDefault(change.record().instanceId(),
                Double.POSITIVE_INFINITY)).toList();
    }

    private boolean isExcused(String name, double atMs) {
        return faults.getOrDefault(name, List.of()).stream().anyMatch(period -> period.fromMs() <= atMs && atMs <= period.toMs() + graceMs);
    }

    /** Returns when each observer declared that instance GONE. */
    Map<Integer, Double> goneAtByObserver(long instanceId) {
        Map<Integer, Double> goneAtMs = new HashMap<>();
        for (Change change : goneDeclarations) {
            if (change.record().instanceId() == instanceId) { goneAtMs.putIfAbsent(change.observer(), change.atMs()); }
        }
        return goneAtMs;
    }

    long changeCount() { return changeCount; }

    private void addBreach(double atMs, int observer, String what) {
        if (breaches.size() < MAX_REPORTED) {
            breaches.add(String.format(java.util.Locale.ROOT, "%.0f ms, observer %d: %s", atMs, observer, what));
        }
    }

    /** Returns the violations, false GONE declarations included; at most {@link #MAX_REPORTED} of each kind. */
    List<String> breaches() {
        List<String> all = new ArrayList<>(breaches);
        for (Change change : falseGone().stream().limit(MAX_REPORTED).toList()) {
            all.add(String.format(java.util.Locale.ROOT, "%.0f ms, observer %d: %s runs but was declared GONE", change.atMs(),
                    change.observer(), change.name()));
        }
        return all;
    }
}

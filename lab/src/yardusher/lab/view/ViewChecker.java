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
    record Held(long life, long incarnation, State state) { }

    /** One change in the table of an observer, which is identified by number. */
    record Change(double atMs, int observer, String name, Held held) { }

    private record Trouble(double fromMs, double toMs) { }

    private static final int MOST_TOLD = 20;

    private final double graceMs;
    private final Map<Integer, Map<String, Held>> holds = new HashMap<>();
    private final Map<Integer, Map<String, Set<Long>>> over = new HashMap<>();  // instances that left or were replaced, by observer and name
    private final Map<Integer, String> names = new HashMap<>();
    private final Map<Long, Double> ended = new HashMap<>();
    private final Map<String, List<Trouble>> troubles = new HashMap<>();
    private final List<Change> lost = new ArrayList<>();
    private final List<Change> accused = new ArrayList<>();
    private final List<String> breaches = new ArrayList<>();
    private long changes;

    /** {@code graceMs}: how long after its fault a member may still be held GONE. */
    ViewChecker(double graceMs) { this.graceMs = graceMs; }

    /** Records a change and checks it. */
    void held(double atMs, int observer, String name, long life, long incarnation, State state) {
        changes++;
        Held now = new Held(life, incarnation, state);
        Held before = holds.computeIfAbsent(observer, none -> new HashMap<>()).put(name, now);
        Set<Long> dead = over.computeIfAbsent(observer, none -> new HashMap<>()).computeIfAbsent(name, none -> new HashSet<>());
        boolean there = state == State.ALIVE || state == State.SUSPECT;
        if (before != null && incarnation < before.incarnation()) {
            breach(atMs, observer, name + " fell from incarnation " + before.incarnation() + " to " + incarnation);
        }
        if (there && dead.contains(life)) { breach(atMs, observer, name + " is active again in an instance that left or was replaced"); }
        if (before != null && before.life() != life) { dead.add(before.life()); }
        if (state == State.LEFT) { dead.add(life); }
        Change change = new Change(atMs, observer, name, now);
        if (state == State.GONE && (before == null || before.state() != State.GONE || before.life() != life)) { lost.add(change); }
        if (state == State.SUSPECT && (before == null || before.state() == State.ALIVE)) { accused.add(change); }
    }

    /** Sets the name of an observer's own process: during its own faults, and while it reads the datagrams queued meanwhile, it may be wrong. */
    void observer(int observer, String name) { names.put(observer, name); }

    /** Records that the process with that instance id ended, for any reason. */
    void ended(double atMs, long life) { ended.putIfAbsent(life, atMs); }

    /** Records that the process of that name could not send or receive for longer than the view promises to tolerate. */
    void trouble(String name, double fromMs, double toMs) { troubles.computeIfAbsent(name, none -> new ArrayList<>()).add(new Trouble(fromMs, toMs)); }

    /**
     * Checks agreement after all faults have ended. {@code truth}: the instance id of each running member by name;
     * {@code digests}: the view digest of each observer.
     */
    void calm(double atMs, Map<String, Long> truth, Map<Integer, Long> digests, Collection<Integer> observers) {
        Set<Long> different = new HashSet<>();
        for (int observer : observers) {
            different.add(digests.get(observer));
            Map<String, Held> held = holds.getOrDefault(observer, Map.of());
            for (Map.Entry<String, Long> one : truth.entrySet()) {
                Held of = held.get(one.getKey());
                if (of == null || of.state() != State.ALIVE) {
                    breach(atMs, observer, one.getKey() + " runs but is recorded as " + (of == null ? "unknown" : of.state()));
                } else if (of.life() != one.getValue()) {
                    breach(atMs, observer, one.getKey() + " is recorded with another instance than the one that runs");
                }
            }
            for (Map.Entry<String, Held> one : held.entrySet()) {
                State state = one.getValue().state();
                if ((state == State.ALIVE || state == State.SUSPECT) && !truth.containsKey(one.getKey())) {
                    breach(atMs, observer, one.getKey() + " is recorded as " + state + " but does not run");
                }
            }
        }
        if (different.size() > 1) { breach(atMs, -1, different.size() + " different digests after all faults ended"); }
    }

    /** Returns the changes in which a running member was declared GONE without a fault that excuses it. */
    List<Change> falselyLost() {
        return lost.stream().filter(one -> one.atMs() < ended.getOrDefault(one.held().life(), Double.POSITIVE_INFINITY)
                && !excused(one.name(), one.atMs()) && !excused(names.get(one.observer()), one.atMs())).toList();
    }

    /** Returns the changes in which a running member was suspected, however briefly. */
    List<Change> falselyAccused() {
        return accused.stream().filter(one -> one.atMs() < ended.getOrDefault(one.held().life(), Double.POSITIVE_INFINITY)).toList();
    }

    private boolean excused(String name, double atMs) {
        return troubles.getOrDefault(name, List.of()).stream().anyMatch(one -> one.fromMs() <= atMs && atMs <= one.toMs() + graceMs);
    }

    /** Returns when each observer declared that instance GONE. */
    Map<Integer, Double> lostAt(long life) {
        Map<Integer, Double> at = new HashMap<>();
        for (Change change : lost) {
            if (change.held().life() == life) { at.putIfAbsent(change.observer(), change.atMs()); }
        }
        return at;
    }

    long changes() { return changes; }

    private void breach(double atMs, int observer, String what) {
        if (breaches.size() < MOST_TOLD) { breaches.add(String.format(java.util.Locale.ROOT, "%.0f ms, observer %d: %s", atMs, observer, what)); }
    }

    /** Returns the violations, false GONE declarations included; at most {@link #MAX_REPORTED} of each kind. */
    List<String> breaches() {
        List<String> all = new ArrayList<>(breaches);
        for (Change one : falselyLost().stream().limit(MOST_TOLD).toList()) {
            all.add(String.format(java.util.Locale.ROOT, "%.0f ms, observer %d: %s runs but was declared GONE", one.atMs(), one.observer(), one.name()));
        }
        return all;
    }
}

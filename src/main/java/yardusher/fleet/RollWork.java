package yardusher.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import yardusher.register.Work;

/**
 * A rolling restart or reload of the fleet's instances, with a limit on how many are unavailable at once over all
 * agents. An instance counts as unavailable from the checkpoint that marks it OUT, which precedes the request to its
 * agent, until the agent has reported the outcome: a step that a former holder may still have in flight is thus in the
 * checkpoint that the next holder starts from. Steps at unreachable agents are unknown, not done.
 */
final class RollWork implements WorkProcedure {
    private static final double POLL_MS = 100;
    private static final double STATUS_MAX_AGE_MS = 400;       // how old an agent's report on its instances may be
    private static final int MAX_PLAN_CHARS = 15_000;
    private static final double RETRY_MS = 300;      // before a member that did not answer is asked again

    private final long id;
    private final RollSpec spec;
    private final double patienceMs;
    private final Set<String> members;
    private long seq;
    private RollPlan plan;                               // null until all agents have reported their instances
    private RollPlan savedPlan;                               // the plan as the register has recorded it
    private String pendingCheckpoint;                          // text of the checkpoint being saved
    private boolean finished;
    private double startedAtMs = Double.NaN;
    private double stuckSinceMs = Double.NaN;             // since when no instance may restart although some are left
    private final Map<String, List<InstanceStatus>> instancesByMember = new TreeMap<>(); // by agent that has sealed the token
    private final Map<String, Double> reportedAtMs = new HashMap<>();
    private final Map<String, Double> nextRequestAtMs = new HashMap<>();  // by member, the earliest time of its next request
    private final Set<String> pendingMembers = new HashSet<>();
    private final Map<String, Double> silentSinceMs = new LinkedHashMap<>();
    private final Map<String, String> silentReasons = new HashMap<>();

    RollWork(Work work, Set<String> members, double patienceMs) {
        id = work.id();
        spec = RollSpec.of(work.spec());
        this.patienceMs = patienceMs;
        seq = work.seq();
        plan = RollPlan.decode(work.checkpoint());
        savedPlan = plan == null ? null : plan.copy();
        this.members = new TreeSet<>(members);
        if (plan != null) { plan.targets.keySet().forEach(target -> this.members.add(target.member())); }
    }

    @Override
    public List<Action> nextActions(double now) {
        if (Double.isNaN(startedAtMs)) { startedAtMs = now; }
        List<Action> acts = new ArrayList<>();
        if (finished) { return acts; }
        boolean wantsMore = plan == null || plan.count(RollPlan.TargetState.TODO) > 0;
        for (String member : members) {
            boolean old = now - reportedAtMs.getOrDefault(member, Double.NEGATIVE_INFINITY) > STATUS_MAX_AGE_MS / 2;
            if (!instancesByMember.containsKey(member) || wantsMore && old) { request(now, member, new Seal(member), acts); }
        }
        if (plan == null) {
            begin(now, acts);
            return acts;
        }
        for (RollPlan.Target target : plan.inState(RollPlan.TargetState.OUT)) {
            if (instancesByMember.containsKey(target.member()) && savedPlan.targets.get(target) == RollPlan.TargetState.OUT) {
                request(now, target.member(), new RunStep(target.member(), step(target), spec.act() + " " + target.name()), acts);
            }
        }
        if (pendingCheckpoint == null) { advance(now, acts); }
        return acts;
    }

    private String step(RollPlan.Target target) { return id + "/" + target.name(); }

    /** Sends a member one request at a time. */
    private void request(double now, String member, Action act, List<Action> acts) {
        if (pendingMembers.contains(member) || now < nextRequestAtMs.getOrDefault(member, Double.NEGATIVE_INFINITY)) { return; }
        pendingMembers.add(member);
        acts.add(act);
    }

    /** Makes the plan once every agent has reported its instances, so that none is left out. */
    private void begin(double now, List<Action> acts) {
        if (pendingCheckpoint != null) { return; }
        if (instancesByMember.keySet().containsAll(members)) {
            Map<String, List<String>> names = new TreeMap<>();
            instancesByMember.forEach((member, all) -> names.put(member, all.stream().map(InstanceStatus::name).toList()));
            RollPlan made = RollPlan.of(names);
            if (made.encode().length() > MAX_PLAN_CHARS) {
                saveCheckpoint(Work.State.FAILED, made.targets.size() + " instances are more than a roll can hold, nothing was begun", acts);
                return;
            }
            plan = made;
            saveCheckpoint(Work.State.RUNNING, plan.progress(), acts);
        } else if (now - startedAtMs > patienceMs) {
            saveCheckpoint(Work.State.FAILED, unreached(members) + ", nothing was begun", acts);
        }
    }

    private String unreached(Set<String> wanted) {
        List<String> words = new ArrayList<>();
        for (String member : wanted) {
            if (silentSinceMs.containsKey(member) || !instancesByMember.containsKey(member)) {
                words.add(member + " is not reached" + (silentReasons.containsKey(member) ? " (" + silentReasons.get(member) + ")" : ""));
            }
        }
        return String.join(", ", words);
    }

    private void saveCheckpoint(Work.State state, String note, List<Action> acts) {
        pendingCheckpoint = plan == null ? "" : plan.encode();
        finished = state != Work.State.RUNNING;
        acts.add(new SaveCheckpoint(++seq, pendingCheckpoint, state, note));
    }

    private void advance(double now, List<Action> acts) {
        List<RollPlan.Target> out = plan.inState(RollPlan.TargetState.OUT);
        long failed = plan.count(RollPlan.TargetState.FAILED);
        boolean stops = failed > spec.failures();
        boolean waits = plan.count(RollPlan.TargetState.TODO) > 0 && !stops;
        if (out.isEmpty() && !waits) {
            saveCheckpoint(stops ? Work.State.FAILED : Work.State.DONE, plan.progress() + (stops ? ", more failures than allowed" : ""), acts);
            return;
        }
        String lost = unreachableReason(now, out);
        if (lost != null) {
            saveCheckpoint(Work.State.FAILED, plan.progress() + ", " + lost, acts);
            return;
        }
        boolean changed = !plan.targets.equals(savedPlan.targets);
        if (waits) { changed |= markNextOut(now, out); }
        if (changed || !out.isEmpty()) { stuckSinceMs = Double.NaN; } else if (Double.isNaN(stuckSinceMs)) { stuckSinceMs = now; }
        if (changed) {
            saveCheckpoint(Work.State.RUNNING, plan.progress(), acts);
        } else if (now - stuckSinceMs > patienceMs) {
            saveCheckpoint(Work.State.FAILED, plan.progress() + ", others are away: " + awayNames(), acts);
        }
    }

    /**
     * Why the roll cannot go on: an agent that still has instances to restart has not answered for too long. Null if
     * there is no reason.
     */
    private String unreachableReason(double now, List<RollPlan.Target> out) {
        Set<String> needed = new TreeSet<>();
        plan.inState(RollPlan.TargetState.TODO).forEach(target -> needed.add(target.member()));
        Set<String> unknown = new TreeSet<>();
        out.forEach(target -> unknown.add(target.member()));
        needed.addAll(unknown);
        for (String member : needed) {
            Double since = instancesByMember.containsKey(member) ? silentSinceMs.get(member) : Double.valueOf(startedAtMs);
            if (since != null && now - since > patienceMs) {
                return unreached(Set.of(member)) + (unknown.contains(member) ? "; what was begun there is unknown" : "");
            }
        }
        return null;
    }

    /** Marks the next instances as OUT, as far as the fleet's recent state allows. */
    private boolean markNextOut(double now, List<RollPlan.Target> out) {
        int away = out.size();
        for (String member : members) {
            if (now - reportedAtMs.getOrDefault(member, Double.NEGATIVE_INFINITY) > STATUS_MAX_AGE_MS) {
                // All instances of an unreachable agent may be unavailable.
                away += (int) plan.targets.keySet().stream().filter(target -> target.member().equals(member) && !out.contains(target)).count();
                continue;
            }
            for (InstanceStatus one : instancesByMember.get(member)) {
                if (!one.ready() && !out.contains(new RollPlan.Target(member, one.name()))) { away++; }
            }
        }
        boolean changed = false;
        for (RollPlan.Target target : plan.inState(RollPlan.TargetState.TODO)) {
            if (away >= spec.away()) { break; }
            plan.targets.put(target, RollPlan.TargetState.OUT);
            away++;
            changed = true;
        }
        return changed;
    }

    private String awayNames() {
        List<String> names = new ArrayList<>();
        instancesByMember.forEach((member, all) -> all.stream().filter(one -> !one.ready()).forEach(one -> names.add(member + "/" + one.name())));
        return String.join(", ", names);
    }

    @Override
    public void onSealed(double now, String member, List<InstanceStatus> instances) {
        answered(now, member);
        instancesByMember.put(member, List.copyOf(instances));
        reportedAtMs.put(member, now);
        nextRequestAtMs.put(member, now);
    }

    private void answered(double now, String member) {
        pendingMembers.remove(member);
        nextRequestAtMs.put(member, now + POLL_MS);
        silentSinceMs.remove(member);
        silentReasons.remove(member);
    }

    @Override
    public void onOutcome(double now, String member, String step, String outcome) {
        answered(now, member);
        if (!step.startsWith(id + "/") || plan == null || outcome.startsWith("running")) { return; }
        RollPlan.Target target = new RollPlan.Target(member, step.substring(step.indexOf('/') + 1));
        if (plan.targets.get(target) != RollPlan.TargetState.OUT) { return; }
        plan.targets.put(target, outcome.startsWith("done") ? RollPlan.TargetState.DONE : RollPlan.TargetState.FAILED);
        reportedAtMs.remove(member);                     // its report predates this outcome
    }

    @Override
    public void onNoAnswer(double now, String member, String why) {
        pendingMembers.remove(member);
        nextRequestAtMs.put(member, now + RETRY_MS);
        silentSinceMs.putIfAbsent(member, now);
        silentReasons.put(member, why);
    }

    @Override
    public void onCheckpointSaved(long savedSeq) {
        if (savedSeq != seq || pendingCheckpoint == null) { return; }
        savedPlan = RollPlan.decode(pendingCheckpoint);
        pendingCheckpoint = null;
    }

    @Override
    public void onWorkChanged(Work work) { /* a roll is never changed, only replaced */ }
}

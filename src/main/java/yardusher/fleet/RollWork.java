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
 * All instances of the fleet restart or reload, at most so many away at once over all agents. An instance counts as away
 * from the checkpoint that says so, before its agent is asked, until its agent has said how it went: what an old holder
 * may still have under way is in the checkpoint that the next one begins with. What is not reached is unknown, not done.
 */
final class RollWork implements WorkProcedure {
    private static final double POLL_MS = 100;
    private static final double STATUS_MAX_AGE_MS = 400;       // how old an agent's word on its instances may be
    private static final int MAX_PLAN_CHARS = 15_000;     // characters of a checkpoint
    private static final double RETRY_MS = 300;      // who did not answer is asked again

    private final long id;
    private final RollSpec spec;
    private final double patienceMs;
    private final Set<String> members;
    private long seq;
    private RollPlan plan;                               // null until all agents have told their instances
    private RollPlan kept;                               // as the register holds it
    private String keeping;                          // the text of the checkpoint under way
    private boolean over;
    private double begunAt = Double.NaN;
    private double stuckAt = Double.NaN;             // since when nobody may go although somebody is left
    private final Map<String, List<InstanceStatus>> standings = new TreeMap<>(); // of the agents that sealed
    private final Map<String, Double> lookedAt = new HashMap<>();
    private final Map<String, Double> askAt = new HashMap<>();  // members asked no sooner
    private final Set<String> asking = new HashSet<>();
    private final Map<String, Double> silentSince = new LinkedHashMap<>();
    private final Map<String, String> silentWhy = new HashMap<>();

    RollWork(Work work, Set<String> members, double patienceMs) {
        id = work.id();
        spec = RollSpec.of(work.spec());
        this.patienceMs = patienceMs;
        seq = work.seq();
        plan = RollPlan.decode(work.checkpoint());
        kept = plan == null ? null : plan.copy();
        this.members = new TreeSet<>(members);
        if (plan != null) { plan.targets.keySet().forEach(target -> this.members.add(target.member())); }
    }

    @Override
    public List<Action> nextActions(double now) {
        if (Double.isNaN(begunAt)) { begunAt = now; }
        List<Action> acts = new ArrayList<>();
        if (over) { return acts; }
        boolean wantsMore = plan == null || plan.count(RollPlan.TargetState.TODO) > 0;
        for (String member : members) {
            boolean old = now - lookedAt.getOrDefault(member, Double.NEGATIVE_INFINITY) > STATUS_MAX_AGE_MS / 2;
            if (!standings.containsKey(member) || wantsMore && old) { ask(now, member, new Seal(member), acts); }
        }
        if (plan == null) {
            begin(now, acts);
            return acts;
        }
        for (RollPlan.Target target : plan.in(RollPlan.TargetState.OUT)) {
            if (standings.containsKey(target.member()) && kept.targets.get(target) == RollPlan.TargetState.OUT) {
                ask(now, target.member(), new RunStep(target.member(), step(target), spec.act() + " " + target.name()), acts);
            }
        }
        if (keeping == null) { advance(now, acts); }
        return acts;
    }

    private String step(RollPlan.Target target) { return id + "/" + target.name(); }

    /** Asks a member, one thing at a time. */
    private void ask(double now, String member, Action act, List<Action> acts) {
        if (asking.contains(member) || now < askAt.getOrDefault(member, Double.NEGATIVE_INFINITY)) { return; }
        asking.add(member);
        acts.add(act);
    }

    /** The plan is made once every agent has told its instances: none is passed over unseen. */
    private void begin(double now, List<Action> acts) {
        if (keeping != null) { return; }
        if (standings.keySet().containsAll(members)) {
            Map<String, List<String>> names = new TreeMap<>();
            standings.forEach((member, all) -> names.put(member, all.stream().map(InstanceStatus::name).toList()));
            RollPlan made = RollPlan.of(names);
            if (made.encode().length() > MAX_PLAN_CHARS) {
                keep(Work.State.FAILED, made.targets.size() + " instances are more than a roll can hold, nothing was begun", acts);
                return;
            }
            plan = made;
            keep(Work.State.RUNNING, plan.progress(), acts);
        } else if (now - begunAt > patienceMs) {
            keep(Work.State.FAILED, unreached(members) + ", nothing was begun", acts);
        }
    }

    private String unreached(Set<String> wanted) {
        List<String> words = new ArrayList<>();
        for (String member : wanted) {
            if (silentSince.containsKey(member) || !standings.containsKey(member)) {
                words.add(member + " is not reached" + (silentWhy.containsKey(member) ? " (" + silentWhy.get(member) + ")" : ""));
            }
        }
        return String.join(", ", words);
    }

    private void keep(Work.State state, String note, List<Action> acts) {
        keeping = plan == null ? "" : plan.encode();
        over = state != Work.State.RUNNING;
        acts.add(new SaveCheckpoint(++seq, keeping, state, note));
    }

    private void advance(double now, List<Action> acts) {
        List<RollPlan.Target> out = plan.in(RollPlan.TargetState.OUT);
        long failed = plan.count(RollPlan.TargetState.FAILED);
        boolean stops = failed > spec.failures();
        boolean waits = plan.count(RollPlan.TargetState.TODO) > 0 && !stops;
        if (out.isEmpty() && !waits) {
            keep(stops ? Work.State.FAILED : Work.State.DONE, plan.progress() + (stops ? ", more failures than allowed" : ""), acts);
            return;
        }
        String lost = lost(now, out);
        if (lost != null) {
            keep(Work.State.FAILED, plan.progress() + ", " + lost, acts);
            return;
        }
        boolean changed = !plan.targets.equals(kept.targets);
        if (waits) { changed |= sendOut(now, out); }
        if (changed || !out.isEmpty()) { stuckAt = Double.NaN; } else if (Double.isNaN(stuckAt)) { stuckAt = now; }
        if (changed) {
            keep(Work.State.RUNNING, plan.progress(), acts);
        } else if (now - stuckAt > patienceMs) {
            keep(Work.State.FAILED, plan.progress() + ", others are away: " + awayNames(), acts);
        }
    }

    /** Why the roll cannot go on: an agent with something left in it is silent for too long. */
    private String lost(double now, List<RollPlan.Target> out) {
        Set<String> needed = new TreeSet<>();
        plan.in(RollPlan.TargetState.TODO).forEach(target -> needed.add(target.member()));
        Set<String> unknown = new TreeSet<>();
        out.forEach(target -> unknown.add(target.member()));
        needed.addAll(unknown);
        for (String member : needed) {
            Double since = standings.containsKey(member) ? silentSince.get(member) : Double.valueOf(begunAt);
            if (since != null && now - since > patienceMs) {
                return unreached(Set.of(member)) + (unknown.contains(member) ? "; what was begun there is unknown" : "");
            }
        }
        return null;
    }

    /** Marks the next ones as away, as far as the fleet's state of just now allows. */
    private boolean sendOut(double now, List<RollPlan.Target> out) {
        int away = out.size();
        for (String member : members) {
            if (now - lookedAt.getOrDefault(member, Double.NEGATIVE_INFINITY) > STATUS_MAX_AGE_MS) {
                // Whom nobody reaches may have everything away.
                away += (int) plan.targets.keySet().stream().filter(target -> target.member().equals(member) && !out.contains(target)).count();
                continue;
            }
            for (InstanceStatus one : standings.get(member)) {
                if (!one.ready() && !out.contains(new RollPlan.Target(member, one.name()))) { away++; }
            }
        }
        boolean changed = false;
        for (RollPlan.Target target : plan.in(RollPlan.TargetState.TODO)) {
            if (away >= spec.away()) { break; }
            plan.targets.put(target, RollPlan.TargetState.OUT);
            away++;
            changed = true;
        }
        return changed;
    }

    private String awayNames() {
        List<String> names = new ArrayList<>();
        standings.forEach((member, all) -> all.stream().filter(one -> !one.ready()).forEach(one -> names.add(member + "/" + one.name())));
        return String.join(", ", names);
    }

    @Override
    public void onSealed(double now, String member, List<InstanceStatus> instances) {
        heard(now, member);
        standings.put(member, List.copyOf(instances));
        lookedAt.put(member, now);
        askAt.put(member, now);
    }

    private void heard(double now, String member) {
        asking.remove(member);
        askAt.put(member, now + POLL_MS);
        silentSince.remove(member);
        silentWhy.remove(member);
    }

    @Override
    public void onOutcome(double now, String member, String step, String outcome) {
        heard(now, member);
        if (!step.startsWith(id + "/") || plan == null || outcome.startsWith("running")) { return; }
        RollPlan.Target target = new RollPlan.Target(member, step.substring(step.indexOf('/') + 1));
        if (plan.targets.get(target) != RollPlan.TargetState.OUT) { return; }
        plan.targets.put(target, outcome.startsWith("done") ? RollPlan.TargetState.DONE : RollPlan.TargetState.FAILED);
        lookedAt.remove(member);                     // its word on its instances is from before
    }

    @Override
    public void onNoAnswer(double now, String member, String why) {
        asking.remove(member);
        askAt.put(member, now + RETRY_MS);
        silentSince.putIfAbsent(member, now);
        silentWhy.put(member, why);
    }

    @Override
    public void onCheckpointSaved(long of) {
        if (of != seq || keeping == null) { return; }
        kept = RollPlan.decode(keeping);
        keeping = null;
    }

    @Override
    public void onWorkChanged(Work work) { /* a roll is not changed, only replaced */ }
}

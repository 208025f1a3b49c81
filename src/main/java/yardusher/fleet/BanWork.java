package yardusher.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import yardusher.register.Work;

/**
 * Tells every agent which regions are out by hand. The list is told whole under its revision, so that a later one holds
 * whatever came before; the agents tell their instances, those that start later too. Rests once all agents have it.
 */
final class BanWork implements WorkProcedure {
    private static final double POLL_MS = 50;
    private static final double RETRY_MS = 500;

    private String spec;
    private long revision;
    private final Set<String> members;
    private final Set<String> sealed = new HashSet<>();
    private final Set<String> confirmed = new TreeSet<>();  // who has this revision
    private final Set<String> asking = new HashSet<>();
    private final Map<String, Double> askAt = new HashMap<>();
    private long seq;
    private boolean keeping;
    private boolean idle;

    BanWork(Work work, Set<String> members) {
        this.members = new TreeSet<>(members);
        spec = work.spec();
        revision = work.revision();
        seq = work.seq();
    }

    /** What a checkpoint says once all members have a revision. */
    static String doneText(long revision, Set<String> members) { return revision + " " + String.join(",", new TreeSet<>(members)); }

    /** Whether somebody does not have the list yet. */
    static boolean hasWork(Work work, Set<String> members) { return !work.checkpoint().equals(doneText(work.revision(), members)); }

    @Override
    public List<Action> nextActions(double now) {
        List<Action> acts = new ArrayList<>();
        if (idle) { return acts; }
        for (String member : members) {
            if (confirmed.contains(member) || asking.contains(member) || now < askAt.getOrDefault(member, Double.NEGATIVE_INFINITY)) { continue; }
            asking.add(member);
            acts.add(sealed.contains(member) ? new RunStep(member, step(), "set " + spec) : new Seal(member));
        }
        if (confirmed.containsAll(members) && !keeping) {
            keeping = true;
            acts.add(new SaveCheckpoint(++seq, doneText(revision, members), Work.State.RUNNING, "revision " + revision + " at all " + members.size() + " agents"));
        }
        return acts;
    }

    private String step() { return "bans/" + revision; }

    @Override
    public void onSealed(double now, String member, List<InstanceStatus> instances) {
        asking.remove(member);
        sealed.add(member);
        askAt.put(member, now);
    }

    @Override
    public void onOutcome(double now, String member, String step, String outcome) {
        asking.remove(member);
        askAt.put(member, now + (outcome.startsWith("failed") ? RETRY_MS : POLL_MS));
        if (step.equals(step()) && outcome.startsWith("done")) { confirmed.add(member); }
    }

    @Override
    public void onNoAnswer(double now, String member, String why) {
        asking.remove(member);
        askAt.put(member, now + RETRY_MS);
    }

    @Override
    public void onCheckpointSaved(long of) {
        keeping = false;
        idle = of == seq && confirmed.containsAll(members);
    }

    /** Whether all have what is ordered and the register knows it. */
    boolean isIdle() { return idle; }

    @Override
    public void onWorkChanged(Work work) {
        if (work.revision() == revision) { return; }
        revision = work.revision();
        spec = work.spec();
        confirmed.clear();
        idle = false;
    }
}

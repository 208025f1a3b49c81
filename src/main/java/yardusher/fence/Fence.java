package yardusher.fence;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Fencing at a target, so that a former owner cannot do harm: for each work the highest token sealed here and the steps
 * requested. Only decides; the caller writes each decision to disk before it replies. A step request is accepted only
 * under exactly the sealed token, and a step runs once, whichever token it is requested again under.
 */
public final class Fence {
    /** Finished steps of one work that are remembered. The oldest are forgotten; an unfinished step never is. */
    public static final int MAX_STEPS = 2000;

    /** What to do with a step request. */
    public sealed interface Verdict { }

    /** A newer owner has sealed its token; the request is void. */
    public record Refused(long newerToken) implements Verdict { }

    /** The request's token has not been sealed here yet. */
    public record Unsealed(long sealedToken) implements Verdict { }

    /** The step has finished with this outcome. */
    public record Finished(String outcome) implements Verdict { }

    /** The step is running in this process. */
    public record Running() implements Verdict { }

    /** The step was begun by an earlier process that ended before it recorded the outcome. */
    public record Unknown(String stateBefore) implements Verdict { }

    /** The step is new. Record it, then run it if {@link #isCurrent} still holds. */
    public record Begin() implements Verdict { }

    /**
     * One step. {@code stateBefore}: the target's state when the step was begun. {@code outcome}: null while it is
     * unfinished.
     */
    public record Step(long token, String action, String stateBefore, String outcome) { }

    private static final class WorkState {
        long sealedToken;
        final Map<String, Step> steps = new LinkedHashMap<>();
        final Map<String, Boolean> running = new LinkedHashMap<>(); // steps running in this process
    }

    private final Map<String, WorkState> works = new LinkedHashMap<>();

    private WorkState stateOf(String work) { return works.computeIfAbsent(work, none -> new WorkState()); }

    /** The highest token sealed for a work; 0 for none. */
    public long sealedToken(String work) {
        WorkState state = works.get(work);
        return state == null ? 0 : state.sealedToken;
    }

    /**
     * Seals an owner's token. True if it is not lower than the sealed token; from here on lower tokens are refused,
     * even before the seal is on disk.
     */
    public boolean seal(String work, long token) {
        WorkState state = stateOf(work);
        if (token < state.sealedToken) { return false; }
        state.sealedToken = token;
        return true;
    }

    /** Decides on a step request. */
    public Verdict check(String work, long token, String step) {
        WorkState state = stateOf(work);
        if (token < state.sealedToken) { return new Refused(state.sealedToken); }
        if (token > state.sealedToken) { return new Unsealed(state.sealedToken); }
        Step known = state.steps.get(step);
        if (known == null) { return new Begin(); }
        if (known.outcome() != null) { return new Finished(known.outcome()); }
        return state.running.containsKey(step) ? new Running() : new Unknown(known.stateBefore());
    }

    /** Marks a step as begun, before it is recorded on disk. */
    public void begin(String work, long token, String step, String act, String before) {
        WorkState state = stateOf(work);
        state.steps.put(step, new Step(token, act, before, null));
        state.running.put(step, true);
    }

    /** Whether a request under this token may still be executed; asked in the same event-loop turn as the execution. */
    public boolean isCurrent(String work, long token) { return sealedToken(work) == token; }

    /** Removes a step that was begun but not executed, as if it had never been requested. */
    public void drop(String work, String step) {
        WorkState state = stateOf(work);
        state.steps.remove(step);
        state.running.remove(step);
    }

    /** Records the outcome of a step. */
    public void end(String work, String step, String outcome) {
        WorkState state = stateOf(work);
        Step begun = state.steps.remove(step);        // reinserted, so that the step finished last comes last
        state.running.remove(step);
        state.steps.put(step, begun == null ? new Step(0, "", "", outcome)
                : new Step(begun.token(), begun.action(), begun.stateBefore(), outcome));
        int over = state.steps.size() - MAX_STEPS;
        for (Iterator<Step> oldest = state.steps.values().iterator(); over > 0 && oldest.hasNext();) {
            if (oldest.next().outcome() != null) {
                oldest.remove();
                over--;
            }
        }
    }

    /** Marks a step begun by an earlier process as running again. */
    public void resume(String work, String step) { stateOf(work).running.put(step, true); }

    /** Marks a step begun by an earlier process as not running in this one. */
    public void clearRunning(String work, String step) { stateOf(work).running.remove(step); }

    /** The steps of a work, by id, in the order in which they were begun or ended. */
    public Map<String, Step> steps(String work) { return new LinkedHashMap<>(stateOf(work).steps); }

    /** The step, or null if it is unknown. */
    public Step step(String work, String step) { return stateOf(work).steps.get(step); }

    public List<String> works() { return new ArrayList<>(works.keySet()); }
}

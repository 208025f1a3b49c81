package yardusher.fence;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What a target holds so that an old owner does no harm: for each work the highest token it was sealed with, and the
 * steps it was ordered. Decisions alone: who calls this writes what they say to disk before anybody hears of it. An
 * order is followed only under the very token that is sealed, and a step once, under whatever token it is asked again.
 */
public final class Fence {
    /** Steps of one work that are remembered after their end; the oldest are forgotten, a step that is not over never. */
    public static final int MAX_STEPS = 2000;

    /** What to do with an order. */
    public sealed interface Verdict { }

    /** A newer owner has been here: the order is void. */
    public record Refused(long newerToken) implements Verdict { }

    /** No owner has sealed this token here yet. */
    public record Unsealed(long sealedToken) implements Verdict { }

    /** The step is over; this came of it. */
    public record Finished(String outcome) implements Verdict { }

    /** The step is under way, in this life. */
    public record Running() implements Verdict { }

    /** The step was begun in an earlier life, which ended before it said how the step went. */
    public record Unknown(String stateBefore) implements Verdict { }

    /** The step is new: it is to be written down, and then to be done if {@link #may} still says so. */
    public record Begin() implements Verdict { }

    /** One step. {@code before}: how the target stood when it was begun. {@code outcome}: null while it is not over. */
    public record Step(long token, String action, String stateBefore, String outcome) { }

    private static final class WorkState {
        long sealedToken;
        final Map<String, Step> steps = new LinkedHashMap<>();
        final Map<String, Boolean> running = new LinkedHashMap<>(); // of this life
    }

    private final Map<String, WorkState> works = new LinkedHashMap<>();

    private WorkState stateOf(String work) { return works.computeIfAbsent(work, none -> new WorkState()); }

    /** The highest token sealed for a work; 0 for none. */
    public long sealedToken(String work) {
        WorkState kept = works.get(work);
        return kept == null ? 0 : kept.sealedToken;
    }

    /**
     * An owner comes with its token. True where it is not lower than what was sealed; from here on lower ones are refused,
     * also before the seal is on disk.
     */
    public boolean seal(String work, long token) {
        WorkState kept = stateOf(work);
        if (token < kept.sealedToken) { return false; }
        kept.sealedToken = token;
        return true;
    }

    /** An order comes in. */
    public Verdict check(String work, long token, String step) {
        WorkState kept = stateOf(work);
        if (token < kept.sealedToken) { return new Refused(kept.sealedToken); }
        if (token > kept.sealedToken) { return new Unsealed(kept.sealedToken); }
        Step known = kept.steps.get(step);
        if (known == null) { return new Begin(); }
        if (known.outcome() != null) { return new Finished(known.outcome()); }
        return kept.running.containsKey(step) ? new Running() : new Unknown(known.stateBefore());
    }

    /** A step is about to be written down as begun. */
    public void begin(String work, long token, String step, String act, String before) {
        WorkState kept = stateOf(work);
        kept.steps.put(step, new Step(token, act, before, null));
        kept.running.put(step, true);
    }

    /** Whether an order under this token may still be acted on: asked in the turn that acts. */
    public boolean isCurrent(String work, long token) { return sealedToken(work) == token; }

    /** A step that was begun and not acted on is as if it had never been ordered. */
    public void drop(String work, String step) {
        WorkState kept = stateOf(work);
        kept.steps.remove(step);
        kept.running.remove(step);
    }

    /** A step is over. */
    public void end(String work, String step, String outcome) {
        WorkState kept = stateOf(work);
        Step begun = kept.steps.remove(step);        // the newest end stands last
        kept.running.remove(step);
        kept.steps.put(step, begun == null ? new Step(0, "", "", outcome) : new Step(begun.token(), begun.action(), begun.stateBefore(), outcome));
        int over = kept.steps.size() - MAX_STEPS;
        for (Iterator<Step> oldest = kept.steps.values().iterator(); over > 0 && oldest.hasNext();) {
            if (oldest.next().outcome() != null) {
                oldest.remove();
                over--;
            }
        }
    }

    /** A step that an earlier life began is taken up again. */
    public void resume(String work, String step) { stateOf(work).running.put(step, true); }

    /** A step that was begun by an earlier life is not under way in this one. */
    public void clearRunning(String work, String step) { stateOf(work).running.remove(step); }

    /** The steps of a work, by id, in the order in which they were begun or ended. */
    public Map<String, Step> steps(String work) { return new LinkedHashMap<>(stateOf(work).steps); }

    /** A step as it is known, or null. */
    public Step step(String work, String step) { return stateOf(work).steps.get(step); }

    public List<String> works() { return new ArrayList<>(works.keySet()); }
}

package yardusher.fleet;

import java.util.List;
import yardusher.register.Work;

/**
 * How a holder does one work, free of I/O and clock: what is to be asked of whom next, given what they have said. Made
 * anew from the register's checkpoint by each next holder.
 */
public interface WorkProcedure {
    /** What to do now; each is answered once by the methods below. */
    sealed interface Action { }

    /** Ask a member's agent to seal the token, and how its instances stand. */
    record Seal(String member) implements Action { }

    /** Ask a member's agent to do a step, or how it goes. */
    record RunStep(String member, String step, String act) implements Action { }

    /** Put a checkpoint into the register. Nothing that rests on it is ordered before it is {@link #kept}. */
    record SaveCheckpoint(long seq, String text, Work.State state, String note) implements Action { }

    /** Nothing is left to be done for now: give the work up until somebody wants it. */
    record Rest() implements Action { }

    /** One instance as its agent tells it. */
    record InstanceStatus(String name, boolean ready) { }

    /** What follows from all that was said so far, at a time in ms that never goes back. */
    List<Action> nextActions(double now);

    /** A member's agent holds the token and tells its instances. */
    void onSealed(double now, String member, List<InstanceStatus> instances);

    /** A member's agent answers a step: {@code running}, {@code done ...} or {@code failed ...}. */
    void onOutcome(double now, String member, String step, String outcome);

    /** A member's agent did not answer, or could not do what was asked. It is unknown what it did. */
    void onNoAnswer(double now, String member, String why);

    /** The register holds the checkpoint. */
    void onCheckpointSaved(long seq);

    /** The work's order was changed. */
    void onWorkChanged(Work work);
}

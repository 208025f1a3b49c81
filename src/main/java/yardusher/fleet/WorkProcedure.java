package yardusher.fleet;

import java.util.List;
import yardusher.register.Work;

/**
 * How a holder carries out one work, free of I/O and clock: what to request next of which member, given the answers so
 * far. Each holder creates it anew from the register's checkpoint.
 */
public interface WorkProcedure {
    /** What the caller has to do now; each is answered once through the methods below. */
    sealed interface Action { }

    /** Ask a member to seal the token and report its instances. */
    record Seal(String member) implements Action { }

    /** Ask a member to run a step, or for the state of a step already requested. */
    record RunStep(String member, String step, String act) implements Action { }

    /** Save a checkpoint in the register. Nothing that depends on it is requested before {@link #onCheckpointSaved}. */
    record SaveCheckpoint(long seq, String text, Work.State state, String note) implements Action { }

    /** Nothing is left to be done for now: release the work until it changes. */
    record Rest() implements Action { }

    /** One instance as reported by its agent. */
    record InstanceStatus(String name, boolean ready) { }

    /** The actions due, at a monotonic time in ms. */
    List<Action> nextActions(double now);

    /** A member has sealed the token and reported its instances. */
    void onSealed(double now, String member, List<InstanceStatus> instances);

    /** A member reported on a step: {@code running}, {@code done ...} or {@code failed ...}. */
    void onOutcome(double now, String member, String step, String outcome);

    /** A member did not answer, or could not do what was requested. What it did is unknown. */
    void onNoAnswer(double now, String member, String reason);

    /** The register has recorded the checkpoint. */
    void onCheckpointSaved(long seq);

    /** The work was changed by a command. */
    void onWorkChanged(Work work);
}

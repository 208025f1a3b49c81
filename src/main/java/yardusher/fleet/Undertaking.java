package yardusher.fleet;

import java.util.List;
import yardusher.register.Work;

/**
 * How a holder does one work, free of I/O and clock: what is to be asked of whom next, given what they have said. Made
 * anew from the register's checkpoint by each next holder.
 */
public interface Undertaking {
    /** What to do now; each is answered once by the methods below. */
    sealed interface Act { }

    /** Ask a member's agent to seal the token, and how its instances stand. */
    record Seal(String member) implements Act { }

    /** Ask a member's agent to do a step, or how it goes. */
    record Do(String member, String step, String act) implements Act { }

    /** Put a checkpoint into the register. Nothing that rests on it is ordered before it is {@link #kept}. */
    record Keep(long seq, String text, Work.State state, String note) implements Act { }

    /** Nothing is left to be done for now: give the work up until somebody wants it. */
    record Rest() implements Act { }

    /** One instance as its agent tells it. */
    record Standing(String name, boolean ready) { }

    /** What follows from all that was said so far, at a time in ms that never goes back. */
    List<Act> next(double now);

    /** A member's agent holds the token and tells its instances. */
    void sealed(double now, String member, List<Standing> instances);

    /** A member's agent answers a step: {@code running}, {@code done ...} or {@code failed ...}. */
    void told(double now, String member, String step, String outcome);

    /** A member's agent did not answer, or could not do what was asked. It is unknown what it did. */
    void silent(double now, String member, String why);

    /** The register holds the checkpoint. */
    void kept(long seq);

    /** The work's order was changed. */
    void ordered(Work work);
}

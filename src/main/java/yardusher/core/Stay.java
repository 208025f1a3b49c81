package yardusher.core;

/** A request that was taken in, as its front sees it. */
public interface Stay {
    Order order();

    /** Whether an attempt of it may have run, or is out so that it may yet. */
    boolean mayHaveRun();

    /** The terminal left: nothing more is owed. */
    void gone();
}

package yardusher.core;

/** A request that was taken in, as its front sees it. */
public interface RequestHandle {
    IncomingRequest incoming();

    /** Whether an attempt of it may have run, or is out so that it may yet. */
    boolean mayHaveRun();

    /** The terminal left: nothing more is owed. */
    void terminalLeft();
}

package yardusher.core;

/** An accepted request, as its frontend sees it. */
public interface RequestHandle {
    IncomingRequest incoming();

    /** Whether an attempt may have run, or is with a socket and may still run. */
    boolean mayHaveRun();

    /** The terminal has left and needs no answer. */
    void terminalLeft();
}

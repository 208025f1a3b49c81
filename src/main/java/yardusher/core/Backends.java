package yardusher.core;

import java.nio.ByteBuffer;

/** The backend side as the core sees it. */
public interface Backends {
    /** Whether attempts can be sent to this backend now: it is in the service table and has an address. */
    boolean isAvailable(long backend);

    /** Runs a task once all input is handled that has arrived by now: answers, and the ends of connections. */
    default void onceInputIsHandled(Runnable task) { task.run(); }

    /** Starts an attempt. Its end is reported by {@link Ingress#attemptEnded}, never from within this call. */
    void start(Attempt attempt, ByteBuffer... command);
}

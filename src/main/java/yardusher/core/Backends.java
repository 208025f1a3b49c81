package yardusher.core;

import java.nio.ByteBuffer;

/** The backend side as the core sees it. */
public interface Backends {
    /** Whether attempts can be sent to this backend now: it is in the service table and has an address. */
    boolean isAvailable(long backend);

    /** Starts an attempt. Its end is reported by {@link Ingress#attemptEnded}, never from within this call. */
    void start(Attempt attempt, ByteBuffer... command);
}

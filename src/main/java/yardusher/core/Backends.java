package yardusher.core;

import java.nio.ByteBuffer;

/** The backends' side as the core sees it. */
public interface Backends {
    /** Whether attempts can go to this backend now: it stands in the service table, with an address. */
    boolean isAvailable(long backend);

    /** Begins an attempt; its end is told by {@link Ingress#attemptEnded}, never from within this call. */
    void start(Attempt attempt, ByteBuffer... command);
}

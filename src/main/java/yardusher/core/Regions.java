package yardusher.core;

import java.nio.ByteBuffer;

/** The regions' side as the core sees it. */
public interface Regions {
    /** Whether attempts can go to this region now: it stands in the service table, with an address. */
    boolean knows(long region);

    /** Begins an attempt; its end is told by {@link Ingress#ended}, never from within this call. */
    void begin(Attempt attempt, ByteBuffer... cargo);
}

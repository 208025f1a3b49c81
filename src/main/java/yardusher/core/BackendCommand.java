package yardusher.core;

import java.nio.ByteBuffer;

/** What a backend is handed for a request. The core never looks inside, but for what names it. */
public interface BackendCommand {
    /** The cargo's bytes, telling the backend how long its answer is waited for: parts to be written one behind another. */
    ByteBuffer[] encoded(long waitMs);

    /** The request's id, as the backend is told it. */
    long id();

    /** The idempotency key as the backend is told it, in 16 hex digits; null where the class has none. */
    String key();

    /** A fingerprint of what is asked for: the same for the same request, whatever its id and its time. */
    long fingerprint();

    /** What it says of a unit of work; null for nothing. */
    default UnitDirective unit() { return null; }
}

package yardusher.core;

import java.nio.ByteBuffer;

/** The command that a backend receives for a request. The core reads its identifying fields only, never its content. */
public interface BackendCommand {
    /** Encodes the command, including how long the backend's answer is awaited, as buffers to be written one after another. */
    ByteBuffer[] encoded(long waitMs);

    /** The request id as sent to the backend. */
    long id();

    /** The idempotency key as sent to the backend, 16 hex digits; null if the class has none. */
    String key();

    /** A fingerprint of the request's content: equal for equal requests, whatever their ids and times. */
    long fingerprint();

    /** The unit of work that the request refers to; null for none. */
    default UnitDirective unit() { return null; }
}

package yardusher.core;

/** The client side of a request. Exactly one of served, reject and failed is called, once, or a stream is begun. */
public interface Terminal {
    void served(byte[] value);

    /**
     * A served value of this length will be streamed instead of passed to {@link #served}. Returns null if this terminal does
     * not accept streams; the attempt has then failed.
     */
    default ResponseStream beginStream(long length) { return null; }

    /**
     * Short-on-capacity reply. A retry is harmless after {@code retryAfterMs}, 0 for no advice. The request may have run if an
     * attempt was sent and failed or timed out before the module gave up.
     */
    void reject(long retryAfterMs, boolean mayHaveRun);

    /** Failure reply. The request may have run if an attempt was sent and no answer proves that it did not. */
    void failed(String reason, boolean mayHaveRun);

    /** Once the terminal has left: whether it did so itself, and not this process or machine. */
    default boolean hasLeftByItself() { return true; }

    /** Whether the terminal may have left a while ago without being seen: then no attempt may begin any more. */
    default boolean mayHaveLeft() { return false; }

    /** The connection on which the request came; null if there is no lasting one. */
    default Session session() { return null; }
}

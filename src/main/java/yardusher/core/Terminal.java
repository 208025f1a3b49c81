package yardusher.core;

/** The client's side of a request. Exactly one of served, reject and failed is called, once, or a flow is begun. */
public interface Terminal {
    void served(byte[] value);

    /**
     * A served value of so many bytes comes in parts, in place of {@link #served}; null where this terminal takes none, and
     * the attempt has failed.
     */
    default ResponseStream beginStream(long length) { return null; }

    /**
     * Short-on-capacity reply: a repeat is harmless; come again after that time, 0 for no advice. It may have run
     * when an attempt was sent on and failed or timed out before the module gave up.
     */
    void reject(long retryAfterMs, boolean mayHaveRun);

    /** It may have run where an attempt of it went out and no word came that it did not. */
    void failed(String why, boolean mayHaveRun);

    /** The connection on which it asked, null where there is none that lasts. */
    default Session session() { return null; }
}

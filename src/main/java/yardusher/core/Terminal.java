package yardusher.core;

/** The client's side of a transaction. Exactly one of these is called, once. */
public interface Terminal {
    void served(byte[] value);

    /**
     * Short-on-capacity reply: a repeat is harmless; come again after that time, 0 for no advice. It may have run
     * when an attempt was sent on and failed or timed out before the module gave up.
     */
    void shortOnCapacity(long retryAfterMs, boolean mayHaveRun);

    /** It may have run where an attempt of it went out and no word came that it did not. */
    void failed(String why, boolean mayHaveRun);
}

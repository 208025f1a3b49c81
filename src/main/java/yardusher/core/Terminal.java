package yardusher.core;

/** The client's side of a transaction. Exactly one of these is called, once. */
public interface Terminal {
    void served(byte[] value);

    /** Short-on-capacity reply: a repeat is harmless; come again after that time, 0 for no advice. */
    void shortOnCapacity(long retryAfterMs);

    void failed(String why);
}

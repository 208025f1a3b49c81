package yardusher.core;

import java.nio.ByteBuffer;

/**
 * Streams a large value to a terminal chunk by chunk, without buffering it as a whole. Exactly one of {@link #end} and
 * {@link #fail} is called, once, unless the terminal leaves before. Used on the event loop only.
 */
public interface ResponseStream {
    /**
     * Writes the next chunk. It is passed only after the previous one was written; its bytes must not change until
     * {@code onWritten} runs.
     */
    void write(ByteBuffer bytes, Runnable onWritten);

    /** Whether bytes of the value were passed to the terminal's connection; false while it waits behind earlier replies. */
    default boolean hasBegun() { return true; }

    /** All chunks were passed and the value is complete. */
    void end();

    /** The value cannot be completed. The terminal can detect this. */
    void fail();
}

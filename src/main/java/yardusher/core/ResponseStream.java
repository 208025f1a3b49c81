package yardusher.core;

import java.nio.ByteBuffer;

/**
 * A large value on its way to a terminal, in parts as they come: nobody gathers it. Exactly one of {@link #end} and
 * {@link #broken} is called, once, unless the terminal leaves before. In turns only.
 */
public interface ResponseStream {
    /** The next part, brought only when the one before was taken; its bytes stay as they are until {@code taken} runs. */
    void write(ByteBuffer bytes, Runnable onWritten);

    /** All parts were brought, and the value is whole. */
    void end();

    /** It cannot be finished, which the terminal is able to tell. */
    void fail();
}

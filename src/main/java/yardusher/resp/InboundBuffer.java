package yardusher.resp;

import java.nio.ByteBuffer;

/** Where a connection puts the bytes that it reads. */
public interface InboundBuffer {
    /** Room to read into, never empty; what lies there counts only after {@link #filled}. */
    ByteBuffer readBuffer();

    /** So many bytes were read into the room last given. */
    void advance(int count);
}

package yardusher.resp;

import java.nio.ByteBuffer;

/** The buffer that a connection reads into. */
public interface InboundBuffer {
    /** Returns a buffer to read into, never empty. Its content counts only after {@link #advance}. */
    ByteBuffer readBuffer();

    /** This number of bytes was read into the buffer last returned. */
    void advance(int count);
}

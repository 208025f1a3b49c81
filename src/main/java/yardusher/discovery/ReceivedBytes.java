package yardusher.discovery;

import java.nio.ByteBuffer;
import yardusher.resp.InboundBuffer;

/** The bytes of one read of a watch, until they are taken. */
final class ReceivedBytes implements InboundBuffer {
    private static final int CAPACITY_BYTES = 8192;

    private final byte[] bytes = new byte[CAPACITY_BYTES];
    private int count;

    @Override
    public ByteBuffer readBuffer() { return ByteBuffer.wrap(bytes, count, bytes.length - count); }

    @Override
    public void advance(int more) { count += more; }

    /** The buffer; what was received is at its start. */
    byte[] bytes() { return bytes; }

    /** Takes what was received: returns its length in bytes, and the buffer is free for the next read. */
    int takeCount() {
        int taken = count;
        count = 0;
        return taken;
    }
}

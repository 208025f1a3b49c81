package yardusher.net;

/**
 * Input that was read after its connection had been shut down, and dropped. {@code reason}: why it was; {@code afterMs}: how long
 * after the shutdown it was read, which is close to 0 for input that had lain unread; {@code bytes}: the first of it, at most
 * {@link #MAX_BYTES}.
 */
public record DroppedInput(CloseReason reason, double afterMs, byte[] bytes) {
    /** The maximum number of bytes that are kept to tell what was dropped. */
    public static final int MAX_BYTES = 512;
}

package yardusher.net;

/**
 * Input that is dropped since its connection was shut down, or is to be once the replies to earlier commands are sent.
 * {@code reason}: why; {@code afterMs}: how long after the shutdown, or the decision to end, it was read, which is close to 0 for
 * input that had lain unread; {@code bytes}: the first of it, at most {@link #MAX_BYTES}.
 */
public record DroppedInput(CloseReason reason, double afterMs, byte[] bytes) {
    /** The maximum number of bytes that are kept to tell what was dropped. */
    public static final int MAX_BYTES = 512;
}

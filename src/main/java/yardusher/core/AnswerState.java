package yardusher.core;

/**
 * How far the answer to one attempt has come, and why this process ended it if it did. Without I/O and clock; times are in
 * milliseconds of the event loop's clock.
 */
public final class AnswerState {
    /** NOTHING: no byte has arrived. BEGUN: it is being buffered. PASSED_ON: its value is being streamed to the client. */
    public enum Stage { NOTHING, BEGUN, PASSED_ON }

    private Stage stage = Stage.NOTHING;
    private GiveUpReason giveUpReason;
    private double firstByteAtMs;
    private double lastByteAtMs;
    private double longestPauseMs;
    private boolean commandOut;
    private long receivedBytes;
    private long announcedBytes;

    public Stage stage() { return stage; }

    /** Whether any byte has arrived. */
    public boolean hasBegun() { return stage != Stage.NOTHING; }

    /** Whether its value is being streamed to the client. */
    public boolean isPassedOn() { return stage == Stage.PASSED_ON; }

    /** Why this process ended the attempt; null if it did not. */
    public GiveUpReason giveUpReason() { return giveUpReason; }

    /** When the first byte arrived. Only if the answer has begun. */
    public double firstByteAtMs() { return firstByteAtMs; }

    /** When the last byte so far arrived. Only if the answer has begun. */
    public double lastByteAtMs() { return lastByteAtMs; }

    /** The longest time between two bytes of the answer so far. */
    public double longestPauseMs() { return longestPauseMs; }

    /** Whether the system has taken the last byte of the command. A backend begins to work on it only once that byte has arrived. */
    public boolean isCommandOut() { return commandOut; }

    /** The bytes received so far: of the whole answer while it is buffered, of its value while it is passed on. */
    public long receivedBytes() { return receivedBytes; }

    /** The length of the value as its head announces it; 0 while it is unknown. */
    public long announcedBytes() { return announcedBytes; }

    /** So many bytes of the answer have arrived by now, and it is not whole. */
    void received(long bytes, long announced, double nowMs) {
        if (stage == Stage.NOTHING) {
            stage = Stage.BEGUN;
            firstByteAtMs = nowMs;
        } else if (bytes > receivedBytes) {
            longestPauseMs = Math.max(longestPauseMs, nowMs - lastByteAtMs);
        }
        lastByteAtMs = nowMs;
        receivedBytes = bytes;
        announcedBytes = announced;
    }

    /** The system has taken the last byte of the command. */
    void commandWritten() { commandOut = true; }

    /** Whether a value that has begun may be passed on: before its command is out, its backend cannot have begun to work on it. */
    public boolean mayPassOn() { return commandOut; }

    /** The value is passed on to the client from here on. */
    void passOn() { stage = Stage.PASSED_ON; }

    /**
     * This process ends the attempt, if the reason allows it at this stage; the only transition that does. Returns whether the attempt
     * is given up now.
     */
    boolean giveUp(GiveUpReason reason) {
        boolean allowed = giveUpReason == null && (!hasBegun() || reason.endsBegunAnswer());
        if (allowed) { giveUpReason = reason; }
        return allowed;
    }
}

package yardusher.net;

/**
 * Limits the memory that the commands of all clients take: buffers of input that is not handled yet, and as much again for commands
 * without their reply. Beyond its limit buffers grow only for commands that arrive quickly, and a quarter over it none does; beyond
 * theirs commands are refused. Used on the event loop only.
 */
public final class InputBudget {
    /** What a command without its reply takes beside its bytes: its request, attempt, timers and slot. */
    static final int COMMAND_BYTES = 2 * 1024;

    private final long maxBytes;
    private long bufferedBytes;
    private long commandBytes;
    private long peakBytes;
    private int holders;                             // connections that hold any buffer

    public InputBudget(long maxBytes) { this.maxBytes = maxBytes; }

    long maxBytes() { return maxBytes; }

    long bufferedBytes() { return bufferedBytes; }

    long heldBytes() { return bufferedBytes + commandBytes; }

    /** The buffers of one connection have changed. */
    void changeBuffers(int fromBytes, int toBytes) {
        bufferedBytes += toBytes - fromBytes;
        holders += Math.min(1, toBytes) - Math.min(1, fromBytes);
        notePeak();
    }

    /** A command is open that takes so many bytes, or is no longer if negative. */
    void addCommand(int bytes) {
        commandBytes += bytes;
        notePeak();
    }

    private void notePeak() { peakBytes = Math.max(peakBytes, heldBytes()); }

    /** Whether slow clients may fill no more buffers. */
    boolean isShort() { return bufferedBytes >= maxBytes; }

    /** Whether no buffer may grow. */
    boolean isFull() { return bufferedBytes >= maxBytes + maxBytes / 4; }

    /** Whether no command may be taken in. */
    boolean isExhausted() { return commandBytes >= maxBytes; }

    /** What a budget with that limit holds at most, but for one command of each connection. */
    static long largestBytes(long maxBytes) { return 2 * maxBytes + maxBytes / 4; }

    /** Whether so many bytes are at least what a connection that holds any holds in the mean; true for one of them at any time. */
    boolean isLargeShare(int bytes) { return (long) bytes * holders >= bufferedBytes; }

    /** What is held now, in buffers and by open commands, and at most so far, as counters. */
    public String countersLine() {
        return "input_kb=" + bufferedBytes / 1024 + " commands_kb=" + commandBytes / 1024 + " input_most_kb=" + peakBytes / 1024;
    }
}

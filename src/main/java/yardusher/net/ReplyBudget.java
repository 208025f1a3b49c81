package yardusher.net;

import yardusher.resp.Decoder;

/**
 * Limits the bytes of values and replies that a process holds for all of its clients together: those that arrive from a backend,
 * those that wait for an earlier reply of their connection, and those that the system has not accepted yet. Up to half of the
 * limit, values are buffered as a whole. Beyond it they are streamed, so that a client that reads slowly holds up its backend
 * instead of filling the heap, and connections with unread replies take in no more commands. Used on the event loop only.
 */
public final class ReplyBudget {
    /** Values up to this size are buffered without a reservation. */
    public static final int MAX_UNRESERVED_BYTES = 4 * 1024;
    /** What a streamed value counts for, whatever its length. */
    public static final int STREAM_BYTES = 16 * 1024;

    private final long maxBytes;
    private long heldBytes;
    private long peakBytes;

    public ReplyBudget(long maxBytes) { this.maxBytes = maxBytes; }

    long maxBytes() { return maxBytes; }

    /** Reserves room for a value that is buffered as a whole; returns false, and reserves nothing, if it has to be streamed. */
    public boolean tryReserve(long bytes) {
        if (heldBytes + bytes > maxBytes / 2) { return false; }
        add(bytes);
        return true;
    }

    /** Records that more bytes are held, or fewer if negative. */
    public void add(long bytes) {
        heldBytes += bytes;
        peakBytes = Math.max(peakBytes, heldBytes);
    }

    /** Whether a value of any length could no longer be buffered as a whole. */
    public boolean isShort() { return heldBytes + Decoder.MAX_BULK_BYTES > maxBytes / 2; }

    /** Whether no more work may be taken in until replies have been read. */
    public boolean isExhausted() { return heldBytes >= maxBytes; }

    long heldBytes() { return heldBytes; }

    /** The bytes held now and their maximum so far, as counters. */
    public String countersLine() { return "replies_kb=" + heldBytes / 1024 + " replies_most_kb=" + peakBytes / 1024; }
}

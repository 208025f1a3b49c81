package yardusher.core;

/**
 * Decides when a value that is streamed to a client ends although its backend has neither finished it nor ended the connection.
 * Without I/O and clock; times are in milliseconds of the event loop's clock. The reasons for each limit are in
 * {@code docs/design/obligations.md}.
 */
public final class PassedOnValue {
    /** Of a value up to this length the last byte is due in the request's time, of a longer one the first. */
    public static final int MAX_TIMED_TO_END_BYTES = 64 * 1024;
    /** A value whose last byte is due ends so long behind its time: half of what a final answer may be late. */
    static final double MAX_LATE_MS = 250;
    /** A backend that has sent nothing for so long has vanished: a usual read timeout of proxies, far over any deadline. */
    static final double MAX_SILENCE_MS = 60_000;
    /**
     * How long a client may take for a chunk of its value. The system reports room in a send buffer of some MiB only once a third
     * of it is free, which takes a client that reads 32 KiB a second most of this time.
     */
    static final double MAX_CLIENT_STALL_MS = 60_000;
    /** Where connections are short, a value that has been silent for so long behind its time gives way. */
    static final double GIVES_WAY_AFTER_MS = 5000;

    private final long bytes;
    private final double requestDeadlineMs;
    private double movedAtMs;
    private double heldUpMs;                         // by the client, so far
    private boolean waitsForClient;

    /** A value of that length is passed on from {@code nowMs} on. */
    public PassedOnValue(long bytes, double requestDeadlineMs, double nowMs) {
        this.bytes = bytes;
        this.requestDeadlineMs = requestDeadlineMs;
        movedAtMs = nowMs;
    }

    /** A chunk has been handed to the client's connection; nothing more is read until the client has taken it. */
    public void chunkHandedOn(double nowMs) {
        movedAtMs = nowMs;
        waitsForClient = true;
    }

    /** The client has taken the chunk. */
    public void chunkTaken(double nowMs) {
        heldUpMs += nowMs - movedAtMs;
        movedAtMs = nowMs;
        waitsForClient = false;
    }

    /** Reads or writes have failed on this machine up to now: no silence of the backend. A last byte is due in its time all the same. */
    public void heldUpLocally(double nowMs) { movedAtMs = nowMs; }

    public boolean isWaitingForClient() { return waitsForClient; }

    /** When the value ends if nothing moves until then. {@code reachedClient}: false while it waits behind earlier answers of its connection. */
    public double endsAtMs(boolean reachedClient) {
        if (waitsForClient) { return reachedClient ? movedAtMs + MAX_CLIENT_STALL_MS : Double.POSITIVE_INFINITY; }
        if (bytes <= MAX_TIMED_TO_END_BYTES) { return requestDeadlineMs + heldUpMs + MAX_LATE_MS; }
        return Math.max(movedAtMs, requestDeadlineMs) + MAX_SILENCE_MS;
    }

    /** Why the value ends then. */
    public GiveUpReason endReason() {
        if (waitsForClient) { return GiveUpReason.CLIENT_STALLED; }
        return bytes <= MAX_TIMED_TO_END_BYTES ? GiveUpReason.REQUEST_TIME : GiveUpReason.SILENT;
    }

    /** Since when nothing has come from the backend although the request's time is over; infinity while this side waits for the client. */
    public double silentSinceMs() { return waitsForClient ? Double.POSITIVE_INFINITY : Math.max(movedAtMs, requestDeadlineMs); }

    /** Whether the value may be ended where its connection is needed for another request; all input up to {@code handledUpToMs} is handled. */
    public boolean mayGiveWay(double handledUpToMs) { return handledUpToMs - silentSinceMs() >= GIVES_WAY_AFTER_MS; }
}

package yardusher.core;

import yardusher.Api;

/** One sending of a request to a backend. It ends exactly once, through {@link Ingress#attemptEnded}. */
public final class Attempt {
    private static final int WRITTEN_AT_ONCE = 16 * 1024;

    public final Request request;
    public final int number;
    public final long backend;
    public final double sentAt;
    public final long waitMs;
    /** Used by the request log only: whether the intent has been logged. */
    public boolean noted;
    Deadlines.Entry timeOut;
    /** Time from sending to the first byte of the answer, in milliseconds; negative until a streamed answer begins. */
    double beganMs = -1;
    /** Aborts the attempt; set by the backend connection. */
    public Runnable giveUp = () -> { };
    /** Whether the bytes were handed to a socket. Kept after the attempt ends, for the request log. */
    private boolean handed;
    /** Whether the attempt is already counted in {@link Counters#forwards}. */
    boolean forwarded;
    /** Whether the module was told that the attempt waits to be written. */
    boolean delayed;
    /** Size of the command that was passed to the backend side, in bytes. */
    int bytes;

    Attempt(Request request, int number, long backend, double sentAt, long waitMs) {
        this.request = request;
        this.number = number;
        this.backend = backend;
        this.sentAt = sentAt;
        this.waitMs = waitMs;
    }

    public boolean isOver() { return !request.course.isOut(number); }

    /** Whether bytes of the attempt may have been sent. */
    public boolean mayHaveGone() { return handed; }

    /**
     * Called by the backend connection at the moment it hands the bytes to the socket; from then on the attempt may have run.
     * Returns false if nothing may be sent, or may not be sent again: the attempt has ended, its request is answered, cancelled
     * or past its deadline, or a repeat would start outside the class's window. {@code nowMs} is the event loop's time.
     */
    public boolean hand(double now) {
        boolean may = !isLate(now) && request.course.hand(number, now);
        handed |= may;
        return may;
    }

    /** Whether the attempt waited longer than its units of a ceiling are reserved for it. */
    public boolean isLate(double now) { return request.hasCeiling && now - sentAt > Api.WRITTEN_WITHIN_MS; }

    /** Whether the bytes are with a socket and are few enough not to wait there for buffer space. */
    boolean isWrittenAtOnce() { return handed && bytes <= WRITTEN_AT_ONCE; }

    /** The write failed: the system never accepted the last byte. */
    public void unwritten() {
        request.course.unwritten(number);
        handed = false;
    }

    /** The outcome of an attempt. The value is present only if the attempt was served. */
    public record Result(Api.Outcome outcome, byte[] value, double[] load) {
        public static Result of(Api.Outcome outcome) { return new Result(outcome, null, null); }
    }
}

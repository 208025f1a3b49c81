package yardusher.core;

import yardusher.Api;

/** One sending of a request to a backend. It ends once, by {@link Ingress#attemptEnded}. */
public final class Attempt {
    private static final int MAX_IMMEDIATE_WRITE_BYTES = 16 * 1024;

    public final Request request;
    public final int number;
    public final long backend;
    public final double sentAtMs;
    public final long waitMs;
    /** For the order log alone: whether its intent is told. */
    public boolean intentLogged;
    Deadlines.Entry timeoutEntry;
    /** How long its answer's first byte took, in milliseconds; negative where it is measured at its end. */
    double firstByteMs = -1;
    /** Set by the backend's connection: gives the attempt up. */
    public Runnable abort = () -> { };
    /** Whether its bytes were handed to a socket; outlives its end, for the record. */
    private boolean handedToSocket;
    /** Whether it stands in the count of those written whole. */
    boolean countedAsForwarded;
    /** Whether the module was told that it waits to be written. */
    boolean delayReported;
    /** The bytes that were handed to the backends' side. */
    int commandBytes;

    Attempt(Request request, int number, long backend, double sentAtMs, long waitMs) {
        this.request = request;
        this.number = number;
        this.backend = backend;
        this.sentAtMs = sentAtMs;
        this.waitMs = waitMs;
    }

    public boolean isOver() { return !request.state.isActive(number); }

    /** Whether bytes of it may have gone out. */
    public boolean mayHaveBeenSent() { return handedToSocket; }

    /**
     * Asked by the backend's connection in the instant in which it hands the bytes to the socket; from then on it may have run.
     * False where nothing of it may be sent any more, or twice: it is over, its request is answered, gone or past its deadline, or
     * a repeat would begin outside its window. {@code now} in milliseconds of the loop's clock.
     */
    public boolean handToSocket(double nowMs) {
        boolean allowed = !isTooLateToWrite(nowMs) && request.state.handToSocket(number, nowMs);
        handedToSocket |= allowed;
        return allowed;
    }

    /** Whether it has waited for longer than the units that it takes of a ceiling are held for it. */
    public boolean isTooLateToWrite(double nowMs) { return request.hasCeiling && nowMs - sentAtMs > Api.MAX_WRITE_DELAY_MS; }

    /** Whether its bytes are with a socket, and so few that they don't wait there for room. */
    boolean isWrittenImmediately() { return handedToSocket && commandBytes <= MAX_IMMEDIATE_WRITE_BYTES; }

    /** The write failed: the system never took its last byte. */
    public void writeFailed() {
        request.state.writeFailed(number);
        handedToSocket = false;
    }

    /** How an attempt ended; the value is there when it was served. */
    public record Result(Api.Outcome outcome, byte[] value, double[] load) {
        public static Result of(Api.Outcome outcome) { return new Result(outcome, null, null); }
    }
}

package yardusher.core;

import java.nio.ByteBuffer;
import java.util.function.BooleanSupplier;
import yardusher.Api;

/** One sending of a request to a backend. It ends exactly once, through {@link Ingress#attemptEnded}. */
public final class Attempt {
    private static final int MAX_IMMEDIATE_WRITE_BYTES = 16 * 1024;

    public final Request request;
    public final int number;
    public final long backend;
    public final double sentAtMs;
    public final long waitMs;
    /** Used by the request log only: whether the intent has been logged. */
    public boolean intentLogged;
    Deadlines.Entry timeoutEntry;
    /** How far its answer has come. */
    private final AnswerState answer = new AnswerState();
    /** Aborts the attempt; set by the backend connection. */
    public Runnable abort = () -> { };
    /** Whether this machine holds the attempt up at the moment; set by the backend connection. */
    public BooleanSupplier heldUpLocally = () -> false;
    /** Whether the bytes were handed to a socket. Kept after the attempt ends, for the request log. */
    private boolean handedToSocket;
    /** Whether the attempt is already counted in {@link Counters#forwards}. */
    boolean countedAsForwarded;
    /** Whether the module was told that the attempt waits to be written. */
    boolean delayReported;
    /** Size of the command that was passed to the backend side, in bytes. */
    int commandBytes;

    Attempt(Request request, int number, long backend, double sentAtMs, long waitMs) {
        this.request = request;
        this.number = number;
        this.backend = backend;
        this.sentAtMs = sentAtMs;
        this.waitMs = waitMs;
    }

    /** Until when an answer that has begun is waited for. */
    public double answerDeadlineMs() { return request.answerDeadlineMs; }

    /** Time from sending to the first byte of the answer: how long its rest takes says nothing about the load of its backend. */
    double latencyMs(double nowMs) { return (answer.hasBegun() ? answer.firstByteAtMs() : nowMs) - sentAtMs; }

    /** How far its answer has come. */
    public AnswerState answer() { return answer; }

    /** To be asked by whoever ends the attempt for this process, right before it ends: whether the reason allows it. */
    public boolean giveUp(GiveUpReason reason) { return answer.giveUp(reason); }

    public boolean isOver() { return !request.state.isActive(number); }

    /** Whether bytes of the attempt may have been sent. */
    public boolean mayHaveBeenSent() { return handedToSocket; }

    /**
     * Called by the backend connection at the moment it hands the bytes to the socket; from then on the attempt may have run.
     * Returns false if nothing may be sent, or may not be sent again: the attempt has ended, its request is answered, cancelled
     * or past its deadline, its client may have left, or a repeat would start outside the class's window. {@code nowMs} is the event loop's time.
     */
    public boolean handToSocket(double nowMs) {
        boolean allowed = !isTooLateToWrite(nowMs) && !request.incoming.terminal().mayHaveLeft() && request.state.handToSocket(number, nowMs);
        handedToSocket |= allowed;
        return allowed;
    }

    /** The command as it is to be sent now: it tells the backend only the time that is left. */
    public ByteBuffer[] commandAt(double nowMs) {
        double leftMs = Math.max(1, sentAtMs + waitMs - nowMs);
        return request.incoming.command().encoded((long) Math.ceil(leftMs));
    }

    /** Whether the attempt waited longer than its units of a ceiling are reserved for it. */
    public boolean isTooLateToWrite(double nowMs) { return request.hasCeiling && nowMs - sentAtMs > Api.MAX_WRITE_DELAY_MS; }

    /** Whether the bytes are with a socket and are few enough not to wait there for buffer space. */
    boolean isWrittenImmediately() { return handedToSocket && commandBytes <= MAX_IMMEDIATE_WRITE_BYTES; }

    /** The write failed: the system never accepted the last byte. */
    public void writeFailed() {
        request.state.writeFailed(number);
        handedToSocket = false;
    }

    /** The outcome of an attempt. The value is present only if the attempt was served. */
    public record Result(Api.Outcome outcome, byte[] value, double[] load) {
        public static Result of(Api.Outcome outcome) { return new Result(outcome, null, null); }
    }
}

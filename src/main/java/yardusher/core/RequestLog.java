package yardusher.core;

import java.util.function.Consumer;
import yardusher.Api;

/**
 * What is told of requests that must not run twice, in the order in which it happens. Called in turns only; no
 * call waits. An intent stands recorded before the first byte of its attempt goes out.
 */
public interface RequestLog {
    /** Whether a request that comes in is recorded, goes on without a record, or is turned away at once. */
    enum Admission { RECORDED, UNRECORDED, REFUSED }

    /** What the terminal was finally told; GONE: it left and was told nothing. */
    enum Answer { SERVED, REJECTED, FAILED, GONE }

    Admission admit(Request request);

    /**
     * Parks an attempt until its intent is recorded. The consumer is run once, in this or a later turn: with true
     * the attempt may be sent, with false it must not. An attempt that ended meanwhile is the consumer's to see.
     */
    void recordIntent(Attempt attempt, Consumer<Boolean> then);

    /** The socket has taken the attempt's last byte. */
    void attemptWritten(Attempt attempt);

    void attemptEnded(Attempt attempt, Api.Outcome outcome);

    void answered(Request request, Answer answer);

    /** How long who was refused for want of a record should stay away, in milliseconds. */
    double retryAfterMs();

    /** Records nothing. */
    RequestLog NONE = new RequestLog() {
        @Override
        public Admission admit(Request request) { return Admission.UNRECORDED; }

        @Override
        public void recordIntent(Attempt attempt, Consumer<Boolean> then) { then.accept(true); }

        @Override
        public void attemptWritten(Attempt attempt) { }

        @Override
        public void attemptEnded(Attempt attempt, Api.Outcome outcome) { }

        @Override
        public void answered(Request request, Answer answer) { }

        @Override
        public double retryAfterMs() { return 0; }
    };
}

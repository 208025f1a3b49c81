package yardusher.core;

import java.util.function.Consumer;
import yardusher.Api;

/**
 * Records the progress of requests that must not run twice, in the order of events. Called on the event loop only; no call
 * blocks. An intent is recorded before the first byte of its attempt is sent.
 */
public interface RequestLog {
    /** Whether a new request is recorded, continues without a record, or is refused at once. */
    enum Admission { RECORDED, UNRECORDED, REFUSED }

    /** The final answer to the terminal. GONE: the terminal left and got none. */
    enum Answer { SERVED, REJECTED, FAILED, GONE }

    Admission admit(Request request);

    /**
     * Parks an attempt until its intent is recorded. The consumer is called once, in this or a later event loop task: with true
     * if the attempt may be sent, with false if it must not be. The consumer checks whether the attempt has ended meanwhile.
     */
    void recordIntent(Attempt attempt, Consumer<Boolean> then);

    /** The attempt's last byte was written to the socket. */
    void attemptWritten(Attempt attempt);

    void attemptEnded(Attempt attempt, Api.Outcome outcome);

    void answered(Request request, Answer answer);

    /** How long a client that was refused for lack of a record should wait before it retries, in milliseconds. */
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

package yardusher.core;

import yardusher.Api;

/** Told of what happens to single requests beside their answers, for logs. Called on the event loop only; no call blocks. */
public interface RequestTrace {
    /** An attempt ended without an answer of its backend. */
    void attemptFailed(Attempt attempt, Api.Outcome outcome);

    /** This process ended an attempt by itself; the reason and what had arrived by then are in its answer's state. */
    void attemptGivenUp(Attempt attempt);

    /** A request was refused for a lack of capacity. */
    void refused(Request request, Api.Reason reason);

    /** A request is answered as failed. */
    void failed(Request request, String reason);

    /** Records nothing. */
    RequestTrace NONE = new RequestTrace() {
        @Override
        public void attemptFailed(Attempt attempt, Api.Outcome outcome) { }

        @Override
        public void attemptGivenUp(Attempt attempt) { }

        @Override
        public void refused(Request request, Api.Reason reason) { }

        @Override
        public void failed(Request request, String reason) { }
    };
}

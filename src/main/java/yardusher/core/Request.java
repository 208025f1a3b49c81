package yardusher.core;

import java.util.function.Consumer;
import yardusher.Api;

/** One request from its acceptance to its final answer. Written on the event loop only. */
public final class Request implements RequestHandle {
    /** With the 250 ms of a value whose last byte is due, below the half second that a final answer may be late. */
    private static final double MAX_UNCERTAIN_MS = 150;

    public final long number;
    public final IncomingRequest incoming;
    public final double arrivedAtMs;
    /** When its time is over, counted from the earliest moment at which it may have arrived: for what begins, and what backends are told. */
    public final double deadlineMs;
    /** Until when an answer that has begun is waited for: its client's time may be over only then. */
    final double answerDeadlineMs;
    /** Whether the request's plan has a ceiling. */
    boolean hasCeiling;
    int attemptCount;
    Attempt newestAttempt;
    final RequestState state;
    /** The stream of a large value; null for none. */
    ResponseStream stream;
    /** Whether the request log records this request. If not, no later event of it is logged. */
    boolean recorded;
    /** Used by the request log only: whether an event of this request has been logged. */
    public boolean logged;
    Deadlines.Entry deadlineEntry;

    /** Called when the terminal leaves. */
    private final Consumer<Request> onTerminalLeft;

    Request(long number, IncomingRequest incoming, Api.RequestClass requestClass, double arrivedAtMs, Consumer<Request> onTerminalLeft) {
        this.onTerminalLeft = onTerminalLeft;
        this.number = number;
        this.incoming = incoming;
        this.arrivedAtMs = arrivedAtMs;
        this.deadlineMs = arrivedAtMs + incoming.waitMs();
        answerDeadlineMs = deadlineMs + Math.min(MAX_UNCERTAIN_MS, incoming.uncertainMs());
        state = new RequestState(requestClass, deadlineMs);
    }

    @Override
    public IncomingRequest incoming() { return incoming; }

    /** The number of attempts so far. */
    public int attempts() { return attemptCount; }

    @Override
    public boolean mayHaveRun() { return state.mayHaveRun(); }

    @Override
    public void terminalLeft() { onTerminalLeft.accept(this); }
}

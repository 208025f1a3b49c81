package yardusher.core;

import java.util.function.Consumer;
import yardusher.Api;

/** One request from its taking in to its final answer. Written in turns only. */
public final class Request implements RequestHandle {
    public final long number;
    public final IncomingRequest incoming;
    public final double arrivedAtMs;
    public final double deadlineMs;
    /** Whether its plan has a ceiling. */
    boolean hasCeiling;
    int attemptCount;
    Attempt newestAttempt;
    /** Where it stands. */
    final RequestState state;
    /** A large value that is being passed on, or null. */
    ResponseStream stream;
    /** Whether the order log records it; all it is told after the taking in goes by this. */
    boolean recorded;
    /** For the order log alone: whether it has told of this request yet. */
    public boolean logged;
    Deadlines.Entry deadlineEntry;

    /** What is done when the terminal leaves. */
    private final Consumer<Request> onTerminalLeft;

    Request(long number, IncomingRequest incoming, Api.RequestClass requestClass, double arrivedAtMs, Consumer<Request> onTerminalLeft) {
        this.onTerminalLeft = onTerminalLeft;
        this.number = number;
        this.incoming = incoming;
        this.arrivedAtMs = arrivedAtMs;
        this.deadlineMs = arrivedAtMs + incoming.waitMs();
        state = new RequestState(requestClass, deadlineMs);
    }

    @Override
    public IncomingRequest incoming() { return incoming; }

    @Override
    public boolean mayHaveRun() { return state.mayHaveRun(); }

    @Override
    public void terminalLeft() { onTerminalLeft.accept(this); }
}

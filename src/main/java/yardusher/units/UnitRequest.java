package yardusher.units;

import java.nio.ByteBuffer;
import java.util.function.Consumer;
import yardusher.core.Deadlines;
import yardusher.core.ResponseStream;
import yardusher.core.IncomingRequest;
import yardusher.core.Session;
import yardusher.core.RequestHandle;
import yardusher.core.Terminal;
import yardusher.core.EventLoop;

/**
 * One request that belongs to a unit, at the ingress that received it. It waits for the answer of the unit's home; a part then
 * runs under the grant it was given. The front sees it as an admitted request, the core as the terminal to answer. A part is
 * finished when its terminal was answered or has left, and none of its attempts is open.
 */
final class UnitRequest implements RequestHandle, Terminal {
    /** The progress of a request; only granted parts run. */
    enum Stage { WAITING, RUNNING, FINISHED }

    final IncomingRequest clientRequest;
    final UnitName unit;
    final long requestId;
    final int part;
    final Ticket.Kind kind;
    final double deadlineMs;
    private final EventLoop loop;
    private final Consumer<UnitRequest> onSettled;   // called whenever the request may have finished
    private final Consumer<UnitRequest> onTerminalLeft; // called when the terminal has left
    Stage stage = Stage.WAITING;
    String home;                                     // the ingress it was sent to; null for this one
    long homeIncarnation;
    int hops;                                        // homes it was sent to so far
    int awaitedPart;                                 // while queued at the home: the part that is due there, else 0
    Deadlines.Entry timer;
    // While it runs:
    RequestHandle admitted;
    int grantNumber;
    boolean bindsToRegion;
    long region = -1;                                // the binding: given by the home, or set by the first attempt that may have run
    int zone = -1;
    boolean handedOn;                                // to the core, or answered instead
    boolean recorded;                                // by the request log behind UnitRequestLog
    int openAttempts;                                // attempts that have not ended
    int attemptZone = -1;                            // the zone of the open attempt's region
    boolean attemptReleased;                         // whether the open attempt was allowed to be sent
    boolean answered;
    boolean served;
    boolean mayHaveRun;
    double mayRunUntilMs = Double.NEGATIVE_INFINITY; // a region may still run an abandoned attempt until then

    UnitRequest(IncomingRequest clientRequest, UnitName unit, long requestId, int part, Ticket.Kind kind, EventLoop loop,
            Consumer<UnitRequest> onSettled, Consumer<UnitRequest> onTerminalLeft) {
        this.clientRequest = clientRequest;
        this.unit = unit;
        this.requestId = requestId;
        this.part = part;
        this.kind = kind;
        this.loop = loop;
        this.onSettled = onSettled;
        this.onTerminalLeft = onTerminalLeft;
        this.deadlineMs = loop.now() + clientRequest.waitMs();
    }

    @Override
    public IncomingRequest incoming() { return clientRequest; }

    @Override
    public boolean mayHaveRun() { return mayHaveRun || admitted != null && admitted.mayHaveRun(); }

    @Override
    public void terminalLeft() {
        if (answered) { return; }
        answered = true;
        onTerminalLeft.accept(this);
    }

    @Override
    public Session session() { return clientRequest.terminal().session(); }

    @Override
    public boolean mayHaveLeft() { return clientRequest.terminal().mayHaveLeft(); }

    /** Marks the request as answered; false if it already was, since each request has exactly one final answer. */
    private boolean markAnswered() {
        boolean first = !answered;
        answered = true;
        loop.deadlines().cancel(timer);
        return first;
    }

    @Override
    public void served(byte[] value) {
        served = stage == Stage.RUNNING;
        if (markAnswered()) { clientRequest.terminal().served(value); }
        onSettled.accept(this);
    }

    @Override
    public void reject(long retryAfterMs, boolean may) {
        mayHaveRun |= may;
        if (markAnswered()) { clientRequest.terminal().reject(retryAfterMs, may); }
        onSettled.accept(this);
    }

    @Override
    public void failed(String why, boolean may) {
        mayHaveRun |= may;
        if (markAnswered()) { clientRequest.terminal().failed(why, may); }
        onSettled.accept(this);
    }

    @Override
    public ResponseStream beginStream(long length) {
        ResponseStream flow = clientRequest.terminal().beginStream(length);
        return flow == null ? null : new ResponseStream() {
            @Override
            public void write(ByteBuffer bytes, Runnable then) { flow.write(bytes, then); }

            @Override
            public boolean hasBegun() { return flow.hasBegun(); }

            @Override
            public void end() {
                served = true;
                if (markAnswered()) { flow.end(); }
                onSettled.accept(UnitRequest.this);
            }

            @Override
            public void fail() {
                mayHaveRun = true;
                if (markAnswered()) { flow.fail(); }
                onSettled.accept(UnitRequest.this);
            }
        };
    }
}

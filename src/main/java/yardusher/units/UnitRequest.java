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
 * One request that belongs to a unit, at the ingress that took it: it waits for its home's word, and as a part it then runs
 * under a grant. To the front it is what is under way, to the core it is the terminal. A part is over when its terminal has
 * its answer or has left, and no attempt of it is out.
 */
final class UnitRequest implements RequestHandle, Terminal {
    enum Stage { WAITING, RUNNING, FINISHED }

    final IncomingRequest clientRequest;
    final UnitName unit;
    final long requestId;
    final int part;
    final Ticket.Kind kind;
    final double deadlineMs;
    private final EventLoop loop;
    private final Consumer<UnitRequest> onSettled;           // told whenever it may be over
    private final Consumer<UnitRequest> onTerminalLeft;            // told when its terminal has left
    Stage stage = Stage.WAITING;
    String home;                                     // whom it was asked of; null for this ingress
    long homeIncarnation;
    int hops;                                        // homes asked so far
    int awaitedPart;                                         // where it has its place and waits: the part that is awaited, else 0
    Deadlines.Entry timer;
    // Of its run:
    RequestHandle admitted;
    int grantNumber;
    boolean bindsToRegion;
    long region = -1;                                // where its attempts may go: told by the home, or where one may have run
    int zone = -1;
    boolean handedOn;
    boolean recorded;                                // by the order log behind this one
    int openAttempts;                                         // attempts that are not over
    int attemptZone = -1;                                // the zone of the region of the one that is out
    boolean attemptReleased;                                  // and it was let go
    boolean answered;
    boolean served;
    boolean mayHaveRun;
    double mayRunUntilMs = Double.NEGATIVE_INFINITY;

    UnitRequest(IncomingRequest clientRequest, UnitName unit, long requestId, int part, Ticket.Kind kind, EventLoop loop, Consumer<UnitRequest> onSettled, Consumer<UnitRequest> onTerminalLeft) {
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

    /** Whether this is its one final answer. */
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

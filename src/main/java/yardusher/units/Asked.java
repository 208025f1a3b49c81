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
final class Asked implements RequestHandle, Terminal {
    enum Stage { WAITS, RUNS, OVER }

    final IncomingRequest order;
    final UnitName unit;
    final long ask;
    final int part;
    final Ticket.Kind kind;
    final double deadline;
    private final EventLoop loop;
    private final Consumer<Asked> settles;           // told whenever it may be over
    private final Consumer<Asked> leaves;            // told when its terminal has left
    Stage stage = Stage.WAITS;
    String home;                                     // whom it was asked of; null for this ingress
    long homeLife;
    int hops;                                        // homes asked so far
    int due;                                         // where it has its place and waits: the part that is awaited, else 0
    Deadlines.Entry timer;
    // Of its run:
    RequestHandle stay;
    int grant;
    boolean toRegion;
    long server = -1;                                // where its attempts may go: told by the home, or where one may have run
    int zone = -1;
    boolean taken;
    boolean recorded;                                // by the order log behind this one
    int out;                                         // attempts that are not over
    int outZone = -1;                                // the zone of the region of the one that is out
    boolean letOut;                                  // and it was let go
    boolean answered;
    boolean served;
    boolean mayHaveRun;
    double looseUntil = Double.NEGATIVE_INFINITY;

    Asked(IncomingRequest order, UnitName unit, long ask, int part, Ticket.Kind kind, EventLoop loop, Consumer<Asked> settles, Consumer<Asked> leaves) {
        this.order = order;
        this.unit = unit;
        this.ask = ask;
        this.part = part;
        this.kind = kind;
        this.loop = loop;
        this.settles = settles;
        this.leaves = leaves;
        this.deadline = loop.now() + order.waitMs();
    }

    @Override
    public IncomingRequest incoming() { return order; }

    @Override
    public boolean mayHaveRun() { return mayHaveRun || stay != null && stay.mayHaveRun(); }

    @Override
    public void terminalLeft() {
        if (answered) { return; }
        answered = true;
        leaves.accept(this);
    }

    @Override
    public Session session() { return order.terminal().session(); }

    /** Whether this is its one final answer. */
    private boolean last() {
        boolean first = !answered;
        answered = true;
        loop.deadlines().cancel(timer);
        return first;
    }

    @Override
    public void served(byte[] value) {
        served = stage == Stage.RUNS;
        if (last()) { order.terminal().served(value); }
        settles.accept(this);
    }

    @Override
    public void reject(long retryAfterMs, boolean may) {
        mayHaveRun |= may;
        if (last()) { order.terminal().reject(retryAfterMs, may); }
        settles.accept(this);
    }

    @Override
    public void failed(String why, boolean may) {
        mayHaveRun |= may;
        if (last()) { order.terminal().failed(why, may); }
        settles.accept(this);
    }

    @Override
    public ResponseStream beginStream(long length) {
        ResponseStream flow = order.terminal().beginStream(length);
        return flow == null ? null : new ResponseStream() {
            @Override
            public void write(ByteBuffer bytes, Runnable then) { flow.write(bytes, then); }

            @Override
            public void end() {
                served = true;
                if (last()) { flow.end(); }
                settles.accept(Asked.this);
            }

            @Override
            public void fail() {
                mayHaveRun = true;
                if (last()) { flow.fail(); }
                settles.accept(Asked.this);
            }
        };
    }
}

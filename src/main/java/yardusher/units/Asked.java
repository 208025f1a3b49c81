package yardusher.units;

import java.nio.ByteBuffer;
import java.util.function.Consumer;
import yardusher.core.Deadlines;
import yardusher.core.Flow;
import yardusher.core.Order;
import yardusher.core.Session;
import yardusher.core.Stay;
import yardusher.core.Terminal;
import yardusher.core.EventLoop;

/**
 * One request that belongs to a unit, at the ingress that received it. It waits for the answer of the unit's home; a part then
 * runs under the grant it was given. The front sees it as an admitted request, the core as the terminal to answer. A part is
 * finished when its terminal was answered or has left, and none of its attempts is open.
 */
final class Asked implements Stay, Terminal {
    enum Stage { WAITS, RUNS, OVER }

    final Order order;
    final UnitName unit;
    final long ask;
    final int part;
    final Ticket.Kind kind;
    final double deadline;
    private final EventLoop loop;
    private final Consumer<Asked> settles;           // called whenever the request may have finished
    private final Consumer<Asked> leaves;            // called when the terminal has left
    Stage stage = Stage.WAITS;
    String home;                                     // the ingress it was sent to; null for this one
    long homeLife;
    int hops;                                        // homes it was sent to so far
    int due;                                         // while queued at the home: the part that is due there, else 0
    Deadlines.Entry timer;
    // While it runs:
    Stay stay;
    int grant;
    boolean toRegion;
    long server = -1;                                // the binding: given by the home, or set by the first attempt that may have run
    int zone = -1;
    boolean taken;
    boolean recorded;                                // by the request log behind UnitRequestLog
    int out;                                         // attempts that have not ended
    int outZone = -1;                                // the zone of the open attempt's region
    boolean letOut;                                  // whether the open attempt was allowed to be sent
    boolean answered;
    boolean served;
    boolean mayHaveRun;
    double looseUntil = Double.NEGATIVE_INFINITY;    // a region may still run an abandoned attempt until then

    Asked(Order order, UnitName unit, long ask, int part, Ticket.Kind kind, EventLoop loop, Consumer<Asked> settles, Consumer<Asked> leaves) {
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
    public Order order() { return order; }

    @Override
    public boolean mayHaveRun() { return mayHaveRun || stay != null && stay.mayHaveRun(); }

    @Override
    public void gone() {
        if (answered) { return; }
        answered = true;
        leaves.accept(this);
    }

    @Override
    public Session session() { return order.terminal().session(); }

    /** Marks the request as answered; false if it already was, since each request has exactly one final answer. */
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
    public Flow begin(long length) {
        Flow flow = order.terminal().begin(length);
        return flow == null ? null : new Flow() {
            @Override
            public void part(ByteBuffer bytes, Runnable then) { flow.part(bytes, then); }

            @Override
            public void end() {
                served = true;
                if (last()) { flow.end(); }
                settles.accept(Asked.this);
            }

            @Override
            public void broken() {
                mayHaveRun = true;
                if (last()) { flow.broken(); }
                settles.accept(Asked.this);
            }
        };
    }
}

package yardusher.servers;

import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.Arrays;
import java.util.List;
import yardusher.Api;
import yardusher.core.Attempt;
import yardusher.core.Deadlines;
import yardusher.core.ResponseStream;
import yardusher.net.Connection;
import yardusher.resp.MalformedRespException;
import yardusher.resp.Value;

/** One connection to a backend, with at most one attempt on it. */
final class BackendLink implements Connection.Owner {
    private final BackendPool pool;
    final BackendPool.Place place;
    final long backend;
    double idleSince;
    /** An answer that has begun moves on soon, and is whole soon after; one that is not has a length that does not fit. */
    private static final double MOVES_MS = 250;
    private static final double LOOK_MS = 50;        // and what came while nothing was read is read first
    private static final double WHOLE_MS = 1000;

    private Connection link;
    private Attempt attempt;
    private Deadlines.Entry wholeBy;
    private ResponseStream flow;                               // a large value that is passed on as it comes
    private long left;                               // bytes of it that have not come
    private boolean carried;                         // a part is on its way to the terminal
    private double startedAt;                        // when the first bytes of an answer came that is not whole
    private double movedAt;                          // when the last part came or was taken
    private boolean used;
    private boolean over;                            // closed from this side; the backend may not have closed yet
    private boolean kept;                            // the attempt found it used by one before

    BackendLink(BackendPool pool, BackendPool.Place place, long backend) {
        this.pool = pool;
        this.place = place;
        this.backend = backend;
    }

    void open(AsynchronousSocketChannel channel) {
        link = new Connection(channel, pool.sockets.loop(), this);
        link.readMore();
    }

    /** Whether it has carried an attempt. */
    boolean isUsed() { return used; }

    /** Carries an attempt that was handed over: from here on it may have run, until its write fails. */
    void carry(Attempt next, ByteBuffer... cargo) {
        attempt = next;
        kept = used;
        used = true;
        next.abort = this::close;
        for (ByteBuffer part : cargo) { link.write(part); }
    }

    /** Ends the connection from this side: to a backend that gives the attempt up. */
    void close() {
        attempt = null;
        flow = null;
        pool.sockets.loop().deadlines().cancel(wholeBy);
        if (over || link.isClosed()) { return; }
        over = true;
        pool.leaves(place, backend, link);
    }

    /** A connection that nobody waits for any more by the time it is there. */
    static void drop(BackendPool pool, AsynchronousSocketChannel channel, Runnable then) {
        new Connection(channel, pool.sockets.loop(), new Connection.Owner() {
            @Override
            public boolean onReadable(Connection from) { return true; }

            @Override
            public void onClosed(Connection from) { then.run(); }
        }).shutdownAndAwaitPeer(then);
    }

    @Override
    public boolean onReadable(Connection from) {
        if (flow != null) { return flows(); }
        Value value;
        try {
            value = from.decoder().nextValue();
            if (value == null && attempt != null && from.decoder().beginLargeValue() > 0) { return begins(); }
        } catch (MalformedRespException e) {
            spoilt();
            return false;
        }
        if (value == null) {
            if (attempt != null && !from.decoder().isEmpty()) { expectMore(); }
            return true;
        }
        pool.sockets.loop().deadlines().cancel(wholeBy);
        wholeBy = null;
        Attempt.Result result = attempt == null ? null : result(value);
        if (result == null) {                        // nobody asked, or not what this protocol answers
            spoilt();
            return false;
        }
        served(result);
        return true;
    }

    /**
     * Guards against an answer that never ends: its attempt would hold out till its deadline. A long one that keeps coming over a
     * slow way, or is read late, is no such.
     */
    private void expectMore() {
        Deadlines deadlines = pool.sockets.loop().deadlines();
        double now = pool.sockets.loop().now();
        startedAt = wholeBy == null ? now : startedAt;
        deadlines.cancel(wholeBy);
        boolean endless = now - startedAt > WHOLE_MS;
        wholeBy = endless ? deadlines.schedule(now, this::spoilt) : deadlines.schedule(now + MOVES_MS, this::look);
    }

    /** Guards against a process that was held up: what came meanwhile is read before this time is over. */
    private void look() {
        Deadlines deadlines = pool.sockets.loop().deadlines();
        wholeBy = deadlines.schedule(pool.sockets.loop().now() + LOOK_MS, this::spoilt);
    }

    /** The attempt has its answer: the connection waits for the next. */
    private void served(Attempt.Result result) {
        Attempt ended = attempt;
        attempt = null;
        ended.abort = () -> { };
        pool.noteLost(kept, false);
        // Guards the next attempt: what is behind the answer is no one's, and a command that is not written whole still goes out.
        if (link.decoder().isEmpty() && link.queuedBytes() == 0) { pool.rest(this); } else { close(); }
        pool.end(ended, result);
    }

    /** A value too large to be held: it goes on as it comes. */
    private boolean begins() {
        Deadlines deadlines = pool.sockets.loop().deadlines();
        deadlines.cancel(wholeBy);
        left = link.decoder().beginLargeValue();
        flow = pool.begin(attempt, left);
        if (flow == null) {
            spoilt();
            return false;
        }
        moved();
        wholeBy = deadlines.schedule(movedAt + pool.stallMs, this::watchFlow);
        return flows();
    }

    private void moved() { movedAt = pool.sockets.loop().now(); }

    /**
     * Guards against a value that never ends, and against a terminal that takes no more of it: where nothing has moved
     * for longer than any request is waited for, it is given up.
     */
    private void watchFlow() {
        if (flow == null) { return; }
        double now = pool.sockets.loop().now();
        if (now < movedAt + pool.stallMs) {
            wholeBy = pool.sockets.loop().deadlines().schedule(movedAt + pool.stallMs, this::watchFlow);
            return;
        }
        Attempt ended = attempt;
        close();
        pool.end(ended, Attempt.Result.of(carried ? Api.Outcome.CANCELLED : Api.Outcome.TIMED_OUT));
    }

    /** Brings what has come to the terminal; nothing more is read until it has taken that. */
    private boolean flows() {
        if (carried) { return false; }
        if (left > 0) {
            ByteBuffer part = link.decoder().nextChunk(left);
            if (part == null) { return true; }
            left -= part.remaining();
            carried = true;
            moved();
            flow.write(part, this::taken);
            return false;
        }
        try {
            List<Value> rest = link.decoder().finishLargeValue();
            if (rest == null) { return true; }
            if (rest.size() != 2) { throw new MalformedRespException("not an answer"); }
            flow = null;
            pool.sockets.loop().deadlines().cancel(wholeBy);
            wholeBy = null;
            served(new Attempt.Result(Api.Outcome.SERVED, null, load(rest.get(1))));
            return true;
        } catch (MalformedRespException e) {
            spoilt();
            return false;
        }
    }

    private void taken() {
        if (flow == null || link.isClosed()) { return; }
        carried = false;
        moved();
        if (flows()) { link.readMore(); }
    }

    @Override
    public void onFlushed(Connection from) {
        if (attempt != null) { pool.written(attempt); }
    }

    @Override
    public void onClosed(Connection from) {
        pool.over(place, backend, false);
        place.idle.remove(this);
        pool.sockets.loop().deadlines().cancel(wholeBy);
        Attempt ended = attempt;
        attempt = null;
        flow = null;
        if (ended != null) {
            pool.noteLost(kept, true);
            if (from.writeFailed()) { ended.writeFailed(); }
            pool.end(ended, Attempt.Result.of(from.writeFailed() ? Api.Outcome.CONNECT_FAILED : Api.Outcome.CONNECTION_LOST));
        }
    }

    /** The attempt may have run and its answer is lost; what comes here next belongs to nobody. */
    private void spoilt() {
        Attempt ended = attempt;
        place.idle.remove(this);
        close();
        if (ended != null) { pool.end(ended, Attempt.Result.of(Api.Outcome.SERVER_ERROR)); }
    }

    /**
     * What an answer means, or null for one of no known form. Guards against serving what was not made for the
     * request, and against taking a spoilt line for a backend's word that it never ran.
     */
    private Attempt.Result result(Value value) {
        if (value instanceof Value.ArrayValue many && many.items() != null && many.items().size() == 3
                && many.items().get(0) instanceof Value.BulkString bulk && bulk.bytes() != null) {
            return new Attempt.Result(Api.Outcome.SERVED, bulk.bytes(), load(many.items().get(2)));
        }
        if (!(value instanceof Value.ErrorReply failure)) { return null; }
        String text = failure.text();
        int last = text.lastIndexOf(' ');
        boolean reports = last > 0 && text.indexOf('=', last) > 0;
        double[] load = reports ? load(text.substring(last + 1)) : null;
        switch (reports ? text.substring(0, last) : text) {
            case "BUSY" -> { return new Attempt.Result(Api.Outcome.REJECTED, null, load); }
            case "ERR failed" -> { return new Attempt.Result(Api.Outcome.SERVER_ERROR, null, load); }
            default -> {
                if (text.startsWith("SYNTAX")) { pool.counters.faults++; }
                return null;
            }
        }
    }

    private double[] load(Value last) {
        return last instanceof Value.BulkString bulk && bulk.bytes() != null ? load(bulk.text()) : null;
    }

    /**
     * A report such as {@code inflight=7,queue=2,util=0.61}, in the order of the settings; null for one that cannot
     * be read. Guards against a backend that looks idle because a figure is missing or no number.
     */
    private double[] load(String text) {
        List<Api.Metric> wanted = pool.report;
        if (wanted.isEmpty() || text.length() > 512) { return null; }
        double[] load = new double[wanted.size()];
        Arrays.fill(load, -1);
        for (String item : text.split(",", -1)) {
            int is = item.indexOf('=');
            Api.Metric metric = is < 0 ? Api.Metric.OTHER : switch (item.substring(0, is)) {
                case "inflight", "busy_reqs" -> Api.Metric.IN_FLIGHT;
                case "queue", "pending" -> Api.Metric.QUEUE;
                case "util", "cpu_share" -> Api.Metric.CPU;
                case "latency_ms", "svc_ms" -> Api.Metric.SERVICE_MS;
                case "qps", "served_ps" -> Api.Metric.REQUESTS_PER_S;
                case "eps", "failed_ps" -> Api.Metric.ERRORS_PER_S;
                default -> Api.Metric.OTHER;
            };
            String figure = item.substring(is + 1);
            int at = metric == Api.Metric.OTHER ? -1 : wanted.indexOf(metric);
            if (is < 0 || !figure.matches("[0-9]{1,9}(\\.[0-9]{1,9})?") || at >= 0 && load[at] >= 0) { return null; }
            if (at >= 0) { load[at] = Double.parseDouble(figure); }
        }
        for (int i = 0; i < load.length; i++) {
            if (load[i] < 0 && wanted.get(i) != Api.Metric.OTHER) { return null; }
            load[i] = Math.max(0, load[i]);
        }
        return load;
    }
}

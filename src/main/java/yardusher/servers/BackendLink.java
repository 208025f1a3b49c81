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

/** One connection to a backend, carrying at most one attempt at a time. */
final class BackendLink implements Connection.Owner {
    private final BackendPool pool;
    final BackendPool.Place place;
    final long backend;
    double idleSince;
    /** A response that has begun must make progress in this time and complete in {@code WHOLE_MS}, else its length is wrong. */
    private static final double MOVES_MS = 250;
    private static final double LOOK_MS = 50;        // extra time to read what arrived while the process was stalled
    private static final double WHOLE_MS = 1000;

    private Connection link;
    private Attempt attempt;
    private Deadlines.Entry wholeBy;
    private ResponseStream flow;                               // a large value that is streamed to the client
    private long left;                               // bytes of it not yet received
    private boolean carried;                         // a chunk is being written to the terminal
    private double startedAt;                        // when the first bytes of an incomplete response arrived
    private double movedAt;                          // when the last chunk arrived or was accepted by the terminal
    private boolean used;
    private boolean over;                            // closed locally; the backend may not have closed yet
    private boolean kept;                            // the current attempt reuses a connection that carried an earlier one

    BackendLink(BackendPool pool, BackendPool.Place place, long backend) {
        this.pool = pool;
        this.place = place;
        this.backend = backend;
    }

    void open(AsynchronousSocketChannel channel) {
        link = new Connection(channel, pool.sockets.loop(), this);
        link.readMore();
    }

    /** Whether this connection has carried an attempt. */
    boolean isUsed() { return used; }

    /** Writes an attempt to the connection: from here on it may have run, unless its write fails. */
    void carry(Attempt next, ByteBuffer... cargo) {
        attempt = next;
        kept = used;
        used = true;
        next.abort = this::close;
        for (ByteBuffer part : cargo) { link.write(part); }
    }

    /** Closes the connection locally; the backend takes this as a cancellation of the attempt. */
    void close() {
        attempt = null;
        flow = null;
        pool.sockets.loop().deadlines().cancel(wholeBy);
        if (over || link.isClosed()) { return; }
        over = true;
        pool.leaves(place, backend, link);
    }

    /** Closes a connection that no attempt needs any more by the time it is established. */
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
        if (result == null) {                        // unsolicited, or not a valid response of this protocol
            spoilt();
            return false;
        }
        served(result);
        return true;
    }

    /**
     * Detects a response that never completes, which would otherwise hold its attempt until the deadline. A long response that keeps
     * arriving over a slow path, or is read late, is not affected.
     */
    private void expectMore() {
        Deadlines deadlines = pool.sockets.loop().deadlines();
        double now = pool.sockets.loop().now();
        startedAt = wholeBy == null ? now : startedAt;
        deadlines.cancel(wholeBy);
        boolean endless = now - startedAt > WHOLE_MS;
        wholeBy = endless ? deadlines.schedule(now, this::spoilt) : deadlines.schedule(now + MOVES_MS, this::look);
    }

    /** Grants extra time in case this process was stalled: bytes that arrived meanwhile are read before it is over. */
    private void look() {
        Deadlines deadlines = pool.sockets.loop().deadlines();
        wholeBy = deadlines.schedule(pool.sockets.loop().now() + LOOK_MS, this::spoilt);
    }

    /** The attempt has its response: the connection becomes idle. */
    private void served(Attempt.Result result) {
        Attempt ended = attempt;
        attempt = null;
        ended.abort = () -> { };
        pool.noteLost(kept, false);
        // Protects the next attempt: bytes behind the response belong to nobody, and a partly written command would still go out.
        if (link.decoder().isEmpty() && link.queuedBytes() == 0) { pool.rest(this); } else { close(); }
        pool.end(ended, result);
    }

    /** Starts streaming a value that is too large to buffer. */
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
     * Guards against a value that never ends, and against a terminal that stops reading it: the stream is abandoned if
     * nothing has moved for longer than the longest deadline of any request.
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

    /** Forwards the received bytes to the terminal; nothing more is read until the terminal has accepted them. */
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

    /** Fails the attempt, which may have run, and closes the connection: later bytes on it cannot be attributed. */
    private void spoilt() {
        Attempt ended = attempt;
        place.idle.remove(this);
        close();
        if (ended != null) { pool.end(ended, Attempt.Result.of(Api.Outcome.SERVER_ERROR)); }
    }

    /**
     * Interprets a response; null if its form is unknown. Guards against serving a value that does not belong to the
     * request, and against taking a corrupted line for the backend's statement that the attempt never ran.
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
     * Parses a load report such as {@code inflight=7,queue=2,util=0.61} into the order of the settings; null if it is
     * malformed. Guards against a backend that looks idle because a figure is missing or not a number.
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

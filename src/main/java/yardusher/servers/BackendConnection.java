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
final class BackendConnection implements Connection.Owner {
    private final BackendPool pool;
    final BackendPool.PooledBackend pooledBackend;
    final long backend;
    double idleSinceMs;
    /** An answer that has begun moves on soon, and is whole soon after; one that is not has a length that does not fit. */
    private static final double PROGRESS_TIMEOUT_MS = 250;
    private static final double STALL_GRACE_MS = 50;        // and what came while nothing was read is read first
    private static final double RESPONSE_TIMEOUT_MS = 1000;

    private Connection connection;
    private Attempt attempt;
    private Deadlines.Entry timeout;
    private ResponseStream stream;                               // a large value that is passed on as it comes
    private long bytesLeft;                               // bytes of it that have not come
    private boolean chunkPending;                         // a part is on its way to the terminal
    private double responseStartedAtMs;                        // when the first bytes of an answer came that is not whole
    private double progressAtMs;                          // when the last part came or was taken
    private boolean used;
    private boolean closedLocally;                            // closed from this side; the backend may not have closed yet
    private boolean reused;                            // the attempt found it used by one before

    BackendConnection(BackendPool pool, BackendPool.PooledBackend place, long backend) {
        this.pool = pool;
        this.pooledBackend = place;
        this.backend = backend;
    }

    void open(AsynchronousSocketChannel channel) {
        connection = new Connection(channel, pool.sockets.loop(), this);
        connection.readMore();
    }

    /** Whether it has carried an attempt. */
    boolean isUsed() { return used; }

    /** Carries an attempt that was handed over: from here on it may have run, until its write fails. */
    void send(Attempt next, ByteBuffer... cargo) {
        attempt = next;
        reused = used;
        used = true;
        next.abort = this::close;
        for (ByteBuffer part : cargo) { connection.write(part); }
    }

    /** Ends the connection from this side: to a backend that gives the attempt up. */
    void close() {
        attempt = null;
        stream = null;
        pool.sockets.loop().deadlines().cancel(timeout);
        if (closedLocally || connection.isClosed()) { return; }
        closedLocally = true;
        pool.closeLocally(pooledBackend, backend, connection);
    }

    /** A connection that nobody waits for any more by the time it is there. */
    static void discard(BackendPool pool, AsynchronousSocketChannel channel, Runnable then) {
        new Connection(channel, pool.sockets.loop(), new Connection.Owner() {
            @Override
            public boolean onReadable(Connection from) { return true; }

            @Override
            public void onClosed(Connection from) { then.run(); }
        }).shutdownAndAwaitPeer(then);
    }

    @Override
    public boolean onReadable(Connection from) {
        if (stream != null) { return forward(); }
        Value value;
        try {
            value = from.decoder().nextValue();
            if (value == null && attempt != null && from.decoder().beginLargeValue() > 0) { return beginStream(); }
        } catch (MalformedRespException e) {
            failAttempt();
            return false;
        }
        if (value == null) {
            if (attempt != null && !from.decoder().isEmpty()) { expectMore(); }
            return true;
        }
        pool.sockets.loop().deadlines().cancel(timeout);
        timeout = null;
        Attempt.Result result = attempt == null ? null : parseResult(value);
        if (result == null) {                        // nobody asked, or not what this protocol answers
            failAttempt();
            return false;
        }
        complete(result);
        return true;
    }

    /**
     * Guards against an answer that never ends: its attempt would hold out till its deadline. A long one that keeps coming over a
     * slow way, or is read late, is no such.
     */
    private void expectMore() {
        Deadlines deadlines = pool.sockets.loop().deadlines();
        double now = pool.sockets.loop().now();
        responseStartedAtMs = timeout == null ? now : responseStartedAtMs;
        deadlines.cancel(timeout);
        boolean endless = now - responseStartedAtMs > RESPONSE_TIMEOUT_MS;
        timeout = endless ? deadlines.schedule(now, this::failAttempt) : deadlines.schedule(now + PROGRESS_TIMEOUT_MS, this::grantStallGrace);
    }

    /** Guards against a process that was held up: what came meanwhile is read before this time is over. */
    private void grantStallGrace() {
        Deadlines deadlines = pool.sockets.loop().deadlines();
        timeout = deadlines.schedule(pool.sockets.loop().now() + STALL_GRACE_MS, this::failAttempt);
    }

    /** The attempt has its answer: the connection waits for the next. */
    private void complete(Attempt.Result result) {
        Attempt ended = attempt;
        attempt = null;
        ended.abort = () -> { };
        pool.recordLoss(reused, false);
        // Guards the next attempt: what is behind the answer is no one's, and a command that is not written whole still goes out.
        if (connection.decoder().isEmpty() && connection.queuedBytes() == 0) { pool.returnIdle(this); } else { close(); }
        pool.attemptEnded(ended, result);
    }

    /** A value too large to be held: it goes on as it comes. */
    private boolean beginStream() {
        Deadlines deadlines = pool.sockets.loop().deadlines();
        deadlines.cancel(timeout);
        bytesLeft = connection.decoder().beginLargeValue();
        stream = pool.beginStream(attempt, bytesLeft);
        if (stream == null) {
            failAttempt();
            return false;
        }
        recordProgress();
        timeout = deadlines.schedule(progressAtMs + pool.stallMs, this::checkProgress);
        return forward();
    }

    private void recordProgress() { progressAtMs = pool.sockets.loop().now(); }

    /**
     * Guards against a value that never ends, and against a terminal that takes no more of it: where nothing has moved
     * for longer than any request is waited for, it is given up.
     */
    private void checkProgress() {
        if (stream == null) { return; }
        double now = pool.sockets.loop().now();
        if (now < progressAtMs + pool.stallMs) {
            timeout = pool.sockets.loop().deadlines().schedule(progressAtMs + pool.stallMs, this::checkProgress);
            return;
        }
        Attempt ended = attempt;
        close();
        pool.attemptEnded(ended, Attempt.Result.of(chunkPending ? Api.Outcome.CANCELLED : Api.Outcome.TIMED_OUT));
    }

    /** Brings what has come to the terminal; nothing more is read until it has taken that. */
    private boolean forward() {
        if (chunkPending) { return false; }
        if (bytesLeft > 0) {
            ByteBuffer part = connection.decoder().nextChunk(bytesLeft);
            if (part == null) { return true; }
            bytesLeft -= part.remaining();
            chunkPending = true;
            recordProgress();
            stream.write(part, this::onChunkWritten);
            return false;
        }
        try {
            List<Value> rest = connection.decoder().finishLargeValue();
            if (rest == null) { return true; }
            if (rest.size() != 2) { throw new MalformedRespException("not an answer"); }
            stream = null;
            pool.sockets.loop().deadlines().cancel(timeout);
            timeout = null;
            complete(new Attempt.Result(Api.Outcome.SERVED, null, parseLoad(rest.get(1))));
            return true;
        } catch (MalformedRespException e) {
            failAttempt();
            return false;
        }
    }

    private void onChunkWritten() {
        if (stream == null || connection.isClosed()) { return; }
        chunkPending = false;
        recordProgress();
        if (forward()) { connection.readMore(); }
    }

    @Override
    public void onFlushed(Connection from) {
        if (attempt != null) { pool.attemptWritten(attempt); }
    }

    @Override
    public void onClosed(Connection from) {
        pool.recordClosed(pooledBackend, backend, false);
        pooledBackend.idle.remove(this);
        pool.sockets.loop().deadlines().cancel(timeout);
        Attempt ended = attempt;
        attempt = null;
        stream = null;
        if (ended != null) {
            pool.recordLoss(reused, true);
            if (from.writeFailed()) { ended.writeFailed(); }
            pool.attemptEnded(ended, Attempt.Result.of(from.writeFailed() ? Api.Outcome.CONNECT_FAILED : Api.Outcome.CONNECTION_LOST));
        }
    }

    /** The attempt may have run and its answer is lost; what comes here next belongs to nobody. */
    private void failAttempt() {
        Attempt ended = attempt;
        pooledBackend.idle.remove(this);
        close();
        if (ended != null) { pool.attemptEnded(ended, Attempt.Result.of(Api.Outcome.SERVER_ERROR)); }
    }

    /**
     * What an answer means, or null for one of no known form. Guards against serving what was not made for the
     * request, and against taking a spoilt line for a backend's word that it never ran.
     */
    private Attempt.Result parseResult(Value value) {
        if (value instanceof Value.ArrayValue many && many.items() != null && many.items().size() == 3
                && many.items().get(0) instanceof Value.BulkString bulk && bulk.bytes() != null) {
            return new Attempt.Result(Api.Outcome.SERVED, bulk.bytes(), parseLoad(many.items().get(2)));
        }
        if (!(value instanceof Value.ErrorReply failure)) { return null; }
        String text = failure.text();
        int last = text.lastIndexOf(' ');
        boolean reports = last > 0 && text.indexOf('=', last) > 0;
        double[] load = reports ? parseLoad(text.substring(last + 1)) : null;
        switch (reports ? text.substring(0, last) : text) {
            case "BUSY" -> { return new Attempt.Result(Api.Outcome.REJECTED, null, load); }
            case "ERR failed" -> { return new Attempt.Result(Api.Outcome.SERVER_ERROR, null, load); }
            default -> {
                if (text.startsWith("SYNTAX")) { pool.counters.faults++; }
                return null;
            }
        }
    }

    private double[] parseLoad(Value last) {
        return last instanceof Value.BulkString bulk && bulk.bytes() != null ? parseLoad(bulk.text()) : null;
    }

    /**
     * A report such as {@code inflight=7,queue=2,util=0.61}, in the order of the settings; null for one that cannot
     * be read. Guards against a backend that looks idle because a figure is missing or no number.
     */
    private double[] parseLoad(String text) {
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

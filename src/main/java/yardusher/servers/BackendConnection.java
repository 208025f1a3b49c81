package yardusher.servers;

import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.List;
import yardusher.Api;
import yardusher.core.Attempt;
import yardusher.core.Deadlines;
import yardusher.core.GiveUpReason;
import yardusher.core.PassedOnValue;
import yardusher.core.ResponseStream;
import yardusher.net.Connection;
import yardusher.net.ReplyBudget;
import yardusher.resp.Decoder;
import yardusher.resp.MalformedRespException;
import yardusher.resp.Value;

/** One connection to a backend, carrying at most one attempt at a time. */
final class BackendConnection implements Connection.Owner {
    private static final int MIN_ARRIVED_BYTES = 512; // of an answer, before room is reserved for all of it
    private static final double MAX_FAILING_WRITE_MS = 100;
    private static final double MAX_CHECK_INTERVAL_MS = 1000;

    private final BackendPool pool;
    final PooledBackend pooledBackend;
    final long backend;
    double idleSinceMs;
    private Connection connection;
    private Attempt attempt;
    private Deadlines.Entry timeout;
    private ResponseStream stream;                   // a large value that is streamed to the client
    private long valueBytes;                         // its length
    private long bytesLeft;                          // bytes of it not yet received
    private PassedOnValue passedOn;                  // its time limits
    private double checkAtMs;                        // when they are checked next
    private boolean heldForCommand;                  // a large value has begun before its command was out
    private int accountedBytes;                      // of the response that arrives, in the budget for replies
    private boolean used;
    private boolean closedLocally;                   // closed locally; the backend may not have closed yet
    private boolean reused;                          // the current attempt reuses a connection that carried an earlier one

    BackendConnection(BackendPool pool, PooledBackend pooled, long backend) {
        this.pool = pool;
        this.pooledBackend = pooled;
        this.backend = backend;
    }

    void open(AsynchronousSocketChannel channel) {
        connection = new Connection(channel, pool.sockets.loop(), this);
        connection.decoder().expectItems(AnswerParser.ANSWER_ITEMS);
        connection.readMore();
    }

    /** Whether reads fail on this machine at the moment: then input may have arrived that is not read yet. */
    boolean isReadFailing() { return connection.isReadFailing(); }

    /** Whether the connection has ended. */
    boolean isClosed() { return closedLocally || connection.isClosed(); }

    /** Whether this connection has carried an attempt. */
    boolean isUsed() { return used; }

    /** Writes an attempt to the connection: from here on it may have run, unless its write fails. */
    void send(Attempt next, ByteBuffer... cargo) {
        attempt = next;
        heldForCommand = false;
        reused = used;
        used = true;
        next.abort = this::close;
        next.heldUpLocally = connection::isFailingLocally;
        for (ByteBuffer part : cargo) { connection.write(part); }
    }

    /** Closes the connection locally; the backend takes this as a cancellation of the attempt. */
    void close() {
        attempt = null;
        endStream();
        releaseReserved();
        if (closedLocally || connection.isClosed()) { return; }
        closedLocally = true;
        pool.closeLocally(pooledBackend, backend, connection);
    }

    /** Closes a connection that no attempt needs any more by the time it is established. */
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
        if (attempt == null) { return endUnsolicited(); }
        Value value;
        try {
            value = from.decoder().nextValue();
            if (value == null && !reserveAnnounced(from.decoder())) { value = from.decoder().nextValue(); }
            if (value == null && !from.decoder().isEmpty()) { recordReceived(from.decoder()); }
            if (value == null && from.decoder().hasLargeValueBegun()) { return beginStreamOnceCommandIsOut(); }
        } catch (MalformedRespException e) {
            endAttempt(GiveUpReason.MALFORMED, Api.Outcome.SERVER_ERROR);
            return false;
        }
        if (value == null) { return true; }
        Attempt.Result result = pool.answerParser.parse(value);
        if (result == null) {                        // not a valid response of this protocol
            endAttempt(GiveUpReason.MALFORMED, Api.Outcome.SERVER_ERROR);
            return false;
        }
        complete(result);
        return true;
    }

    /** Closes a connection on which something came between its attempts: the next one would take it for its answer, or for a part of it. */
    private boolean endUnsolicited() {
        if (connection.decoder().isEmpty()) { return true; }
        pooledBackend.idle.remove(this);
        pool.counters.connectionsUnsolicited++;
        close();
        return false;
    }

    private void recordReceived(Decoder decoder) {
        pool.answerReceived(attempt, decoder.bufferedBytes(), decoder.announcedLength());
    }

    /**
     * Reserves room for a value once enough of it has arrived, so that a backend that is silent behind its head holds nothing. Returns
     * false if the value is to be streamed since there is none.
     */
    private boolean reserveAnnounced(Decoder decoder) {
        int announced = decoder.announcedBytes();
        if (announced <= ReplyBudget.MAX_UNRESERVED_BYTES || accountedBytes > 0 || decoder.bufferedBytes() < MIN_ARRIVED_BYTES) { return true; }
        if (pool.replyBudget.tryReserve(announced)) {
            accountedBytes = announced;
            decoder.expect(announced);
            return true;
        }
        decoder.setMaxBufferedValue(ReplyBudget.MAX_UNRESERVED_BYTES);
        return false;
    }

    /** Returns what the response has reserved: it is passed on, or will not come. */
    private void releaseReserved() {
        pool.replyBudget.add(-accountedBytes);
        accountedBytes = 0;
        connection.decoder().setMaxBufferedValue(Decoder.MAX_BULK_BYTES);
    }

    /** The attempt has its response: the connection becomes idle. */
    private void complete(Attempt.Result result) {
        Attempt ended = attempt;
        attempt = null;
        releaseReserved();
        ended.abort = () -> { };
        pool.reuse.record(reused, false);
        // Protects the next attempt: bytes behind the response belong to nobody, and a partly written command would still go out.
        boolean isUnsolicited = !connection.decoder().isEmpty();
        if (isUnsolicited) { pool.counters.connectionsUnsolicited++; }
        if (isUnsolicited || connection.queuedBytes() > 0) { close(); } else { pool.returnIdle(this); }
        pool.attemptEnded(ended, result);
    }

    /** Nothing more is read of a value that begins within its command; until then the request's deadline stays in force. */
    private boolean beginStreamOnceCommandIsOut() {
        heldForCommand = !attempt.answer().mayPassOn();
        return !heldForCommand && beginStream();
    }

    /** Starts streaming a value that is too large to buffer. */
    private boolean beginStream() {
        valueBytes = connection.decoder().beginLargeValue();
        bytesLeft = valueBytes;
        stream = pool.beginStream(attempt, bytesLeft);
        if (stream == null) {
            endAttempt(GiveUpReason.NOT_STREAMABLE, Api.Outcome.LOCAL_LOSS);
            return false;
        }
        passedOn = new PassedOnValue(valueBytes, attempt.answerDeadlineMs(), nowMs());
        pool.streamBegan(this);
        scheduleCheck();
        return forward();
    }

    private double nowMs() { return pool.sockets.loop().now(); }

    private void endStream() {
        if (stream == null) { return; }
        stream = null;
        passedOn = null;
        pool.sockets.loop().deadlines().cancel(timeout);
        timeout = null;
        pool.streamEnded(this);
    }

    /** Counts a stream by the buffer that it holds at the moment. */
    private void account(int bytes) {
        pool.replyBudget.add(bytes - accountedBytes);
        accountedBytes = bytes;
    }

    private void scheduleCheck() {
        checkAtMs = Math.min(passedOn.endsAtMs(stream.hasBegun()), nowMs() + MAX_CHECK_INTERVAL_MS);
        timeout = pool.sockets.loop().deadlines().schedule(checkAtMs, this::checkLimits);
    }

    private void checkLimits() {
        if (stream == null) { return; }
        double checkedAtMs = nowMs();
        if (connection.isFailingLocally()) { passedOn.heldUpLocally(checkedAtMs); }
        if (checkedAtMs < passedOn.endsAtMs(stream.hasBegun())) {
            scheduleCheck();
            return;
        }
        pool.sockets.pollBarrier().await(checkedAtMs, this::endIfNothingMoved); // what has arrived may lie unread
    }

    private void endIfNothingMoved() {
        if (stream == null) { return; }
        if (nowMs() < passedOn.endsAtMs(stream.hasBegun())) {
            scheduleCheck();
            return;
        }
        endAttempt(passedOn.endReason(), passedOn.isWaitingForClient() ? Api.Outcome.CANCELLED : Api.Outcome.TIMED_OUT);
    }

    /** The limits of the value that is passed on; null for none. */
    PassedOnValue passedOn() { return passedOn; }

    /** Ends a silent value so that another attempt has its connection. */
    void giveWay() {
        Attempt ended = attempt;
        ended.giveUp(GiveUpReason.GAVE_WAY);
        close();
        pool.sockets.loop().defer(() -> pool.attemptEnded(ended, Attempt.Result.of(Api.Outcome.CANCELLED)));
    }

    /** Forwards the received bytes to the terminal; nothing more is read until the terminal has accepted them. */
    private boolean forward() {
        if (passedOn.isWaitingForClient()) { return false; }
        if (bytesLeft > 0) {
            ByteBuffer part = connection.decoder().nextChunk(bytesLeft);
            if (part == null) {
                account(connection.decoder().nextReadBytes());
                return true;
            }
            account(ReplyBudget.STREAM_BYTES);
            bytesLeft -= part.remaining();
            pool.answerReceived(attempt, valueBytes - bytesLeft, valueBytes);
            passedOn.chunkHandedOn(nowMs());
            stream.write(part, this::onChunkWritten);
            return false;
        }
        try {
            List<Value> rest = connection.decoder().finishLargeValue();
            if (rest == null) { return true; }
            if (rest.size() != AnswerParser.ANSWER_ITEMS - 1) { throw new MalformedRespException("not an answer"); }
            endStream();
            complete(new Attempt.Result(Api.Outcome.SERVED, null, pool.answerParser.parseLoad(rest.get(1))));
            return true;
        } catch (MalformedRespException e) {
            endAttempt(GiveUpReason.MALFORMED, Api.Outcome.SERVER_ERROR);
            return false;
        }
    }

    private void onChunkWritten() {
        if (stream == null || connection.isClosed()) { return; }
        passedOn.chunkTaken(nowMs());
        if (passedOn.endsAtMs(true) < checkAtMs) {
            pool.sockets.loop().deadlines().cancel(timeout);
            scheduleCheck();
        }
        if (forward()) { connection.readMore(); }
    }

    @Override
    public void onFlushed(Connection from) {
        if (attempt == null) { return; }
        pool.attemptWritten(attempt);
        if (!heldForCommand) { return; }
        heldForCommand = false;
        if (onReadable(from)) { from.readMore(); }
    }

    @Override
    public void onClosed(Connection from) {
        pool.recordClosed(pooledBackend, backend, false);
        pooledBackend.idle.remove(this);
        Attempt ended = attempt;
        attempt = null;
        endStream();
        releaseReserved();
        if (ended != null) {
            if (from.closeReason().isByPeer()) { pool.reuse.record(reused, true); }
            if (from.writeFailed()) { ended.writeFailed(); }
            pool.attemptEnded(ended, Attempt.Result.of(outcomeOf(from)));
        }
    }

    /** How the attempt on a connection ended that has closed. */
    private static Api.Outcome outcomeOf(Connection closed) {
        boolean local = !closed.closeReason().isByPeer();
        if (closed.writeFailed()) { return local ? Api.Outcome.LOCAL_FAILURE : Api.Outcome.CONNECT_FAILED; }
        return local ? Api.Outcome.LOCAL_LOSS : Api.Outcome.CONNECTION_LOST;
    }

    /** A command that cannot be written is given to another connection, before it tells more time than is left. */
    @Override
    public double maxFailingWriteMs() { return MAX_FAILING_WRITE_MS; }

    /** Ends the attempt, which may have run, and closes the connection: later bytes on it cannot be attributed. */
    private void endAttempt(GiveUpReason reason, Api.Outcome outcome) {
        Attempt ended = attempt;
        pooledBackend.idle.remove(this);
        if (ended != null) { ended.giveUp(reason); }
        close();
        if (ended != null) { pool.attemptEnded(ended, Attempt.Result.of(outcome)); }
    }
}

package yardusher.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.ArrayDeque;
import java.util.Arrays;
import yardusher.core.Deadlines;
import yardusher.core.EventLoop;
import yardusher.resp.Decoder;
import yardusher.resp.InboundBuffer;

/**
 * One TCP connection: reads into its decoder and writes what is queued, by completion handlers, each of which is an event loop
 * task. All methods are called on the event loop.
 */
public final class Connection {
    /** Callbacks to the owner of a connection, each on the event loop. */
    public interface Owner {
        /**
         * The decoder has more bytes. Returning false stops reading until {@link Connection#readMore}; on a connection that
         * reads ahead the result is ignored.
         */
        boolean onReadable(Connection connection);

        /**
         * Whether further input of a connection that reads ahead is kept. Once false it must stay false, and the input is
         * dropped.
         */
        default boolean keepsInput(Connection connection) { return true; }

        /** Whether the owner of a connection that reads ahead currently takes nothing out of the decoder. */
        default boolean isHoldingBack(Connection connection) { return false; }

        /** A connection that reads ahead has filled its buffer; called each time it would continue to read. */
        default void onReadAheadFull(Connection connection) { }

        /** All queued bytes have been written. */
        default void onFlushed(Connection connection) { }

        /** The peer or an I/O error ended the connection; called once, and not after {@link Connection#close}. */
        void onClosed(Connection connection);

        /** For how many milliseconds failing writes are repeated before the connection is given up. */
        default double maxFailingWriteMs() { return MAX_FAILING_MS; }

        /**
         * Input was read on a connection that reads ahead, and is dropped; called for the first such input only, with its first bytes.
         */
        default void onInputDropped(Connection connection, byte[] bytes) { }

        /** A connection that was finishing was closed before its last bytes were written. */
        default void onLastBytesLost(Connection connection) { }
    }

    private static final int MAX_QUEUED_BYTES = (4 << 20) + 256 * 1024; // one large body, and small replies that wait
    private static final int WRITE_SLICE_BYTES = 16 * 1024; // of a large body, per write: the size of a cached native buffer
    private static final int MAX_MERGED_BYTES = 128 * 1024; // bytes queued in one task are merged into one write up to this size
    private static final long MAX_DRAINED_BYTES = 96L << 20;
    private static final double DRAIN_TIMEOUT_MS = 3000;
    private static final int MIN_READ_AHEAD_BYTES = 768; // several typical commands
    private static final int MIN_LARGE_SHARE_BYTES = 16 * 1024;
    private static final double MAX_FAILING_MS = 10_000; // longer than any request waits; then the connection is given up
    /** Target of drained bytes. Nobody reads it, so all connections share it, without a copy. */
    private static final ByteBuffer DRAIN_BUFFER = ByteBuffer.allocateDirect(64 * 1024);

    /**
     * OPEN, then either FINISHING (the last bytes are flushed) or COMPLETING_WRITE (the current write completes, the rest is dropped),
     * then DRAINING (output is shut down, input is dropped) and CLOSED; each can go to CLOSED directly.
     */
    private enum Stage { OPEN, FINISHING, COMPLETING_WRITE, DRAINING, CLOSED }

    private final AsynchronousSocketChannel channel;
    private final EventLoop loop;
    private final Owner owner;
    private final InboundBuffer inbound;
    private final ArrayDeque<ByteBuffer> queue = new ArrayDeque<>(4);
    private int queuedBytes;
    private boolean writing;
    private boolean writingSlice;
    private boolean reading;
    private Stage stage = Stage.OPEN;
    private boolean drainsWithoutLimit;              // drains for as long as the peer takes
    private long droppedBytes;
    private boolean dropReported;                    // the owner was told of the first input that is dropped
    private Deadlines.Entry drainEnd;
    private Runnable onClosed = () -> { };
    private boolean writeFailed;
    private CloseReason closeReason;                 // null while open, and for a local close
    private String closeError = "";
    private long bytesWritten;
    private long bytesAccepted;                      // bytes passed to write so far
    private final ReplyBudget replyBudget;           // counts the queued bytes; null for a connection to a backend
    private int countedQueuedBytes;
    private final InputBudget inputBudget;           // null for a connection that does not read ahead
    private int countedBytes;                        // this connection's share of that budget
    private final int maxReadAhead;                  // maximum number of bytes read ahead; 0 reads only on request
    private byte[] receiveBuffer;                    // receive buffer of a connection that reads ahead, null until needed
    private boolean usingReceiveBuffer;              // the pending read goes to that buffer
    private boolean droppingRead;                    // the pending read is dropped
    private boolean lastReadFilled;                  // the last read filled its buffer, so more input is likely
    private boolean ownerNotNotified;                // the owner has not been told of the last bytes yet
    private ByteBuffer pendingRead;                  // the buffer of the pending read
    private int requestedBytes;                      // the buffer size of the pending read
    private long readCount;
    private double lastInputAtMs;
    private final ReadDelay readDelay;               // these three are null for a connection that does not read ahead
    private final ArrivalTimes arrivals;
    private final InputBarrier inputBarrier;
    private final ReadHoldback holdback = new ReadHoldback();
    private final RetryWait readRetry = new RetryWait();
    private final RetryWait writeRetry = new RetryWait();

    /** Creates a connection for RESP. */
    public Connection(AsynchronousSocketChannel channel, EventLoop loop, Owner owner) { this(channel, loop, owner, new Decoder()); }

    public Connection(AsynchronousSocketChannel channel, EventLoop loop, Owner owner, InboundBuffer inbound) {
        this(channel, loop, owner, inbound, 0, null, null, null, null);
    }

    private Connection(AsynchronousSocketChannel channel, EventLoop loop, Owner owner, InboundBuffer inbound, int maxReadAhead,
            InputBudget inputBudget, ReplyBudget replyBudget, InputBarrier inputBarrier, ReadDelay readDelay) {
        this.inputBarrier = inputBarrier;
        this.readDelay = readDelay;
        arrivals = readDelay == null ? null : new ArrivalTimes();
        lastInputAtMs = loop.now();
        this.inputBudget = inputBudget;
        this.replyBudget = replyBudget;
        this.inbound = inbound;
        this.channel = channel;
        this.loop = loop;
        this.owner = owner;
        this.maxReadAhead = maxReadAhead;
    }

    /**
     * Creates a RESP connection that keeps reading while its owner takes nothing, up to {@code maxReadAhead} bytes, so that the
     * peer's disconnect is seen. Input is reported once no more is available at once, and not at all if it is followed by the
     * disconnect. Input and the bytes that wait to be written count in the budgets. The connection may have waited for up to
     * {@code acceptHeldUpMs} to be accepted.
     */
    static Connection createReadingAhead(AsynchronousSocketChannel channel, EventLoop loop, Owner owner, int maxReadAhead,
            MemoryBudgets budgets, InputBarrier inputBarrier, double acceptHeldUpMs) {
        return new Connection(channel, loop, owner, new Decoder(), maxReadAhead, budgets.input(), budgets.replies(), inputBarrier,
                new ReadDelay(loop.now(), acceptHeldUpMs));
    }

    /** Counts the memory that is allocated for input. */
    private void countBuffer() {
        if (inputBudget == null) { return; }
        int bytes = decoder().allocatedBytes();
        inputBudget.changeBuffers(countedBytes, bytes);
        countedBytes = bytes;
    }

    /** Drops all input that is not handled: none will be handled any more. */
    void releaseBuffer() {
        if (inputBudget == null) { return; }
        decoder().release();
        receiveBuffer = null;
        countBuffer();
    }

    /** Sets the number of bytes that wait to be written. */
    private void setQueuedBytes(int bytes) {
        queuedBytes = bytes;
        if (replyBudget != null) { replyBudget.add(queuedBytes - countedQueuedBytes); }
        countedQueuedBytes = queuedBytes;
    }

    /** The decoder of a RESP connection. */
    public Decoder decoder() { return (Decoder) inbound; }

    public boolean isClosed() { return stage == Stage.CLOSED; }

    /** Whether input may have been left unread. */
    boolean isHeldBack() { return holdback.isActive(); }

    /** For how long, in milliseconds, input has been left unread, so that the peer's end may have come unseen; 0 for not. */
    double heldBackMs() { return holdback.durationMs(loop.now()); }

    /** Whether the next input belongs to a large body. */
    private boolean isWithinBody() { return decoder().bodyLength() > 0; }

    /** The number of completed reads: if it is unchanged, a full connection has made no progress. */
    long readCount() { return readCount; }

    /** When the last read completed. */
    double lastInputAtMs() { return lastInputAtMs; }

    /** The memory that is allocated for input beyond what each connection has, when it was last counted. */
    int inputBytes() { return countedBytes; }

    /** Whether input was read that the owner has not been told of yet. */
    boolean hasUnhandledInput() { return ownerNotNotified; }

    /** Whether a read is pending, so that a disconnect of the peer is seen. */
    boolean isReading() { return reading; }

    /**
     * For how long, in milliseconds, the last byte that the decoder has given out may have waited on this machine. Called once for
     * each command, on a connection that reads ahead.
     */
    double takeInputAgeMs() {
        double nowMs = loop.now();
        return nowMs - arrivals.takeArrival(arrivals.received() - decoder().bufferedBytes(), nowMs);
    }

    /** Whether reads fail on this machine at the moment: then input may have arrived that is not read yet. */
    public boolean isReadFailing() { return readRetry.isFailing(loop.now()); }

    /** Whether reads or writes fail on this machine at the moment and are repeated: then the peer's silence proves nothing. */
    public boolean isFailingLocally() { return isReadFailing() || writeRetry.isFailing(loop.now()); }

    /** Whether the read-ahead buffer is full. */
    boolean isFull() {
        if (maxReadAhead == 0) { return false; }
        countBuffer();
        int bufferedBytes = decoder().bufferedBytes();
        if (bufferedBytes >= maxReadAhead) { return true; }
        // Many connections that send much must not fill the heap: beyond the common limit only buffers of commands that arrive
        // quickly grow.
        boolean mayGrow = !inputBudget.isShort() || !inputBudget.isFull() && !ownerNotNotified && !owner.isHoldingBack(this);
        return bufferedBytes >= MIN_READ_AHEAD_BYTES && !mayGrow;
    }

    /** Whether a full connection holds more than it may alone, or than others do: those that hold little wait for these to give way. */
    boolean isFullByItself() {
        return decoder().bufferedBytes() >= maxReadAhead || countedBytes >= MIN_LARGE_SHARE_BYTES && inputBudget.isLargeShare(countedBytes);
    }

    /** Whether the connection ended in a failed write: then the last byte was never written. */
    public boolean writeFailed() { return writeFailed; }

    /** Why the connection ended; null while it is open, and if its owner closed it. */
    public CloseReason closeReason() { return closeReason; }

    /** The text of the failure that ended the connection; empty for none. */
    public String closeError() { return closeError; }

    /** The number of bytes that the system has accepted so far. */
    public long bytesWritten() { return bytesWritten; }

    /** The number of bytes that were passed to {@link #write} so far. */
    public long bytesAccepted() { return bytesAccepted; }

    /** The number of bytes that wait to be written. */
    public int queuedBytes() { return queuedBytes; }

    /** Starts a read, unless one is pending. */
    public void readMore() {
        if (reading || stage != Stage.OPEN) { return; }
        if (maxReadAhead == 0) {
            read(inbound.readBuffer());
            return;
        }
        droppingRead = !owner.keepsInput(this);
        if (!droppingRead && isFull()) {
            readDelay.heldBack(loop.now(), isWithinBody());
            holdback.begin(loop.now());
            owner.onReadAheadFull(this);
            return;
        }
        usingReceiveBuffer = !droppingRead && !lastReadFilled;
        // A read waits in a small buffer of its own: a wait in the decoder's buffer would keep all of that allocated while no
        // input comes.
        if (usingReceiveBuffer && receiveBuffer == null) { receiveBuffer = new byte[Decoder.MAX_ADD_BYTES]; }
        ByteBuffer buffer = droppingRead ? dropBuffer()
                : usingReceiveBuffer ? ByteBuffer.wrap(receiveBuffer) : limitedReadBuffer();
        requestedBytes = buffer.remaining();
        countBuffer();
        read(buffer);
        if (holdback.isActive()) { endHoldbackOnceRead(); }
    }

    /** The decoder's buffer, but not for more bytes than are read ahead. */
    private ByteBuffer limitedReadBuffer() {
        int maxBytes = Math.max(1, maxReadAhead - decoder().bufferedBytes());
        ByteBuffer buffer = inbound.readBuffer();
        return buffer.limit(Math.min(buffer.limit(), buffer.position() + maxBytes));
    }

    /** A read that is still pending once all is handled that had arrived by now shows that no input is left. */
    private void endHoldbackOnceRead() {
        long readsBefore = readCount;
        inputBarrier.await(loop.now(), () -> {
            if (reading && readCount == readsBefore) { holdback.end(); }
        });
    }

    private void read(ByteBuffer buffer) {
        reading = true;
        pendingRead = buffer;
        if (readDelay != null) { readDelay.begun(loop.now()); }
        try {
            channel.read(buffer, this, READ_HANDLER);
        } catch (RuntimeException e) {
            closeAndNotify(CloseReason.FAULT, IoClassifier.describe(e));
        }
    }

    /** A read failed, or returned a count below zero. */
    private void onReadFailed(IoVerdict verdict, String error) {
        if (isClosed()) { return; }
        if (verdict == IoVerdict.PEER_CLOSED || verdict == IoVerdict.BROKEN) {
            reading = false;
            closeAndNotify(verdict == IoVerdict.BROKEN ? CloseReason.PEER_RESET : CloseReason.PEER_CLOSED, error);
            return;
        }
        double nowMs = loop.now();
        if (readDelay != null) { readDelay.heldBack(nowMs, isWithinBody()); }
        double waitMs = readRetry.nextWaitMs(nowMs);
        if (readRetry.failingForMs(nowMs) > MAX_FAILING_MS) {
            closeAndNotify(CloseReason.READ_FAILED, error);
            return;
        }
        loop.deadlines().schedule(nowMs + waitMs, () -> {
            if (!isClosed()) { read(pendingRead); } // still pending for all others, with its buffer untouched
        });
    }

    public void write(byte[] bytes) { write(ByteBuffer.wrap(bytes)); }

    /** Queues the buffer's remaining bytes. They must not change until the owner is told that all bytes are written. */
    public void write(ByteBuffer bytes) {
        if (stage != Stage.OPEN) { return; }
        queue.add(bytes);
        setQueuedBytes(queuedBytes + bytes.remaining());
        bytesAccepted += bytes.remaining();
        // A terminal that sends requests and never reads would fill the heap with replies.
        if (queuedBytes > MAX_QUEUED_BYTES) {
            closeAndNotify(CloseReason.REPLIES_UNREAD, "");
        } else if (!writing) {
            writing = true;
            loop.defer(this::flush); // bytes queued in one task are written together
        }
    }

    /**
     * Closes after the queued bytes are written and the peer has closed too. A close with unread input would reset the
     * connection and destroy the last reply on its way. Further input is dropped, and a peer that never closes is cut off after
     * a time and a number of bytes. The owner gets no more callbacks.
     */
    public void finish(Runnable callback) {
        if (isClosed()) {
            callback.run();
            return;
        }
        onClosed = callback;
        stage = Stage.FINISHING;
        releaseBuffer();
        limitDrain();
        if (!writing && queue.isEmpty()) { drain(); }
    }

    private void limitDrain() {
        loop.deadlines().cancel(drainEnd);
        drainEnd = loop.deadlines().schedule(loop.now() + DRAIN_TIMEOUT_MS, () -> closeAndNotify(CloseReason.REPLIES_UNREAD, ""));
    }

    /**
     * Shuts down the output and waits, for as long as it takes, until the peer has closed its side too; {@code then} runs after
     * that. Bytes that wait to be written are dropped, and so is further input. The owner gets no more callbacks.
     */
    public void shutdownAndAwaitPeer(Runnable callback) {
        if (isClosed()) {
            callback.run();
            return;
        }
        onClosed = callback;
        drainsWithoutLimit = true;
        stage = Stage.COMPLETING_WRITE;
        if (!writing) { drain(); }                   // otherwise after the pending write
    }

    private void drain() {
        queue.clear();
        setQueuedBytes(0);
        stage = Stage.DRAINING;
        releaseBuffer();
        try {
            channel.shutdownOutput();
        } catch (IOException e) {                    // broken already
            close();
            return;
        }
        if (!reading) { read(dropBuffer()); }
    }

    /** The buffer for input that is dropped: one of its own for the first of it, so that the owner can be told what it is. */
    private ByteBuffer dropBuffer() {
        boolean reported = dropReported || inputBudget == null;
        return reported ? DRAIN_BUFFER.duplicate() : ByteBuffer.allocate(DroppedInput.MAX_BYTES);
    }

    private void reportDropped(ByteBuffer buffer, int count) {
        if (count <= 0 || inputBudget == null || dropReported || !buffer.hasArray()) { return; }
        int from = buffer.arrayOffset() + buffer.position() - count;
        reportDroppedInput(Arrays.copyOfRange(buffer.array(), from, from + Math.min(count, DroppedInput.MAX_BYTES)));
    }

    /** Tells the owner of input that is dropped, unless it was told of some before. */
    void reportDroppedInput(byte[] bytes) {
        if (dropReported) { return; }
        dropReported = true;
        owner.onInputDropped(this, bytes);
    }

    private void onDrained(int count) {
        droppedBytes += Math.max(0, count);
        if (IoClassifier.ofCount(count) == IoVerdict.PEER_CLOSED || droppedBytes > MAX_DRAINED_BYTES && !drainsWithoutLimit) {
            close();
        } else {
            read(dropBuffer());
        }
    }

    public void close() {
        if (isClosed()) { return; }
        stage = Stage.CLOSED;
        releaseBuffer();
        queue.clear();
        setQueuedBytes(0);
        loop.deadlines().cancel(drainEnd);
        loop.defer(onClosed);
        try {
            channel.close();
        } catch (IOException e) { /* closed either way */ }
    }

    private void closeAndNotify(CloseReason reason, String error) {
        if (isClosed()) { return; }
        boolean owned = stage == Stage.OPEN;
        boolean lastBytesLost = stage == Stage.FINISHING && queuedBytes > 0;
        closeReason = reason;
        closeError = error;
        close();
        if (owned) { owner.onClosed(this); }
        if (lastBytesLost) { owner.onLastBytesLost(this); }
    }

    /** Closes a connection that is finishing, so that another one has its descriptor. */
    void cutOff() { closeAndNotify(CloseReason.REPLIES_UNREAD, ""); }

    private void flush() {
        if (isClosed()) { return; }
        if (stage == Stage.COMPLETING_WRITE) {
            writing = false;
            drain();
            return;
        }
        try {
            ByteBuffer next = mergeQueued();
            // A write of a whole large body would copy it into native memory as a whole.
            writingSlice = next.remaining() > MAX_MERGED_BYTES;
            channel.write(writingSlice ? next.slice(next.position(), WRITE_SLICE_BYTES) : next, this, WRITE_HANDLER);
        } catch (RuntimeException e) {
            closeAndNotify(CloseReason.FAULT, IoClassifier.describe(e));
        } catch (OutOfMemoryError e) {
            onWriteFailed(IoVerdict.TRANSIENT, IoClassifier.describe(e));
        }
    }

    /** Merges small queued buffers into one; returns the first of the queue. */
    private ByteBuffer mergeQueued() {
        if (queue.size() < 2 || queuedBytes > MAX_MERGED_BYTES) { return queue.peek(); }
        ByteBuffer merged = ByteBuffer.allocate(queuedBytes);
        for (ByteBuffer part : queue) { merged.put(part); }
        merged.flip();
        queue.clear();
        queue.add(merged);
        return merged;
    }

    /** A write failed, or was interrupted; none of its bytes were accepted. */
    private void onWriteFailed(IoVerdict verdict, String error) {
        if (isClosed()) { return; }
        double nowMs = loop.now();
        double waitMs = writeRetry.nextWaitMs(nowMs);
        boolean givenUp = writeRetry.failingForMs(nowMs) > owner.maxFailingWriteMs();
        if (verdict.isRepeated() && !givenUp) {
            loop.deadlines().schedule(nowMs + waitMs, this::flush); // in the meantime it counts as being written
            return;
        }
        writeFailed = true;
        closeAndNotify(verdict.isRepeated() ? CloseReason.WRITE_FAILED : CloseReason.PEER_RESET, error);
    }

    private void onRead(int count, double completedAtMs) {
        if (isClosed()) { return; }
        IoVerdict verdict = IoClassifier.ofCount(count);
        if (verdict.isRepeated()) {
            onReadFailed(verdict, "interrupted");
            return;
        }
        reading = false;
        ByteBuffer completed = pendingRead;
        pendingRead = null;                          // it may be large
        readRetry.reset();
        if (stage == Stage.DRAINING) {
            reportDropped(completed, count);
            onDrained(count);
            return;
        }
        if (stage != Stage.OPEN) {                   // reading resumes after the last bytes are written
            reportDropped(completed, count);
            return;
        }
        if (verdict == IoVerdict.PEER_CLOSED) {
            onReadFailed(verdict, "");
            return;
        }
        readCount++;
        lastInputAtMs = loop.now();
        if (maxReadAhead > 0) {
            onReadAhead(completed, count, completedAtMs);
            return;
        }
        inbound.advance(count);
        try {
            if (owner.onReadable(this)) { readMore(); }
        } catch (RuntimeException | Error e) {
            closeAndNotify(CloseReason.FAULT, IoClassifier.describe(e)); // else it would stay open and never be read again
            throw e;
        }
    }

    private void onReadAhead(ByteBuffer completed, int count, double completedAtMs) {
        lastReadFilled = count == requestedBytes;
        double arrivedMs = readDelay.completed(completedAtMs, lastReadFilled, isWithinBody());
        if (lastReadFilled) { holdback.begin(arrivedMs); }
        if (droppingRead || !owner.keepsInput(this)) {
            reportDropped(completed, count);
            droppedBytes += count;
            if (droppedBytes > MAX_DRAINED_BYTES) {
                closeAndNotify(CloseReason.INPUT_UNREAD, "");
                return;
            }
        } else if (usingReceiveBuffer) {
            arrivals.add(count, arrivedMs);
            decoder().add(receiveBuffer, count);
        } else {
            arrivals.add(count, arrivedMs);
            inbound.advance(count);
        }
        // A client may cancel its requests by disconnecting right after them. The disconnect may already have arrived; then
        // this read completes at once, before the owner handles the requests.
        ownerNotNotified = true;
        readMore();
        long readsBefore = readCount;
        loop.defer(() -> {
            if (readsBefore == readCount) { notifyOwner(); }
        });
    }

    private void notifyOwner() {
        ownerNotNotified = false;
        if (stage != Stage.OPEN) { return; }
        try {
            owner.onReadable(this);
        } catch (RuntimeException | Error e) {
            closeAndNotify(CloseReason.FAULT, IoClassifier.describe(e)); // else it would stay open and never be read again
            throw e;
        }
        if (stage != Stage.OPEN) { return; }
        if (!reading || usingReceiveBuffer || droppingRead) { decoder().shrink(); }
        countBuffer();
        readMore();
    }

    private void onWritten(int count) {
        if (isClosed()) { return; }
        IoVerdict verdict = IoClassifier.ofCount(count);
        if (verdict != IoVerdict.PROGRESS) {
            onWriteFailed(IoVerdict.TRANSIENT, "interrupted");
            return;
        }
        writeRetry.reset();
        if (stage == Stage.COMPLETING_WRITE) {
            writing = false;
            drain();
            return;
        }
        setQueuedBytes(queuedBytes - count);
        bytesWritten += count;
        if (writingSlice) { queue.peek().position(queue.peek().position() + count); }
        if (!queue.peek().hasRemaining()) { queue.poll(); }
        if (stage == Stage.FINISHING) { limitDrain(); } // a slow peer gets the full time for each piece of its last reply
        if (!queue.isEmpty()) {
            flush();
            return;
        }
        writing = false;
        if (stage == Stage.FINISHING) {
            drain();
        } else {
            owner.onFlushed(this);
        }
    }

    private static final CompletionHandler<Integer, Connection> READ_HANDLER = new CompletionHandler<>() {
        @Override
        public void completed(Integer count, Connection connection) {
            double completedAtMs = connection.loop.now(); // the event loop may be busy for a while
            connection.loop.execute(() -> connection.onRead(count, completedAtMs));
        }

        @Override
        public void failed(Throwable cause, Connection connection) {
            connection.loop.execute(() -> connection.onReadFailed(IoClassifier.ofTransferFailure(cause), IoClassifier.describe(cause)));
        }
    };

    private static final CompletionHandler<Integer, Connection> WRITE_HANDLER = new CompletionHandler<>() {
        @Override
        public void completed(Integer count, Connection connection) { connection.loop.execute(() -> connection.onWritten(count)); }

        @Override
        public void failed(Throwable cause, Connection connection) {
            connection.loop.execute(() -> connection.onWriteFailed(IoClassifier.ofTransferFailure(cause), IoClassifier.describe(cause)));
        }
    };
}

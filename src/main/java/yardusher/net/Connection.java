package yardusher.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.ArrayDeque;
import yardusher.core.Deadlines;
import yardusher.core.EventLoop;
import yardusher.resp.Decoder;
import yardusher.resp.InboundBuffer;

/**
 * One connection: reads into its decoder and writes what is queued, by completion handlers, each of them a
 * turn. All methods are called within loop.
 */
public final class Connection {
    /** What the owner of a connection is told, each within a turn. */
    public interface Owner {
        /**
         * More bytes stand in the decoder. False stops reading until {@link Connection#readMore}; on a connection that reads ahead
         * it changes nothing.
         */
        boolean onReadable(Connection connection);

        /** Whether what comes on a connection that reads ahead is kept; once it is not, it never is again, and is dropped. */
        default boolean keepsInput(Connection connection) { return true; }

        /** Whether the owner of a connection that reads ahead takes nothing out of the decoder for now. */
        default boolean isHoldingBack(Connection connection) { return false; }

        /** A connection that reads ahead holds all it may; told each time that it would read on. */
        default void onReadAheadFull(Connection connection) { }

        /** All that was queued has been written. */
        default void onFlushed(Connection connection) { }

        /** The connection has ended from outside; told once, and not after {@link Connection#close}. */
        void onClosed(Connection connection);
    }

    private static final int MAX_QUEUED_BYTES = (4 << 20) + 256 * 1024; // one large body, and what small answers may wait
    private static final int WRITE_SLICE_BYTES = 16 * 1024;      // of a large body, at once: the size of a cached native buffer
    private static final int MAX_MERGED_BYTES = 128 * 1024;    // what is queued in one turn goes out together up to here
    private static final long MAX_DRAINED_BYTES = 96L << 20;
    private static final double DRAIN_TIMEOUT_MS = 3000;
    private static final int MIN_READ_AHEAD_BYTES = 4 * 1024;
    /** What drained bytes go into: nobody looks at them, so all connections share it, without a copy. */
    private static final ByteBuffer DRAIN_BUFFER = ByteBuffer.allocateDirect(64 * 1024);

    /**
     * OPEN, then either FINISHING (the last bytes go out) or LEAVING (the write under way goes out, the rest is dropped), then
     * DRAINING (the sending has ended, what comes is dropped) and CLOSED; from each of them CLOSED.
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
    private boolean drainsWithoutLimit;                         // drains for as long as the peer takes
    private long droppedBytes;
    private Deadlines.Entry drainEnd;
    private Runnable onClosed = () -> { };
    private boolean writeFailed;
    private final ReadAheadBudget readAheadBudget;                         // null for one that does not read ahead
    private int countedBytes;                             // what stands in there for this connection
    private final int maxReadAhead;                         // bytes held at the most by reading on; 0 reads only what the owner asks for
    private byte[] receiveBuffer;                          // what a connection that reads ahead waits with, null for none
    private boolean usingReceiveBuffer;                          // the read under way goes there
    private boolean droppingRead;                          // the read under way is for nobody
    private boolean lastReadFilled;                            // the last read was filled, so more has likely come
    private boolean ownerNotNotified;                          // the owner has not been told of the last bytes yet
    private int requestedBytes;                               // the size of the read under way
    private long readCount;

    /** A connection that carries RESP. */
    public Connection(AsynchronousSocketChannel channel, EventLoop loop, Owner owner) { this(channel, loop, owner, new Decoder()); }

    public Connection(AsynchronousSocketChannel channel, EventLoop loop, Owner owner, InboundBuffer inbound) {
        this(channel, loop, owner, inbound, 0, null);
    }

    private Connection(AsynchronousSocketChannel channel, EventLoop loop, Owner owner, InboundBuffer inbound, int maxReadAhead, ReadAheadBudget readAheadBudget) {
        this.readAheadBudget = readAheadBudget;
        this.inbound = inbound;
        this.channel = channel;
        this.loop = loop;
        this.owner = owner;
        this.maxReadAhead = maxReadAhead;
    }

    /**
     * A connection that carries RESP and goes on reading while its owner takes nothing, up to so many bytes held, so that the
     * peer's end is seen; what came is told once nothing more is to be had at once, and not at all where the end has come behind it.
     */
    static Connection createReadingAhead(AsynchronousSocketChannel channel, EventLoop loop, Owner owner, int maxReadAhead, ReadAheadBudget readAheadBudget) {
        return new Connection(channel, loop, owner, new Decoder(), maxReadAhead, readAheadBudget);
    }

    /** Bytes that connections hold of what they read ahead, together, and the most of them. In turns only. */
    static final class ReadAheadBudget {
        private final long maxBytes;
        private long heldBytes;

        ReadAheadBudget(long maxBytes) { this.maxBytes = maxBytes; }

        long heldBytes() { return heldBytes; }
    }

    private void countHeld(int heldBytes) {
        if (readAheadBudget == null) { return; }
        readAheadBudget.heldBytes += heldBytes - countedBytes;
        countedBytes = heldBytes;
    }

    /** Of a connection that carries RESP. */
    public Decoder decoder() { return (Decoder) inbound; }

    public boolean isClosed() { return stage == Stage.CLOSED; }

    /** Reads done so far: one that is full and stays at its number has come no further. */
    long readCount() { return readCount; }

    /** Whether a read is under way: then the peer's end is seen. */
    boolean isReading() { return reading; }

    /** Whether it holds all it may of what it read ahead. */
    boolean isFull() {
        if (maxReadAhead == 0) { return false; }
        countHeld(decoder().bufferedBytes());
        // Guards the heap against many that send much at once: then each holds little, but for the command that it is in.
        return countedBytes >= maxReadAhead || countedBytes >= MIN_READ_AHEAD_BYTES && readAheadBudget.heldBytes >= readAheadBudget.maxBytes && (ownerNotNotified || owner.isHoldingBack(this));
    }

    /** Whether it ended in a write: then the last byte was never written. */
    public boolean writeFailed() { return writeFailed; }

    /** Bytes that wait to be written. */
    public int queuedBytes() { return queuedBytes; }

    public void readMore() {
        if (reading || stage != Stage.OPEN) { return; }
        if (maxReadAhead == 0) {
            read(inbound.readBuffer());
            return;
        }
        countHeld(decoder().bufferedBytes());
        droppingRead = !owner.keepsInput(this);
        if (!droppingRead && isFull()) {
            owner.onReadAheadFull(this);
            return;
        }
        usingReceiveBuffer = !droppingRead && !lastReadFilled;
        // A wait of its own small size: one in the decoder's room would keep all of that while nothing comes.
        if (usingReceiveBuffer && receiveBuffer == null) { receiveBuffer = new byte[Decoder.MAX_ADD_BYTES]; }
        ByteBuffer buffer = droppingRead ? DRAIN_BUFFER.duplicate() : usingReceiveBuffer ? ByteBuffer.wrap(receiveBuffer) : inbound.readBuffer();
        requestedBytes = buffer.remaining();
        read(buffer);
    }

    private void read(ByteBuffer buffer) {
        reading = true;
        try {
            channel.read(buffer, this, READ_HANDLER);
        } catch (RuntimeException e) {
            closeAndNotify();
        }
    }

    public void write(byte[] bytes) { write(ByteBuffer.wrap(bytes)); }

    /** Queues what is left in it; the bytes have to stay as they are until the owner is told that all is written. */
    public void write(ByteBuffer bytes) {
        if (stage != Stage.OPEN) { return; }
        queue.add(bytes);
        queuedBytes += bytes.remaining();
        // Guards against a terminal that asks and never reads: answers would fill the heap.
        if (queuedBytes > MAX_QUEUED_BYTES) {
            closeAndNotify();
        } else if (!writing) {
            writing = true;
            loop.defer(this::flush); // what one turn queues goes out together
        }
    }

    /**
     * Closes once what is queued has been written and the peer has ended too. Guards against a close with unread
     * bytes: it would reset the connection and destroy the last answer on its way. What still comes is dropped,
     * and a peer that never ends is cut off after a time and a number of bytes. The owner is told nothing more.
     */
    public void finish(Runnable callback) {
        if (isClosed()) {
            callback.run();
            return;
        }
        onClosed = callback;
        stage = Stage.FINISHING;
        limitDrain();
        if (!writing && queue.isEmpty()) { drain(); }
    }

    private void limitDrain() {
        loop.deadlines().cancel(drainEnd);
        drainEnd = loop.deadlines().schedule(loop.now() + DRAIN_TIMEOUT_MS, this::close);
    }

    /**
     * Ends the sending and waits, for as long as it takes, until the peer has closed its side too; {@code then} runs once
     * it has. What still waits to be written is dropped, and so is what comes. The owner is told nothing more.
     */
    public void shutdownAndAwaitPeer(Runnable callback) {
        if (isClosed()) {
            callback.run();
            return;
        }
        onClosed = callback;
        drainsWithoutLimit = true;
        stage = Stage.COMPLETING_WRITE;
        if (!writing) { drain(); }                   // else what is under way ends first
    }

    private void drain() {
        queue.clear();
        queuedBytes = 0;
        stage = Stage.DRAINING;
        countHeld(0);
        try {
            channel.shutdownOutput();
        } catch (IOException e) {
            close();
            return;
        }
        if (!reading) { read(DRAIN_BUFFER.duplicate()); }
    }

    private void onDrained(int count) {
        droppedBytes += Math.max(0, count);
        if (count < 0 || droppedBytes > MAX_DRAINED_BYTES && !drainsWithoutLimit) {
            close();
        } else {
            read(DRAIN_BUFFER.duplicate());
        }
    }

    public void close() {
        if (isClosed()) { return; }
        stage = Stage.CLOSED;
        countHeld(0);
        queue.clear();
        queuedBytes = 0;
        loop.deadlines().cancel(drainEnd);
        loop.defer(onClosed);
        try {
            channel.close();
        } catch (IOException e) { /* it is gone either way */ }
    }

    private void closeAndNotify() {
        boolean owned = stage == Stage.OPEN;
        close();
        if (owned) { owner.onClosed(this); }
    }

    private void flush() {
        if (isClosed()) { return; }
        if (stage == Stage.COMPLETING_WRITE) {
            writing = false;
            drain();
            return;
        }
        ByteBuffer next = queue.peek();
        if (queue.size() > 1 && queuedBytes <= MAX_MERGED_BYTES) {
            int size = 0;
            for (ByteBuffer part : queue) { size += part.remaining(); }
            next = ByteBuffer.allocate(size);
            for (ByteBuffer part : queue) { next.put(part); }
            next.flip();
            queue.clear();
            queue.add(next);
        }
        try {
            // Guards the native memory: a buffer as large as a body would be copied there whole.
            writingSlice = next.remaining() > MAX_MERGED_BYTES;
            channel.write(writingSlice ? next.slice(next.position(), WRITE_SLICE_BYTES) : next, this, WRITE_HANDLER);
        } catch (RuntimeException e) {
            closeAndNotify();
        }
    }

    private void read(int count) {
        reading = false;
        if (isClosed()) { return; }
        if (stage == Stage.DRAINING) {
            onDrained(count);
            return;
        }
        if (stage != Stage.OPEN) { return; }         // it is read again once the last bytes have gone out
        if (count < 0) {
            closeAndNotify();
            return;
        }
        readCount++;
        if (maxReadAhead > 0) {
            onReadAhead(count);
            return;
        }
        inbound.advance(count);
        if (owner.onReadable(this)) { readMore(); }
    }

    private void onReadAhead(int count) {
        lastReadFilled = count == requestedBytes;
        if (droppingRead || !owner.keepsInput(this)) {
            droppedBytes += count;
            if (droppedBytes > MAX_DRAINED_BYTES) {
                closeAndNotify();
                return;
            }
        } else if (usingReceiveBuffer) {
            decoder().add(receiveBuffer, count);
        } else {
            inbound.advance(count);
        }
        // Guards against what a client asks and takes back by its end right behind it: that may lie in the system already, and then
        // this read comes back at once, before the owner is told.
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
        owner.onReadable(this);
        if (stage != Stage.OPEN) { return; }
        countHeld(decoder().bufferedBytes());
        if (!reading || usingReceiveBuffer || droppingRead) { decoder().shrink(); }
        readMore();
    }

    private void onWritten(int count) {
        if (isClosed()) { return; }
        if (stage == Stage.COMPLETING_WRITE) {
            writing = false;
            drain();
            return;
        }
        queuedBytes -= count;
        if (writingSlice) { queue.peek().position(queue.peek().position() + count); }
        if (!queue.peek().hasRemaining()) { queue.poll(); }
        if (stage == Stage.FINISHING) { limitDrain(); } // a slow peer that takes its last answer has its time for each piece
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
        public void completed(Integer count, Connection link) { link.loop.execute(() -> link.read(count)); }

        @Override
        public void failed(Throwable why, Connection link) { link.loop.execute(link::closeAndNotify); }
    };

    private static final CompletionHandler<Integer, Connection> WRITE_HANDLER = new CompletionHandler<>() {
        @Override
        public void completed(Integer count, Connection link) { link.loop.execute(() -> link.onWritten(count)); }

        @Override
        public void failed(Throwable why, Connection link) {
            link.loop.execute(() -> {
                link.writeFailed = true;
                link.closeAndNotify();
            });
        }
    };
}

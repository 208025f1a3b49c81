package yardusher.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.ArrayDeque;
import yardusher.core.Deadlines;
import yardusher.core.EventLoop;
import yardusher.resp.Decoder;
import yardusher.resp.Inbound;

/**
 * One TCP connection: reads into its decoder and writes what is queued, by completion handlers, each of which is an event loop
 * task. All methods are called on the event loop.
 */
public final class Link {
    /** Callbacks to the owner of a connection, each on the event loop. */
    public interface Owner {
        /**
         * The decoder has more bytes. Returning false stops reading until {@link Connection#readMore}; on a connection that
         * reads ahead the result is ignored.
         */
        boolean readable(Link link);

        /**
         * Whether further input of a connection that reads ahead is kept. Once false it must stay false, and the input is
         * dropped.
         */
        default boolean keeps(Link link) { return true; }

        /** Whether the owner of a connection that reads ahead currently takes nothing out of the decoder. */
        default boolean holdsBack(Link link) { return false; }

        /** A connection that reads ahead has filled its buffer; called each time it would continue to read. */
        default void full(Link link) { }

        /** All queued bytes have been written. */
        default void written(Link link) { }

        /** The peer or an I/O error ended the connection; called once, and not after {@link Connection#close}. */
        void ended(Link link);
    }

    private static final int MOST_QUEUED = (4 << 20) + 256 * 1024; // one large body, and small replies that wait
    private static final int PIECE = 16 * 1024;      // of a large body, per write: the size of a cached native buffer
    private static final int MERGED = 128 * 1024;    // bytes queued in one task are merged into one write up to this size
    private static final long MOST_DRAINED = 96L << 20;
    private static final double DRAIN_MS = 3000;
    private static final int LITTLE = 4 * 1024;
    /** Target of drained bytes. Nobody reads it, so all connections share it, without a copy. */
    private static final ByteBuffer SCRATCH = ByteBuffer.allocateDirect(64 * 1024);

    /**
     * OPEN, then either FINISHING (the last bytes are flushed) or LEAVING (the current write completes, the rest is dropped),
     * then DRAINING (output is shut down, input is dropped) and CLOSED; each can go to CLOSED directly.
     */
    private enum Stage { OPEN, FINISHING, LEAVING, DRAINING, CLOSED }

    private final AsynchronousSocketChannel channel;
    private final EventLoop loop;
    private final Owner owner;
    private final Inbound inbound;
    private final ArrayDeque<ByteBuffer> queue = new ArrayDeque<>(4);
    private int queued;
    private boolean writing;
    private boolean sliced;
    private boolean reading;
    private Stage stage = Stage.OPEN;
    private boolean patient;                         // drains for as long as the peer takes
    private long dropped;
    private Deadlines.Entry drainEnd;
    private Runnable whenClosed = () -> { };
    private boolean writeFailed;
    private final Ahead all;                         // null for a connection that does not read ahead
    private int counted;                             // this connection's share of that budget
    private final int ahead;                         // maximum number of bytes read ahead; 0 reads only on request
    private byte[] landing;                          // receive buffer of a connection that reads ahead, null until needed
    private boolean landed;                          // the pending read goes to that buffer
    private boolean wasted;                          // the pending read is dropped
    private boolean more;                            // the last read filled its buffer, so more input is likely
    private boolean untold;                          // the owner has not been told of the last bytes yet
    private int asked;                               // the buffer size of the pending read
    private long reads;

    /** Creates a connection for RESP. */
    public Link(AsynchronousSocketChannel channel, EventLoop loop, Owner owner) { this(channel, loop, owner, new Decoder()); }

    public Link(AsynchronousSocketChannel channel, EventLoop loop, Owner owner, Inbound inbound) {
        this(channel, loop, owner, inbound, 0, null);
    }

    private Link(AsynchronousSocketChannel channel, EventLoop loop, Owner owner, Inbound inbound, int ahead, Ahead all) {
        this.all = all;
        this.inbound = inbound;
        this.channel = channel;
        this.loop = loop;
        this.owner = owner;
        this.ahead = ahead;
    }

    /**
     * Creates a RESP connection that keeps reading while its owner takes nothing, up to {@code maxReadAhead} bytes, so that the
     * peer's disconnect is seen. Input is reported once no more is available at once, and not at all if it is followed by the
     * disconnect.
     */
    static Link ahead(AsynchronousSocketChannel channel, EventLoop loop, Owner owner, int most, Ahead all) {
        return new Link(channel, loop, owner, new Decoder(), most, all);
    }

    /** Limits the bytes that connections read ahead together. Used on the event loop only. */
    static final class Ahead {
        private final long most;
        private long held;

        Ahead(long most) { this.most = most; }

        long held() { return held; }
    }

    private void count(int held) {
        if (all == null) { return; }
        all.held += held - counted;
        counted = held;
    }

    /** The decoder of a RESP connection. */
    public Decoder decoder() { return (Decoder) inbound; }

    public boolean isClosed() { return stage == Stage.CLOSED; }

    /** The number of completed reads: if it is unchanged, a full connection has made no progress. */
    long reads() { return reads; }

    /** Whether a read is pending, so that a disconnect of the peer is seen. */
    boolean isReading() { return reading; }

    /** Whether the read-ahead buffer is full. */
    boolean isFull() {
        if (ahead == 0) { return false; }
        count(decoder().held());
        // Many connections that send much at once must not fill the heap: beyond the common limit each one buffers little more
        // than its current command.
        return counted >= ahead || counted >= LITTLE && all.held >= all.most && (untold || owner.holdsBack(this));
    }

    /** Whether the connection ended in a failed write: then the last byte was never written. */
    public boolean writeFailed() { return writeFailed; }

    /** The number of bytes that wait to be written. */
    public int queued() { return queued; }

    public void readMore() {
        if (reading || stage != Stage.OPEN) { return; }
        if (ahead == 0) {
            read(inbound.room());
            return;
        }
        count(decoder().held());
        wasted = !owner.keeps(this);
        if (!wasted && isFull()) {
            owner.full(this);
            return;
        }
        landed = !wasted && !more;
        // A read waits in a small buffer of its own: a wait in the decoder's buffer would keep all of that allocated while no
        // input comes.
        if (landed && landing == null) { landing = new byte[Decoder.ROOM]; }
        ByteBuffer room = wasted ? SCRATCH.duplicate() : landed ? ByteBuffer.wrap(landing) : inbound.room();
        asked = room.remaining();
        read(room);
    }

    private void read(ByteBuffer room) {
        reading = true;
        try {
            channel.read(room, this, READ);
        } catch (RuntimeException e) {
            end();
        }
    }

    public void write(byte[] bytes) { write(ByteBuffer.wrap(bytes)); }

    /** Queues the buffer's remaining bytes. They must not change until the owner is told that all bytes are written. */
    public void write(ByteBuffer bytes) {
        if (stage != Stage.OPEN) { return; }
        queue.add(bytes);
        queued += bytes.remaining();
        // A terminal that sends requests and never reads would fill the heap with replies.
        if (queued > MOST_QUEUED) {
            end();
        } else if (!writing) {
            writing = true;
            loop.afterwards(this::flush); // bytes queued in one task are written together
        }
    }

    /**
     * Closes after the queued bytes are written and the peer has closed too. A close with unread input would reset the
     * connection and destroy the last reply on its way. Further input is dropped, and a peer that never closes is cut off after
     * a time and a number of bytes. The owner gets no more callbacks.
     */
    public void finish(Runnable then) {
        if (isClosed()) {
            then.run();
            return;
        }
        whenClosed = then;
        stage = Stage.FINISHING;
        limitDrain();
        if (!writing && queue.isEmpty()) { drain(); }
    }

    private void limitDrain() {
        loop.deadlines().cancel(drainEnd);
        drainEnd = loop.deadlines().at(loop.now() + DRAIN_MS, this::close);
    }

    /**
     * Shuts down the output and waits, for as long as it takes, until the peer has closed its side too; {@code then} runs after
     * that. Bytes that wait to be written are dropped, and so is further input. The owner gets no more callbacks.
     */
    public void leave(Runnable then) {
        if (isClosed()) {
            then.run();
            return;
        }
        whenClosed = then;
        patient = true;
        stage = Stage.LEAVING;
        if (!writing) { drain(); }                   // otherwise after the pending write
    }

    private void drain() {
        queue.clear();
        queued = 0;
        stage = Stage.DRAINING;
        count(0);
        try {
            channel.shutdownOutput();
        } catch (IOException e) {
            close();
            return;
        }
        if (!reading) { read(SCRATCH.duplicate()); }
    }

    private void drained(int count) {
        dropped += Math.max(0, count);
        if (count < 0 || dropped > MOST_DRAINED && !patient) {
            close();
        } else {
            read(SCRATCH.duplicate());
        }
    }

    public void close() {
        if (isClosed()) { return; }
        stage = Stage.CLOSED;
        count(0);
        queue.clear();
        queued = 0;
        loop.deadlines().cancel(drainEnd);
        loop.afterwards(whenClosed);
        try {
            channel.close();
        } catch (IOException e) { /* closed either way */ }
    }

    private void end() {
        boolean owned = stage == Stage.OPEN;
        close();
        if (owned) { owner.ended(this); }
    }

    private void flush() {
        if (isClosed()) { return; }
        if (stage == Stage.LEAVING) {
            writing = false;
            drain();
            return;
        }
        ByteBuffer first = queue.peek();
        if (queue.size() > 1 && queued <= MERGED) {
            int size = 0;
            for (ByteBuffer part : queue) { size += part.remaining(); }
            first = ByteBuffer.allocate(size);
            for (ByteBuffer part : queue) { first.put(part); }
            first.flip();
            queue.clear();
            queue.add(first);
        }
        try {
            // A write of a whole large body would copy it into native memory as a whole.
            sliced = first.remaining() > MERGED;
            channel.write(sliced ? first.slice(first.position(), PIECE) : first, this, WRITTEN);
        } catch (RuntimeException e) {
            end();
        }
    }

    private void read(int count) {
        reading = false;
        if (isClosed()) { return; }
        if (stage == Stage.DRAINING) {
            drained(count);
            return;
        }
        if (stage != Stage.OPEN) { return; }         // reading resumes after the last bytes are written
        if (count < 0) {
            end();
            return;
        }
        reads++;
        if (ahead > 0) {
            readAhead(count);
            return;
        }
        inbound.filled(count);
        if (owner.readable(this)) { readMore(); }
    }

    private void readAhead(int count) {
        more = count == asked;
        if (wasted || !owner.keeps(this)) {
            dropped += count;
            if (dropped > MOST_DRAINED) {
                end();
                return;
            }
        } else if (landed) {
            decoder().add(landing, count);
        } else {
            inbound.filled(count);
        }
        // A client may cancel its requests by disconnecting right after them. The disconnect may already have arrived; then
        // this read completes at once, before the owner handles the requests.
        untold = true;
        readMore();
        long last = reads;
        loop.afterwards(() -> {
            if (last == reads) { tell(); }
        });
    }

    private void tell() {
        untold = false;
        if (stage != Stage.OPEN) { return; }
        owner.readable(this);
        if (stage != Stage.OPEN) { return; }
        count(decoder().held());
        if (!reading || landed || wasted) { decoder().shrink(); }
        readMore();
    }

    private void wrote(int count) {
        if (isClosed()) { return; }
        if (stage == Stage.LEAVING) {
            writing = false;
            drain();
            return;
        }
        queued -= count;
        if (sliced) { queue.peek().position(queue.peek().position() + count); }
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
            owner.written(this);
        }
    }

    private static final CompletionHandler<Integer, Link> READ = new CompletionHandler<>() {
        @Override
        public void completed(Integer count, Link link) { link.loop.turn(() -> link.read(count)); }

        @Override
        public void failed(Throwable why, Link link) { link.loop.turn(link::end); }
    };

    private static final CompletionHandler<Integer, Link> WRITTEN = new CompletionHandler<>() {
        @Override
        public void completed(Integer count, Link link) { link.loop.turn(() -> link.wrote(count)); }

        @Override
        public void failed(Throwable why, Link link) {
            link.loop.turn(() -> {
                link.writeFailed = true;
                link.end();
            });
        }
    };
}

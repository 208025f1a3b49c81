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
 * One connection: reads into its decoder and writes what is queued, by completion handlers, each of them a
 * turn. All methods are called within loop.
 */
public final class Link {
    /** What the owner of a connection is told, each within a turn. */
    public interface Owner {
        /**
         * More bytes stand in the decoder. False stops reading until {@link Link#readMore}; on a connection that reads ahead
         * it changes nothing.
         */
        boolean readable(Link link);

        /** Whether what comes on a connection that reads ahead is kept; once it is not, it never is again, and is dropped. */
        default boolean keeps(Link link) { return true; }

        /** Whether the owner of a connection that reads ahead takes nothing out of the decoder for now. */
        default boolean holdsBack(Link link) { return false; }

        /** A connection that reads ahead holds all it may; told each time that it would read on. */
        default void full(Link link) { }

        /** All that was queued has been written. */
        default void written(Link link) { }

        /** The connection has ended from outside; told once, and not after {@link Link#close}. */
        void ended(Link link);
    }

    private static final int MOST_QUEUED = (4 << 20) + 256 * 1024; // one large body, and what small answers may wait
    private static final int PIECE = 16 * 1024;      // of a large body, at once: the size of a cached native buffer
    private static final int MERGED = 128 * 1024;    // what is queued in one turn goes out together up to here
    private static final long MOST_DRAINED = 96L << 20;
    private static final double DRAIN_MS = 3000;
    private static final int LITTLE = 4 * 1024;
    /** What drained bytes go into: nobody looks at them, so all connections share it, without a copy. */
    private static final ByteBuffer SCRATCH = ByteBuffer.allocateDirect(64 * 1024);

    /**
     * OPEN, then either FINISHING (the last bytes go out) or LEAVING (the write under way goes out, the rest is dropped), then
     * DRAINING (the sending has ended, what comes is dropped) and CLOSED; from each of them CLOSED.
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
    private final Ahead all;                         // null for one that does not read ahead
    private int counted;                             // what stands in there for this connection
    private final int ahead;                         // bytes held at the most by reading on; 0 reads only what the owner asks for
    private byte[] landing;                          // what a connection that reads ahead waits with, null for none
    private boolean landed;                          // the read under way goes there
    private boolean wasted;                          // the read under way is for nobody
    private boolean more;                            // the last read was filled, so more has likely come
    private boolean untold;                          // the owner has not been told of the last bytes yet
    private int asked;                               // the size of the read under way
    private long reads;

    /** A connection that carries RESP. */
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
     * A connection that carries RESP and goes on reading while its owner takes nothing, up to so many bytes held, so that the
     * peer's end is seen; what came is told once nothing more is to be had at once, and not at all where the end has come behind it.
     */
    static Link ahead(AsynchronousSocketChannel channel, EventLoop loop, Owner owner, int most, Ahead all) {
        return new Link(channel, loop, owner, new Decoder(), most, all);
    }

    /** Bytes that connections hold of what they read ahead, together, and the most of them. In turns only. */
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

    /** Of a connection that carries RESP. */
    public Decoder decoder() { return (Decoder) inbound; }

    public boolean isClosed() { return stage == Stage.CLOSED; }

    /** Reads done so far: one that is full and stays at its number has come no further. */
    long reads() { return reads; }

    /** Whether a read is under way: then the peer's end is seen. */
    boolean isReading() { return reading; }

    /** Whether it holds all it may of what it read ahead. */
    boolean isFull() {
        if (ahead == 0) { return false; }
        count(decoder().held());
        // Guards the heap against many that send much at once: then each holds little, but for the command that it is in.
        return counted >= ahead || counted >= LITTLE && all.held >= all.most && (untold || owner.holdsBack(this));
    }

    /** Whether it ended in a write: then the last byte was never written. */
    public boolean writeFailed() { return writeFailed; }

    /** Bytes that wait to be written. */
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
        // A wait of its own small size: one in the decoder's room would keep all of that while nothing comes.
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

    /** Queues what is left in it; the bytes have to stay as they are until the owner is told that all is written. */
    public void write(ByteBuffer bytes) {
        if (stage != Stage.OPEN) { return; }
        queue.add(bytes);
        queued += bytes.remaining();
        // Guards against a terminal that asks and never reads: answers would fill the heap.
        if (queued > MOST_QUEUED) {
            end();
        } else if (!writing) {
            writing = true;
            loop.afterwards(this::flush); // what one turn queues goes out together
        }
    }

    /**
     * Closes once what is queued has been written and the peer has ended too. Guards against a close with unread
     * bytes: it would reset the connection and destroy the last answer on its way. What still comes is dropped,
     * and a peer that never ends is cut off after a time and a number of bytes. The owner is told nothing more.
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
     * Ends the sending and waits, for as long as it takes, until the peer has closed its side too; {@code then} runs once
     * it has. What still waits to be written is dropped, and so is what comes. The owner is told nothing more.
     */
    public void leave(Runnable then) {
        if (isClosed()) {
            then.run();
            return;
        }
        whenClosed = then;
        patient = true;
        stage = Stage.LEAVING;
        if (!writing) { drain(); }                   // else what is under way ends first
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
        } catch (IOException e) { /* it is gone either way */ }
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
            // Guards the native memory: a buffer as large as a body would be copied there whole.
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
        if (stage != Stage.OPEN) { return; }         // it is read again once the last bytes have gone out
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
        // Guards against what a client asks and takes back by its end right behind it: that may lie in the system already, and then
        // this read comes back at once, before the owner is told.
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
        if (stage == Stage.FINISHING) { limitDrain(); } // a slow peer that takes its last answer has its time for each piece
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

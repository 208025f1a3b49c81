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
        /** More bytes stand in the decoder. False stops reading until {@link Link#readMore}. */
        boolean readable(Link link);

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
    /** What drained bytes go into: nobody looks at them, so all connections share it, without a copy. */
    private static final ByteBuffer SCRATCH = ByteBuffer.allocateDirect(64 * 1024);

    private final AsynchronousSocketChannel channel;
    private final EventLoop loop;
    private final Owner owner;
    private final Inbound inbound;
    private final ArrayDeque<ByteBuffer> queue = new ArrayDeque<>(4);
    private int queued;
    private boolean writing;
    private boolean sliced;
    private boolean reading;
    private boolean finishing;
    private boolean draining;
    private boolean leaving;
    private long drained;
    private Deadlines.Entry drainEnd;
    private Runnable whenClosed = () -> { };
    private boolean closed;
    private boolean writeFailed;

    /** A connection that carries RESP. */
    public Link(AsynchronousSocketChannel channel, EventLoop loop, Owner owner) { this(channel, loop, owner, new Decoder()); }

    public Link(AsynchronousSocketChannel channel, EventLoop loop, Owner owner, Inbound inbound) {
        this.inbound = inbound;
        this.channel = channel;
        this.loop = loop;
        this.owner = owner;
    }

    /** Of a connection that carries RESP. */
    public Decoder decoder() { return (Decoder) inbound; }

    public boolean isClosed() { return closed; }

    /** Whether it ended in a write: then the last byte was never written. */
    public boolean writeFailed() { return writeFailed; }

    /** Bytes that wait to be written. */
    public int queued() { return queued; }

    public void readMore() {
        if (reading || closed || draining) { return; }
        read(inbound.room());
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
        if (closed || finishing) { return; }
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
        if (closed) {
            then.run();
            return;
        }
        whenClosed = then;
        finishing = true;
        drainEnd = loop.deadlines().at(loop.now() + DRAIN_MS, this::close);
        if (!writing && queue.isEmpty()) { drain(); }
    }

    /**
     * Ends the sending and waits, for as long as it takes, until the peer has closed its side too; {@code then} runs once
     * it has. What still waits to be written is dropped, and so is what comes. The owner is told nothing more.
     */
    public void leave(Runnable then) {
        if (closed) {
            then.run();
            return;
        }
        whenClosed = then;
        finishing = true;
        leaving = true;
        if (!writing) { drain(); }                   // else what is under way ends first
    }

    private void drain() {
        queue.clear();
        draining = true;
        try {
            channel.shutdownOutput();
        } catch (IOException e) {
            close();
            return;
        }
        if (!reading) { read(SCRATCH.duplicate()); }
    }

    private void drained(int count) {
        drained += Math.max(0, count);
        if (count < 0 || drained > MOST_DRAINED && !leaving) {
            close();
        } else {
            read(SCRATCH.duplicate());
        }
    }

    public void close() {
        if (closed) { return; }
        closed = true;
        queue.clear();
        loop.deadlines().cancel(drainEnd);
        loop.afterwards(whenClosed);
        try {
            channel.close();
        } catch (IOException e) { /* it is gone either way */ }
    }

    private void end() {
        if (closed) { return; }
        boolean owned = !finishing;
        close();
        if (owned) { owner.ended(this); }
    }

    private void flush() {
        if (closed) { return; }
        if (leaving) {
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
        if (closed) { return; }
        if (draining) {
            drained(count);
            return;
        }
        if (count < 0) {
            if (!finishing) { end(); }
            return;
        }
        inbound.filled(count);
        if (finishing) { return; }
        if (owner.readable(this) && !closed) { readMore(); }
    }

    private void wrote(int count) {
        if (closed) { return; }
        if (leaving) {
            writing = false;
            drain();
            return;
        }
        queued -= count;
        if (sliced) { queue.peek().position(queue.peek().position() + count); }
        if (!queue.peek().hasRemaining()) { queue.poll(); }
        if (!queue.isEmpty()) {
            flush();
            return;
        }
        writing = false;
        if (finishing) {
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

package yardusher.net;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.Channel;
import java.nio.channels.CompletionHandler;
import java.util.ArrayList;
import java.util.List;
import yardusher.core.EventLoop;

/**
 * Tells up to which time all input of a channel group's connections was handled. Time that passes proves nothing: while the process
 * does not run, input lies unread in the system.
 *
 * <p>A byte goes round a pair of connected sockets of the group, twice. The group's one thread polls, handles all that the poll
 * returned, and polls again. So the poll that returns the second byte comes after all is handled that the poll with the first one
 * returned, and that one saw everything that had arrived when the first byte was written. Used on the event loop only.
 */
public final class PollBarrier implements InputBarrier {
    private static final double MAX_ROUND_MS = 1000; // after this the pair of sockets is given up

    /** A round that waits for its bytes. */
    private static final class Round {
        final double begunAtMs;
        final List<Runnable> callbacks = new ArrayList<>(2);
        boolean secondByte;

        Round(double begunAtMs) { this.begunAtMs = begunAtMs; }
    }

    private final AsynchronousChannelGroup group;
    private final EventLoop loop;
    private final ByteBuffer received = ByteBuffer.allocateDirect(1);
    private final ByteBuffer sent = ByteBuffer.allocateDirect(1);
    private AsynchronousServerSocketChannel listener;
    private AsynchronousSocketChannel writer;
    private AsynchronousSocketChannel reader;
    private boolean connected;
    private int generation;                          // completions of an earlier pair of sockets are ignored
    private Round round;                             // null while no byte is on its way
    private final List<Runnable> next = new ArrayList<>(); // callbacks that need a later round
    private double handledUpToMs = Double.NEGATIVE_INFINITY;

    PollBarrier(AsynchronousChannelGroup group, EventLoop loop) {
        this.group = group;
        this.loop = loop;
    }

    @Override
    public double handledUpToMs() { return handledUpToMs; }

    @Override
    public void await(double untilMs, Runnable callback) {
        if (round != null && loop.now() - round.begunAtMs > MAX_ROUND_MS) { giveUp(); }
        if (handledUpToMs >= untilMs) {
            loop.defer(callback);
        } else if (round == null) {
            begin(callback);
        } else if (round.begunAtMs >= untilMs) {
            round.callbacks.add(callback);
        } else {
            next.add(callback);
        }
    }

    private void begin(Runnable callback) {
        round = new Round(loop.now());
        round.callbacks.add(callback);
        if (connected) { write(); } else { connect(); }
    }

    /** The group has one thread, and both ends are its own: nothing else may speak to the reader. */
    private void connect() {
        int current = ++generation;
        try {
            listener = AsynchronousServerSocketChannel.open(group);
            listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1);
            writer = AsynchronousSocketChannel.open(group);
            listener.accept(null, handler(current, this::accepted));
            writer.connect(listener.getLocalAddress(), null, handler(current, nothing -> connected()));
        } catch (IOException | RuntimeException e) {
            giveUp();
        }
    }

    private void accepted(AsynchronousSocketChannel channel) throws IOException {
        reader = channel;
        close(listener);
        listener = null;
        connected();
    }

    private void connected() throws IOException {
        SocketAddress own = writer.getLocalAddress();
        if (reader == null || writer.getRemoteAddress() == null) { return; }
        if (!own.equals(reader.getRemoteAddress())) { throw new IOException("another process connected"); }
        writer.setOption(StandardSocketOptions.TCP_NODELAY, true); // else each second byte waits for an acknowledgement
        connected = true;
        read();
        write();
    }

    private void write() {
        sent.clear();
        writer.write(sent, null, handler(generation, PollBarrier::checkCount));
    }

    private void read() {
        received.clear();
        reader.read(received, null, handler(generation, this::onByte));
    }

    private static void checkCount(int count) throws IOException {
        if (count != 1) { throw new IOException("the call failed, or the pair of sockets has ended"); }
    }

    private void onByte(int count) throws IOException {
        checkCount(count);
        if (round == null) { throw new IOException("a byte that nobody has sent"); }
        read();                                      // pending before the next byte is written: only a poll can complete it
        if (!round.secondByte) {
            round.secondByte = true;
            write();
            return;
        }
        handledUpToMs = Math.max(handledUpToMs, round.begunAtMs);
        Round ended = round;
        round = null;
        ended.callbacks.forEach(loop::defer);
        beginNext();
    }

    private void beginNext() {
        if (next.isEmpty()) { return; }
        List<Runnable> waiting = List.copyOf(next);
        next.clear();
        waiting.forEach(callback -> await(loop.now(), callback));
    }

    /** The pair of sockets does not work: all that wait are called back, and the next call opens another pair. */
    private void giveUp() {
        generation++;
        connected = false;
        close(listener);
        close(writer);
        close(reader);
        listener = null;
        writer = null;
        reader = null;
        Round ended = round;
        round = null;
        if (ended != null) { ended.callbacks.forEach(loop::defer); }
        next.forEach(loop::defer);
        next.clear();
    }

    private static void close(Channel channel) {
        if (channel == null) { return; }
        try {
            channel.close();
        } catch (IOException e) { /* closed either way */ }
    }

    /** What is done with a result, on the event loop. */
    private interface Step<T> {
        void accept(T result) throws IOException;
    }

    private <T> CompletionHandler<T, Void> handler(int current, Step<T> step) {
        return new CompletionHandler<>() {
            @Override
            public void completed(T result, Void nothing) { loop.execute(() -> run(result)); }

            private void run(T result) {
                if (current != generation) {
                    if (result instanceof Channel channel) { close(channel); }
                    return;
                }
                try {
                    step.accept(result);
                } catch (IOException | RuntimeException e) {
                    giveUp();
                }
            }

            @Override
            public void failed(Throwable cause, Void nothing) {
                loop.execute(() -> { if (current == generation) { giveUp(); } });
            }
        };
    }
}

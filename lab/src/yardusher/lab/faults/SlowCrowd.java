package yardusher.lab.faults;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import yardusher.lab.Chronicle;

/**
 * Clients that write or read slowly, or stop half way. Each writes its bytes at a rate of its own and then stays; one whose
 * connection ends opens another a moment later. One thread serves them all.
 */
final class SlowCrowd implements AutoCloseable {
    private static final long TICK_MS = 20;
    private static final double RECONNECT_AFTER_MS = 500;
    private static final int RECEIVE_BUFFER_BYTES = 16 * 1024;
    private static final int UNLIMITED = Integer.MAX_VALUE;

    /** How a client behaves: bytes per second that it writes and reads at most, 0 for no limit. */
    record Manner(int writesPerSecond, int readsPerSecond) {
        private static int perTick(int perSecond) { return perSecond == 0 ? UNLIMITED : (int) Math.max(1, perSecond * TICK_MS / 1000); }
    }

    private static final class Member {
        final ByteBuffer output;

        Member(byte[] output) { this.output = ByteBuffer.wrap(output); }
    }

    private final InetSocketAddress address;
    private final Manner manner;
    private final Supplier<byte[]> input;
    private final Selector selector;
    private final Thread thread;
    private final ByteBuffer received = ByteBuffer.allocate(64 * 1024);
    private final ArrayDeque<Double> reconnects = new ArrayDeque<>();
    private volatile boolean stopped;
    private volatile int ended;

    /** Opens so many connections; {@code input} gives what each one writes. */
    SlowCrowd(InetSocketAddress address, int size, Manner manner, Supplier<byte[]> input) throws IOException {
        this.address = address;
        this.manner = manner;
        this.input = input;
        selector = Selector.open();
        for (int i = 0; i < size; i++) { connect(); }
        thread = new Thread(this::run, "slow crowd");
        thread.setDaemon(true);
        thread.start();
    }

    /** How many of their connections have ended so far. */
    int ended() { return ended; }

    private void connect() throws IOException {
        SocketChannel channel = SocketChannel.open();
        channel.configureBlocking(false);
        if (manner.readsPerSecond() > 0) { channel.setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES); }
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        channel.connect(address);
        channel.register(selector, SelectionKey.OP_CONNECT, new Member(input.get()));
    }

    private void run() {
        try {
            while (!stopped) {
                double nextMs = Chronicle.now() + TICK_MS;
                selector.selectNow();
                for (SelectionKey key : List.copyOf(selector.selectedKeys())) { serve(key); }
                selector.selectedKeys().clear();
                while (!reconnects.isEmpty() && reconnects.peek() <= Chronicle.now()) {
                    reconnects.poll();
                    connect();
                }
                Thread.sleep((long) Math.max(1, nextMs - Chronicle.now()));
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void serve(SelectionKey key) throws IOException {
        SocketChannel channel = (SocketChannel) key.channel();
        Member member = (Member) key.attachment();
        try {
            if (key.isConnectable()) { channel.finishConnect(); }
            if (key.isReadable()) {
                received.clear().limit(Math.min(received.capacity(), Manner.perTick(manner.readsPerSecond())));
                if (channel.read(received) < 0) { throw new IOException("ended"); }
            }
            if (key.isConnectable() || key.isWritable()) { write(channel, member.output); }
            key.interestOps(SelectionKey.OP_READ | (member.output.hasRemaining() ? SelectionKey.OP_WRITE : 0));
        } catch (IOException e) {                    // reset, not accepted, or ended
            channel.close();
            ended++;
            reconnects.add(Chronicle.now() + RECONNECT_AFTER_MS);
        }
    }

    private void write(SocketChannel channel, ByteBuffer output) throws IOException {
        int all = output.limit();
        output.limit((int) Math.min(all, (long) output.position() + Manner.perTick(manner.writesPerSecond())));
        channel.write(output);
        output.limit(all);
    }

    @Override
    public void close() throws IOException, InterruptedException {
        stopped = true;
        thread.join();
        for (SelectionKey key : new ArrayList<>(selector.keys())) { key.channel().close(); }
        selector.close();
    }
}

package yardusher.lab.faults;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import yardusher.lab.Chronicle;

/**
 * Clients that hold connections to an ingress and ask nothing of it: every second one sent a PING first. One whose connection ends
 * opens another a moment later. One thread serves them all.
 */
final class IdleCrowd implements AutoCloseable {
    private static final byte[] PING = "*1\r\n$4\r\nPING\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final long SELECT_MS = 50;
    private static final double RECONNECT_AFTER_MS = 500;

    /** A client without a connection. */
    private record Waiting(boolean asksFirst, double untilMs) { }

    private final InetSocketAddress address;
    private final Selector selector;
    private final Thread thread;
    private final ByteBuffer input = ByteBuffer.allocate(256);
    private final ArrayDeque<Waiting> waiting = new ArrayDeque<>();
    private volatile boolean stopped;
    private volatile int ended;

    /** Opens so many connections. */
    IdleCrowd(InetSocketAddress address, int size) throws IOException {
        this.address = address;
        selector = Selector.open();
        for (int i = 0; i < size; i++) { connect(i % 2 == 0); }
        thread = new Thread(this::run, "idle crowd");
        thread.setDaemon(true);
        thread.start();
    }

    /** How many of their connections have ended so far. */
    int ended() { return ended; }

    private void connect(boolean asksFirst) throws IOException {
        SocketChannel channel = SocketChannel.open();
        channel.configureBlocking(false);
        channel.connect(address);
        channel.register(selector, SelectionKey.OP_CONNECT, asksFirst);
    }

    private void run() {
        try {
            while (!stopped) {
                selector.select(SELECT_MS);
                List<SelectionKey> ready = new ArrayList<>(selector.selectedKeys());
                selector.selectedKeys().clear();
                for (SelectionKey key : ready) { serve(key); }
                while (!waiting.isEmpty() && waiting.peek().untilMs() <= Chronicle.now()) { connect(waiting.poll().asksFirst()); }
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void serve(SelectionKey key) throws IOException {
        SocketChannel channel = (SocketChannel) key.channel();
        boolean asksFirst = (boolean) key.attachment();
        try {
            if (key.isConnectable()) {
                channel.finishConnect();
                key.interestOps(SelectionKey.OP_READ);
                if (asksFirst) { channel.write(ByteBuffer.wrap(PING)); }
                return;
            }
            input.clear();
            if (channel.read(input) >= 0) { return; }
        } catch (IOException e) { /* reset, or not accepted */ }
        channel.close();
        ended++;
        waiting.add(new Waiting(asksFirst, Chronicle.now() + RECONNECT_AFTER_MS));
    }

    @Override
    public void close() throws IOException, InterruptedException {
        stopped = true;
        selector.wakeup();
        thread.join();
        for (SelectionKey key : selector.keys()) { key.channel().close(); }
        selector.close();
    }
}

package yardusher.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.util.function.BiConsumer;

/**
 * Receives datagrams in a thread of its own until the channel is closed: NIO.2 has no asynchronous datagrams. A receive that
 * fails is repeated after a growing wait.
 */
public final class DatagramReceiver {
    private static final int BUFFER_BYTES = 2048;

    private final DatagramChannel channel;
    private final BiConsumer<InetSocketAddress, byte[]> onDatagram;
    private final RetryWait retry = new RetryWait();

    private DatagramReceiver(DatagramChannel channel, BiConsumer<InetSocketAddress, byte[]> onDatagram) {
        this.channel = channel;
        this.onDatagram = onDatagram;
    }

    /** Starts a daemon thread of that name. {@code onDatagram} is called in it, with the sender and the bytes. */
    public static void start(String threadName, DatagramChannel channel, BiConsumer<InetSocketAddress, byte[]> onDatagram) {
        Thread thread = new Thread(new DatagramReceiver(channel, onDatagram)::run, threadName);
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        ByteBuffer buffer = ByteBuffer.allocateDirect(BUFFER_BYTES);
        while (channel.isOpen()) {
            try {
                buffer.clear();
                InetSocketAddress sender = (InetSocketAddress) channel.receive(buffer);
                if (sender == null) { continue; }
                retry.reset();
                byte[] datagram = new byte[buffer.flip().remaining()];
                buffer.get(datagram);
                onDatagram.accept(sender, datagram);
            } catch (IOException | OutOfMemoryError e) {
                waitBeforeRetry();                   // one lost datagram; the next one may be received
            }
        }
    }

    private void waitBeforeRetry() {
        if (!channel.isOpen()) { return; }
        try {
            Thread.sleep((long) retry.nextWaitMs(System.nanoTime() / 1e6));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

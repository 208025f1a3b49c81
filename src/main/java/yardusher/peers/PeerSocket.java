package yardusher.peers;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import yardusher.core.PeerSender;
import yardusher.core.EventLoop;
import yardusher.error.WireError;
import yardusher.net.Sockets;

/**
 * Datagrams between ingresses. NIO.2 has no asynchronous datagram channel (PeersStoryTest shows it), so one thread
 * waits in receive and gives each datagram a turn, as a completion handler would.
 */
public final class PeerSocket implements PeerSender {
    /** A longer datagram voids the run. */
    static final int MAX_BYTES = 256;

    private final InetSocketAddress listen;
    private DatagramChannel channel;                 // null while the port is not this process's
    private final List<InetSocketAddress> peers;
    private final Map<SocketAddress, Integer> peerNumbers = new HashMap<>();
    private final EventLoop loop;
    private final ByteBuffer sendBuffer = ByteBuffer.allocateDirect(MAX_BYTES);

    /** What is done with a datagram of the ingress of that number, in a turn. */
    public interface MessageHandler {
        void onMessage(int from, String body);
    }

    /** Neither speaks nor listens until it is opened. */
    public PeerSocket(InetSocketAddress listen, List<InetSocketAddress> peers, EventLoop loop) {
        this.listen = listen;
        this.peers = peers;
        this.loop = loop;
        for (InetSocketAddress peer : peers) { peerNumbers.put(peer, peerNumbers.size()); }
    }

    /** Takes the port, which the process that had it before may still hold for a moment. In a turn. */
    public void open(MessageHandler handler) throws IOException {
        if (channel != null) { return; }
        DatagramChannel opened = DatagramChannel.open();
        if (opened.supportedOptions().contains(StandardSocketOptions.SO_REUSEPORT)) {
            opened.setOption(StandardSocketOptions.SO_REUSEPORT, true);
        }
        try {
            opened.bind(listen);
        } catch (IOException e) {
            opened.close();
            throw new WireError.Listen(Sockets.formatAddress(listen), e.getMessage(), e);
        }
        channel = opened;
        Thread thread = new Thread(() -> receive(opened, handler), "peers");
        thread.setDaemon(true);
        thread.start();
    }

    private void receive(DatagramChannel from, MessageHandler handler) {
        ByteBuffer in = ByteBuffer.allocateDirect(2048);
        while (from.isOpen()) {
            try {
                in.clear();
                Integer number = peerNumbers.get(from.receive(in));
                if (number == null || in.position() > MAX_BYTES) { continue; } // nobody of this tier
                byte[] bytes = new byte[in.flip().remaining()];
                in.get(bytes);
                String body = new String(bytes, StandardCharsets.UTF_8);
                loop.execute(() -> handler.onMessage(number, body));
            } catch (IOException e) {
                if (!from.isOpen()) { return; }      // else one refused datagram: the next may be fine
            }
        }
    }

    @Override
    public void send(int to, String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        if (channel == null || to < 0 || to >= peers.size() || bytes.length > MAX_BYTES) { return; }
        try {
            sendBuffer.clear();
            channel.send(sendBuffer.put(bytes).flip(), peers.get(to));
        } catch (IOException e) { /* as good as lost on the way; the next one heals it */ }
    }

    /** Gives the port up; it can be taken again. In a turn. */
    public void close() {
        try {
            if (channel != null) { channel.close(); }
        } catch (IOException e) { /* it is gone either way */ }
        channel = null;
    }
}

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
import yardusher.net.DatagramReceiver;
import yardusher.net.OpenRetry;
import yardusher.net.Sockets;

/** Datagrams between ingresses; each one received is passed to the event loop, as a completion handler would. */
public final class PeerSocket implements PeerSender {
    /** Maximum length of a datagram; the platform declares a run with a longer one void. */
    static final int MAX_BYTES = 256;
    private static final double MAX_OPEN_MS = 100;   // the event loop waits meanwhile

    private final InetSocketAddress listen;
    private DatagramChannel channel;                 // null while this process does not hold the port
    private final List<InetSocketAddress> peers;
    private final Map<SocketAddress, Integer> peerNumbers = new HashMap<>();
    private final EventLoop loop;
    private final ByteBuffer sendBuffer = ByteBuffer.allocateDirect(MAX_BYTES);

    /** Handles a datagram of the peer with that number, on the event loop. */
    public interface MessageHandler {
        void onMessage(int from, String body);
    }

    /** Creates a socket that neither sends nor receives until it is opened. */
    public PeerSocket(InetSocketAddress listen, List<InetSocketAddress> peers, EventLoop loop) {
        this.listen = listen;
        this.peers = peers;
        this.loop = loop;
        for (InetSocketAddress peer : peers) { peerNumbers.put(peer, peerNumbers.size()); }
    }

    /** Binds the port, which the previous process may still hold for a moment. Called on the event loop. */
    public void open(MessageHandler handler) throws IOException {
        if (channel != null) { return; }
        DatagramChannel opened = OpenRetry.open(MAX_OPEN_MS, DatagramChannel::open);
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
        DatagramReceiver.start("peers", opened, (sender, datagram) -> receive(sender, datagram, handler));
    }

    private void receive(InetSocketAddress sender, byte[] datagram, MessageHandler handler) {
        Integer number = peerNumbers.get(sender);
        if (number == null || datagram.length > MAX_BYTES) { return; } // not from a known peer, or too long
        String body = new String(datagram, StandardCharsets.UTF_8);
        loop.execute(() -> handler.onMessage(number, body));
    }

    @Override
    public void send(int to, String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        if (channel == null || to < 0 || to >= peers.size() || bytes.length > MAX_BYTES) { return; }
        try {
            sendBuffer.clear();
            channel.send(sendBuffer.put(bytes).flip(), peers.get(to));
        } catch (IOException e) { /* treated as lost in transit; the next message makes up for it */ }
    }

    /** Closes the port; it can be opened again. Called on the event loop. */
    public void close() {
        try {
            if (channel != null) { channel.close(); }
        } catch (IOException e) { /* closed either way */ }
        channel = null;
    }
}

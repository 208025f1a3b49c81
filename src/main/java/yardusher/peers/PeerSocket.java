package yardusher.peers;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import yardusher.Api;
import yardusher.core.Ingress;
import yardusher.core.Neighbours;
import yardusher.core.Turns;

/**
 * Datagrams between ingresses. NIO.2 has no asynchronous datagram channel (PeersTest shows it), so one thread
 * waits in receive and gives each datagram a turn, as a completion handler would.
 */
public final class PeerSocket implements Neighbours {
    /** A longer datagram voids the run. */
    static final int MOST_BYTES = 256;

    private final DatagramChannel channel;
    private final List<InetSocketAddress> peers;
    private final Map<SocketAddress, Integer> numbers = new HashMap<>();
    private final Turns turns;
    private final ByteBuffer out = ByteBuffer.allocateDirect(MOST_BYTES);

    public PeerSocket(InetSocketAddress listen, List<InetSocketAddress> peers, Turns turns) throws IOException {
        this.peers = peers;
        this.turns = turns;
        for (InetSocketAddress peer : peers) { numbers.put(peer, numbers.size()); }
        channel = DatagramChannel.open();
        channel.bind(listen);
    }

    public InetSocketAddress address() throws IOException { return (InetSocketAddress) channel.getLocalAddress(); }

    public void start(Ingress ingress) {
        Thread thread = new Thread(() -> receive(ingress), "peers");
        thread.setDaemon(true);
        thread.start();
    }

    private void receive(Ingress ingress) {
        ByteBuffer in = ByteBuffer.allocateDirect(2048);
        while (channel.isOpen()) {
            try {
                in.clear();
                SocketAddress from = channel.receive(in);
                Integer number = numbers.get(from);
                if (number == null || in.position() > MOST_BYTES) { continue; } // nobody of this tier
                byte[] bytes = new byte[in.flip().remaining()];
                in.get(bytes);
                String body = new String(bytes, StandardCharsets.UTF_8);
                turns.turn(() -> {
                    ingress.counters().peerIn++;
                    ingress.tell(new Api.PeerMessage(number, body));
                });
            } catch (IOException e) {
                if (!channel.isOpen()) { return; }   // else one refused datagram: the next may be fine
            }
        }
    }

    @Override
    public void tell(int to, String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        if (to < 0 || to >= peers.size() || bytes.length > MOST_BYTES) { return; }
        try {
            out.clear();
            channel.send(out.put(bytes).flip(), peers.get(to));
        } catch (IOException e) { /* as good as lost on the way; the next one heals it */ }
    }

    public void close() {
        try {
            channel.close();
        } catch (IOException e) { /* it is gone either way */ }
    }
}

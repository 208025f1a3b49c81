package yardusher.story;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.spi.AsynchronousChannelProvider;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import yardusher.core.Turns;
import yardusher.peers.PeerSocket;

/** Datagrams between ingresses. */
class PeersStoryTest {
    @Test
    void thePlatformHasNoAsynchronousDatagramChannel() {
        // The house style wants NIO.2 channels throughout; this shows why PeerSocket has a thread of its own.
        assertThat(Arrays.stream(AsynchronousChannelProvider.class.getMethods()).map(method -> method.getName())
                .filter(name -> name.startsWith("openAsync")).distinct()).containsExactlyInAnyOrder(
                "openAsynchronousChannelGroup", "openAsynchronousServerSocketChannel", "openAsynchronousSocketChannel");
        assertThatThrownBy(() -> Class.forName("java.nio.channels.AsynchronousDatagramChannel"))
                .isInstanceOf(ClassNotFoundException.class);
    }

    @Test
    void aDatagramOverTheLimitIsNeverSentAndTheNextOneIs() throws Exception {
        InetAddress here = InetAddress.getByName("127.0.0.1");
        try (DatagramSocket peer = new DatagramSocket(0, here)) {
            peer.setSoTimeout(StandIn.PATIENCE_S * 1000);
            PeerSocket socket = new PeerSocket(new InetSocketAddress(here, 0),
                    List.of(new InetSocketAddress(here, peer.getLocalPort())), new Turns(() -> 0, e -> { }));
            socket.tell(0, "x".repeat(257));
            socket.tell(0, "\u00e9".repeat(129));    // short in characters, too long in bytes
            socket.tell(7, "nobody");
            socket.tell(0, "y".repeat(256));
            DatagramPacket got = new DatagramPacket(new byte[1000], 1000);
            peer.receive(got);
            assertThat(new String(got.getData(), 0, got.getLength(), StandardCharsets.UTF_8)).isEqualTo("y".repeat(256));
            socket.close();
        }
    }
}

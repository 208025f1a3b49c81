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
import java.util.Map;
import java.util.function.DoubleSupplier;
import org.junit.jupiter.api.Test;
import yardusher.cli.IngressProcess;
import yardusher.core.EventLoop;
import yardusher.limits.LimitsConfig;
import yardusher.peers.PeerSocket;
import yardusher.settings.Settings;

/** Datagrams between ingresses. */
class PeersStoryTest {
    /** A tenth of the window of basis: 8 units at 1.9 a second. */
    private static final double SLOT_MS = 8 / 1.9 * 100;

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
    void aQuotaHoldsOverTwoIngressesThatSpeakOverRealDatagrams() throws Exception {
        InetAddress here = InetAddress.getByName("127.0.0.1");
        int[] ports = new int[2];
        try (DatagramSocket a = new DatagramSocket(0, here); DatagramSocket b = new DatagramSocket(0, here)) {
            ports[0] = a.getLocalPort();
            ports[1] = b.getLocalPort();
        }
        // A store books units at the beginning of their slot and fills at 1.9 units a second: in real time a ninth unit
        // is rightly let in 526 ms after the beginning of the first one's slot. Here a slot begins with the story, and
        // its 421 ms last 8 s, so what is counted is what the two let in, and not how long they took.
        long start = System.nanoTime();
        DoubleSupplier slow = () -> 4_000_000 * SLOT_MS + (System.nanoTime() - start) / 1e6 / 20;
        LimitsConfig limits = new LimitsConfig(new InetSocketAddress(here, 0), "lookup", 1000, 100_000,
                Map.of("wide", new LimitsConfig.Customer(17, "basis", 0, 2)), null);
        IngressProcess[] serves = new IngressProcess[2];
        StandIn.Client[] clients = new StandIn.Client[2];
        try (StandIn.Region region = new StandIn.Region()) {
            for (int i = 0; i < 2; i++) {
                int me = i;
                serves[i] = StandIn.ingress(json -> json.replace("\"me\": 0", "\"me\": " + me)
                        .replace("\"peer_listen\": \"127.0.0.1:0\"", "\"peer_listen\": \"127.0.0.1:" + ports[me] + "\"")
                        .replace("127.0.0.1:1\"", "127.0.0.1:" + ports[0] + "\"")
                        .replace("127.0.0.1:2\"", "127.0.0.1:" + ports[1] + "\""), config -> LongServing.of(config, limits, Settings.OFF, slow), "127.0.0.1:9",
                        StandIn.member("s-1", region.address(), "Ready"));
                clients[i] = new StandIn.Client(serves[i].limitsFront().server().address());
            }
            for (StandIn.Client client : clients) { await(client, "0 8 8 .*"); } // each has been greeted by the other
            for (int i = 0; i < 6; i++) { clients[0].ask("CL.THROTTLE", "wide", "7", "19", "10"); }
            assertThat(region.seen).hasSize(6);
            await(clients[1], "[01] 8 [012] .*");    // has heard of them
            for (int i = 0; i < 10; i++) { clients[1].ask("CL.THROTTLE", "wide", "7", "19", "10"); }
            assertThat(region.seen).hasSizeBetween(6, 8);
            assertThat(region.seen.stream().map(command -> command.split(" ")[2])).doesNotHaveDuplicates(); // equal seeds
        } finally {
            for (int i = 0; i < 2; i++) {
                if (clients[i] != null) { clients[i].close(); }
                if (serves[i] != null) { serves[i].close(); }
            }
        }
    }

    /** Asks until the standing is as wanted; bounded, and on what the ingress says. */
    private static void await(StandIn.Client client, String wanted) throws Exception {
        StandIn.patiently().until(() -> client.ask("CL.THROTTLE", "wide", "7", "19", "10", "0"), told -> told.matches(wanted));
    }

    @Test
    void aDatagramOverTheLimitIsNeverSentAndTheNextOneIs() throws Exception {
        InetAddress here = InetAddress.getByName("127.0.0.1");
        try (DatagramSocket peer = new DatagramSocket(0, here)) {
            peer.setSoTimeout(StandIn.PATIENCE_S * 1000);
            PeerSocket socket = new PeerSocket(new InetSocketAddress(here, 0),
                    List.of(new InetSocketAddress(here, peer.getLocalPort())), new EventLoop(() -> 0, e -> { }));
            socket.open((from, body) -> { });
            socket.send(0, "x".repeat(257));
            socket.send(0, "\u00e9".repeat(129));    // short in characters, too long in bytes
            socket.send(7, "nobody");
            socket.send(0, "y".repeat(256));
            DatagramPacket got = new DatagramPacket(new byte[1000], 1000);
            peer.receive(got);
            assertThat(new String(got.getData(), 0, got.getLength(), StandardCharsets.UTF_8)).isEqualTo("y".repeat(256));
            socket.close();
        }
    }
}

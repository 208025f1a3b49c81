package yardusher.story;

import static org.assertj.core.api.Assertions.assertThat;
import static yardusher.story.StandIn.member;

import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import org.junit.jupiter.api.Test;
import yardusher.cli.IngressProcess;
import yardusher.story.StandIn.Client;
import yardusher.story.StandIn.Listener;
import yardusher.story.StandIn.Region;

/** Discovery that is down or mute holds up neither the start nor the end: the configuration's list is what there is. */
class ReadyStoryTest {
    private static void servesAndEnds(String discovery) throws Exception {
        try (Region region = new Region()) {
            IngressProcess serve = StandIn.ingress(discovery, null, member("s-1", region.address(), "Ready"));
            try (Client client = new Client((InetSocketAddress) serve.front().server().address())) {
                assertThat(client.ask("PING")).isEqualTo("+PONG");
                assertThat(client.lookup(1, 2000)).isEqualTo("made here");
                Thread drain = new Thread(() -> {
                    try { serve.drain(); } catch (InterruptedException e) { /* ends */ }
                });
                drain.start();
                assertThat(client.ended()).isTrue();
                client.close();
                drain.join(StandIn.PATIENCE_S * 1000);
                assertThat(drain.isAlive()).isFalse();
            } finally {
                serve.close();
            }
        }
    }

    @Test
    void whereItIsRefused() throws Exception {
        int port;
        try (ServerSocket free = new ServerSocket(0)) { port = free.getLocalPort(); }
        servesAndEnds("127.0.0.1:" + port);
    }

    @Test
    void whereItSaysNothing() throws Exception {
        try (Listener mute = new Listener() {
            @Override
            void talk(Socket guest) throws Exception { guest.getInputStream().transferTo(java.io.OutputStream.nullOutputStream()); }
        }) {
            servesAndEnds(mute.address());
        }
    }
}

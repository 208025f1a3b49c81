package yardusher.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import yardusher.core.EventLoop;

class ListenerTest {
    /** Danger: a fault while room is made for one guest left the door as if it were accepting, and nobody was let in any more. */
    @Test
    void aFaultWhileMakingRoomDoesNotStopAccepting() throws Exception {
        AtomicInteger faults = new AtomicInteger(), roomChecks = new AtomicInteger();
        EventLoop loop = new EventLoop(() -> System.nanoTime() / 1e6, fault -> faults.incrementAndGet());
        Sockets sockets = new Sockets(loop);
        CountDownLatch accepted = new CountDownLatch(1);
        Sockets.Listener[] listener = new Sockets.Listener[1];
        try {
            listener[0] = sockets.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), client -> accepted.countDown(), nothing -> {
                if (roomChecks.incrementAndGet() == 1) { throw new IllegalStateException("made by this test"); }
                return true;
            });
            InetSocketAddress address = listener[0].address();
            loop.execute(listener[0]::accept);
            assertThat(faults).hasValue(1);
            loop.execute(listener[0]::accept);
            try (Socket client = new Socket(address.getAddress(), address.getPort())) {
                assertThat(accepted.await(10, TimeUnit.SECONDS)).isTrue();
            }
        } finally {
            if (listener[0] != null) { listener[0].close(); }
            sockets.shutdown();
        }
    }
}

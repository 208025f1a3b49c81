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

/** Accepting connections. */
class DoorTest {
    /**
     * Regression: after a fault while room was made for one connection, the listener counted as accepting and accepted no
     * others.
     */
    @Test
    void aFaultWhileRoomIsMadeShutsTheDoorForNobodyElse() throws Exception {
        AtomicInteger faults = new AtomicInteger(), asked = new AtomicInteger();
        EventLoop loop = new EventLoop(() -> System.nanoTime() / 1e6, fault -> faults.incrementAndGet());
        Sockets sockets = new Sockets(loop);
        CountDownLatch came = new CountDownLatch(1);
        Sockets.Door[] door = new Sockets.Door[1];
        try {
            door[0] = sockets.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), guest -> came.countDown(), nothing -> {
                if (asked.incrementAndGet() == 1) { throw new IllegalStateException("made by this test"); }
                return true;
            });
            InetSocketAddress at = door[0].address();
            loop.turn(door[0]::open);
            assertThat(faults).hasValue(1);
            loop.turn(door[0]::open);
            try (Socket guest = new Socket(at.getAddress(), at.getPort())) {
                assertThat(came.await(10, TimeUnit.SECONDS)).isTrue();
            }
        } finally {
            if (door[0] != null) { door[0].close(); }
            sockets.shutdown();
        }
    }
}

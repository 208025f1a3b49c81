package yardusher.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.DoubleSupplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import yardusher.core.EventLoop;

/** Accepting connections. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class ListenerTest {
    private static final double QUIET_MS = 30;
    private static final double CLOSES_WITHIN_MS = 600;

    /** A clock that is set by the test, and that holds up the thread that polls when that thread asks for the time outside of a task. */
    private static final class HoldingClock implements DoubleSupplier {
        private static final String POLLER = "sockets";

        volatile double nowMs = 1000;
        private volatile boolean holds;
        private final CountDownLatch held = new CountDownLatch(1);
        private final CountDownLatch released = new CountDownLatch(1);

        @Override
        public double getAsDouble() {
            if (holds && Thread.currentThread().getName().equals(POLLER) && !isWithinTask()) {
                held.countDown();
                try {
                    released.await();
                } catch (InterruptedException e) {
                    throw new IllegalStateException(e);
                }
            }
            return nowMs;
        }

        private static boolean isWithinTask() {
            return StackWalker.getInstance().walk(frames -> frames.anyMatch(frame -> frame.getClassName().equals(EventLoop.class.getName())
                    && frame.getMethodName().equals("execute")));
        }
    }

    /** Reads and drops; a completed read is where the thread that polls asks for the time. */
    private static void readAll(AsynchronousSocketChannel channel, EventLoop loop) {
        new Connection(channel, loop, new Connection.Owner() {
            @Override
            public boolean onReadable(Connection connection) { return false; }

            @Override
            public void onClosed(Connection connection) { }
        }).readMore();
    }

    /** Guards against a listener that closes over connections in its backlog since nothing was accepted while the poll was held up. */
    @Test
    void connectionsThatCameWhileThePollWasHeldUpAreAcceptedBeforeTheListenerCloses() throws Exception {
        HoldingClock clock = new HoldingClock();
        EventLoop loop = new EventLoop(clock, fault -> { });
        Sockets sockets = new Sockets(loop);
        CountDownLatch first = new CountDownLatch(1);
        CountDownLatch second = new CountDownLatch(2);
        Sockets.Listener listener = sockets.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), channel -> {
            readAll(channel, loop);
            first.countDown();
            second.countDown();
        }, nothing -> true);
        InetSocketAddress address = listener.address();
        loop.execute(listener::accept);
        try (Socket early = new Socket(address.getAddress(), address.getPort())) {
            assertThat(first.await(10, TimeUnit.SECONDS)).isTrue();
            clock.nowMs += 2 * QUIET_MS;             // nobody has come for a while
            clock.holds = true;
            early.getOutputStream().write('x');
            assertThat(clock.held.await(10, TimeUnit.SECONDS)).isTrue();
            loop.execute(() -> listener.closeWhenQuiet(QUIET_MS, clock.nowMs + CLOSES_WITHIN_MS));
            try (Socket late = new Socket(address.getAddress(), address.getPort())) {
                clock.nowMs += 2 * QUIET_MS;
                loop.execute(() -> { });             // timers come before the poll
                clock.holds = false;
                clock.released.countDown();
                assertThat(second.await(10, TimeUnit.SECONDS)).as("accepted").isTrue();
            }
            for (int i = 0; i < 1000 && !listener.isClosed(); i++) {
                clock.nowMs += QUIET_MS;
                loop.execute(() -> { });
                Thread.sleep(1);
            }
            assertThat(listener.isClosed()).isTrue();
        } finally {
            clock.released.countDown();
            listener.close();
            sockets.shutdown();
        }
    }

    /**
     * Regression: after a fault while room was made for one connection, the listener counted as accepting and accepted no
     * others.
     */
    @Test
    void aFaultWhileMakingRoomDoesNotStopAccepting() throws Exception {
        AtomicInteger faults = new AtomicInteger(), roomChecks = new AtomicInteger();
        EventLoop loop = new EventLoop(() -> System.nanoTime() / 1e6, fault -> faults.incrementAndGet());
        Sockets sockets = new Sockets(loop);
        CountDownLatch accepted = new CountDownLatch(1);
        Sockets.Listener[] listener = new Sockets.Listener[1];
        try {
            listener[0] = sockets.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                    client -> accepted.countDown(), nothing -> {
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

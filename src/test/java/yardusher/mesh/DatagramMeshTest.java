package yardusher.mesh;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.util.Arrays;
import java.util.Random;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import yardusher.core.EventLoop;

/** Datagrams between ingresses on real sockets: what passes and what is counted and dropped. */
class DatagramMeshTest {
    private final EventLoop loop = new EventLoop(() -> System.nanoTime() / 1e6, fault -> { throw new AssertionError(fault); });
    private final LinkedBlockingQueue<byte[]> received = new LinkedBlockingQueue<>();
    private final DatagramMesh mesh = mesh("site");

    private DatagramMesh mesh(String installation) {
        DatagramMesh made = new DatagramMesh(new InetSocketAddress("127.0.0.1", 0), installation, loop);
        loop.execute(() -> {
            try {
                made.open();
            } catch (java.io.IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
            made.setHandler(Mesh.Kind.VIEW, (from, body) -> received.add(body));
        });
        return made;
    }

    @AfterEach
    void close() { loop.execute(mesh::close); }

    private String countersLine() {
        String[] line = new String[1];
        loop.execute(() -> line[0] = mesh.countersLine());
        return line[0];
    }

    private void awaitCounter(String part) throws InterruptedException {
        for (int i = 0; i < 500 && !countersLine().contains(part); i++) { Thread.sleep(10); }
        assertThat(countersLine()).contains(part);
    }

    @Test
    void bodiesOfAllSizesArriveIntact() throws Exception {
        DatagramMesh other = mesh("site");
        for (int size : new int[] {0, 1, Mesh.MAX_BODY_BYTES}) {
            byte[] body = new byte[size];
            new Random(size).nextBytes(body);
            loop.execute(() -> other.send(mesh.address(), Mesh.Kind.VIEW, body));
            assertThat(received.poll(5, TimeUnit.SECONDS)).isEqualTo(body);
        }
        assertThatIllegalArgumentException().isThrownBy(() -> other.send(mesh.address(), Mesh.Kind.VIEW, new byte[Mesh.MAX_BODY_BYTES + 1]));
        loop.execute(other::close);
    }

    @Test
    void foreignCorruptAndUnhandledDatagramsAreCountedAndDropped() throws Exception {
        DatagramMesh foreign = mesh("elsewhere");
        loop.execute(() -> foreign.send(mesh.address(), Mesh.Kind.VIEW, new byte[8]));
        awaitCounter("mesh_foreign=1");
        DatagramMesh other = mesh("site");
        loop.execute(() -> other.send(mesh.address(), Mesh.Kind.UNITS, new byte[8]));
        awaitCounter("mesh_unheard=1");
        try (DatagramChannel tap = DatagramChannel.open().bind(new InetSocketAddress("127.0.0.1", 0))) {
            loop.execute(() -> {
                try {
                    other.send((InetSocketAddress) tap.getLocalAddress(), Mesh.Kind.VIEW, new byte[100]);
                } catch (java.io.IOException e) {
                    throw new java.io.UncheckedIOException(e);
                }
            });
            ByteBuffer in = ByteBuffer.allocate(2000);
            tap.receive(in);
            byte[] whole = Arrays.copyOf(in.array(), in.position());
            int dropped = 0;
            for (int cut = 0; cut < whole.length; cut++, dropped++) { tap.send(ByteBuffer.wrap(whole, 0, cut), mesh.address()); }
            for (int i = 0; i < whole.length; i++, dropped++) {
                byte[] spoilt = whole.clone();
                spoilt[i] ^= 4;
                tap.send(ByteBuffer.wrap(spoilt), mesh.address());
            }
            tap.send(ByteBuffer.wrap(Arrays.copyOf(whole, 1990)), mesh.address());
            tap.send(ByteBuffer.wrap(whole), mesh.address());
            assertThat(received.poll(10, TimeUnit.SECONDS)).hasSize(100);
            String[] counts = countersLine().split("[ =]");
            long counted = 0;
            for (int i = 0; i < counts.length; i += 2) {
                if (counts[i].equals("mesh_foreign") || counts[i].equals("mesh_spoilt")) { counted += Long.parseLong(counts[i + 1]); }
            }
            assertThat(counted).isEqualTo(1 + dropped + 1); // the installation's other, and the oversized one
        }
        assertThat(received).isEmpty();
        loop.execute(foreign::close);
        loop.execute(other::close);
    }
}

package yardusher.lab.scale;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/** The loopback addresses of one run, a /16 of 127.64.0.0/10 for itself: an address for each ingress and each backend. */
final class Block {
    private static final int FIRST = 64;
    private static final int COUNT = 64;
    private static final int EACH = 200;             // addresses of a /24
    private static final int BACKENDS_FROM = 100;
    private static final int HELD = 30000;
    static final int PEERS = 30001;
    static final int VIEW = 30002;
    static final int LISTEN = 30003;
    static final int ADMIN = 30004;
    private static final int BACKEND = 30010;
    private static final int DISCOVERY = 30011;

    final int number;

    Block(int number) { this.number = number; }

    /** A block that is no other run's, held until it is closed. */
    static final class Held implements Closeable {
        final Block block;
        private final ServerSocket mark;

        private Held(Block block, ServerSocket mark) {
            this.block = block;
            this.mark = mark;
        }

        @Override
        public void close() throws IOException { mark.close(); }
    }

    static Held take() throws IOException {
        int start = (int) (ProcessHandle.current().pid() % COUNT);
        for (int i = 0; i < COUNT; i++) {
            Block block = new Block(FIRST + (start + i) % COUNT);
            try {
                return new Held(block, new ServerSocket(HELD, 1, block.place(250, 1)));
            } catch (java.net.BindException e) { /* another run's */ }
        }
        throw new IOException("all " + COUNT + " blocks of loopback addresses are held by other runs");
    }

    private InetAddress place(int third, int fourth) throws IOException { return InetAddress.getByAddress(new byte[] {127, (byte) number, (byte) third, (byte) fourth}); }

    InetSocketAddress ingress(int index, int port) {
        try {
            return new InetSocketAddress(place(index / EACH, 1 + index % EACH), port);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    InetSocketAddress backend(int index) {
        try {
            return new InetSocketAddress(place(BACKENDS_FROM + index / EACH, 1 + index % EACH), BACKEND);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    InetSocketAddress discovery() {
        try {
            return new InetSocketAddress(place(250, 1), DISCOVERY);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    static String text(InetSocketAddress at) { return at.getAddress().getHostAddress() + ":" + at.getPort(); }
}

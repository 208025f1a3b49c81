package yardusher.lab;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A TCP relay between two parties, with faults in each direction: bytes come late, are held and let go later, vanish, or
 * end in a reset in the middle of a message; or nobody gets through at all. What it has read it still delivers when its
 * sender is long dead.
 */
public final class Relay implements Closeable {
    /** One direction's trouble now. */
    public static final class Way {
        private long delayMs;
        private boolean holds;
        private boolean loses;
        private int resetAfter = -1;                 // bytes; -1 for never
        private String holdsAt;                      // null for never

        public synchronized void delay(long ms) { delayMs = ms; }

        /** Keeps what comes until {@link #release}. */
        public synchronized void hold() { holds = true; }

        /** Keeps what comes from the first that contains this text on, if any does. */
        public synchronized void holdAt(String text) { holdsAt = text; }

        /** Whether something is kept. */
        public synchronized boolean isHolding() { return holds; }

        public synchronized void release() {
            holds = false;
            holdsAt = null;
            notifyAll();
        }

        /** What comes is never delivered, nor is anything after it on the same connection. */
        public synchronized void lose(boolean loss) { loses = loss; }

        /** The next message is cut after so many bytes, by a reset. */
        public synchronized void reset(int afterBytes) { resetAfter = afterBytes; }

        private synchronized void look(byte[] bytes, int count) {
            if (holdsAt != null && new String(bytes, 0, count, java.nio.charset.StandardCharsets.ISO_8859_1).contains(holdsAt)) {
                holds = true;
                holdsAt = null;
            }
        }

        private synchronized void awaitFree() throws InterruptedException {
            while (holds) { wait(); }
        }

        private synchronized long delay() { return delayMs; }

        private synchronized boolean loses() { return loses; }

        private synchronized int takeReset() {
            int after = resetAfter;
            resetAfter = -1;
            return after;
        }
    }

    public final Way there = new Way();
    public final Way back = new Way();
    private final ServerSocket door;
    private final InetSocketAddress to;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile boolean cut;

    /** Listens at a free port of an address. */
    public Relay(InetAddress at, InetSocketAddress to) throws IOException {
        this.to = to;
        door = new ServerSocket(0, 50, at);
        run("relay", this::accept);
    }

    public InetSocketAddress address() { return (InetSocketAddress) door.getLocalSocketAddress(); }

    /** Ends all connections and lets none come up. */
    public void cut() {
        cut = true;
        sockets.forEach(Relay::close);
    }

    /** All is as it was; what was held is let go. */
    public void heal() {
        cut = false;
        for (Way way : new Way[] {there, back}) {
            way.delay(0);
            way.lose(false);
            way.reset(-1);
            way.release();
        }
    }

    private void accept() throws IOException {
        for (;;) {
            Socket from = door.accept();
            if (cut) {
                close(from);
                continue;
            }
            run("relay to " + to, () -> {
                Socket onward = new Socket();
                sockets.add(from);
                sockets.add(onward);
                try {
                    onward.connect(to, 1000);
                    from.setTcpNoDelay(true);
                    onward.setTcpNoDelay(true);
                } catch (IOException e) {
                    close(from);
                    close(onward);
                    return;
                }
                run("relay back", () -> pump(onward, from, back));
                pump(from, onward, there);
            });
        }
    }

    private void pump(Socket from, Socket into, Way way) throws IOException {
        byte[] bytes = new byte[16 * 1024];
        boolean lost = false;
        try {
            InputStream in = from.getInputStream();
            OutputStream out = into.getOutputStream();
            for (int count; (count = in.read(bytes)) > 0;) {
                if (way.delay() > 0) { Thread.sleep(way.delay()); }
                lost |= way.loses();
                way.look(bytes, count);
                way.awaitFree();
                lost |= way.loses();
                if (lost) { continue; }
                int reset = way.takeReset();
                if (reset >= 0) {
                    out.write(bytes, 0, Math.min(reset, count));
                    from.setSoLinger(true, 0);
                    into.setSoLinger(true, 0);
                    return;
                }
                out.write(bytes, 0, count);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            close(into);
            close(from);
            sockets.remove(into);
            sockets.remove(from);
        }
    }

    private interface Work {
        void run() throws IOException;
    }

    private static void run(String name, Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException e) { /* one end is gone */ }
        }, name);
        thread.setDaemon(true);
        thread.start();
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) { /* it is gone either way */ }
    }

    @Override
    public void close() throws IOException {
        door.close();
        sockets.forEach(Relay::close);
    }
}

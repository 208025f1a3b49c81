package yardusher.servers;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import yardusher.Api;
import yardusher.core.BackendCommand;
import yardusher.core.Counters;
import yardusher.core.EventLoop;
import yardusher.core.IncomingRequest;
import yardusher.core.Ingress;
import yardusher.core.RequestLog;
import yardusher.core.ResponseStream;
import yardusher.core.Terminal;
import yardusher.net.Sockets;

/** An ingress with one backend, which the test plays on loopback connections; the system's clock. */
abstract class SingleBackendHarness {
    static final int COMMAND_BYTES = 8;              // of these tests' commands

    final AtomicReference<Throwable> fault = new AtomicReference<>();
    final EventLoop loop = new EventLoop(() -> System.nanoTime() / 1e6, fault::set);
    final BlockingQueue<String> answers = new LinkedBlockingQueue<>();
    final Counters counters = new Counters();
    ConnectionAllowance allowance;                   // null without connection quotas
    BackendPool pool;
    Ingress ingress;
    Sockets sockets;
    ServerSocket listener;

    @BeforeEach
    void open() throws IOException {
        sockets = new Sockets(loop);
        loop.startTimer();
        listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void close() throws IOException {
        loop.stop();
        sockets.shutdown();
        listener.close();
        assertThat(fault.get()).isNull();
    }

    static void hold(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    void startIngress() { startIngress(new Api.RequestClass(1900, 2000, 5, 0.1, Api.Effect.IDEMPOTENT, Api.Group.ALL, 0, false)); }

    /** With connection quotas if {@code allowance} is set by then. */
    void startIngress(Api.RequestClass of) {
        Api.Settings settings = new Api.Settings(0, 1, 0, 4, List.of(of), List.of(new Api.Plan(1000, 1000, 0, 1, 0, 0, 0)),
                new Api.Limits(6, true, false, 2000), new Api.Rules(0.2, 1000, 3, 3000, 10_000), List.of(), false, 100, 2, 0, 0);
        loop.execute(() -> {
            pool = new BackendPool(sockets, counters, List.of(), 250, 30_000, 10);
            ingress = new Ingress(settings, 1, loop, pool, (to, body) -> { }, counters, RequestLog.NONE);
            pool.setIngress(ingress);
            if (allowance != null) { pool.setAllowance(allowance); }
            pool.addOrUpdate(5, (InetSocketAddress) listener.getLocalSocketAddress());
            ingress.deliver(new Api.ServerList(Api.ListKind.FULL, List.of(new Api.Server(5, 0, 0, 1, 0, Api.Readiness.READY))));
        });
    }

    /** A backend's manner on one connection. */
    interface Manner {
        void serve(Socket socket) throws IOException;
    }

    void startBackend(Manner manner) {
        Thread backend = new Thread(() -> acceptAll(manner), "backend");
        backend.setDaemon(true);
        backend.start();
    }

    private void acceptAll(Manner manner) {
        try {
            while (true) {
                Socket socket = listener.accept();
                Thread serving = new Thread(() -> serveUntilClosed(socket, manner), "backend connection");
                serving.setDaemon(true);
                serving.start();
            }
        } catch (IOException e) { /* the test has ended */ }
    }

    private static void serveUntilClosed(Socket socket, Manner manner) {
        try (socket) {
            manner.serve(socket);
        } catch (IOException | java.io.UncheckedIOException e) { /* the ingress has closed the connection */ }
    }

    static String answerTo(byte[] command) { return answer("value " + idOf(command)); }

    static int idOf(byte[] command) { return Integer.parseInt(new String(command, StandardCharsets.US_ASCII).trim()); }

    static String answer(String value) { return "*3\r\n$" + value.length() + "\r\n" + value + "\r\n$-1\r\n$-1\r\n"; }

    IncomingRequest request(int id) {
        return new IncomingRequest(0, 0, 7, 1, 0, 1, 2000, new BackendCommand() {
            @Override
            public ByteBuffer[] encoded(long waitMs) {
                return new ByteBuffer[] {ByteBuffer.wrap(String.format("%" + COMMAND_BYTES + "d", id).getBytes(StandardCharsets.US_ASCII))};
            }

            @Override
            public long id() { return id; }

            @Override
            public String key() { return null; }

            @Override
            public long fingerprint() { return id; }
        }, new Terminal() {
            @Override
            public void served(byte[] value) { answers.add(new String(value, StandardCharsets.US_ASCII)); }

            @Override
            public ResponseStream beginStream(long length) { return new CollectingStream(); }

            @Override
            public void reject(long retryAfterMs, boolean mayHaveRun) { answers.add("refused"); }

            @Override
            public void failed(String why, boolean mayHaveRun) { answers.add("failed"); }
        });
    }

    static void send(Socket to, String text) {
        try {
            to.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    /** Collects a value that is streamed. */
    private final class CollectingStream implements ResponseStream {
        private final ByteArrayOutputStream value = new ByteArrayOutputStream();

        @Override
        public void write(ByteBuffer bytes, Runnable onWritten) {
            byte[] chunk = new byte[bytes.remaining()];
            bytes.get(chunk);
            value.writeBytes(chunk);
            loop.defer(onWritten);
        }

        @Override
        public void end() { answers.add(value.toString(StandardCharsets.US_ASCII)); }

        @Override
        public void fail() { answers.add("cut off"); }
    }
}

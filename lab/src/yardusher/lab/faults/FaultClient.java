package yardusher.lab.faults;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.IntPredicate;
import java.util.function.Supplier;
import yardusher.lab.Chronicle;
import yardusher.lab.faults.FaultRequest.End;
import yardusher.lab.faults.FaultRequest.RequestClass;
import yardusher.lab.oracle.Oracle;
import yardusher.resp.Encoder;

/**
 * A client that sends one batch of pipelined commands after another on a kept connection for as long as it stays open, and
 * records how each request ended. Its thread ends with {@link #stop}.
 */
final class FaultClient implements Runnable {
    /** An answer may come so long after its deadline before it counts as none. */
    private static final int LOST_AFTER_MS = 500;
    private static final int LARGE_PAUSE_MS = 10_000; // no answer of a play pauses for so long
    /** Why a request is lost whose connection could not go on after a value that broke off. */
    static final String BEHIND_BROKEN_VALUE = "behind a value that broke off";
    private static final int CONNECT_TIMEOUT_MS = 2000;
    private static final int BODY_BYTES = 64;
    /** So many that hardly any comes twice. */
    static final int MANY_CUSTOMERS = 1 << 30;

    private final int ingress;
    private final InetSocketAddress address;
    private final Random random;
    private final Consumer<FaultRequest> history;
    private final Supplier<String> ids;
    private final List<RequestClass> classes;
    private final int maxPipelined;
    private final int waitMs;
    private final int pauseMs;
    private final int morePauseMs;
    private final boolean keepsOld;
    private final List<Socket> unused = new ArrayList<>();
    private final int reconnectsOneIn;
    private final int customers;
    private final IntPredicate mayConnect;
    private volatile boolean stopped;
    private End lastEnd;
    private Socket socket;
    private InputStream in;

    FaultClient(int ingress, InetSocketAddress address, long seed, Plan plan, Supplier<String> ids, Consumer<FaultRequest> history,
            IntPredicate mayConnect) {
        this.mayConnect = mayConnect;
        this.ingress = ingress;
        this.address = address;
        this.random = new Random(seed);
        this.classes = plan.classes();
        this.maxPipelined = plan.maxPipelined();
        this.waitMs = plan.waitMs();
        this.pauseMs = plan.pauseMs();
        this.morePauseMs = plan.maxPauseMs() - plan.pauseMs();
        this.keepsOld = plan.keepsOld();
        this.reconnectsOneIn = plan.reconnectsOneIn();
        this.customers = plan.customers();
        this.ids = ids;
        this.history = history;
    }

    /**
     * What a client sends: classes, the longest batch, the deadline, the shortest and the longest pause between batches, and in how
     * many batches it opens a new connection once; 0 for never. {@code keepsOld}: it then leaves the old one open, unused.
     * {@code customers}: how many there are.
     */
    record Plan(List<RequestClass> classes, int maxPipelined, int waitMs, int pauseMs, int maxPauseMs, int reconnectsOneIn, boolean keepsOld, int customers) {
        Plan(List<RequestClass> classes, int maxPipelined, int waitMs, int pauseMs, int reconnectsOneIn) {
            this(classes, maxPipelined, waitMs, pauseMs, pauseMs, reconnectsOneIn, false, MANY_CUSTOMERS);
        }

        Plan withCustomers(int customers) { return new Plan(classes, maxPipelined, waitMs, pauseMs, maxPauseMs, reconnectsOneIn, keepsOld, customers); }
    }

    /** Sends no more batches. */
    void stop() { stopped = true; }

    @Override
    public void run() {
        try {
            while (!stopped) {
                if (!isConnected() && !connect()) {
                    Thread.sleep(20);
                    continue;
                }
                sendBatch();
                if (reconnectsOneIn > 0 && random.nextInt(reconnectsOneIn) == 0) { leaveConnection(); }
                Thread.sleep(pauseMs + (morePauseMs > 0 ? random.nextInt(morePauseMs + 1) : 0));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            disconnect();
            for (Socket old : unused) { close(old); }
        }
    }

    private void leaveConnection() {
        if (keepsOld && socket != null) {
            unused.add(socket);
            socket = null;
        }
        disconnect();
    }

    /** Whether the kept connection is still open; it may have been closed between requests. */
    private boolean isConnected() {
        if (socket == null) { return false; }
        try {
            socket.setSoTimeout(1);
            in.mark(1);
            if (in.read() >= 0) { in.reset(); }
        } catch (SocketTimeoutException e) {
            return true;
        } catch (IOException e) { /* ended */ }
        disconnect();
        return false;
    }

    private boolean connect() {
        if (!mayConnect.test(ingress)) { return false; }
        socket = new Socket();
        try {
            socket.setTcpNoDelay(true);
            socket.connect(address, CONNECT_TIMEOUT_MS);
            in = new BufferedInputStream(socket.getInputStream());
            return true;
        } catch (IOException e) {
            disconnect();
            return false;
        }
    }

    private void disconnect() {
        if (socket != null) { close(socket); }
        socket = null;
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) { /* closed either way */ }
    }

    private record Pending(String id, RequestClass requestClass, double sentMs) { }

    private void sendBatch() {
        List<Pending> batch = new ArrayList<>();
        Encoder commands = new Encoder(512);
        double sentMs = Chronicle.now();
        for (int i = 1 + random.nextInt(maxPipelined); i > 0; i--) {
            Pending next = new Pending(ids.get(), classes.get(random.nextInt(classes.size())), sentMs);
            batch.add(next);
            encode(commands, next);
        }
        try {
            socket.getOutputStream().write(commands.toBytes());
        } catch (IOException e) {
            batch.forEach(request -> record(request, End.UNSENT, String.valueOf(e.getMessage())));
            disconnect();
            return;
        }
        for (int i = 0; i < batch.size(); i++) {
            if (!readAnswer(batch.get(i))) {
                End broken = lastEnd;
                for (Pending behind : batch.subList(i + 1, batch.size())) { record(behind, End.LOST, broken == End.TRUNCATED ? BEHIND_BROKEN_VALUE : "behind " + broken); }
                disconnect();
                return;
            }
        }
    }

    private void encode(Encoder commands, Pending request) {
        boolean isGet = request.requestClass() == RequestClass.LOOKUP;
        String key = request.requestClass() == RequestClass.PLACE_ORDER ? ",k=" + request.id() : "";
        commands.array(isGet ? 4 : 5).bulk(isGet ? "CALL.GET" : "CALL.POST").bulk(String.format("%016x", 1 + random.nextInt(MANY_CUSTOMERS) % customers)).bulk(request.id())
                .bulk("c=" + request.requestClass().wireName() + ",t=groot,d=" + waitMs + key + ",units=1,spread=1,first=" + ingress);
        if (!isGet) { commands.bulk("b".repeat(BODY_BYTES)); }
    }

    /** Reads one answer; false if none came, and then nothing behind it can. */
    private boolean readAnswer(Pending request) {
        StringBuilder head = new StringBuilder();
        try {
            double untilMs = request.sentMs() + waitMs + LOST_AFTER_MS;
            readLine(head, untilMs);
            if (head.charAt(0) != '$') {
                record(request, head.toString().startsWith("-BUSY") ? End.REFUSED : End.FAILED, head.toString());
                return true;
            }
            byte[] value = new byte[Integer.parseInt(head.substring(1))];
            socket.setSoTimeout(value.length > Oracle.MAX_TIMED_TO_END_BYTES ? LARGE_PAUSE_MS : waitMs + LOST_AFTER_MS);
            if (in.readNBytes(value, 0, value.length) < value.length || in.read() != '\r' || in.read() != '\n') { throw new EOFException("in the value"); }
            boolean right = Values.isValueOf(request.id(), value);
            record(request, right ? End.SERVED : End.CORRUPT, "");
            return right;
        } catch (SocketTimeoutException e) {
            record(request, End.SILENT, head.toString());
        } catch (IOException | NumberFormatException e) {
            record(request, head.isEmpty() ? End.LOST : End.TRUNCATED, head + " " + e.getMessage());
        }
        return false;
    }

    private void readLine(StringBuilder line, double untilMs) throws IOException {
        while (true) {
            socket.setSoTimeout((int) Math.max(1, untilMs - Chronicle.now()));
            int next = in.read();
            if (next < 0) { throw new EOFException("ended"); }
            if (next == '\n') { return; }
            if (next != '\r') { line.append((char) next); }
        }
    }

    private void record(Pending request, End end, String answer) {
        lastEnd = end;
        history.accept(new FaultRequest(request.id(), ingress, request.requestClass(), request.sentMs(), waitMs, Chronicle.now(), end, answer));
    }

    /** Values of the backends: a client can tell for each byte whether it is right. */
    static final class Values {
        private static final int LARGE_BYTES = 300_000;
        private static final int SMALL_BYTES = 200;
        private static final int LARGE_ONE_IN = 4;
        private static final int LETTERS = 26;
        /** By the letter they begin with; made once, since a backend that makes them slowly is late to read its input. */
        private static final byte[][] PATTERNS = patterns();

        private Values() { }

        /** The value for a request id: every fourth one is large. */
        static byte[] valueFor(String id) { return Arrays.copyOf(PATTERNS[Math.floorMod(Long.parseUnsignedLong(id, 16), LETTERS)], lengthOf(id)); }

        /** The length of that value. */
        static int lengthOf(String id) { return Math.floorMod(Long.parseUnsignedLong(id, 16), LARGE_ONE_IN) == 0 ? LARGE_BYTES : SMALL_BYTES; }

        private static byte[][] patterns() {
            byte[][] patterns = new byte[LETTERS][LARGE_BYTES];
            for (int first = 0; first < LETTERS; first++) {
                for (int i = 0; i < LARGE_BYTES; i++) { patterns[first][i] = (byte) ('a' + Math.floorMod(first + i * 7L + i / 251, LETTERS)); }
            }
            return patterns;
        }

        static boolean isValueOf(String id, byte[] value) { return Arrays.equals(valueFor(id), value); }

        /** A backend's answer. */
        static byte[] answerFor(String id) {
            return new Encoder(LARGE_BYTES).array(3).bulk(valueFor(id)).raw("$-1\r\n$-1\r\n".getBytes(StandardCharsets.US_ASCII)).toBytes();
        }
    }
}

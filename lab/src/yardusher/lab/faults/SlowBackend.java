package yardusher.lab.faults;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import yardusher.lab.Chronicle;
import yardusher.resp.Decoder;
import yardusher.resp.Encoder;
import yardusher.resp.MalformedRespException;

/** A backend that answers, or reads, byte for byte as slowly as it is told, with a thread for each connection. */
final class SlowBackend implements Closeable {
    private static final int BACKLOG = 256;
    private static final double TICK_MS = 20;
    private static final int RECEIVE_BUFFER_BYTES = 16 * 1024;

    /** Answers one attempt; {@code again}: whether its request was tried before, at any backend. */
    interface Answerer {
        void answer(OutputStream out, String[] words, boolean again) throws IOException, InterruptedException;

        /** May begin the answer to a command with a large body before that body was read; the body's word is null. */
        default void bodyBegins(OutputStream out, String[] words) throws IOException, InterruptedException { }
    }

    /** An attempt that was read whole. */
    record Begun(String id, double atMs) { }

    /** What several backends know of each other's attempts. */
    static final class History {
        final List<Begun> begun = new CopyOnWriteArrayList<>();
        private final Set<String> ids = ConcurrentHashMap.newKeySet();
    }

    private final ServerSocket listener;
    private final List<Socket> open = new CopyOnWriteArrayList<>();
    private final History history;
    private final int readsPerSecond;
    private final Answerer answerer;
    private volatile boolean closed;

    /** Listens there, and reads so many bytes a second, 0 for no limit. */
    SlowBackend(InetSocketAddress address, int readsPerSecond, History history, Answerer answerer) throws IOException {
        this.readsPerSecond = readsPerSecond;
        this.history = history;
        this.answerer = answerer;
        listener = new ServerSocket(address.getPort(), BACKLOG, address.getAddress());
        if (readsPerSecond > 0) { listener.setReceiveBufferSize(RECEIVE_BUFFER_BYTES); }
        start(this::accept);
    }

    private static void start(Runnable work) {
        Thread thread = new Thread(work, "slow backend");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!closed) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                open.add(socket);
                start(() -> serve(socket));
            } catch (IOException e) { /* closed, or the peer has left */ }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            Decoder decoder = new Decoder();
            byte[] input = new byte[Decoder.MAX_ADD_BYTES];
            InputStream in = socket.getInputStream();
            double nextReadMs = Chronicle.now();
            for (int count; (count = in.read(input)) >= 0;) {
                decoder.add(input, count);
                nextReadMs = Math.max(Chronicle.now(), nextReadMs) + (readsPerSecond == 0 ? 0 : count * 1000.0 / readsPerSecond);
                if (nextReadMs - Chronicle.now() > TICK_MS) { Thread.sleep((long) (nextReadMs - Chronicle.now())); }
                for (byte[][] words; (words = nextCommand(decoder, socket.getOutputStream())) != null;) { answer(socket.getOutputStream(), words); }
            }
        } catch (IOException | MalformedRespException e) { // the attempt was given up
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            open.remove(socket);
        }
    }

    private byte[][] nextCommand(Decoder decoder, OutputStream out) throws IOException, InterruptedException, MalformedRespException {
        byte[][] words = decoder.nextCommand();
        if (words != null || decoder.bodyLength() == 0) { return words; }
        if (decoder.bodyCommand()[decoder.bodyCommand().length - 1] == null) {
            answerer.bodyBegins(out, texts(decoder.bodyCommand()));
            decoder.allocateBody();
        }
        return decoder.nextCommand();
    }

    private static String[] texts(byte[][] words) {
        String[] texts = new String[words.length];
        for (int i = 0; i < words.length; i++) { texts[i] = words[i] == null ? null : new String(words[i], StandardCharsets.US_ASCII); }
        return texts;
    }

    private void answer(OutputStream out, byte[][] words) throws IOException, InterruptedException {
        if (words.length < 4) {
            out.write(new Encoder(16).simpleString("PONG").toBytes());
            return;
        }
        String[] texts = texts(words);
        history.begun.add(new Begun(texts[2], Chronicle.now()));
        answerer.answer(out, texts, !history.ids.add(texts[2]));
    }

    /**
     * Announces a value of that length and writes it at so many bytes a second, 0 for at once. Behind {@code stopsAfter} bytes of the
     * value nothing more comes; negative for never.
     */
    static void writeValue(OutputStream out, int valueBytes, int bytesPerSecond, int stopsAfter) throws IOException, InterruptedException {
        out.write(("*3\r\n$" + valueBytes + "\r\n").getBytes(StandardCharsets.US_ASCII));
        int left = stopsAfter < 0 ? valueBytes : stopsAfter;
        int piece = bytesPerSecond == 0 ? left : Math.max(1, (int) (bytesPerSecond * TICK_MS / 1000));
        while (left > 0) {
            out.write(new byte[Math.min(piece, left)]);
            left -= Math.min(piece, left);
            if (left > 0) { Thread.sleep((long) TICK_MS); }
        }
        if (stopsAfter < 0) { out.write("\r\n$-1\r\n$-1\r\n".getBytes(StandardCharsets.US_ASCII)); }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        listener.close();
        for (Socket socket : new ArrayList<>(open)) { socket.close(); }
    }
}

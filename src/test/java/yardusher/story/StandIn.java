package yardusher.story;

import static org.awaitility.Awaitility.await;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import org.awaitility.core.ConditionFactory;
import yardusher.cli.IngressConfig;
import yardusher.cli.IngressProcess;
import yardusher.limits.LimitsConfig;
import yardusher.resp.Decoder;
import yardusher.resp.Encoder;
import yardusher.resp.Value;

/** Scripted peers over loopback. Every wait is on an event and bounded. */
final class StandIn {
    /** Waits on what the program says or shows: asked at once, then each few ms, for {@link #PATIENCE_S}; the last failure is told. */
    static ConditionFactory patiently() {
        return await().pollInSameThread().pollDelay(Duration.ZERO).pollInterval(Duration.ofMillis(5)).atMost(Duration.ofSeconds(PATIENCE_S));
    }

    static final int PATIENCE_S = 20;

    private StandIn() { }

    /** Waits for the next thing that a peer saw; fails the test when none comes. */
    static <T> T next(BlockingQueue<T> seen) throws InterruptedException {
        T item = seen.poll(PATIENCE_S, TimeUnit.SECONDS);
        if (item == null) { throw new AssertionError("nothing came"); }
        return item;
    }

    /** Accepts connections, each served by a thread of its own. */
    abstract static class Listener implements Closeable {
        final ServerSocket door;
        private final List<Socket> guests = new ArrayList<>();

        Listener() throws IOException { this(0); }

        Listener(int port) throws IOException {
            door = new ServerSocket(port, 50, InetAddress.getByName("127.0.0.1"));
            Thread thread = new Thread(() -> {
                try {
                    for (;;) {
                        Socket guest = door.accept();
                        synchronized (guests) { guests.add(guest); }
                        Thread talk = new Thread(() -> {
                            try { talk(guest); } catch (Exception e) { /* the ingress left */ }
                            left(guest);
                        });
                        talk.setDaemon(true);
                        talk.start();
                    }
                } catch (IOException e) { /* closed */ }
            });
            thread.setDaemon(true);
            thread.start();
        }

        abstract void talk(Socket guest) throws Exception;

        void left(Socket guest) { }

        String address() { return "127.0.0.1:" + door.getLocalPort(); }

        void dropGuests() throws IOException {
            synchronized (guests) {
                for (Socket guest : guests) { guest.close(); }
            }
        }

        @Override
        public void close() throws IOException {
            door.close();
            dropGuests();
        }
    }

    /** A region: commands seen, and a script that answers each, null for silence. */
    static final class Region extends Listener {
        final BlockingQueue<String> seen = new LinkedBlockingQueue<>();
        final BlockingQueue<String> ends = new LinkedBlockingQueue<>();
        volatile Socket last;                        // the connection of the last command
        volatile Function<String, byte[]> script = command -> served("made here");

        Region() throws IOException { }

        static byte[] served(String value) {
            return new Encoder(64).array(3).bulk(value).raw("$-1\r\n$-1\r\n".getBytes()).toBytes();
        }

        static byte[] says(String error) { return new Encoder(32).error(error).toBytes(); }

        @Override
        void talk(Socket guest) throws Exception {
            Decoder decoder = new Decoder();
            for (byte[][] words;;) {
                if ((words = decoder.nextCommand()) == null) {
                    fill(decoder, guest.getInputStream());
                    continue;
                }
                List<String> parts = new ArrayList<>();
                for (byte[] word : words) { parts.add(new String(word, StandardCharsets.UTF_8)); }
                String command = String.join(" ", parts);
                last = guest;
                seen.add(command);
                byte[] answer = script.apply(command);
                if (answer != null) { guest.getOutputStream().write(answer); }
            }
        }

        @Override
        void left(Socket guest) { ends.add("left"); }
    }

    static void fill(Decoder decoder, InputStream in) throws IOException {
        ByteBuffer room = decoder.readBuffer();
        int count = in.read(room.array(), room.position(), room.remaining());
        if (count < 0) { throw new IOException("ended"); }
        decoder.advance(count);
    }

    /**
     * Discovery's agent: holds each watch open and sends the lines it is given to the newest. Who asks from a version on is
     * told at once that nothing has changed since; who asks for all there is waits for what the test tells.
     */
    static final class Discovery extends Listener {
        final BlockingQueue<String> asked = new LinkedBlockingQueue<>();
        final BlockingQueue<String> ends = new LinkedBlockingQueue<>();
        private volatile Socket newest;

        Discovery() throws IOException { }

        /** At a port where there was none so far. */
        Discovery(int port) throws IOException { super(port); }

        /** Sends a line in two chunks: it ends where it ends, not where a chunk does. */
        void tell(String text) throws IOException {
            byte[] line = (text + "\n").getBytes(StandardCharsets.UTF_8);
            int half = (line.length + 1) / 2;
            for (int from = 0; from < line.length; from += half) {
                int count = Math.min(half, line.length - from);
                newest.getOutputStream().write((Integer.toHexString(count) + "\r\n").getBytes());
                newest.getOutputStream().write(line, from, count);
                newest.getOutputStream().write("\r\n".getBytes());
            }
        }

        @Override
        void talk(Socket guest) throws Exception {
            InputStream in = guest.getInputStream();
            StringBuilder head = new StringBuilder();
            for (int b; (b = in.read()) >= 0;) {
                head.append((char) b);
                if (head.indexOf("\r\n\r\n") < 0) { continue; }
                guest.getOutputStream().write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes());
                newest = guest;
                String line = head.toString().lines().findFirst().orElse("");
                int since = Integer.parseInt(line.replaceAll(".*since=(\\d+) .*", "$1"));
                if (since != 0) { tell(list(since, false)); }
                asked.add(line);
                head.setLength(0);
            }
        }

        @Override
        void left(Socket guest) { ends.add("left"); }
    }

    /** A terminal. */
    static final class Client implements Closeable {
        final Socket socket = new Socket();
        private final Decoder decoder = new Decoder();

        Client(InetSocketAddress to) throws IOException { this(to, 0); }

        /** With room for so many bytes that it has not read; 0 for what the system gives. */
        Client(InetSocketAddress to, int room) throws IOException {
            if (room > 0) { socket.setReceiveBufferSize(room); }
            socket.connect(to, PATIENCE_S * 1000);
            socket.setSoTimeout(PATIENCE_S * 1000);
        }

        void send(String... words) throws IOException {
            Encoder out = new Encoder(128).array(words.length);
            for (String word : words) { out.bulk(word); }
            raw(out.toBytes());
        }

        void raw(byte[] bytes) throws IOException { socket.getOutputStream().write(bytes); }

        Value answer() throws Exception {
            for (Value value;;) {
                if ((value = decoder.nextValue()) != null) { return value; }
                fill(decoder, socket.getInputStream());
            }
        }

        /** The answer in one line: text, error with its dash, or figures with spaces. */
        String told() throws Exception { return text(answer()); }

        private static String text(Value value) {
            if (value instanceof Value.BulkString bulk) { return bulk.text(); }
            if (value instanceof Value.ErrorReply failure) { return "-" + failure.text(); }
            if (value instanceof Value.SimpleString simple) { return "+" + simple.text(); }
            if (value instanceof Value.IntegerValue whole) { return Long.toString(whole.number()); }
            return ((Value.ArrayValue) value).items().stream().map(Client::text).collect(Collectors.joining(" "));
        }

        String ask(String... words) throws Exception {
            send(words);
            return told();
        }

        /** Asks for a lookup of a basis partner, waited for as long as told. */
        String lookup(long customer, int waitMs) throws Exception {
            sendLookup(customer, waitMs);
            return told();
        }

        void sendLookup(long customer, int waitMs) throws IOException {
            send("CALL.GET", String.format("%016x", customer), String.format("%016x", System.nanoTime()),
                    "c=lookup,t=basis,d=" + waitMs + ",units=1,spread=1,first=0");
        }

        boolean ended() throws IOException {
            try {
                return socket.getInputStream().read() < 0;
            } catch (java.net.SocketException e) {
                return true;
            }
        }

        @Override
        public void close() throws IOException { socket.close(); }
    }

    static String member(String id, String address, String phase) {
        return "{\"id\":\"" + id + "\",\"host_port\":\"" + address + "\",\"locality\":\"a\",\"flavor\":\"m\",\"cell\":0,"
                + "\"phase\":\"" + phase + "\",\"size\":1.0,\"up_since_ms\":0}";
    }

    static String list(int revision, boolean complete, String... members) {
        return "{\"revision\":" + revision + ",\"complete\":" + complete + ",\"members\":[" + String.join(",", members) + "]}";
    }

    /** An ingress with these regions known, in this process, on ports of its own. */
    static IngressProcess ingress(String discovery, LimitsConfig limits, String... members) throws Exception {
        return ingress(json -> json, discovery, limits, members);
    }

    static IngressProcess ingress(UnaryOperator<String> edit, String discovery, LimitsConfig limits, String... members)
            throws Exception {
        return ingress(edit, config -> LongServing.of(config, limits), discovery, members);
    }

    /** What a configuration becomes. */
    interface Maker {
        IngressProcess make(IngressConfig config) throws IOException;
    }

    static IngressProcess ingress(UnaryOperator<String> edit, Maker maker, String discovery, String... members) throws Exception {
        return ingress(edit, maker, 0, discovery, members);
    }

    /** One that waits so long for discovery's first word, in milliseconds, before it takes clients. */
    static IngressProcess ingress(UnaryOperator<String> edit, Maker maker, double waitMs, String discovery, String... members) throws Exception {
        String json = edit.apply(Files.readString(Path.of("src/test/resources/ingress.json")))
                .replace("127.0.0.1:9\"", discovery + "\"")
                .replace("\"members\": []", "\"members\": [" + String.join(",", members) + "]");
        Path file = Files.createTempFile("ingress", ".json");
        try {
            Files.writeString(file, json);
            IngressProcess serve = maker.make(IngressConfig.read(file.toString()));
            serve.start(waitMs);
            return serve;
        } finally {
            Files.delete(file);
        }
    }
}

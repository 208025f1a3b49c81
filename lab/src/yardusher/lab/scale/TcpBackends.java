package yardusher.lab.scale;

import java.io.Closeable;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.BitSet;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.concurrent.atomic.AtomicLong;
import yardusher.resp.Decoder;
import yardusher.resp.Encoder;
import yardusher.resp.MalformedRespException;

/**
 * The backends of the real ingresses: an address and a door for each, all on one thread. Each command is answered after a time of the same
 * model as the hollow ones', with that time in microseconds as its value. Counts connections, handshakes, and commands by who sent them,
 * which the first four digits of a request's id tell.
 */
final class TcpBackends implements Closeable {
    private static final class Guest {
        final SocketChannel channel;
        final int backend;
        final Decoder decoder = new Decoder();
        SelectionKey key;

        Guest(SocketChannel channel, int backend) {
            this.channel = channel;
            this.backend = backend;
        }
    }

    private record Due(double atMs, long number, Guest guest, byte[] answer) { }

    private final Sizes sizes;
    private final Selector selector = Selector.open();
    private final ServerSocketChannel[] doors;
    private final PriorityQueue<Due> due = new PriorityQueue<>(Comparator.comparingDouble(Due::atMs).thenComparingLong(Due::number));
    private final ConcurrentLinkedQueue<Runnable> asked = new ConcurrentLinkedQueue<>();
    private final SplittableRandom random;
    private final BitSet dead = new BitSet();
    private final AtomicIntegerArray open;
    private final AtomicIntegerArray sentBy;
    private final AtomicLong handshakes = new AtomicLong();
    private final Thread thread;
    private long numbers;
    private volatile boolean closed;

    TcpBackends(Sizes sizes, Block block, long seed) throws IOException {
        this.sizes = sizes;
        random = new SplittableRandom(seed * 31 + 3);
        open = new AtomicIntegerArray(sizes.backends());
        sentBy = new AtomicIntegerArray(sizes.ingresses());
        doors = new ServerSocketChannel[sizes.backends()];
        for (int i = 0; i < doors.length; i++) {
            doors[i] = ServerSocketChannel.open();
            doors[i].setOption(StandardSocketOptions.SO_REUSEADDR, true);
            doors[i].bind(block.backend(i), 64);
            doors[i].configureBlocking(false);
            doors[i].register(selector, SelectionKey.OP_ACCEPT, i);
        }
        thread = new Thread(this::run, "backends");
        thread.setDaemon(true);
        thread.start();
    }

    /** Connections of a backend now. */
    int open(int backend) { return open.get(backend); }

    long handshakes() { return handshakes.get(); }

    /** Commands that have come from an ingress. */
    int sentBy(int ingress) { return sentBy.get(ingress); }

    /** Says nothing any more on what is open, and refuses what is new: a machine that is gone would not even do that. */
    void die(int backend) {
        asked.add(() -> {
            dead.set(backend);
            try {
                doors[backend].close();
            } catch (IOException e) { /* it is gone either way */ }
        });
        selector.wakeup();
    }

    private void run() {
        try {
            while (!closed) {
                double wait = due.isEmpty() ? 1000 : due.peek().atMs() - Moment.now();
                if (wait > 0.05) { selector.select((long) Math.max(1, Math.ceil(wait))); } else { selector.selectNow(); }
                for (Runnable one; (one = asked.poll()) != null;) { one.run(); }
                for (SelectionKey key : selector.selectedKeys()) {
                    if (!key.isValid()) { continue; }
                    if (key.isAcceptable()) { accept((ServerSocketChannel) key.channel(), (Integer) key.attachment()); } else { serve((Guest) key.attachment()); }
                }
                selector.selectedKeys().clear();
                while (!due.isEmpty() && due.peek().atMs() <= Moment.now()) { end(due.poll()); }
            }
        } catch (IOException e) {
            if (!closed) { throw new java.io.UncheckedIOException(e); }
        }
    }

    private void accept(ServerSocketChannel door, int backend) throws IOException {
        for (SocketChannel channel; door.isOpen() && (channel = door.accept()) != null;) {
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            Guest guest = new Guest(channel, backend);
            guest.key = channel.register(selector, SelectionKey.OP_READ, guest);
            open.incrementAndGet(backend);
            handshakes.incrementAndGet();
        }
    }

    private void serve(Guest guest) {
        try {
            ByteBuffer room = guest.decoder.readBuffer();
            int before = room.position();
            if (guest.channel.read(room) < 0) {
                leave(guest);
                return;
            }
            guest.decoder.advance(room.position() - before);
            for (byte[][] words; (words = guest.decoder.nextCommand()) != null;) { begin(guest, words); }
        } catch (IOException | MalformedRespException e) {
            leave(guest);
        }
    }

    private void begin(Guest guest, byte[][] words) throws IOException {
        String verb = new String(words[0], StandardCharsets.US_ASCII);
        double now = Moment.now();
        if (!verb.startsWith("CALL.") || words.length < 4) {
            byte[] answer = verb.equals("PING") ? new Encoder(16).simpleString("PONG").toBytes() : verb.equals("CLIENT") || verb.equals("SELECT") ? new Encoder(16).simpleString("OK").toBytes()
                    : new Encoder(32).error("ERR unknown").toBytes();
            due.add(new Due(now, numbers++, guest, answer));
            return;
        }
        int ingress = Integer.parseInt(new String(words[2], StandardCharsets.US_ASCII).substring(0, 4), 16);
        if (ingress < sentBy.length()) { sentBy.incrementAndGet(ingress); }
        if (dead.get(guest.backend)) { return; }
        double takes = HollowBackends.serviceMs(sizes, random.nextDouble(), now);
        due.add(new Due(now + takes, numbers++, guest, new Encoder(64).array(3).bulk(String.valueOf((long) (takes * 1000))).raw("$-1\r\n$-1\r\n".getBytes(StandardCharsets.US_ASCII)).toBytes()));
    }

    private void end(Due one) {
        if (dead.get(one.guest().backend) || !one.guest().channel.isOpen()) { return; }
        try {
            ByteBuffer out = ByteBuffer.wrap(one.answer());
            one.guest().channel.write(out);          // some 20 bytes on a connection with nothing else out
            if (out.hasRemaining()) { leave(one.guest()); }
        } catch (IOException e) {
            leave(one.guest());
        }
    }

    private void leave(Guest guest) {
        if (!guest.channel.isOpen()) { return; }
        open.decrementAndGet(guest.backend);
        try {
            guest.channel.close();
        } catch (IOException e) { /* it is gone either way */ }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        selector.wakeup();
        try {
            thread.join(5000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        for (SelectionKey key : selector.keys()) { key.channel().close(); }
        selector.close();
    }
}

package yardusher.lab;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import yardusher.resp.Decoder;
import yardusher.resp.Encoder;
import yardusher.resp.MalformedRespException;

/**
 * A stand-in region: answers as the protocol says, after a service time, in order on each connection. It counts its
 * connections from accept to close, and each accept, close, command begun and command ended is a line of the run's history,
 * in the order in which they were here.
 */
public final class Region implements Closeable {
    /** What is done with a connection over the cap: nothing but counting, closed at once, or kept and all on it refused. */
    public enum Over { SERVE, CLOSE, REFUSE }

    /**
     * One thing that happened here. {@code what}: open, close, turned away (closed at once, never counted), begin, refuse
     * (never begun), served, error, busy or dropped (its connection ended first). {@code open}: connections after it. {@code words}: the whole command line, or empty.
     * {@code arrivedFromMs}: the earliest time at which its input may have arrived; the region may be late to read it.
     */
    public record Event(double atMs, double arrivedFromMs, String region, long connection, String what, int open, String words) {
        /** The command's word at this place, or empty: 1 the customer, 2 the id, 3 the names and values. */
        public String word(int index) {
            String[] all = words.split(" ", -1);
            return index < all.length ? all[index] : "";
        }

        /** What a name of the command's list says, or empty. */
        public String value(String name) {
            for (String pair : word(3).split(",")) {
                if (pair.startsWith(name + "=")) { return pair.substring(name.length() + 1); }
            }
            return "";
        }

        @Override
        public String toString() { return String.format("%.3f\t%s\t%d\t%s\t%d\t%s", atMs, region, connection, what, open, words); }
    }

    private static final class Order {
        private final String words;
        private final String what;
        private final byte[] answer;                 // null for none, ever
        private boolean ready;
        private String restOf;                       // the command whose answer this is the rest of; null for none

        private Order(String words, String what, byte[] answer) {
            this.words = words;
            this.what = what;
            this.answer = answer;
        }
    }

    private static final class Guest {
        private final SocketChannel channel;
        private final long number;
        private final boolean refused;
        private long acceptedAtLook;
        private double connectedFromMs;
        private final Decoder decoder = new Decoder();
        private final Deque<Order> orders = new ArrayDeque<>();
        private final Deque<ByteBuffer> out = new ArrayDeque<>();
        private SelectionKey key;

        private Guest(SocketChannel channel, long number, boolean refused) {
            this.channel = channel;
            this.number = number;
            this.refused = refused;
        }
    }

    private record Due(double atMs, long number, Guest guest, Order order) { }

    private final String name;
    private final InetSocketAddress address;
    private final Chronicle<Event> history;
    private final Random random;
    private final Selector selector = Selector.open();
    private final ConcurrentLinkedQueue<Runnable> asked = new ConcurrentLinkedQueue<>();
    private final PriorityQueue<Due> due = new PriorityQueue<>(Comparator.comparingDouble(Due::atMs).thenComparingLong(Due::number));
    private final Set<Guest> guests = new HashSet<>();
    private final AtomicInteger open = new AtomicInteger();
    private final AtomicInteger most = new AtomicInteger();
    private final AtomicLong accepted = new AtomicLong();
    private final AtomicLong begun = new AtomicLong();
    private final AtomicInteger running = new AtomicInteger();
    private final Thread thread;
    private ServerSocketChannel door;
    private long numbers;
    private double lastLookMs = Chronicle.now();     // when it last asked which connections have input
    private long looks;
    private double arrivedFromMs = lastLookMs;       // what it handles now has arrived since then
    private boolean frozen;
    private volatile int cap = Integer.MAX_VALUE;
    private volatile Over over = Over.SERVE;
    private volatile double leastMs = 1;
    private volatile double mostMs = 3;
    private volatile int pauseOneIn;                 // 0 for never
    private volatile double maxPauseMs;
    private volatile Function<List<String>, byte[]> script;
    private volatile boolean closed;

    public Region(String name, InetSocketAddress address, Chronicle<Event> history, long seed) throws IOException {
        this.name = name;
        this.address = address;
        this.history = history;
        random = new Random(seed);
        script = words -> served(name + " " + words.get(2));
        listen();
        thread = new Thread(this::run, "region " + name);
        thread.setDaemon(true);
        thread.start();
    }

    public static byte[] served(String value) {
        return new Encoder(64).array(3).bulk(value).raw("$-1\r\n$-1\r\n".getBytes(StandardCharsets.US_ASCII)).toBytes();
    }

    /** {@code ERR failed} or {@code BUSY}, say. */
    public static byte[] says(String error) { return new Encoder(32).error(error).toBytes(); }

    public String name() { return name; }

    public InetSocketAddress address() { return address; }

    /** Connections now. */
    public int open() { return open.get(); }

    /** The most connections there ever were at once. */
    public int most() { return most.get(); }

    /** Connections accepted so far: each costs a handshake. */
    public long accepted() { return accepted.get(); }

    /** Commands begun so far. */
    public long begun() { return begun.get(); }

    public Region cap(int connections, Over what) {
        cap = connections;
        over = what;
        return this;
    }

    /** Each command takes between these, evenly. */
    public Region takes(double atLeastMs, double atMostMs) {
        leastMs = atLeastMs;
        mostMs = atMostMs;
        return this;
    }

    /** One answer of so many pauses within itself, for up to so long, anywhere; it is then "cut" if its client's end comes before the rest. */
    public Region pauses(int oneIn, double atMostMs) {
        pauseOneIn = oneIn;
        maxPauseMs = atMostMs;
        return this;
    }

    /** What each command is answered, null for nothing ever. In the region's own thread. Usually its name and the id, served. */
    public Region script(Function<List<String>, byte[]> answers) {
        script = answers;
        return this;
    }

    /** The process is gone: its connections are reset and new ones refused. */
    public void crash() { ask(this::fall); }

    /** Starts again at the same address, with nothing. */
    public void restart() {
        ask(() -> {
            if (door != null) { return; }
            try {
                listen();
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        });
    }

    /** The machine says nothing any more, reads nothing and accepts nothing; or goes on. */
    public void freeze(boolean still) {
        ask(() -> {
            frozen = still;
            for (SelectionKey key : selector.keys()) { key.interestOps(still ? 0 : key.attachment() instanceof Guest guest ? interest(guest) : SelectionKey.OP_ACCEPT); }
        });
    }

    private void ask(Runnable what) {
        CountDownLatch done = new CountDownLatch(1);
        asked.add(() -> {
            what.run();
            done.countDown();
        });
        selector.wakeup();
        try {
            if (!done.await(10, java.util.concurrent.TimeUnit.SECONDS) && !closed) { throw new IllegalStateException(name + " does not follow"); }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void listen() throws IOException {
        door = ServerSocketChannel.open();
        door.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        door.bind(address, 512);
        door.configureBlocking(false);
        door.register(selector, SelectionKey.OP_ACCEPT);
    }

    private void run() {
        try {
            while (!closed) {
                double wait = due.isEmpty() ? 1000 : due.peek().atMs() - Chronicle.now();
                arrivedFromMs = lastLookMs;
                looks++;
                if (selector.selectNow() == 0 && wait > 0.05) {
                    selector.select((long) Math.max(1, Math.ceil(wait)));
                    arrivedFromMs = Chronicle.now(); // it came during the wait
                    looks++;
                }
                lastLookMs = Chronicle.now();
                for (Runnable one; (one = asked.poll()) != null;) { one.run(); }
                for (SelectionKey key : selector.selectedKeys()) {
                    if (!key.isValid() || frozen) { continue; }
                    if (key.isAcceptable()) { accept(); } else { serve((Guest) key.attachment()); }
                }
                selector.selectedKeys().clear();
                while (!frozen && !due.isEmpty() && due.peek().atMs() <= Chronicle.now()) { end(due.poll()); }
            }
        } catch (IOException e) {
            if (!closed) { throw new java.io.UncheckedIOException(name + " has ended", e); }
        } finally {
            fall();
            asked.forEach(Runnable::run);
        }
    }

    private void accept() throws IOException {
        for (SocketChannel channel; door != null && (channel = door.accept()) != null;) {
            boolean crowded = open.get() >= cap && over != Over.SERVE;
            if (crowded && over == Over.CLOSE) {
                channel.setOption(StandardSocketOptions.SO_LINGER, 0);
                channel.close();
                note(++numbers, "turned away", "");
                continue;
            }
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            Guest guest = new Guest(channel, ++numbers, crowded);
            guest.acceptedAtLook = looks;
            guest.connectedFromMs = arrivedFromMs;
            guest.key = channel.register(selector, SelectionKey.OP_READ, guest);
            guests.add(guest);
            accepted.incrementAndGet();
            most.accumulateAndGet(open.incrementAndGet(), Math::max);
            note(guest.number, "open", "");
        }
    }

    private void note(long connection, String what, String words) { note(connection, what, words, arrivedFromMs); }

    private void note(long connection, String what, String words, double fromMs) {
        history.add(new Event(Chronicle.now(), fromMs, name, connection, what, open.get(), words));
    }

    private void serve(Guest guest) {
        try {
            if (guest.key.isWritable()) { flush(guest); }
            if (!guest.key.isValid() || !guest.key.isReadable()) { return; }
            ByteBuffer room = guest.decoder.readBuffer();
            int before = room.position();
            if (guest.channel.read(room) < 0) {
                noteCut(guest);
                leave(guest);
                return;
            }
            guest.decoder.advance(room.position() - before);
            for (byte[][] words; (words = guest.decoder.nextCommand()) != null;) { begin(guest, words); }
        } catch (IOException | MalformedRespException e) {
            noteCut(guest);
            leave(guest);
        }
    }

    /** The client has ended the connection before an answer that had begun was whole. */
    private void noteCut(Guest guest) {
        Order next = guest.orders.peek();
        if (next != null && next.restOf != null) { note(guest.number, "cut", next.restOf); }
    }

    private void begin(Guest guest, byte[][] words) throws IOException {
        List<String> texts = new ArrayList<>();
        for (byte[] word : words) { texts.add(new String(word, StandardCharsets.UTF_8)); }
        String verb = texts.get(0);
        byte[] answer;
        String what = "served";
        double takes = 0;
        if (verb.startsWith("CALL.") && texts.size() >= 4) {
            begun.incrementAndGet();
            running.incrementAndGet();
            answer = guest.refused ? says("BUSY") : script.apply(texts);
            what = answer == null ? "silent" : answer[0] == '*' ? "served" : new String(answer, StandardCharsets.US_ASCII).startsWith("-BUSY") ? "busy" : "error";
            if (!what.equals("busy")) { takes = leastMs + (mostMs - leastMs) * random.nextDouble(); }
            note(guest.number, what.equals("busy") ? "refuse" : "begin", String.join(" ", texts), arrivedFromMs(guest));
        } else {
            answer = switch (verb) {
                case "PING" -> new Encoder(16).simpleString("PONG").toBytes();
                case "CLIENT", "SELECT" -> new Encoder(16).simpleString("OK").toBytes();
                case "INFO" -> new Encoder(64).bulk("cpu_share=0.1,pending=" + running.get() + ",served_ps=0").toBytes();
                default -> says("ERR unknown");
            };
        }
        String command = verb.startsWith("CALL.") ? String.join(" ", texts) : null;
        if (what.equals("served") && command != null && pauseOneIn > 0 && random.nextInt(pauseOneIn) == 0) {
            answerInParts(guest, command, answer, takes);
            return;
        }
        answerAfter(guest, new Order(command, what, answer), takes);
        if (takes <= 0) { end(due.poll()); }
    }

    private void answerInParts(Guest guest, String command, byte[] answer, double takes) {
        int first = 1 + random.nextInt(answer.length - 1);
        Order rest = new Order(null, "served", Arrays.copyOfRange(answer, first, answer.length));
        rest.restOf = command;
        answerAfter(guest, new Order(command, "paused", Arrays.copyOf(answer, first)), takes);
        answerAfter(guest, rest, takes + maxPauseMs * random.nextDouble());
    }

    private void answerAfter(Guest guest, Order order, double takes) {
        guest.orders.add(order);
        due.add(new Due(Chronicle.now() + takes, ++numbers, guest, order));
    }

    /** The first command of a connection that was just accepted may have come before the accept. */
    private double arrivedFromMs(Guest guest) { return looks == guest.acceptedAtLook + 1 ? guest.connectedFromMs : arrivedFromMs; }

    /** It is done; it is answered once all before it on its connection are. */
    private void end(Due one) throws IOException {
        one.order().ready = one.order().answer != null;
        Guest guest = one.guest();
        for (Order order; (order = guest.orders.peek()) != null && order.ready;) {
            guest.orders.remove();
            if (order.words != null) {
                running.decrementAndGet();
                note(guest.number, order.what, order.words);
            }
            guest.out.add(ByteBuffer.wrap(order.answer));
        }
        try {
            flush(guest);
        } catch (IOException e) {
            leave(guest);
        }
    }

    private void flush(Guest guest) throws IOException {
        if (!guest.channel.isOpen()) { return; }
        while (!guest.out.isEmpty()) {
            guest.channel.write(guest.out.peek());
            if (guest.out.peek().hasRemaining()) { break; }
            guest.out.remove();
        }
        if (guest.key.isValid()) { guest.key.interestOps(frozen ? 0 : interest(guest)); }
    }

    private static int interest(Guest guest) { return SelectionKey.OP_READ | (guest.out.isEmpty() ? 0 : SelectionKey.OP_WRITE); }

    private void leave(Guest guest) {
        if (!guests.remove(guest)) { return; }
        try {
            guest.channel.close();
        } catch (IOException e) { /* it is gone either way */ }
        open.decrementAndGet();
        for (Order order : guest.orders) {
            if (order.words != null) {
                running.decrementAndGet();
                note(guest.number, "dropped", order.words);
            }
        }
        guest.orders.clear();
        note(guest.number, "close", "");
    }

    private void fall() {
        try {
            if (door != null) { door.close(); }
            door = null;
            for (Guest guest : List.copyOf(guests)) {
                if (guest.channel.isOpen()) { guest.channel.setOption(StandardSocketOptions.SO_LINGER, 0); }
                leave(guest);
            }
            if (selector.isOpen()) { selector.selectNow(); } // frees the port: a closed channel keeps it until then
        } catch (IOException e) { /* it is gone either way */ }
        due.clear();
    }

    @Override
    public void close() throws IOException {
        closed = true;
        selector.wakeup();
        try {
            thread.join(10_000);                     // its last lines are of the history too
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

package yardusher.lab;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Datagrams between numbered parties, with faults on each ordered way. Each party has one address here that all others know
 * it by: who sends to that address sends to it, and what it sends comes from its own address here. So a list of these
 * addresses is the list of peers of all parties alike. What a way does to its n-th datagram follows from the seed.
 */
public final class DatagramRelay implements Closeable {
    private static final int MOST_BYTES = 64 * 1024;
    private static final int MOST_HELD = 100_000;    // later ones are lost, as in a full queue

    /** One direction's trouble now; shares from 0 to 1. Figures count since the way was first used. */
    public static final class Way {
        private final Random random;
        private double loss;
        private double twice;
        private double corrupt;
        private double cutShort;
        private double delayMs;
        private double spreadMs;
        private boolean cut;
        public final AtomicLong sent = new AtomicLong();
        public final AtomicLong bytes = new AtomicLong();
        public final AtomicLong lost = new AtomicLong();

        private Way(long seed) { random = new Random(seed); }

        public synchronized void lose(double share) { loss = share; }

        public synchronized void twice(double share) { twice = share; }

        /** One bit is another. */
        public synchronized void corrupt(double share) { corrupt = share; }

        /** Ends early, somewhere. */
        public synchronized void cutShort(double share) { cutShort = share; }

        /** Each comes so much later, and up to {@code spread} more; so they also overtake one another. */
        public synchronized void delay(double ms, double spread) {
            delayMs = ms;
            spreadMs = spread;
        }

        public synchronized void cut(boolean nothingComes) { cut = nothingComes; }

        public synchronized void heal() {
            loss = twice = corrupt = cutShort = delayMs = spreadMs = 0;
            cut = false;
        }

        /** When the copies of a datagram come, after now; empty where it is lost. */
        private synchronized double[] fate() {
            double a = random.nextDouble();
            double b = random.nextDouble();
            double[] late = {delayMs + spreadMs * random.nextDouble(), delayMs + spreadMs * random.nextDouble()};
            return cut || a < loss ? new double[0] : b < twice ? late : new double[] {late[0]};
        }

        private synchronized byte[] spoil(byte[] body) {
            byte[] out = body.clone();
            if (random.nextDouble() < corrupt && out.length > 0) { out[random.nextInt(out.length)] ^= (byte) (1 << random.nextInt(8)); }
            return random.nextDouble() < cutShort ? java.util.Arrays.copyOf(out, random.nextInt(out.length + 1)) : out;
        }
    }

    private record Late(double atMs, long order, int from, int to, byte[] body) { }

    private final long seed;
    private final InetAddress place;
    private final Selector selector = Selector.open();
    private final List<DatagramChannel> doors = new ArrayList<>();
    private final List<InetSocketAddress> reals = new ArrayList<>();
    private final Map<SocketAddress, Integer> numbers = new HashMap<>();
    private final Map<Long, Way> ways = new HashMap<>();
    private final PriorityQueue<Late> held = new PriorityQueue<>(Comparator.comparingDouble(Late::atMs).thenComparingLong(Late::order));
    private final AtomicLong strangers = new AtomicLong();
    private long order;
    private volatile boolean closed;

    /** {@code place}: where the parties' addresses are. */
    public DatagramRelay(InetAddress place, long seed) throws IOException {
        this.place = place;
        this.seed = seed;
        Thread thread = new Thread(this::run, "datagrams");
        thread.setDaemon(true);
        thread.start();
    }

    /** Numbers a party that sends from and listens at this address; gives the address that the others are to know. */
    public synchronized InetSocketAddress join(InetSocketAddress real) throws IOException {
        DatagramChannel door = DatagramChannel.open();
        door.bind(new InetSocketAddress(place, 0));
        door.configureBlocking(false);
        numbers.put(real, reals.size());
        selector.wakeup();
        door.register(selector, SelectionKey.OP_READ, reals.size());
        reals.add(real);
        doors.add(door);
        return (InetSocketAddress) door.getLocalAddress();
    }

    public synchronized int size() { return reals.size(); }

    public synchronized Way way(int from, int to) {
        return ways.computeIfAbsent((long) from << 32 | to, none -> new Way(seed * 1_000_003 + from * 1009L + to));
    }

    /** From now on nothing passes between one side and the other, both ways; within each it does. */
    public void split(List<Integer> one, List<Integer> other) {
        for (int a : one) {
            for (int b : other) {
                way(a, b).cut(true);
                way(b, a).cut(true);
            }
        }
    }

    /** All ways are as they were; what is late comes late. */
    public synchronized void heal() { ways.values().forEach(Way::heal); }

    /** Delivers what {@code from} never sent, as if it had. */
    public synchronized void inject(int from, int to, byte[] body) throws IOException {
        doors.get(from).send(ByteBuffer.wrap(body), reals.get(to));
    }

    /** Delivers something from an address that is nobody's. */
    public void injectFromStranger(int to, byte[] body) throws IOException {
        InetSocketAddress real;
        synchronized (this) { real = reals.get(to); }
        try (DatagramChannel stranger = DatagramChannel.open()) {
            stranger.bind(new InetSocketAddress(place, 0));
            stranger.send(ByteBuffer.wrap(body), real);
        }
    }

    /** How many came from an address that no party has; they go nowhere. */
    public long strangers() { return strangers.get(); }

    private void run() {
        ByteBuffer in = ByteBuffer.allocate(MOST_BYTES);
        try {
            while (!closed) {
                long wait;
                synchronized (this) { wait = held.isEmpty() ? 1000 : (long) Math.max(1, Math.ceil(held.peek().atMs() - Chronicle.now())); }
                selector.select(wait);
                synchronized (this) {
                    for (SelectionKey key : selector.selectedKeys()) { receive((int) key.attachment(), in); }
                    selector.selectedKeys().clear();
                    while (!held.isEmpty() && held.peek().atMs() <= Chronicle.now()) { send(held.poll()); }
                }
            }
        } catch (IOException | java.nio.channels.ClosedSelectorException e) {
            if (!closed) { throw new IllegalStateException("the relay for datagrams has ended", e); }
        }
    }

    private void receive(int to, ByteBuffer in) throws IOException {
        for (SocketAddress source;;) {
            in.clear();
            try {
                if ((source = doors.get(to).receive(in)) == null) { return; }
            } catch (java.net.PortUnreachableException e) {
                continue;
            }
            Integer from = numbers.get(source);
            if (from == null) {
                strangers.incrementAndGet();
                continue;
            }
            byte[] body = new byte[in.flip().remaining()];
            in.get(body);
            Way way = way(from, to);
            way.sent.incrementAndGet();
            way.bytes.addAndGet(body.length);
            double[] fate = way.fate();
            if (fate.length == 0) { way.lost.incrementAndGet(); }
            for (double late : fate) {
                Late one = new Late(Chronicle.now() + late, order++, from, to, way.spoil(body));
                if (late <= 0) { send(one); } else if (held.size() < MOST_HELD) { held.add(one); } else { way.lost.incrementAndGet(); }
            }
        }
    }

    private void send(Late one) {
        try {
            doors.get(one.from()).send(ByteBuffer.wrap(one.body()), reals.get(one.to()));
        } catch (IOException e) { /* nobody is there now: lost, as on any network */ }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        selector.close();
        synchronized (this) {
            for (DatagramChannel door : doors) { door.close(); }
        }
    }
}

package yardusher.lab.view;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Consumer;

/**
 * A deterministic simulation of a network: datagrams between numbered nodes with loss, delay, duplication, cut links and paused
 * processes, all determined by a seed. It works above the mesh, whose checksum turns a corrupted datagram into a lost one. Datagrams
 * to a paused process are buffered up to a limit; when it resumes, its timers fire before it reads them, as in the ingress.
 */
final class ViewNet {
    /** A process on the network. */
    interface Process {
        void heard(double now, byte[] body);

        void tick(double now);

        double next();
    }

    private static final class Event implements Comparable<Event> {
        final double at;
        final long order;
        final int to;
        final byte[] body;                           // null for a timer or an action
        final Consumer<Double> deed;

        Event(double at, long order, int to, byte[] body, Consumer<Double> deed) {
            this.at = at;
            this.order = order;
            this.to = to;
            this.body = body;
            this.deed = deed;
        }

        @Override
        public int compareTo(Event other) {
            int byTime = Double.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    /** A node, with its process and its faults. */
    private static final class Place {
        Process process;
        double timerAt = Double.POSITIVE_INFINITY;
        boolean stopped;
        double share = 1;                            // part of each 100 ms in which it runs
        List<byte[]> waiting = new ArrayList<>();
        boolean queued;
        int side;
        long sent;
        long sentBytes;
        long heard;
    }

    private static final int MOST_WAITING = 2000;    // datagrams in a socket's receive buffer
    private static final double SLICE_MS = 100;

    private final Random random;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<Place> places = new ArrayList<>();
    private final Map<InetSocketAddress, Integer> numbers = new HashMap<>();
    private final java.util.Set<Long> cutWays = new java.util.HashSet<>();
    private double now;
    private long order;
    private double loss;
    private double twice;
    private double lateShare;
    private double lateMs;
    private double leastMs = 0.2;
    private double spreadMs = 1;

    ViewNet(long seed, double from) {
        random = new Random(seed);
        now = from;
    }

    double now() { return now; }

    Random random() { return random; }

    /** Adds a node without a process; returns its number. */
    int place() {
        int number = places.size();
        places.add(new Place());
        numbers.put(address(number), number);
        return number;
    }

    static InetSocketAddress address(int place) {
        try {
            return new InetSocketAddress(InetAddress.getByAddress(new byte[] {10, (byte) (place >> 16), (byte) (place >> 8), (byte) place}), 7946);
        } catch (UnknownHostException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Sets the process of a node; null for none, so that datagrams to it are lost. */
    void put(int place, Process process) {
        Place at = places.get(place);
        at.process = process;
        at.stopped = false;
        at.waiting.clear();
        at.timerAt = Double.POSITIVE_INFINITY;
        if (process != null) { arm(place); }
    }

    Process at(int place) { return places.get(place).process; }

    void lose(double share) { loss = share; }

    void twice(double share) { twice = share; }

    void delay(double least, double spread) {
        leastMs = least;
        spreadMs = spread;
    }

    /** Delays that share of datagrams by an additional {@code ms}. */
    void late(double share, double ms) {
        lateShare = share;
        lateMs = ms;
    }

    void side(int place, int side) { places.get(place).side = side; }

    void cut(int from, int to, boolean nothingComes) {
        long way = (long) from << 32 | to;
        if (nothingComes) { cutWays.add(way); } else { cutWays.remove(way); }
    }

    void heal() {
        loss = twice = lateShare = 0;
        cutWays.clear();
        places.forEach(place -> place.side = 0);
    }

    void stop(int place) { places.get(place).stopped = true; }

    void wake(int place) {
        Place at = places.get(place);
        if (!at.stopped) { return; }
        at.stopped = false;
        run(place);
    }

    /** Lets the process run only for this share of each 100 ms. */
    void starve(int place, double share) { places.get(place).share = share; }

    boolean isStopped(int place) { return places.get(place).stopped; }

    long sent(int place) { return places.get(place).sent; }

    long sentBytes(int place) { return places.get(place).sentBytes; }

    void forgetFigures() { places.forEach(place -> place.sent = place.sentBytes = place.heard = 0); }

    void send(int from, InetSocketAddress to, byte[] body) {
        Place source = places.get(from);
        source.sent++;
        source.sentBytes += body.length + 43;        // headers of the mesh, UDP and IP
        Integer number = numbers.get(to);
        if (number == null || random.nextDouble() < loss || cutWays.contains((long) from << 32 | number)
                || source.side != places.get(number).side) { return; }
        int copies = twice > 0 && random.nextDouble() < twice ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            double late = leastMs + spreadMs * random.nextDouble() + (lateShare > 0 && random.nextDouble() < lateShare ? lateMs : 0);
            events.add(new Event(now + late, order++, number, body, null));
        }
    }

    /** Delivers a forged datagram. */
    void inject(int to, byte[] body) { events.add(new Event(now, order++, to, body, null)); }

    /** Schedules an action. */
    void at(double time, Runnable deed) { events.add(new Event(time, order++, -1, null, at -> deed.run())); }

    private void arm(int place) {
        Place at = places.get(place);
        double next = Math.max(at.process.next(), now);
        if (next >= at.timerAt) { return; }
        at.timerAt = next;
        if (next < Double.POSITIVE_INFINITY) { events.add(new Event(next, order++, place, null, null)); }
    }

    /** Returns when a CPU-starved process next runs. */
    private double slice(Place at, int place) {
        if (at.share >= 1) { return now; }
        double phase = (now + place * 17) % SLICE_MS;
        return phase < at.share * SLICE_MS ? now : now + SLICE_MS - phase;
    }

    private void run(int place) {
        Place at = places.get(place);
        if (at.stopped || at.process == null) { return; }
        double when = slice(at, place);
        if (when > now) {
            if (!at.queued) {
                at.queued = true;
                events.add(new Event(when, order++, -1, null, then -> {
                    at.queued = false;
                    run(place);
                }));
            }
            return;
        }
        Process process = at.process;
        process.tick(now);
        List<byte[]> all = at.waiting;
        if (!all.isEmpty()) {
            at.waiting = new ArrayList<>();
            for (byte[] body : all) { process.heard(now, body); }
        }
        if (at.process == process) {
            at.timerAt = Double.POSITIVE_INFINITY;
            arm(place);
        }
    }

    /** Runs the simulation until that time. */
    void until(double time) {
        while (!events.isEmpty() && events.peek().at <= time) {
            Event event = events.poll();
            now = Math.max(now, event.at);
            if (event.deed != null) {
                event.deed.accept(now);
                continue;
            }
            Place at = places.get(event.to);
            if (at.process == null) { continue; }
            if (event.body != null) {
                at.heard++;
                if (at.waiting.size() < MOST_WAITING) { at.waiting.add(event.body); }
                run(event.to);
            } else if (event.at == at.timerAt) {
                run(event.to);
            }
        }
        now = time;
    }
}

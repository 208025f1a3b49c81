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
 * A network on scripted time: datagrams between numbered places, with loss, delay, doubling, ways cut, and processes that
 * stand still. It stands above the mesh, whose checksum makes of a spoilt datagram a lost one. All that happens follows from a
 * seed. A process that stands still keeps what comes to it, up to a bound, and when it goes on its timers go before its
 * datagrams, as in the program.
 */
final class ViewNet {
    /** A process of any kind. */
    interface Process {
        void receive(double now, byte[] body);

        void tick(double now);

        double nextTickMs();
    }

    private static final class Event implements Comparable<Event> {
        final double atMs;
        final long sequence;
        final int node;
        final byte[] body;                           // null for a timer or a deed
        final Consumer<Double> action;

        Event(double atMs, long sequence, int node, byte[] body, Consumer<Double> action) {
            this.atMs = atMs;
            this.sequence = sequence;
            this.node = node;
            this.body = body;
            this.action = action;
        }

        @Override
        public int compareTo(Event other) {
            int byTime = Double.compare(atMs, other.atMs);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    /** What a place has to bear. */
    private static final class Node {
        Process process;
        double timerAtMs = Double.POSITIVE_INFINITY;
        boolean paused;
        double cpuShare = 1;                            // of each 100 ms that it runs
        List<byte[]> receiveQueue = new ArrayList<>();
        boolean resumeScheduled;
        int partition;
        long sent;
        long sentBytes;
        long received;
    }

    private static final int MAX_QUEUED = 2000;    // a socket's buffer
    private static final double SLICE_MS = 100;

    private final Random random;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<Node> nodes = new ArrayList<>();
    private final Map<InetSocketAddress, Integer> nodesByAddress = new HashMap<>();
    private final java.util.Set<Long> cutLinks = new java.util.HashSet<>();
    private double now;
    private long lastSequence;
    private double lossShare;
    private double duplicateShare;
    private double delayedShare;
    private double extraDelayMs;
    private double minDelayMs = 0.2;
    private double delayRangeMs = 1;

    ViewNet(long seed, double startMs) {
        random = new Random(seed);
        now = startMs;
    }

    double now() { return now; }

    Random random() { return random; }

    /** One more place, with nobody there yet. */
    int addNode() {
        int number = nodes.size();
        nodes.add(new Node());
        nodesByAddress.put(address(number), number);
        return number;
    }

    static InetSocketAddress address(int node) {
        try {
            return new InetSocketAddress(InetAddress.getByAddress(new byte[] {10, (byte) (node >> 16), (byte) (node >> 8), (byte) node}), 7946);
        } catch (UnknownHostException e) {
            throw new IllegalStateException(e);
        }
    }

    /** From now on this process is there; null for none: what comes is lost. */
    void setProcess(int nodeNumber, Process process) {
        Node node = nodes.get(nodeNumber);
        node.process = process;
        node.paused = false;
        node.receiveQueue.clear();
        node.timerAtMs = Double.POSITIVE_INFINITY;
        if (process != null) { scheduleTimer(nodeNumber); }
    }

    Process processAt(int node) { return nodes.get(node).process; }

    void setLoss(double share) { lossShare = share; }

    void setDuplication(double share) { duplicateShare = share; }

    void setDelay(double minMs, double rangeMs) {
        minDelayMs = minMs;
        delayRangeMs = rangeMs;
    }

    /** So many come this much later than the rest. */
    void setExtraDelay(double share, double ms) {
        delayedShare = share;
        extraDelayMs = ms;
    }

    void setPartition(int node, int side) { nodes.get(node).partition = side; }

    void setCut(int from, int to, boolean isCut) {
        long link = (long) from << 32 | to;
        if (isCut) { cutLinks.add(link); } else { cutLinks.remove(link); }
    }

    void heal() {
        lossShare = duplicateShare = delayedShare = 0;
        cutLinks.clear();
        nodes.forEach(place -> place.partition = 0);
    }

    void pause(int node) { nodes.get(node).paused = true; }

    void resume(int nodeNumber) {
        Node node = nodes.get(nodeNumber);
        if (!node.paused) { return; }
        node.paused = false;
        run(nodeNumber);
    }

    /** It runs for this share of each 100 ms alone. */
    void starve(int node, double share) { nodes.get(node).cpuShare = share; }

    boolean isPaused(int node) { return nodes.get(node).paused; }

    long sent(int node) { return nodes.get(node).sent; }

    long sentBytes(int node) { return nodes.get(node).sentBytes; }

    void resetCounters() { nodes.forEach(place -> place.sent = place.sentBytes = place.received = 0); }

    void send(int from, InetSocketAddress to, byte[] body) {
        Node source = nodes.get(from);
        source.sent++;
        source.sentBytes += body.length + 43;        // the mesh's head, UDP and IP
        Integer number = nodesByAddress.get(to);
        if (number == null || random.nextDouble() < lossShare || cutLinks.contains((long) from << 32 | number)
                || source.partition != nodes.get(number).partition) { return; }
        int copies = duplicateShare > 0 && random.nextDouble() < duplicateShare ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            double delayMs = minDelayMs + delayRangeMs * random.nextDouble() + (delayedShare > 0 && random.nextDouble() < delayedShare ? extraDelayMs : 0);
            events.add(new Event(now + delayMs, lastSequence++, number, body, null));
        }
    }

    /** Delivers what nobody sent. */
    void inject(int to, byte[] body) { events.add(new Event(now, lastSequence++, to, body, null)); }

    /** Does something at a time. */
    void schedule(double timeMs, Runnable action) { events.add(new Event(timeMs, lastSequence++, -1, null, at -> action.run())); }

    private void scheduleTimer(int nodeNumber) {
        Node node = nodes.get(nodeNumber);
        double next = Math.max(node.process.nextTickMs(), now);
        if (next >= node.timerAtMs) { return; }
        node.timerAtMs = next;
        if (next < Double.POSITIVE_INFINITY) { events.add(new Event(next, lastSequence++, nodeNumber, null, null)); }
    }

    /** When a starved process runs next. */
    private double nextRunTime(Node node, int nodeNumber) {
        if (node.cpuShare >= 1) { return now; }
        double phase = (now + nodeNumber * 17) % SLICE_MS;
        return phase < node.cpuShare * SLICE_MS ? now : now + SLICE_MS - phase;
    }

    private void run(int nodeNumber) {
        Node node = nodes.get(nodeNumber);
        if (node.paused || node.process == null) { return; }
        double runAtMs = nextRunTime(node, nodeNumber);
        if (runAtMs > now) {
            if (!node.resumeScheduled) {
                node.resumeScheduled = true;
                events.add(new Event(runAtMs, lastSequence++, -1, null, then -> {
                    node.resumeScheduled = false;
                    run(nodeNumber);
                }));
            }
            return;
        }
        Process process = node.process;
        process.tick(now);
        List<byte[]> datagrams = node.receiveQueue;
        if (!datagrams.isEmpty()) {
            node.receiveQueue = new ArrayList<>();
            for (byte[] body : datagrams) { process.receive(now, body); }
        }
        if (node.process == process) {
            node.timerAtMs = Double.POSITIVE_INFINITY;
            scheduleTimer(nodeNumber);
        }
    }

    /** Goes on until then. */
    void runUntil(double timeMs) {
        while (!events.isEmpty() && events.peek().atMs <= timeMs) {
            Event event = events.poll();
            now = Math.max(now, event.atMs);
            if (event.action != null) {
                event.action.accept(now);
                continue;
            }
            Node node = nodes.get(event.node);
            if (node.process == null) { continue; }
            if (event.body != null) {
                node.received++;
                if (node.receiveQueue.size() < MAX_QUEUED) { node.receiveQueue.add(event.body); }
                run(event.node);
            } else if (event.atMs == node.timerAtMs) {
                run(event.node);
            }
        }
        now = timeMs;
    }
}

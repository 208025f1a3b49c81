package yardusher.lab.scale;

import java.io.Closeable;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;
import yardusher.resp.Decoder;
import yardusher.resp.Encoder;
import yardusher.resp.MalformedRespException;
import yardusher.resp.Value;

/** The clients' front of the real ingresses: takes their requests out of the common sequence, over kept connections, one command out on each. */
final class RealClients implements Closeable {
    private static final long MOST_US = 60_000_000;

    private static final class Connection {
        final SocketChannel channel;
        final int ingress;
        final Decoder decoder = new Decoder();
        double sentAt;
        int tenant;
        int units;

        Connection(SocketChannel channel, int ingress) {
            this.channel = channel;
            this.ingress = ingress;
        }
    }

    private final Sizes sizes;
    private final Block block;
    private final Demand demand;
    private final Demand.Arrivals arrivals;
    private final Tries tries;
    private final Selector selector = Selector.open();
    private final List<ArrayDeque<Connection>> idle = new ArrayList<>();
    private final Histogram added = new Histogram(MOST_US, 3);
    private final Thread thread;
    private final double beginsMs;
    private long ids;
    private volatile boolean closed;
    private volatile long taken;
    private volatile long served;
    private volatile long refused;
    private volatile long failed;

    RealClients(Sizes sizes, Block block, Demand demand, long seed, Tries tries, double beginsMs) throws IOException {
        this.sizes = sizes;
        this.block = block;
        this.demand = demand;
        this.tries = tries;
        this.beginsMs = beginsMs;
        arrivals = demand.new Arrivals(seed);
        for (int i = 0; i < sizes.real(); i++) { idle.add(new ArrayDeque<>()); }
        thread = new Thread(this::run, "clients");
        thread.setDaemon(true);
        thread.start();
    }

    /** Tries, served, refused, failed. */
    long[] counts() { return new long[] {taken, served, refused, failed}; }

    /** Times from here on, in microseconds; what an answer took less what its backend says it took. */
    synchronized void measure() { added.reset(); }

    synchronized Histogram added() { return added.copy(); }

    private void run() {
        arrivals.next();
        try {
            while (!closed) {
                selector.select(1);
                for (SelectionKey key : selector.selectedKeys()) { read((Connection) key.attachment()); }
                selector.selectedKeys().clear();
                double now = Moment.now();
                for (; beginsMs + arrivals.atMs <= now; arrivals.next()) {
                    if (arrivals.ingress >= sizes.hollow()) { send(arrivals.ingress); }
                }
            }
        } catch (IOException e) {
            if (!closed) { throw new java.io.UncheckedIOException(e); }
        }
    }

    private void send(int ingress) {
        taken++;
        try {
            Connection one = idle.get(ingress - sizes.hollow()).pollLast();
            if (one == null) {
                one = new Connection(SocketChannel.open(block.ingress(ingress, Block.LISTEN)), ingress);
                one.channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
                one.channel.configureBlocking(false);
                one.channel.register(selector, SelectionKey.OP_READ, one);
            }
            one.tenant = arrivals.tenant;
            one.units = arrivals.units;
            String list = "c=lookup,t=" + demand.plans.get(demand.plan[arrivals.tenant]).name() + ",d=" + sizes.waitMs() + ",units=" + arrivals.units + ",spread=" + demand.spread[arrivals.tenant]
                    + ",first=" + demand.first[arrivals.tenant];
            byte[] words = new Encoder(160).array(4).bulk("CALL.GET").bulk(String.format("%016x", Demand.customer(arrivals.tenant))).bulk(String.format("%04x%012x", ingress, ids++)).bulk(list).toBytes();
            one.sentAt = Moment.now();
            one.channel.write(ByteBuffer.wrap(words));
        } catch (IOException e) {
            failed++;
        }
    }

    private void read(Connection one) {
        try {
            ByteBuffer room = one.decoder.readBuffer();
            int before = room.position();
            if (one.channel.read(room) < 0) { throw new IOException("ended"); }
            one.decoder.advance(room.position() - before);
            Value value = one.decoder.nextValue();
            if (value == null) { return; }
            if (value instanceof Value.ErrorReply no) {
                if (no.text().startsWith("BUSY")) {
                    refused++;
                    tries.refused(one.sentAt, one.tenant, one.units);
                } else {
                    failed++;
                }
            } else {
                served++;
                tries.sent(one.sentAt, one.tenant, one.units);
                long tookUs = (long) ((Moment.now() - one.sentAt) * 1000) - serviceUs(value);
                synchronized (this) { added.recordValue(Math.min(MOST_US, Math.max(0, tookUs))); }
            }
            idle.get(one.ingress - sizes.hollow()).addLast(one);
        } catch (IOException | MalformedRespException e) {
            failed += one.sentAt > 0 && !idle.get(one.ingress - sizes.hollow()).remove(one) ? 1 : 0;
            try {
                one.channel.close();
            } catch (IOException closing) { /* it is gone either way */ }
        }
    }

    private static long serviceUs(Value value) {
        Value first = value instanceof Value.ArrayValue many && many.items() != null && !many.items().isEmpty() ? many.items().get(0) : value;
        return first instanceof Value.BulkString bulk && bulk.text().matches("[0-9]{1,9}") ? Long.parseLong(bulk.text()) : 0;
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

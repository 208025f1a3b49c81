package yardusher.fleet;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import yardusher.core.Deadlines;
import yardusher.core.EventLoop;
import yardusher.net.Connection;
import yardusher.net.Sockets;
import yardusher.resp.MalformedRespException;
import yardusher.resp.Value;

/**
 * The way to one other agent: RESP commands on one connection, answered in their order. What is not answered in time is
 * given up, its answer dropped when it comes. Bounded; a member that is slow or away costs nobody else anything. In loop.
 */
final class Peer implements Connection.Owner {
    private static final int MOST_ASKED = 64;
    private static final int MOST_QUEUED = 512 * 1024; // bytes not yet taken by the system
    private static final double DIAL_MS = 500;
    private static final double LEAST_WAIT_MS = 30;
    private static final double MOST_WAIT_MS = 1000;
    private static final double STUCK_MS = 2000;     // nothing at all is answered for so long

    private static final class Asked {
        final byte[] command;
        Consumer<Value> then;
        Runnable orElse;
        Deadlines.Entry limit;

        Asked(byte[] command) { this.command = command; }
    }

    private final Sockets sockets;
    private final EventLoop loop;
    private final RandomGenerator random;
    private InetSocketAddress address;
    private final ArrayDeque<Asked> asked = new ArrayDeque<>(); // written and unwritten, in order
    private Connection link;
    private boolean dialling;
    private double waitMs;                           // before the next dial; 0 after a success
    private double dialAt;
    private double heardAt;
    private boolean closed;

    Peer(Sockets sockets, InetSocketAddress address, RandomGenerator random) {
        this.sockets = sockets;
        this.loop = sockets.loop();
        this.address = address;
        this.random = random;
    }

    /** The member has moved. */
    void move(InetSocketAddress to) {
        if (to.equals(address)) { return; }
        address = to;
        if (link != null) { link.close(); }
        lost();
    }

    /** Whether there is a connection, or one is worth trying. */
    boolean isLikely() { return link != null || dialling || loop.now() >= dialAt; }

    /** Asks; one of the two is run later, in a turn, and {@code orElse} after so many ms at the latest. */
    void ask(byte[] command, double withinMs, Consumer<Value> then, Runnable orElse) {
        boolean full = asked.size() >= MOST_ASKED || link != null && link.queuedBytes() > MOST_QUEUED;
        if (closed || full || link == null && !dialling && loop.now() < dialAt) {
            loop.defer(orElse);
            return;
        }
        Asked one = new Asked(command);
        one.then = then;
        one.orElse = orElse;
        one.limit = loop.deadlines().schedule(loop.now() + withinMs, () -> {
            giveUp(one);
            if (link != null && loop.now() - heardAt > STUCK_MS) {
                link.close();
                lost();
            }
        });
        asked.add(one);
        if (link != null) { link.write(command); } else { connect(); }
    }

    private static void giveUp(Asked one) {
        Runnable orElse = one.orElse;
        one.then = null;
        one.orElse = null;
        if (orElse != null) { orElse.run(); }
    }

    private void connect() {
        if (dialling) { return; }
        dialling = true;
        sockets.connect(address, DIAL_MS, channel -> {
            dialling = false;
            link = new Connection(channel, loop, this);
            heardAt = loop.now();
            asked.removeIf(one -> one.then == null);  // given up before they were written
            for (Asked one : asked) { link.write(one.command); }
            link.readMore();
        }, () -> {
            dialling = false;
            lost();
        });
    }

    /** The connection is gone, and what was asked on it; the next is dialled after a wait that grows. */
    private void lost() {
        link = null;
        waitMs = Math.min(MOST_WAIT_MS, waitMs == 0 ? LEAST_WAIT_MS : waitMs * 2);
        dialAt = loop.now() + waitMs * (0.5 + random.nextDouble() / 2);
        ArrayDeque<Asked> left = new ArrayDeque<>(asked);
        asked.clear();
        for (Asked one : left) {
            loop.deadlines().cancel(one.limit);
            giveUp(one);
        }
    }

    @Override
    public boolean onReadable(Connection from) {
        if (from != link) { return false; }
        try {
            for (Value answer; (answer = from.decoder().nextValue()) != null;) {
                Asked one = asked.poll();
                heardAt = loop.now();
                waitMs = 0;
                if (one == null) { throw new MalformedRespException("an answer that nobody asked for"); }
                loop.deadlines().cancel(one.limit);
                Consumer<Value> then = one.then;
                if (then != null) { then.accept(answer); }
                if (link != from) { return false; }
            }
            return true;
        } catch (MalformedRespException e) {
            from.close();
            lost();
            return false;
        }
    }

    @Override
    public void onClosed(Connection from) {
        if (from == link) { lost(); }
    }

    void close() {
        closed = true;
        if (link != null) { link.close(); }
        for (Iterator<Asked> all = asked.iterator(); all.hasNext();) {
            loop.deadlines().cancel(all.next().limit);
            all.remove();
        }
    }
}

package yardusher.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import yardusher.core.Session;
import yardusher.core.EventLoop;
import yardusher.resp.Encoder;
import yardusher.resp.Malformed;

/**
 * One terminal's connection: reads its commands, gives each a place in the order of answers, waits for room for a large body,
 * and writes the answers in that order however they come. In loop.
 */
final class ClientConnection implements Link.Owner {
    private static final int MOST_UNANSWERED = 64; // on one connection; more are read when some are answered
    private static final int MOST_UNREAD = 256 * 1024; // bytes of answers that the terminal has not taken yet
    private static final int TURN_COMMANDS = 32;   // of one connection in one turn; then it is the others' turn
    private static final double NEXT_TURN_MS = 1;
    private static final int MOST_REJECTED = 16;   // commands on one connection that mean nothing
    private static final double REJECTED_MS = 5;   // the next is read so much later, for each before it
    private static final double BODY_MS = 10_000;  // to the end of a large body, the wait for room with it

    private final Answers front;
    private final Crowd crowd;
    private final EventLoop loop;
    private final Link link;
    private final boolean fromHere;
    private final ArrayDeque<Answers.Slot> slots = new ArrayDeque<>(2);
    private double quietSince;
    private double begunAt = Double.POSITIVE_INFINITY; // when the command now being read began
    private Runnable body;                           // gives back what is held for the large body now being read
    private boolean bodyOpen;
    private double bodyFrom;
    private int rejected;
    private boolean lost;
    private Session session;                         // null until somebody asks for it
    private List<Runnable> atEnd;                    // null for none
    private boolean over;                            // the connection has ended
    private boolean paused;
    private boolean stalled;                         // it does not take its answers, so no more commands are read

    ClientConnection(AsynchronousSocketChannel channel, Answers front, Crowd crowd, EventLoop loop) {
        this.front = front;
        this.crowd = crowd;
        this.loop = loop;
        quietSince = loop.now();
        link = new Link(channel, loop, this);
        fromHere = isFromHere(channel);
        crowd.joins(this);
        link.readMore();
    }

    private static boolean isFromHere(AsynchronousSocketChannel channel) {
        try {
            return channel.getRemoteAddress() instanceof InetSocketAddress at && at.getAddress().isLoopbackAddress();
        } catch (IOException e) {
            return false;                            // it has left already
        }
    }

    /** Whether the terminal is on this machine. */
    boolean isFromHere() { return fromHere; }

    /** Since when nothing is open here, or nothing new has come of a large body. */
    double quietSince() { return quietSince; }

    /** When the command now being read began; infinite for none. */
    double begunAt() { return begunAt; }

    boolean hasBegun() { return begunAt < Double.POSITIVE_INFINITY; }

    /** Whether it owes no answer. */
    boolean owesNothing() { return slots.isEmpty(); }

    @Override
    public boolean readable(Link from) {
        try {
            for (int taken = 0; mayRead(); taken++) {
                if (taken == TURN_COMMANDS) {
                    // Guards the others against one that sends hundreds of commands at once.
                    pause(NEXT_TURN_MS);
                    return false;
                }
                byte[][] words = link.decoder().command();
                if (words == null && link.decoder().bodyLength() > 0) { return readsBody(); }
                if (words == null) {
                    if (link.decoder().isEmpty()) {
                        begunAt = Double.POSITIVE_INFINITY;
                    } else if (begunAt == Double.POSITIVE_INFINITY || taken > 0) {
                        begunAt = loop.now();
                    }
                    return true;
                }
                begunAt = Double.POSITIVE_INFINITY;
                crowd.isBusy(this);
                Answers.Slot slot = new Answers.Slot(this);
                slots.add(slot);
                slot.body = body;
                body = null;
                front.commands().command(words, slot);
            }
        } catch (Malformed e) {
            lose(e.getMessage());
        }
        stalled |= link.queued() >= MOST_UNREAD;
        return false;
    }

    /** A large body comes: it is read once there is room for it. True while more is to be read. */
    private boolean readsBody() throws Malformed {
        double now = loop.now();
        if (!front.bodies().fits(link.decoder().bodyLength())) { throw new Malformed("invalid bulk length"); }
        if (body != null) {
            if (now < bodyFrom + BODY_MS) { begunAt = quietSince = now; }
            return bodyOpen;
        }
        bodyFrom = begunAt = quietSince = now;
        bodyOpen = false;
        boolean[] here = {true};
        body = front.bodies().take(link.decoder().bodyLength(), () -> {
            bodyOpen = true;
            if (link.isClosed() || lost) { return; }
            link.decoder().openBody();
            if (!here[0]) { loop.afterwards(this::goOn); }
        });
        here[0] = false;
        return bodyOpen && readable(link);
    }

    private void goOn() {
        begunAt = quietSince = loop.now();
        if (mayRead() && readable(link)) { link.readMore(); }
    }

    /** What was held for a command that will not come. */
    private void dropBody() {
        if (body != null) { body.run(); }
        body = null;
    }

    private boolean mayRead() {
        return !lost && !paused && !link.isClosed() && slots.size() < MOST_UNANSWERED
                && link.queued() < MOST_UNREAD && (slots.isEmpty() || !front.departure().hasRead(loop.now()));
    }

    /** Framing is lost: what came before is still answered in order, then the connection closes. */
    void lose(String why) {
        dropBody();
        lost = true;
        begunAt = Double.POSITIVE_INFINITY;
        crowd.isBusy(this);
        Answers.Slot slot = new Answers.Slot(this);
        slots.add(slot);
        slot.put(new Encoder(64).failure("ERR Protocol error: " + why).toBytes());
    }

    /** One more command that means nothing; after some the connection ends. */
    void rejects() {
        rejected++;
        if (rejected >= MOST_REJECTED) { lost = true; }
        pause(REJECTED_MS * rejected);
    }

    /** A command that means something. */
    void accepts() { rejected = 0; }

    void pause(double ms) {
        if (paused) { return; }
        paused = true;
        loop.deadlines().at(loop.now() + ms, () -> {
            paused = false;
            if (mayRead() && readable(link)) { link.readMore(); }
        });
    }

    void send() {
        boolean full = slots.size() >= MOST_UNANSWERED;
        for (Answers.Slot first; (first = slots.peek()) != null;) {
            if (first.part != null) {
                if (first.head != null) { link.write(first.head); }
                link.write(first.part);
                first.head = null;
                first.part = null;
            }
            if (first.bytes == null) { break; }
            link.write(slots.poll().bytes);
        }
        if (link.isClosed()) { return; }
        if (slots.isEmpty()) {
            if (lost || front.isLeaving()) {
                finish();
                return;
            }
            quietSince = loop.now();
            crowd.isIdle(this, quietSince);
        }
        if (full && mayRead() && readable(link)) { link.readMore(); }
    }

    @Override
    public void written(Link from) {
        Answers.Slot first = slots.peek();
        if (first != null && first.part == null && first.taken != null) {
            Runnable then = first.taken;
            first.taken = null;
            then.run();
        }
        if (!stalled || !mayRead()) { return; }
        stalled = false;
        if (readable(link)) { link.readMore(); }
    }

    void closeIfIdle() {
        // Who has begun a command ends it and has its answer; who never ends it is cut off as ever.
        boolean cut = front.isClosing() && front.departure().hasRead(loop.now());
        if (slots.isEmpty() && (cut || link.decoder().isEmpty())) { finish(); }
    }

    /** A value cannot be finished: the connection ends, so that the terminal sees that it is not whole. */
    void abort() {
        if (link.isClosed()) { return; }
        link.close();
        ended(link);
    }

    /** Nothing is open here: closed at once. */
    void drop() {
        leave();
        link.close();
    }

    void finish() {
        leave();
        crowd.finishes(link, front.isLeaving());
    }

    @Override
    public void ended(Link from) {
        leave();
        for (Answers.Slot slot : slots) {
            slot.dropBody();
            if (slot.bytes == null) {
                slot.bytes = new byte[0];
                front.commands().gone(slot);
            }
        }
        slots.clear();
    }

    private void leave() {
        dropBody();
        if (crowd.leaves(this)) { front.hasRoomAgain(); }
        over = true;
        List<Runnable> told = atEnd;
        atEnd = null;
        if (told != null) { told.forEach(loop::afterwards); }
    }

    /** This connection, for what belongs to it as a whole. */
    Session session() {
        if (session == null) { session = this::atEnd; }
        return session;
    }

    private void atEnd(Runnable then) {
        if (over) {
            loop.afterwards(then);
            return;
        }
        if (atEnd == null) { atEnd = new ArrayList<>(1); }
        atEnd.add(then);
    }
}

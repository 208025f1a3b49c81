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
 * and writes the answers in that order however they come. What it does not follow yet it goes on reading within a bound, so that
 * the terminal's end is seen whatever holds its commands back. In loop.
 */
final class ClientConnection implements Link.Owner {
    private static final int MOST_UNANSWERED = 64; // on one connection; more are followed when some are answered
    private static final int MOST_UNREAD = 256 * 1024; // bytes of answers that the terminal has not taken yet
    private static final int MOST_AHEAD = 128 * 1024; // bytes read and not followed yet: some 900 usual commands
    private static final double FLOOD_MS = 100;    // held at that bound for so long behind an open request it is a flood
    private static final int TURN_COMMANDS = 32;   // of one connection in one turn; then it is the others' turn
    private static final double NEXT_TURN_MS = 1;
    private static final int MOST_REJECTED = 16;   // commands on one connection that mean nothing
    private static final double REJECTED_MS = 5;   // the next is read so much later, for each before it
    private static final double BODY_MS = 10_000;  // to the end of a large body, the wait for room with it

    /**
     * READING, then one or more of these in this order. DEAF: what still comes is dropped, what was read before is answered.
     * LOST: what is open is answered, nothing else is followed. OVER: the terminal has gone, or its last bytes go out.
     */
    private enum Life { READING, DEAF, LOST, OVER }

    private final Answers front;
    private final Crowd crowd;
    private final EventLoop loop;
    private final Link link;
    private final boolean fromHere;
    private final ArrayDeque<Answers.Slot> slots = new ArrayDeque<>(2);
    private Life life = Life.READING;
    private double quietSince;
    private double begunAt = Double.POSITIVE_INFINITY; // when the command now being read began
    private Runnable body;                           // gives back what is held for the large body now being read
    private boolean bodyOpen;
    private double bodyFrom;
    private int rejected;
    private Session session;                         // null until somebody asks for it
    private List<Runnable> atEnd;                    // null for none
    private boolean paused;                          // no command is followed for a while
    private boolean following;                       // commands are being followed in this very call
    private boolean watched;                         // a look at a full connection is due
    private int leftThen;                            // bytes of answers not taken at the last look, and since when
    private double leftSince;

    ClientConnection(AsynchronousSocketChannel channel, Answers front, Crowd crowd, EventLoop loop) {
        this.front = front;
        this.crowd = crowd;
        this.loop = loop;
        quietSince = loop.now();
        link = Link.ahead(channel, loop, this, MOST_AHEAD, front.ahead());
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

    /** Whether the system has not taken all bytes of its answers yet. */
    boolean owesBytes() { return link.queued() > 0; }

    @Override
    public boolean keeps(Link from) {
        // Guards the end of a process against a terminal whose requests overlap: it would find more to answer for ever.
        if (life == Life.READING && !slots.isEmpty() && front.departure().hasRead(loop.now())) { life = Life.DEAF; }
        return life == Life.READING;
    }

    @Override
    public boolean readable(Link from) {
        if (following || life == Life.OVER) { return false; }
        following = true;
        try {
            follow();
        } catch (Malformed e) {
            lose(e.getMessage());
        } finally {
            following = false;
        }
        if (isDone()) { finish(); }
        return false;
    }

    private void follow() throws Malformed {
        for (int taken = 0; mayFollow(); taken++) {
            if (taken == TURN_COMMANDS) {
                // Guards the others against one that sends hundreds of commands at once.
                pause(NEXT_TURN_MS);
                return;
            }
            byte[][] words = link.decoder().command();
            if (words == null && link.decoder().bodyLength() > 0) {
                if (opensBody()) { continue; }
                return;
            }
            if (words == null) {
                if (link.decoder().isEmpty()) {
                    begunAt = Double.POSITIVE_INFINITY;
                } else if (begunAt == Double.POSITIVE_INFINITY || taken > 0) {
                    begunAt = loop.now();
                }
                return;
            }
            begunAt = Double.POSITIVE_INFINITY;
            crowd.isBusy(this);
            Answers.Slot slot = new Answers.Slot(this);
            slots.add(slot);
            slot.body = body;
            body = null;
            front.commands().command(words, slot);
        }
    }

    /** A large body comes: it is read once there is room for it. True where that is there at once. */
    private boolean opensBody() throws Malformed {
        double now = loop.now();
        if (!front.bodies().fits(link.decoder().bodyLength())) { throw new Malformed("invalid bulk length"); }
        if (body != null) {
            if (now < bodyFrom + BODY_MS) { begunAt = quietSince = now; }
            return false;
        }
        bodyFrom = begunAt = quietSince = now;
        bodyOpen = false;
        boolean[] here = {true};
        body = front.bodies().take(link.decoder().bodyLength(), () -> {
            bodyOpen = true;
            if (link.isClosed() || life.compareTo(Life.LOST) >= 0) { return; }
            link.decoder().openBody();
            if (!here[0]) {
                loop.afterwards(() -> {
                    begunAt = quietSince = loop.now();
                    goOn();
                });
            }
        });
        here[0] = false;
        return bodyOpen;
    }

    /** Follows what was read, where it may again. */
    private void goOn() {
        readable(link);
        link.readMore();
    }

    /** Nothing is open, and nothing that was read is to be answered any more. */
    private boolean isDone() {
        if (!slots.isEmpty()) { return false; }
        return switch (life) {
            case READING -> front.isLeaving() && link.decoder().isEmpty();
            case DEAF -> mayFollow();                // what is left is no whole command
            case LOST -> true;
            case OVER -> false;
        };
    }

    @Override
    public boolean holdsBack(Link from) { return !mayFollow(); }

    @Override
    public void full(Link from) {
        if (watched) { return; }
        watched = true;
        long reads = link.reads();
        loop.deadlines().at(loop.now() + FLOOD_MS, () -> {
            watched = false;
            if (life == Life.OVER || link.isClosed()) { return; }
            // Guards against a terminal that sends much at once and goes: its end lies behind what is not read.
            if (reads == link.reads() && !link.isReading() && !slots.isEmpty() && (body == null || bodyOpen)) {
                lose("too many commands at once");
            }
            link.readMore();                         // or is told anew that it is full
        });
    }

    /** What was held for a command that will not come. */
    private void dropBody() {
        if (body != null) { body.run(); }
        body = null;
    }

    private boolean mayFollow() {
        return life.compareTo(Life.LOST) < 0 && !paused && !link.isClosed() && slots.size() < MOST_UNANSWERED
                && link.queued() < MOST_UNREAD;
    }

    /** Framing is lost: what came before is still answered in order, then the connection closes. */
    void lose(String why) {
        if (life.compareTo(Life.LOST) >= 0) { return; }
        dropBody();
        life = Life.LOST;
        link.decoder().discard();
        front.commands().spoilt();
        begunAt = Double.POSITIVE_INFINITY;
        crowd.isBusy(this);
        Answers.Slot slot = new Answers.Slot(this);
        slots.add(slot);
        slot.put(new Encoder(64).failure("ERR Protocol error: " + why).toBytes());
    }

    /** One more command that means nothing; after some the connection ends. */
    void rejects() {
        front.commands().spoilt();
        rejected++;
        if (rejected >= MOST_REJECTED && life.compareTo(Life.LOST) < 0) {
            life = Life.LOST;
            link.decoder().discard();
        }
        pause(REJECTED_MS * rejected);
    }

    /** A command that means something. */
    void accepts() { rejected = 0; }

    void pause(double ms) {
        if (paused) { return; }
        paused = true;
        loop.deadlines().at(loop.now() + ms, () -> {
            paused = false;
            goOn();
        });
    }

    void send() {
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
        if (slots.isEmpty() && life != Life.OVER) {
            leftThen = 0;
            crowd.isTaking(this);
        }
        if (!following && (slots.isEmpty() || !link.decoder().isEmpty())) { goOn(); }
    }

    /** Whether it has taken no byte of its answers for so long, in ms; asked again and again. */
    boolean takesNothing(double forMs, double now) {
        if (link.queued() != leftThen) {
            leftThen = link.queued();
            leftSince = now;
        }
        return now - leftSince >= forMs;
    }

    @Override
    public void written(Link from) {
        Answers.Slot first = slots.peek();
        if (first != null && first.part == null && first.taken != null) {
            Runnable then = first.taken;
            first.taken = null;
            then.run();
        }
        if (!link.decoder().isEmpty()) { goOn(); }
        // Guards an answer against the close of an idle connection: it is one only once the system has taken all bytes.
        if (life == Life.OVER || !slots.isEmpty() || owesBytes()) { return; }
        quietSince = loop.now();
        if (hasBegun()) { begunAt = quietSince; }    // till now it may have been held up from here
        crowd.isIdle(this, quietSince);
    }

    void closeIfIdle() {
        // Who has begun a command ends it and has its answer; who never ends it is cut off as ever.
        boolean cut = front.isClosing() && front.departure().hasRead(loop.now());
        if (slots.isEmpty() && (cut || link.decoder().isEmpty())) { finish(); }
    }

    /** A value cannot be finished: the connection ends behind what is there of it, so that the terminal sees that it is not whole. */
    void abort() {
        if (life == Life.OVER) { return; }
        ended(link);
        crowd.finishes(link, loop.now(), front.isLeaving());
    }

    /** Ends it behind its last bytes. Guards them, and what is just coming, against the reset of a close over unread bytes. */
    void finish() {
        if (life == Life.OVER) { return; }
        leave();
        crowd.finishes(link, loop.now(), front.isLeaving());
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
        life = Life.OVER;
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
        if (life == Life.OVER) {
            loop.afterwards(then);
            return;
        }
        if (atEnd == null) { atEnd = new ArrayList<>(1); }
        atEnd.add(then);
    }
}

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
 * A terminal's connection: reads commands, gives each a slot in the order of replies, waits for buffer space for large bodies,
 * and writes the replies in that order, whatever the order in which they come. While commands are held back it keeps reading up
 * to a limit, so that the terminal's disconnect is seen. Used on the event loop only.
 */
final class ClientConnection implements Link.Owner {
    private static final int MOST_UNANSWERED = 64; // per connection; further commands are handled when some are answered
    private static final int MOST_UNREAD = 256 * 1024; // bytes of replies that the terminal has not read yet
    private static final int MOST_AHEAD = 128 * 1024; // bytes read and not handled yet: about 900 typical commands
    private static final double FLOOD_MS = 100;    // full for this long while a request is open is treated as a flood
    private static final int TURN_COMMANDS = 32;   // of one connection per event loop task; then others have their turn
    private static final double NEXT_TURN_MS = 1;
    private static final int MOST_REJECTED = 16;   // malformed commands on one connection
    private static final double REJECTED_MS = 5;   // delay of the next command, for each malformed one before it
    private static final double BODY_MS = 10_000;  // until the end of a large body, including the wait for buffer space

    /**
     * READING, then one or more of the others in this order. DEAF: further input is dropped, commands read before are handled.
     * LOST: open commands are answered, no others are handled. OVER: the terminal has left, or its last bytes are being
     * flushed.
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
    private double begunAt = Double.POSITIVE_INFINITY; // start of the command that is being read
    private Runnable body;                           // releases the buffer space of the large body that is being read
    private boolean bodyOpen;
    private double bodyFrom;
    private int rejected;
    private Session session;                         // null until it is requested
    private List<Runnable> atEnd;
    private boolean paused;                          // no command is handled for a while
    private boolean following;                       // guards against reentrant command handling
    private boolean watched;                         // a check of a full read-ahead buffer is scheduled
    private int leftThen;                            // unflushed reply bytes at the last check, and since when
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
            return false;                            // already disconnected
        }
    }

    /** Whether the terminal is on this machine. */
    boolean isFromHere() { return fromHere; }

    /** Since when no command is open, or no more of a large body has arrived. */
    double quietSince() { return quietSince; }

    /** When the command that is being read began; infinity for none. */
    double begunAt() { return begunAt; }

    boolean hasBegun() { return begunAt < Double.POSITIVE_INFINITY; }

    /** Whether no reply is owed. */
    boolean owesNothing() { return slots.isEmpty(); }

    /** Whether the system has not accepted all reply bytes yet. */
    boolean owesBytes() { return link.queued() > 0; }

    @Override
    public boolean keeps(Link from) {
        // At the end of a process, a terminal whose requests overlap would otherwise send more commands for ever.
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
                // One connection with hundreds of pipelined commands must not delay the others.
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

    /** A large body begins: it is read once buffer space is available. Returns true if that is the case at once. */
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

    /** Resumes handling and reading commands where possible. */
    private void goOn() {
        readable(link);
        link.readMore();
    }

    /** Whether no command is open and no input is to be handled any more. */
    private boolean isDone() {
        if (!slots.isEmpty()) { return false; }
        return switch (life) {
            case READING -> front.isLeaving() && link.decoder().isEmpty();
            case DEAF -> mayFollow();                // what is left is an incomplete command
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
            // The disconnect of a terminal that sends much at once and leaves would stay unseen behind the unread input.
            if (reads == link.reads() && !link.isReading() && !slots.isEmpty() && (body == null || bodyOpen)) {
                lose("too many commands at once");
            }
            link.readMore();                         // or reports again that the buffer is full
        });
    }

    /** Releases the buffer space of a command that will not complete. */
    private void dropBody() {
        if (body != null) { body.run(); }
        body = null;
    }

    private boolean mayFollow() {
        return life.compareTo(Life.LOST) < 0 && !paused && !link.isClosed() && slots.size() < MOST_UNANSWERED
                && link.queued() < MOST_UNREAD;
    }

    /** The framing is lost: earlier commands are still answered in order, then the connection closes. */
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

    /** Counts a malformed command and delays the next one. After a number of them the connection closes. */
    void rejects() {
        front.commands().spoilt();
        rejected++;
        if (rejected >= MOST_REJECTED && life.compareTo(Life.LOST) < 0) {
            life = Life.LOST;
            link.decoder().discard();
        }
        pause(REJECTED_MS * rejected);
    }

    /** A valid command. */
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

    /** Whether the terminal has read no reply bytes for this long; called periodically. */
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
        // A connection is idle only once the system has accepted all reply bytes. Closing it before could lose a reply.
        if (life == Life.OVER || !slots.isEmpty() || owesBytes()) { return; }
        quietSince = loop.now();
        if (hasBegun()) { begunAt = quietSince; }    // until now it may have been held back on this side
        crowd.isIdle(this, quietSince);
    }

    void closeIfIdle() {
        // A command that has begun is read to its end and answered, unless reading has stopped for good.
        boolean cut = front.isClosing() && front.departure().hasRead(loop.now());
        if (slots.isEmpty() && (cut || link.decoder().isEmpty())) { finish(); }
    }

    /**
     * A value cannot be completed: the connection closes after the bytes sent so far, so that the terminal sees that it is
     * truncated.
     */
    void abort() {
        if (life == Life.OVER) { return; }
        ended(link);
        crowd.finishes(link, loop.now(), front.isLeaving());
    }

    /** Closes after the last bytes are flushed. A close with unread input would reset the connection and lose them. */
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

    /** The session object of this connection. */
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

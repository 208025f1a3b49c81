package yardusher.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Locale;
import java.util.Set;
import java.util.function.Supplier;
import yardusher.core.Flow;
import yardusher.core.Stay;
import yardusher.core.Turns;
import yardusher.resp.Encoder;
import yardusher.resp.Malformed;

/**
 * The serving side of a RESP front: terminals' connections, commands in, answers out in the order of the
 * commands however they come. What the commands mean is the front's.
 */
public final class Answers {
    /** A front's meaning of commands. */
    public interface Commands {
        /** Answers the slot now or later, once. */
        void command(byte[][] words, Slot slot);

        /** The terminal left with this command unanswered. */
        void gone(Slot slot);
    }

    private static final int MOST_UNANSWERED = 64; // on one connection; more are read when some are answered
    private static final int MOST_UNREAD = 256 * 1024; // bytes of answers that the terminal has not taken yet
    private static final int TURN_COMMANDS = 32;   // of one connection in one turn; then it is the others' turn
    private static final double NEXT_TURN_MS = 1;
    private static final int MOST_REJECTED = 16;   // commands on one connection that mean nothing
    private static final double REJECTED_MS = 5;   // the next is read so much later, for each before it
    private static final byte[] CRLF = {'\r', '\n'};
    // To the end of a connection's first command, or of any begun: a slow client may take 2 s, and a bad one is owed
    // an answer in 3 s.
    private static final double SILENT_MS = 2500;
    private static final double BODY_MS = 10_000;  // to the end of a large body, the wait for room with it
    private static final double IDLE_MS = 2000;    // a connection with nothing open may be closed after this
    private static final double CALM_IDLE_MS = 10_000; // and is, where there is room for others
    private static final double SILENT_WAY_MS = 30; // where no room is left, these give way to a newcomer:
    private static final double IDLE_WAY_MS = 250; // who connected and said nothing, then who is idle
    private static final double SHORT_IDLE_MS = 100; // where many are idle, the longest so is closed after this
    private static final double AGAIN_MS = 10;
    private static final double UPKEEP_MS = 100;
    private static final double AWAY_AFTER_MS = 500; // a front that hears no still sends new connections 0.3 s
    private static final double AWAY_BY_MS = 3500;   // nothing is idle 4 s after the call
    private static final double AWAY_READ_MS = 1800; // nothing that is open then came in the last 2 s
    private static final double LEFT_READ_MS = 600;  // what comes 0.7 s after SIGTERM is owed its answer whatever it takes
    private static final double CLOSED_READ_MS = 100; // the same, since the door closes half a second after SIGTERM
    private static final double LEAVE_IDLE_MS = 200; // who has been idle so long has likely nothing on its way
    private static final double QUIET_MS = 30;

    private final Commands commands;
    private int mostTerminals;
    private final Turns turns;
    private final Sockets.Door door;
    private final Set<TerminalLink> terminals = new LinkedHashSet<>();
    /** Terminals with nothing open, the longest so first: those that never ended a command, and the others. */
    private final Set<TerminalLink> silent = new LinkedHashSet<>();
    private final Set<TerminalLink> idle = new LinkedHashSet<>();
    /** Connections that get their last bytes. They still hold descriptors, so they have a bound too. */
    private final Set<Link> leaving = new LinkedHashSet<>();
    private int mostLeaving;
    private int mostIdle;
    private final Budget bodies;
    private boolean looksAgain;
    private boolean closing;
    private boolean leavesForGood;
    private double awayAt = Double.POSITIVE_INFINITY; // since when terminals are sent away
    private double leaveFrom = Double.POSITIVE_INFINITY; // connections close behind their answers
    private double leaveBy = Double.POSITIVE_INFINITY; // and all idle ones

    public Answers(Sockets sockets, InetSocketAddress at, int mostTerminals, Commands commands) throws IOException {
        this(sockets, at, false, mostTerminals, new Budget(0), commands);
        bind();
    }

    /** Listens once {@link #bind} is called; large bodies are held within the budget. With {@code shared} the next version of this program can listen there too. */
    public Answers(Sockets sockets, InetSocketAddress at, boolean shared, int mostTerminals, Budget bodies, Commands commands)
            throws IOException {
        this.bodies = bodies;
        this.commands = commands;
        limit(mostTerminals);
        this.turns = sockets.turns();
        door = sockets.door(at, shared, channel -> new TerminalLink(channel, sockets), nothing -> room());
        turns.deadlines().at(turns.now() + UPKEEP_MS, this::upkeep);
    }

    /** How many connections are held at the most; the longest idle beyond that close. */
    public final void limit(int most) {
        mostLeaving = Math.max(2, most / 5);
        mostTerminals = Math.max(1, most - mostLeaving);
        mostIdle = Math.max(1, mostTerminals / 4);
        for (TerminalLink terminal : new ArrayList<>(idle)) {
            if (terminals.size() > mostTerminals) { terminal.finish(); }
        }
    }

    public void bind() throws IOException { door.bind(); }

    public InetSocketAddress address() throws IOException { return door.address(); }

    public void open() { door.open(); }

    public int terminalCount() { return terminals.size(); }

    /**
     * Whether one more terminal finds room. Guards the usual clients against connections that are kept and not
     * used: the one that said nothing for longest gives way, instead of a shut door for all.
     */
    private boolean room() {
        // Guards who waits at the door of a version that ends: its half of the descriptors may be full, and they are reset.
        int most = leavesForGood ? 2 * mostTerminals : mostTerminals;
        if (terminals.size() < most && terminals.size() + leaving.size() < most + mostLeaving) { return true; }
        TerminalLink longest = first(mute(), SILENT_WAY_MS);
        if (longest == null) { longest = first(idle, IDLE_WAY_MS); }
        if (longest == null) { longest = first(silent, SILENT_WAY_MS); } // slow at its first command
        if (longest == null) {
            if (!looksAgain && !closing) {
                looksAgain = true;
                turns.deadlines().at(turns.now() + AGAIN_MS, () -> {
                    looksAgain = false;
                    door.open();
                });
            }
            return false;
        }
        longest.drop();
        return true;
    }

    /** The longest silent that has not begun a command, if any. */
    private Set<TerminalLink> mute() {
        for (TerminalLink one : silent) {
            if (one.begunAt == Double.POSITIVE_INFINITY) { return Set.of(one); }
        }
        return Set.of();
    }

    private TerminalLink first(Set<TerminalLink> of, double quietMs) {
        TerminalLink first = of.isEmpty() ? null : of.iterator().next();
        return first != null && turns.now() - first.quietSince >= quietMs ? first : null;
    }

    /** Closes what has been silent or idle too long, and what never ends a command it has begun. */
    private void upkeep() {
        double now = turns.now();
        turns.deadlines().at(now + UPKEEP_MS, this::upkeep);
        boolean crowded = terminals.size() > mostTerminals / 2;
        reap(silent, now - SILENT_MS, now - SILENT_MS);
        reap(idle, now - (crowded ? IDLE_MS : CALM_IDLE_MS), now - SILENT_MS);
        sendAway(now);
        if (!closing) { door.open(); }
    }

    /** Whether terminals are being sent away. */
    public boolean isAway() { return awayAt < Double.POSITIVE_INFINITY; }

    /**
     * Sends the terminals away, while the door stays open for those that come all the same, or takes them again. A
     * connection closes right behind an answer, when its terminal is least likely to have sent the next command.
     */
    public void away(boolean away) {
        if (away == isAway() || leavesForGood) { return; }
        awayAt = away ? turns.now() : Double.POSITIVE_INFINITY;
        leaveFrom = awayAt + AWAY_AFTER_MS;
        leaveBy = awayAt + AWAY_READ_MS;
    }

    /**
     * The next version of this program takes the terminals that come: this one takes what waits to be accepted, answers what
     * it has, and lets its connections go. PING is answered as ever, since the ingress goes on.
     */
    public void leave() {
        if (leavesForGood) { return; }
        leavesForGood = true;
        leaveFrom = turns.now();
        leaveBy = leaveFrom + LEFT_READ_MS;
        door.closeWhenQuiet(QUIET_MS, leaveBy);
        sendAway(leaveFrom);
    }

    private boolean isLeaving() { return closing || turns.now() >= leaveFrom; }

    private void sendAway(double now) {
        if (now < leaveFrom || closing) { return; }
        boolean last = now >= awayAt + AWAY_BY_MS;
        for (TerminalLink terminal : new ArrayList<>(terminals)) {
            if (!terminal.slots.isEmpty()) { continue; } // closes behind its answer
            if (last) {
                terminal.drop();
            } else if (now >= leaveBy || now - terminal.quietSince >= LEAVE_IDLE_MS) {
                terminal.closeIfIdle();
            }
        }
        if (last) { new ArrayList<>(leaving).forEach(Link::close); }
    }

    private void reap(Set<TerminalLink> of, double quietBefore, double begunBefore) {
        for (TerminalLink terminal : new ArrayList<>(of)) {
            // Guards who has begun a command against an end without a word: a silent one is told, an idle one has its time.
            boolean begun = terminal.begunAt < Double.POSITIVE_INFINITY;
            if (terminal.begunAt < begunBefore || begun && of == silent && terminal.quietSince < quietBefore) {
                terminal.lose("command not ended");
            } else if (!begun && terminal.quietSince < quietBefore) {
                terminal.drop();
            }
        }
    }

    /**
     * Accepts no more; connections are closed as soon as all they asked is answered. Guards against a terminal whose requests
     * overlap on one connection, which would stay open up to the kill with the last of them unanswered: a little later no more is
     * read behind what is open there.
     */
    public void close() {
        closing = true;
        leaveBy = Math.min(leaveBy, turns.now() + CLOSED_READ_MS);
        door.close();
        for (TerminalLink terminal : new ArrayList<>(terminals)) { terminal.closeIfIdle(); }
    }

    public static boolean isPing(byte[][] words) {
        return words.length == 1 && new String(words[0], StandardCharsets.ISO_8859_1).equalsIgnoreCase("PING");
    }

    /** Answers what every RESP client may ask; INFO gives the counters. */
    public static void common(byte[][] words, Supplier<String> counters, Slot slot) {
        Encoder out = new Encoder(48);
        switch (new String(words[0], StandardCharsets.ISO_8859_1).toUpperCase(Locale.ROOT)) {
            case "PING" -> slot.answer(words.length > 1 ? out.bulk(words[1]).toBytes() : out.simple("PONG").toBytes());
            case "INFO" -> slot.answer(out.bulk(counters.get()).toBytes());
            case "CLIENT", "SELECT" -> slot.answer(out.simple("OK").toBytes());
            default -> slot.reject("unknown command");
        }
    }

    /** The place of one answer on its connection. */
    public final class Slot {
        private final TerminalLink terminal;
        private byte[] bytes;
        private Runnable body;                       // gives back what its large body holds
        private byte[] head;                         // of a value that comes in parts
        private ByteBuffer part;                     // the next of them, till it is its turn to be written
        private Runnable taken;                      // when it is written
        /** What is under way for this command, if anything. */
        public Stay stay;

        private Slot(TerminalLink terminal) { this.terminal = terminal; }

        private void dropBody() {
            if (body != null) { body.run(); }
            body = null;
        }

        public boolean isAnswered() { return bytes != null; }

        /** Whether the terminal is on this machine. */
        public boolean isFromHere() { return terminal.fromHere; }

        /** Reads no more of this terminal's commands for a while. */
        public void pauseReading(double ms) { terminal.pause(ms); }

        /**
         * Answers a command that means nothing. Guards the usual clients against one that sends the same again as
         * soon as it is turned away: the answer comes at once, but each such command puts off reading the next one
         * longer, and after some the connection ends.
         */
        public void reject(String why) {
            terminal.rejected++;
            if (terminal.rejected >= MOST_REJECTED) { terminal.lost = true; }
            terminal.pause(REJECTED_MS * terminal.rejected);
            put(new Encoder(64).failure("ERR " + why).toBytes());
        }

        /** An answer that comes in parts, behind this head and before a line end. */
        public Flow flow(byte[] first) {
            terminal.rejected = 0;
            head = first;
            return new Flow() {
                @Override
                public void part(ByteBuffer next, Runnable then) {
                    part = next;
                    taken = then;
                    terminal.send();
                }

                @Override
                public void end() { put(CRLF); }

                @Override
                public void broken() { terminal.abort(); }
            };
        }

        public void answer(byte[] answer) {
            terminal.rejected = 0;
            put(answer);
        }

        private void put(byte[] answer) {
            if (bytes != null) { return; }
            bytes = answer;
            stay = null;
            dropBody();
            terminal.send();
        }
    }

    private static boolean isFromHere(AsynchronousSocketChannel channel) {
        try {
            return channel.getRemoteAddress() instanceof InetSocketAddress at && at.getAddress().isLoopbackAddress();
        } catch (IOException e) {
            return false;                            // it has left already
        }
    }

    private final class TerminalLink implements Link.Owner {
        private final Link link;
        private final boolean fromHere;
        private final ArrayDeque<Slot> slots = new ArrayDeque<>(2);
        private double quietSince = turns.now();
        private double begunAt = Double.POSITIVE_INFINITY; // when the command now being read began
        private Runnable body;                     // gives back what is held for the large body now being read
        private boolean bodyOpen;
        private double bodyFrom;
        private int rejected;
        private boolean lost;
        private boolean paused;
        private boolean stalled;                   // it does not take its answers, so no more commands are read

        TerminalLink(AsynchronousSocketChannel channel, Sockets sockets) {
            link = new Link(channel, sockets.turns(), this);
            fromHere = isFromHere(channel);
            terminals.add(this);
            silent.add(this);
            link.readMore();
        }

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
                            begunAt = turns.now();
                        }
                        return true;
                    }
                    begunAt = Double.POSITIVE_INFINITY;
                    silent.remove(this);
                    idle.remove(this);
                    Slot slot = new Slot(this);
                    slots.add(slot);
                    slot.body = body;
                    body = null;
                    commands.command(words, slot);
                }
            } catch (Malformed e) {
                lose(e.getMessage());
            }
            stalled |= link.queued() >= MOST_UNREAD;
            return false;
        }

        /** A large body comes: it is read once there is room for it. True while more is to be read. */
        private boolean readsBody() throws Malformed {
            double now = turns.now();
            if (!bodies.fits(link.decoder().bodyLength())) { throw new Malformed("invalid bulk length"); }
            if (body != null) {
                if (now < bodyFrom + BODY_MS) { begunAt = quietSince = now; }
                return bodyOpen;
            }
            bodyFrom = begunAt = quietSince = now;
            bodyOpen = false;
            boolean[] here = {true};
            body = bodies.take(link.decoder().bodyLength(), () -> {
                bodyOpen = true;
                if (link.isClosed() || lost) { return; }
                link.decoder().openBody();
                if (!here[0]) { turns.afterwards(this::goOn); }
            });
            here[0] = false;
            return bodyOpen && readable(link);
        }

        private void goOn() {
            begunAt = quietSince = turns.now();
            if (mayRead() && readable(link)) { link.readMore(); }
        }

        /** What was held for a command that will not come. */
        private void dropBody() {
            if (body != null) { body.run(); }
            body = null;
        }

        private boolean mayRead() {
            return !lost && !paused && !link.isClosed() && slots.size() < MOST_UNANSWERED
                    && link.queued() < MOST_UNREAD && (slots.isEmpty() || turns.now() < leaveBy);
        }

        /** Framing is lost: what came before is still answered in order, then the connection closes. */
        void lose(String why) {
            dropBody();
            lost = true;
            begunAt = Double.POSITIVE_INFINITY;
            silent.remove(this);
            idle.remove(this);
            Slot slot = new Slot(this);
            slots.add(slot);
            slot.put(new Encoder(64).failure("ERR Protocol error: " + why).toBytes());
        }

        void pause(double ms) {
            if (paused) { return; }
            paused = true;
            turns.deadlines().at(turns.now() + ms, () -> {
                paused = false;
                if (mayRead() && readable(link)) { link.readMore(); }
            });
        }

        void send() {
            boolean full = slots.size() >= MOST_UNANSWERED;
            for (Slot first; (first = slots.peek()) != null;) {
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
                if (lost || isLeaving()) {
                    finish();
                    return;
                }
                quietSince = turns.now();
                idle.add(this);
                // Guards clients that use a new connection for each request and keep the old one: what they hold
                // idle is out of what they may hold at all, and they would find none left for their requests.
                TerminalLink longest = idle.size() > mostIdle ? first(idle, SHORT_IDLE_MS) : null;
                if (longest != null) { longest.drop(); }
            }
            if (full && mayRead() && readable(link)) { link.readMore(); }
        }

        @Override
        public void written(Link from) {
            Slot first = slots.peek();
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
            if (slots.isEmpty() && (closing || link.decoder().isEmpty())) { finish(); }
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

        private void finish() {
            leave();
            leaving.add(link);
            link.finish(() -> leaving.remove(link));
            if (leaving.size() > (isLeaving() ? mostTerminals : mostLeaving)) { leaving.iterator().next().close(); }
        }

        @Override
        public void ended(Link from) {
            leave();
            for (Slot slot : slots) {
                slot.dropBody();
                if (slot.bytes == null) {
                    slot.bytes = new byte[0];
                    commands.gone(slot);
                }
            }
            slots.clear();
        }

        private void leave() {
            dropBody();
            silent.remove(this);
            idle.remove(this);
            if (terminals.remove(this) && !closing && terminals.size() == mostTerminals - 1) { door.open(); }
        }
    }
}

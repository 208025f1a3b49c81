package yardusher.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.function.Supplier;
import yardusher.core.Flow;
import yardusher.core.Session;
import yardusher.core.Stay;
import yardusher.core.EventLoop;
import yardusher.resp.Encoder;

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

        /** A command that means nothing was turned away, or the rest of what came on a connection is lost. */
        default void spoilt() { }
    }

    private static final byte[] CRLF = {'\r', '\n'};
    private static final byte[] FAILED = new Encoder(16).failure("ERR failed").toBytes();
    private static final int AHEAD_PART = 16;        // of the heap, for commands that are not followed yet
    private static final double AGAIN_MS = 10;
    private static final double UPKEEP_MS = 100;
    private static final double QUIET_MS = 30;

    private final Commands commands;
    private final EventLoop loop;
    private final Sockets.Door door;
    private final Crowd crowd = new Crowd();
    private final Departure departure = new Departure();
    private final Budget bodies;
    private final Link.Ahead ahead = new Link.Ahead(Math.max(4 << 20, Runtime.getRuntime().maxMemory() / AHEAD_PART));
    private boolean looksAgain;
    private boolean closing;

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
        this.loop = sockets.loop();
        door = sockets.door(at, shared, channel -> new ClientConnection(channel, this, crowd, loop), nothing -> room());
        loop.deadlines().at(loop.now() + UPKEEP_MS, this::upkeep);
    }

    /** How many connections are held at the most; the longest idle beyond that close. */
    public final void limit(int most) { crowd.limit(most); }

    public void bind() throws IOException { door.bind(); }

    public InetSocketAddress address() throws IOException { return door.address(); }

    public void open() { door.open(); }

    /** Connections that may still ask, and those whose last bytes the system has not taken. */
    public int terminalCount() { return crowd.size() + crowd.unsent(); }

    /** Connections that are not over, also those that only get their last bytes. */
    public int heldCount() { return crowd.held(); }

    /**
     * Whether one more terminal finds room. Guards the usual clients against connections that are kept and not
     * used: the one that said nothing for longest gives way, instead of a shut door for all.
     */
    private boolean room() {
        // Guards who waits at the door of a version that ends: its half of the descriptors may be full, and they are reset.
        if (crowd.hasRoom(departure.isForGood())) { return true; }
        ClientConnection longest = crowd.givesWay(loop.now());
        if (longest == null) {
            if (!looksAgain) {
                looksAgain = true;
                loop.deadlines().at(loop.now() + AGAIN_MS, () -> {
                    looksAgain = false;
                    door.open();
                });
            }
            return false;
        }
        longest.finish();
        return true;
    }

    /** Closes what has been silent or idle too long, and what never ends a command it has begun. */
    private void upkeep() {
        double now = loop.now();
        loop.deadlines().at(now + UPKEEP_MS, this::upkeep);
        crowd.reap(now);
        sendAway(now);
        if (closing && departure.hasRead(now)) { closeIdle(); }
        door.open();                                 // a closed one stays closed
    }

    /** Whether terminals are being sent away. */
    public boolean isAway() { return departure.isAway(); }

    /**
     * Sends the terminals away, while the door stays open for those that come all the same, or takes them again. A
     * connection closes right behind an answer, when its terminal is least likely to have sent the next command.
     */
    public void away(boolean away) { departure.away(away, loop.now()); }

    /**
     * The next version of this program takes the terminals that come: this one takes what waits to be accepted, answers what
     * it has, and lets its connections go. PING is answered as ever, since the ingress goes on.
     */
    public void leave() {
        if (departure.isForGood()) { return; }
        double now = loop.now();
        door.closeWhenQuiet(QUIET_MS, departure.leave(now));
        sendAway(now);
    }

    Commands commands() { return commands; }

    Budget bodies() { return bodies; }

    Link.Ahead ahead() { return ahead; }

    Departure departure() { return departure; }

    boolean isClosing() { return closing; }

    /** Whether connections close behind their answers. */
    boolean isLeaving() { return closing || departure.isUnderWay(loop.now()); }

    /** One more terminal finds room. */
    void hasRoomAgain() {
        door.open();
    }

    private void sendAway(double now) {
        if (!departure.isUnderWay(now) || closing) { return; }
        boolean last = departure.isLast(now);
        for (ClientConnection terminal : crowd.all()) {
            if (!terminal.owesNothing()) { continue; } // closes behind its answer
            if (last) {
                terminal.finish();
            } else if (departure.letsGo(now, terminal.quietSince())) {
                terminal.closeIfIdle();
            }
        }
        if (last) { crowd.closeLeaving(now); }
    }

    /**
     * Accepts who waits at the door, and then no more; connections are closed as soon as all they asked is answered. Guards against a terminal whose requests
     * overlap on one connection, which would stay open up to the kill with the last of them unanswered: a little later no more is
     * read behind what is open there.
     */
    public void close() {
        double now = loop.now();
        if (!closing) {
            closing = true;
            // Guards who waits to be accepted, with a request written already: whoever is there when it closes is reset.
            door.closeWhenQuiet(QUIET_MS, departure.close(now));
            door.open();
        }
        closeIdle();
    }

    private void closeIdle() {
        for (ClientConnection terminal : crowd.all()) { terminal.closeIfIdle(); }
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
    public static final class Slot {
        private final ClientConnection terminal;
        byte[] bytes;
        Runnable body;                               // gives back what its large body holds
        byte[] head;                                 // of a value that comes in parts
        ByteBuffer part;                             // the next of them, till it is its turn to be written
        Runnable taken;                              // when it is written
        /** What is under way for this command, if anything. */
        public Stay stay;

        Slot(ClientConnection terminal) { this.terminal = terminal; }

        void dropBody() {
            if (body != null) { body.run(); }
            body = null;
        }

        public boolean isAnswered() { return bytes != null; }

        /** Whether the terminal is on this machine. */
        public boolean isFromHere() { return terminal.isFromHere(); }

        /** The connection it came on. */
        public Session session() { return terminal.session(); }

        /** Reads no more of this terminal's commands for a while. */
        public void pauseReading(double ms) { terminal.pause(ms); }

        /**
         * Answers a command that means nothing. Guards the usual clients against one that sends the same again as
         * soon as it is turned away: the answer comes at once, but each such command puts off reading the next one
         * longer, and after some the connection ends.
         */
        public void reject(String why) {
            terminal.rejects();
            put(new Encoder(64).failure("ERR " + why).toBytes());
        }

        /** An answer that comes in parts, behind this head and before a line end. */
        public Flow flow(byte[] first) {
            terminal.accepts();
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
                public void broken() {
                    if (head == null) {
                        terminal.abort();
                        return;
                    }
                    // Guards the answers before it on its connection: nothing of this one has gone out yet.
                    head = null;
                    part = null;
                    taken = null;
                    put(FAILED);
                }
            };
        }

        public void answer(byte[] answer) {
            terminal.accepts();
            put(answer);
        }

        void put(byte[] answer) {
            if (bytes != null) { return; }
            bytes = answer;
            stay = null;
            dropBody();
            terminal.send();
        }
    }
}

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
 * A RESP server for one frontend: accepts terminal connections, reads commands, and writes the replies in the order of the
 * commands, whatever the order in which they are answered. The frontend interprets the commands.
 */
public final class Answers {
    /** A frontend's command handler. */
    public interface Commands {
        /** Handles a command. The slot is answered once, now or later. */
        void command(byte[][] words, Slot slot);

        /** The terminal left before this command was answered. */
        void gone(Slot slot);

        /** A command was malformed, or the framing of a connection was lost. */
        default void spoilt() { }
    }

    private static final byte[] CRLF = {'\r', '\n'};
    private static final byte[] FAILED = new Encoder(16).failure("ERR failed").toBytes();
    private static final int AHEAD_PART = 16;        // share of the heap for commands that are read and not handled yet
    /**
     * Maximum number of bytes that all connections together read ahead: a share of the heap, at least 4 MiB and at most 16 MiB.
     */
    static final long MOST_AHEAD = Math.max(4 << 20, Math.min(16 << 20, Runtime.getRuntime().maxMemory() / AHEAD_PART));
    private static final double AGAIN_MS = 10;
    private static final double UPKEEP_MS = 100;
    private static final double QUIET_MS = 30;

    private final Commands commands;
    private final EventLoop loop;
    private final Sockets.Door door;
    private final Crowd crowd = new Crowd();
    private final Departure departure = new Departure();
    private final Budget bodies;
    private final Link.Ahead ahead = new Link.Ahead(MOST_AHEAD);
    private boolean looksAgain;
    private boolean closing;

    public Answers(Sockets sockets, InetSocketAddress at, int mostTerminals, Commands commands) throws IOException {
        this(sockets, at, false, mostTerminals, new Budget(0), commands);
        bind();
    }

    /**
     * Creates a server that listens once {@link #bind} is called. Large bodies are buffered within the budget. With {@code
     * reusePort} the next version of this program can listen on the same address.
     */
    public Answers(Sockets sockets, InetSocketAddress at, boolean shared, int mostTerminals, Budget bodies, Commands commands)
            throws IOException {
        this.bodies = bodies;
        this.commands = commands;
        limit(mostTerminals);
        this.loop = sockets.loop();
        door = sockets.door(at, shared, channel -> new ClientConnection(channel, this, crowd, loop), nothing -> room());
        loop.deadlines().at(loop.now() + UPKEEP_MS, this::upkeep);
    }

    /** Sets the maximum number of connections. Connections above the limit are closed, longest idle first. */
    public final void limit(int most) { crowd.limit(most); }

    public void bind() throws IOException { door.bind(); }

    public InetSocketAddress address() throws IOException { return door.address(); }

    public void open() { door.open(); }

    /** The number of connections that may still send commands or whose last bytes the system has not accepted. */
    public int terminalCount() { return crowd.size() + crowd.unsent(); }

    /** Whether no connection is left, including those that only flush their last bytes, and none can come. */
    public boolean isOver() { return crowd.held() == 0 && door.isShut(); }

    /**
     * Whether one more connection is accepted; may evict one. Connections that are kept open unused must not lock out other
     * clients: the one that has been silent for longest is closed, instead of accepting no new connections.
     */
    private boolean room() {
        // During a handover this process's half of the descriptors may be full. Connections that wait in its accept queue would
        // be reset, so they are accepted beyond that limit.
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

    /** Closes connections that have been silent or idle too long, and those that never complete a command. */
    private void upkeep() {
        double now = loop.now();
        loop.deadlines().at(now + UPKEEP_MS, this::upkeep);
        crowd.reap(now);
        sendAway(now);
        if (closing && departure.hasRead(now)) { closeIdle(); }
        door.open();                                 // no effect once the listener is closed
    }

    /** Whether terminals are asked to disconnect. */
    public boolean isAway() { return departure.isAway(); }

    /**
     * Asks terminals to disconnect, or accepts them again. The listener stays open for those that connect all the same. A
     * connection is closed right after a reply, when its terminal is least likely to have sent the next command.
     */
    public void away(boolean away) { departure.away(away, loop.now()); }

    /**
     * The next version of this program takes new connections. This one accepts what waits in its accept queue, answers the
     * commands it has received and closes its connections. PING is answered as before, since the ingress as a whole keeps
     * running.
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

    /** Whether connections close after their replies. */
    boolean isLeaving() { return closing || departure.isUnderWay(loop.now()); }

    /** One more connection can be accepted. */
    void hasRoomAgain() {
        door.open();
    }

    private void sendAway(double now) {
        if (!departure.isUnderWay(now) || closing) { return; }
        boolean last = departure.isLast(now);
        for (ClientConnection terminal : crowd.all()) {
            if (!terminal.owesNothing()) { continue; } // closes after its reply
            if (last) {
                terminal.finish();
            } else if (departure.letsGo(now, terminal.quietSince())) {
                terminal.closeIfIdle();
            }
        }
        if (last) { crowd.closeLeaving(now); }
    }

    /**
     * Accepts the connections in the accept queue, and then no more. Connections are closed as soon as all their commands are
     * answered. A terminal whose requests overlap on one connection would keep it open until the process is killed, with the
     * last of them unanswered; so after a short time no more commands are read while earlier ones are unanswered.
     */
    public void close() {
        double now = loop.now();
        if (!closing) {
            closing = true;
            // A connection that waits to be accepted, with a request already written, would be reset if the listener closed at
            // once.
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

    /** Answers the commands that every RESP client may send; INFO returns the counters. */
    public static void common(byte[][] words, Supplier<String> counters, Slot slot) {
        Encoder out = new Encoder(48);
        switch (new String(words[0], StandardCharsets.ISO_8859_1).toUpperCase(Locale.ROOT)) {
            case "PING" -> slot.answer(words.length > 1 ? out.bulk(words[1]).toBytes() : out.simple("PONG").toBytes());
            case "INFO" -> slot.answer(out.bulk(counters.get()).toBytes());
            case "CLIENT", "SELECT" -> slot.answer(out.simple("OK").toBytes());
            default -> slot.reject("unknown command");
        }
    }

    /** The position of one reply on its connection. */
    public static final class Slot {
        private final ClientConnection terminal;
        byte[] bytes;
        Runnable body;                               // returns the buffer space of its large body
        byte[] head;                                 // of a streamed value
        ByteBuffer part;                             // the next chunk, until its turn to be written
        Runnable taken;                              // called when that chunk is written
        /** The request that is being processed for this command; null for none. */
        public Stay stay;

        Slot(ClientConnection terminal) { this.terminal = terminal; }

        void dropBody() {
            if (body != null) { body.run(); }
            body = null;
        }

        public boolean isAnswered() { return bytes != null; }

        /** Whether the terminal is on this machine. */
        public boolean isFromHere() { return terminal.isFromHere(); }

        /** The connection on which the command came. */
        public Session session() { return terminal.session(); }

        /** Handles no more commands of this terminal for a while. */
        public void pauseReading(double ms) { terminal.pause(ms); }

        /**
         * Rejects a malformed command. The reply is sent at once, but each such command delays the next one of the connection
         * longer, and after a number of them the connection is closed. Otherwise a client that resends its command as soon as
         * it is rejected would crowd out others.
         */
        public void reject(String why) {
            terminal.rejects();
            put(new Encoder(64).failure("ERR " + why).toBytes());
        }

        /** Starts a reply that is streamed, between this head and a line end. */
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
                    // Nothing of this reply was sent yet, so the connection, and the replies before it, can be kept.
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

package yardusher.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.function.Supplier;
import yardusher.core.ResponseStream;
import yardusher.core.Session;
import yardusher.core.RequestHandle;
import yardusher.core.EventLoop;
import yardusher.resp.Encoder;

/**
 * The serving side of a RESP front: terminals' connections, commands in, answers out in the order of the
 * commands however they come. What the commands mean is the front's.
 */
public final class RespServer {
    /** A front's meaning of commands. */
    public interface CommandHandler {
        /** Answers the slot now or later, once. */
        void handle(byte[][] words, Slot slot);

        /** The terminal left with this command unanswered. */
        void onTerminalLeft(Slot slot);

        /** A command that means nothing was turned away, or the rest of what came on a connection is lost. */
        default void onInvalidCommand() { }
    }

    private static final byte[] CRLF = {'\r', '\n'};
    private static final byte[] FAILED_REPLY = new Encoder(16).error("ERR failed").toBytes();
    private static final int READ_AHEAD_HEAP_SHARE = 16;        // of the heap, for commands that are not followed yet
    /** Bytes that all connections read ahead together: a part of the heap, 4 MiB at the least and 16 at the most. */
    static final long MAX_READ_AHEAD_BYTES = Math.max(4 << 20, Math.min(16 << 20, Runtime.getRuntime().maxMemory() / READ_AHEAD_HEAP_SHARE));
    private static final double ACCEPT_RETRY_MS = 10;
    private static final double MAINTENANCE_INTERVAL_MS = 100;
    private static final double ACCEPT_QUIET_MS = 30;

    private final CommandHandler commandHandler;
    private final EventLoop loop;
    private final Sockets.Listener listener;
    private final ConnectionRegistry connections = new ConnectionRegistry();
    private final DrainSchedule drainSchedule = new DrainSchedule();
    private final BodyBudget bodyBudget;
    private final Connection.ReadAheadBudget readAheadBudget = new Connection.ReadAheadBudget(MAX_READ_AHEAD_BYTES);
    private boolean acceptRetryScheduled;
    private boolean closing;

    public RespServer(Sockets sockets, InetSocketAddress address, int maxTerminals, CommandHandler commandHandler) throws IOException {
        this(sockets, address, false, maxTerminals, new BodyBudget(0), commandHandler);
        bind();
    }

    /** Listens once {@link #bind} is called; large bodies are held within the budget. With {@code shared} the next version of this program can listen there too. */
    public RespServer(Sockets sockets, InetSocketAddress address, boolean reusePort, int maxTerminals, BodyBudget bodyBudget, CommandHandler commandHandler)
            throws IOException {
        this.bodyBudget = bodyBudget;
        this.commandHandler = commandHandler;
        setMaxConnections(maxTerminals);
        this.loop = sockets.loop();
        listener = sockets.createListener(address, reusePort, channel -> new ClientConnection(channel, this, connections, loop), nothing -> makeRoom());
        loop.deadlines().schedule(loop.now() + MAINTENANCE_INTERVAL_MS, this::maintain);
    }

    /** How many connections are held at the most; the longest idle beyond that close. */
    public final void setMaxConnections(int maxConnections) { connections.setMaxConnections(maxConnections); }

    public void bind() throws IOException { listener.bind(); }

    public InetSocketAddress address() throws IOException { return listener.address(); }

    public void startAccepting() { listener.accept(); }

    /** Connections that may still ask, and those whose last bytes the system has not taken. */
    public int terminalCount() { return connections.size() + connections.unflushedCount(); }

    /** Whether no connection is left, also none that only gets its last bytes, and none can come. */
    public boolean isFinished() { return connections.totalCount() == 0 && listener.isClosed(); }

    /**
     * Whether one more terminal finds room. Guards the usual clients against connections that are kept and not
     * used: the one that said nothing for longest gives way, instead of a shut door for all.
     */
    private boolean makeRoom() {
        // Guards who waits at the door of a version that ends: its half of the descriptors may be full, and they are reset.
        if (connections.hasRoom(drainSchedule.isHandover())) { return true; }
        ClientConnection longest = connections.evictionCandidate(loop.now());
        if (longest == null) {
            if (!acceptRetryScheduled) {
                acceptRetryScheduled = true;
                loop.deadlines().schedule(loop.now() + ACCEPT_RETRY_MS, () -> {
                    acceptRetryScheduled = false;
                    listener.accept();
                });
            }
            return false;
        }
        longest.finish();
        return true;
    }

    /** Closes what has been silent or idle too long, and what never ends a command it has begun. */
    private void maintain() {
        double now = loop.now();
        loop.deadlines().schedule(now + MAINTENANCE_INTERVAL_MS, this::maintain);
        connections.reap(now);
        closeDraining(now);
        if (closing && drainSchedule.hasStoppedReading(now)) { closeIdle(); }
        listener.accept();                                 // a closed one stays closed
    }

    /** Whether terminals are being sent away. */
    public boolean isDraining() { return drainSchedule.isDraining(); }

    /**
     * Sends the terminals away, while the door stays open for those that come all the same, or takes them again. A
     * connection closes right behind an answer, when its terminal is least likely to have sent the next command.
     */
    public void setDraining(boolean draining) { drainSchedule.setDraining(draining, loop.now()); }

    /**
     * The next version of this program takes the terminals that come: this one takes what waits to be accepted, answers what
     * it has, and lets its connections go. PING is answered as ever, since the ingress goes on.
     */
    public void startHandover() {
        if (drainSchedule.isHandover()) { return; }
        double now = loop.now();
        listener.closeWhenQuiet(ACCEPT_QUIET_MS, drainSchedule.startHandover(now));
        closeDraining(now);
    }

    CommandHandler commandHandler() { return commandHandler; }

    BodyBudget bodyBudget() { return bodyBudget; }

    Connection.ReadAheadBudget readAheadBudget() { return readAheadBudget; }

    DrainSchedule drainSchedule() { return drainSchedule; }

    boolean isClosing() { return closing; }

    /** Whether connections close behind their answers. */
    boolean closesAfterReplies() { return closing || drainSchedule.closesAfterReplies(loop.now()); }

    /** One more terminal finds room. */
    void onRoomAvailable() {
        listener.accept();
    }

    private void closeDraining(double now) {
        if (!drainSchedule.closesAfterReplies(now) || closing) { return; }
        boolean closesAllIdle = drainSchedule.closesAllIdle(now);
        for (ClientConnection terminal : connections.all()) {
            if (!terminal.owesNoReply()) { continue; } // closes behind its answer
            if (closesAllIdle) {
                terminal.finish();
            } else if (drainSchedule.mayCloseIdle(now, terminal.quietSinceMs())) {
                terminal.closeIfIdle();
            }
        }
        if (closesAllIdle) { connections.closeFlushed(now); }
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
            listener.closeWhenQuiet(ACCEPT_QUIET_MS, drainSchedule.startShutdown(now));
            listener.accept();
        }
        closeIdle();
    }

    private void closeIdle() {
        for (ClientConnection terminal : connections.all()) { terminal.closeIfIdle(); }
    }

    public static boolean isPing(byte[][] words) {
        return words.length == 1 && new String(words[0], StandardCharsets.ISO_8859_1).equalsIgnoreCase("PING");
    }

    /** Answers what every RESP client may ask; INFO gives the counters. */
    public static void handleCommon(byte[][] words, Supplier<String> counters, Slot slot) {
        Encoder out = new Encoder(48);
        switch (new String(words[0], StandardCharsets.ISO_8859_1).toUpperCase(Locale.ROOT)) {
            case "PING" -> slot.answer(words.length > 1 ? out.bulk(words[1]).toBytes() : out.simpleString("PONG").toBytes());
            case "INFO" -> slot.answer(out.bulk(counters.get()).toBytes());
            case "CLIENT", "SELECT" -> slot.answer(out.simpleString("OK").toBytes());
            default -> slot.reject("unknown command");
        }
    }

    /** The place of one answer on its connection. */
    public static final class Slot {
        private final ClientConnection connection;
        byte[] reply;
        Runnable releaseBody;                               // gives back what its large body holds
        byte[] streamHead;                                 // of a value that comes in parts
        ByteBuffer nextChunk;                             // the next of them, till it is its turn to be written
        Runnable onChunkWritten;                              // when it is written
        /** What is under way for this command, if anything. */
        public RequestHandle request;

        Slot(ClientConnection connection) { this.connection = connection; }

        void releaseBody() {
            if (releaseBody != null) { releaseBody.run(); }
            releaseBody = null;
        }

        public boolean isAnswered() { return reply != null; }

        /** Whether the terminal is on this machine. */
        public boolean isLocal() { return connection.isLocal(); }

        /** The connection it came on. */
        public Session session() { return connection.session(); }

        /** Reads no more of this terminal's commands for a while. */
        public void pauseReading(double ms) { connection.pause(ms); }

        /**
         * Answers a command that means nothing. Guards the usual clients against one that sends the same again as
         * soon as it is turned away: the answer comes at once, but each such command puts off reading the next one
         * longer, and after some the connection ends.
         */
        public void reject(String why) {
            connection.onCommandRejected();
            complete(new Encoder(64).error("ERR " + why).toBytes());
        }

        /** An answer that comes in parts, behind this head and before a line end. */
        public ResponseStream startStream(byte[] head) {
            connection.onCommandAccepted();
            streamHead = head;
            return new ResponseStream() {
                @Override
                public void write(ByteBuffer next, Runnable then) {
                    nextChunk = next;
                    onChunkWritten = then;
                    connection.sendReplies();
                }

                @Override
                public void end() { complete(CRLF); }

                @Override
                public void fail() {
                    if (streamHead == null) {
                        connection.abort();
                        return;
                    }
                    // Guards the answers before it on its connection: nothing of this one has gone out yet.
                    streamHead = null;
                    nextChunk = null;
                    onChunkWritten = null;
                    complete(FAILED_REPLY);
                }
            };
        }

        public void answer(byte[] bytes) {
            connection.onCommandAccepted();
            complete(bytes);
        }

        void complete(byte[] bytes) {
            if (reply != null) { return; }
            reply = bytes;
            request = null;
            releaseBody();
            connection.sendReplies();
        }
    }
}

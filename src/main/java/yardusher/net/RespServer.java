package yardusher.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Set;
import java.util.function.Supplier;
import yardusher.core.ResponseStream;
import yardusher.core.Session;
import yardusher.core.RequestHandle;
import yardusher.core.EventLoop;
import yardusher.resp.Encoder;

/**
 * A RESP server for one frontend: accepts terminal connections, reads commands, and writes the replies in the order of the
 * commands, whatever the order in which they are answered. The frontend interprets the commands.
 */
public final class RespServer {
    /** A frontend's command handler. */
    public interface CommandHandler {
        /** Handles a command. The slot is answered once, now or later. */
        void handle(byte[][] words, Slot slot);

        /** For how many milliseconds a command may wait for the buffer space of its large body; its last word is missing. */
        default double maxBodyWaitMs(byte[][] words) { return Double.POSITIVE_INFINITY; }

        /** Answers a command that is not taken in since there was no buffer space for its body in time; its last word is missing. */
        default void refuse(byte[][] words, Slot slot) { slot.answer(new Encoder(16).error("BUSY").toBytes()); }

        /** The terminal left before this command was answered. */
        void onTerminalLeft(Slot slot);

        /** A connection ended that still owed replies. Called before {@link #onTerminalLeft} for each open command. */
        default void onConnectionEnded(ConnectionEnd end) { }

        /** This side shut a connection down that owed no reply; its client may still send. */
        default void onConnectionFinished(CloseReason reason) { }

        /** A connection that this side had shut down got more input, or had some that was not handled. */
        default void onInputDropped(DroppedInput dropped) { }

        /** A command was malformed, or the framing of a connection was lost. */
        default void onInvalidCommand() { }
    }

    private static final Set<String> COMMON_COMMANDS = Set.of("PING", "INFO", "CLIENT", "SELECT");
    private static final byte[] CRLF = {'\r', '\n'};
    private static final byte[] FAILED_REPLY = new Encoder(16).error("ERR failed").toBytes();
    static final byte[] FAULT_REPLY = new Encoder(16).error("ERR internal").toBytes();
    private static final double ACCEPT_RETRY_MS = 10;
    private static final double MAINTENANCE_INTERVAL_MS = 100;
    private static final double ACCEPT_QUIET_MS = 30;
    private static final double MAX_STOP_DELAY_MS = 500; // reading stops by then, whatever is known of the input

    private final CommandHandler commandHandler;
    private final EventLoop loop;
    private final Sockets.Listener listener;
    private final ConnectionRegistry connections = new ConnectionRegistry();
    private final DrainSchedule drainSchedule = new DrainSchedule();
    private final MemoryBudgets budgets;
    private final InputBarrier inputBarrier;
    private final RestingConnectionCloser closer;
    private boolean acceptRetryScheduled;
    private boolean closing;

    public RespServer(Sockets sockets, InetSocketAddress address, int maxTerminals, CommandHandler commandHandler) throws IOException {
        this(sockets, address, false, maxTerminals, MemoryBudgets.ofHeap(Runtime.getRuntime().maxMemory()).withoutBodies(), commandHandler);
        bind();
    }

    /**
     * Creates a server that listens once {@link #bind} is called. Input, large bodies and replies are held within their budgets.
     * With {@code reusePort} the next version of this program can listen on the same address.
     */
    public RespServer(Sockets sockets, InetSocketAddress address, boolean reusePort, int maxTerminals, MemoryBudgets budgets,
            CommandHandler commandHandler) throws IOException {
        this(sockets, sockets.pollBarrier(), address, reusePort, maxTerminals, budgets, commandHandler);
    }

    RespServer(Sockets sockets, InputBarrier inputBarrier, InetSocketAddress address, boolean reusePort, int maxTerminals,
            MemoryBudgets budgets, CommandHandler commandHandler) throws IOException {
        this.inputBarrier = inputBarrier;
        closer = new RestingConnectionCloser(inputBarrier, sockets.loop(), this::onRoomAvailable);
        this.budgets = budgets;
        this.commandHandler = commandHandler;
        setMaxConnections(maxTerminals);
        this.loop = sockets.loop();
        listener = sockets.createListener(address, reusePort,
                channel -> new ClientConnection(channel, this, connections, loop, acceptHeldUpMs()), nothing -> makeRoom());
        loop.deadlines().schedule(loop.now() + MAINTENANCE_INTERVAL_MS, this::maintain);
    }

    /** Sets the maximum number of connections. Connections above the limit are closed, longest idle first. */
    public final void setMaxConnections(int maxConnections) { connections.setMaxConnections(maxConnections); }

    /** Starts listening, without accepting connections yet. */
    public void bind() throws IOException { listener.bind(); }

    public InetSocketAddress address() throws IOException { return listener.address(); }

    /** For how long, at most, the connection that was just accepted waited because accepts failed on this machine. */
    private double acceptHeldUpMs() { return listener.acceptedHeldUpMs(); }

    public void startAccepting() { listener.accept(); }

    /** The number of connections that may still send commands or whose last bytes the system has not accepted. */
    public int terminalCount() { return connections.size() + connections.unflushedCount(); }

    /** Whether no connection is left, including those that only flush their last bytes, and none can come. */
    public boolean isFinished() { return connections.totalCount() == 0 && listener.isClosed(); }

    /**
     * Whether one more connection is accepted; if not, evicts where possible and accepts again after that. Connections that are
     * kept open unused must not lock out other clients: those that have been silent for longest are closed, instead of accepting
     * no new connections.
     */
    private boolean makeRoom() {
        // During a handover this process's half of the descriptors may be full. Connections that wait in its accept queue would
        // be reset, so they are accepted beyond that limit.
        if (connections.hasRoom(drainSchedule.isHandover())) { return true; }
        ClientConnection longest = closer.isBusy() ? null : connections.evictionCandidate(loop.now());
        if (longest != null) { longest.endUnlessUsed(CloseReason.EVICTED); }
        if (!acceptRetryScheduled) {
            acceptRetryScheduled = true;
            loop.deadlines().schedule(loop.now() + ACCEPT_RETRY_MS, () -> {
                acceptRetryScheduled = false;
                listener.accept();
            });
        }
        return false;
    }

    /** Closes connections that have been silent or idle too long, and those that never complete a command. */
    private void maintain() {
        double now = loop.now();
        loop.deadlines().schedule(now + MAINTENANCE_INTERVAL_MS, this::maintain);
        connections.reap(now);
        if (budgets.input().isShort()) { endSlowest(now); }
        if (drainSchedule.hasStoppedReading(now) && !hasStoppedReading(now)) { awaitInputUntil(drainSchedule.readUntilMs()); }
        closeDraining(now);
        if (closing && hasStoppedReading(now)) { closeIdle(); }
        listener.accept();                           // no effect once the listener is closed
    }

    /** Ends connections whose clients have stopped within a command, the longest silent first, until memory for input suffices. */
    private void endSlowest(double nowMs) {
        for (ClientConnection connection : connections.stalledWithinCommand(nowMs)) {
            if (!budgets.input().isShort()) { return; }
            connection.endForMemory();
        }
    }

    /** Whether terminals are asked to disconnect. */
    public boolean isDraining() { return drainSchedule.isDraining(); }

    /**
     * Asks terminals to disconnect, or accepts them again. The listener stays open for those that connect all the same. A
     * connection is closed right after a reply, when its terminal is least likely to have sent the next command.
     */
    public void setDraining(boolean draining) {
        drainSchedule.setDraining(draining, loop.now());
        if (isDraining()) { awaitInputUntil(drainSchedule.readUntilMs()); }
    }

    /**
     * The next version of this program takes new connections. This one accepts what waits in its accept queue, answers the
     * commands it has received and closes its connections. PING is answered as before, since the ingress as a whole keeps
     * running. From {@code readUntilMs} on it reads no more commands.
     */
    public void startHandover(double readUntilMs) {
        if (drainSchedule.isHandover()) { return; }
        double now = loop.now();
        drainSchedule.startHandover(now, readUntilMs);
        awaitInputUntil(readUntilMs);
        listener.closeWhenQuiet(ACCEPT_QUIET_MS, readUntilMs);
        closeDraining(now);
    }

    CommandHandler commandHandler() { return commandHandler; }

    BodyBudget bodyBudget() { return budgets.bodies(); }

    ReplyBudget replyBudget() { return budgets.replies(); }

    /** Whether so much memory is in use that no more work may be taken in. */
    public boolean isExhausted() { return budgets.isExhausted(); }

    InputBudget inputBudget() { return budgets.input(); }

    MemoryBudgets budgets() { return budgets; }

    InputBarrier inputBarrier() { return inputBarrier; }

    DrainSchedule drainSchedule() { return drainSchedule; }

    RestingConnectionCloser closer() { return closer; }

    boolean isClosing() { return closing; }

    /** Whether a connection that still owes replies reads no more commands, and all input that came before was handled. */
    boolean hasStoppedReading(double nowMs) {
        double readUntilMs = drainSchedule.readUntilMs();
        return drainSchedule.hasStoppedReading(nowMs) && (inputBarrier.handledUpToMs() >= readUntilMs || nowMs >= readUntilMs + MAX_STOP_DELAY_MS);
    }

    /** Has all input handled that arrives until that time. */
    private void awaitInputUntil(double readUntilMs) {
        loop.deadlines().schedule(readUntilMs, () -> inputBarrier.await(readUntilMs, () -> { }));
    }

    /** Whether connections close after their replies. */
    boolean closesAfterReplies() { return closing || drainSchedule.closesAfterReplies(loop.now()); }

    /** One more connection can be accepted. */
    void onRoomAvailable() {
        listener.accept();
    }

    private void closeDraining(double now) {
        if (!drainSchedule.closesAfterReplies(now) || closing) { return; }
        boolean closesAllIdle = drainSchedule.closesAllIdle(now);
        for (ClientConnection connection : connections.all()) {
            if (!connection.owesNoReply()) { continue; } // closes after its reply
            if (closesAllIdle) {
                connection.endUnlessUsed(CloseReason.DRAINING);
            } else if (drainSchedule.mayCloseIdle(now, connection.quietSinceMs())) {
                connection.closeIfIdle();
            }
        }
        if (closesAllIdle) { connections.closeFlushed(now); }
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
            double readUntilMs = drainSchedule.startShutdown(now);
            awaitInputUntil(readUntilMs);
            listener.closeWhenQuiet(ACCEPT_QUIET_MS, readUntilMs);
            listener.accept();
        }
        closeIdle();
    }

    /** Refuses the commands that wait for the buffer space of their large bodies. */
    public void refuseWaitingBodies() {
        for (ClientConnection connection : connections.all()) { connection.refuseWaitingBody(); }
    }

    private void closeIdle() {
        for (ClientConnection connection : connections.all()) { connection.closeIfIdle(); }
    }

    /** Whether the command is a PING without an argument. */
    public static boolean isPing(byte[][] words) {
        return words.length == 1 && new String(words[0], StandardCharsets.ISO_8859_1).equalsIgnoreCase("PING");
    }

    private static String verb(byte[][] words) { return new String(words[0], StandardCharsets.ISO_8859_1).toUpperCase(Locale.ROOT); }

    /** Whether the command is one that {@link #handleCommon} answers: it asks for nothing that this program is there for. */
    static boolean isCommon(byte[][] words) { return COMMON_COMMANDS.contains(verb(words)); }

    /** Answers the commands that every RESP client may send; INFO returns the counters. */
    public static void handleCommon(byte[][] words, Supplier<String> counters, Slot slot) {
        Encoder out = new Encoder(48);
        switch (verb(words)) {
            case "PING" -> slot.answer(words.length == 1 ? out.simpleString("PONG").toBytes()
                    : slot.hasRoomFor(words[1].length) ? out.bulk(words[1]).toBytes() : out.error("BUSY").toBytes());
            case "INFO" -> slot.answer(out.bulk(counters.get()).toBytes());
            case "CLIENT", "SELECT" -> slot.answer(out.simpleString("OK").toBytes());
            default -> slot.reject("unknown command");
        }
    }

    /** The position of one reply on its connection. */
    public static final class Slot {
        private final ClientConnection connection;
        byte[] reply;
        int heldBytes;                               // of the command, in the budget for input
        Runnable releaseBody;                        // returns the buffer space of its large body
        byte[] streamHead;                           // of a streamed value
        ByteBuffer nextChunk;                        // the next chunk, until its turn to be written
        Runnable onChunkWritten;                     // called when that chunk is written
        boolean endedByClient = true;                // whether the client ended a connection that owed this reply
        /** The request that is being processed for this command; null for none. */
        public RequestHandle request;

        private final double ageMs;

        Slot(ClientConnection connection, double ageMs) {
            this.connection = connection;
            this.ageMs = ageMs;
        }

        /** How long ago, at most, the command arrived when it was handled, in milliseconds. */
        public double ageMs() { return ageMs; }

        void releaseBody() {
            if (releaseBody != null) { releaseBody.run(); }
            releaseBody = null;
        }

        public boolean isAnswered() { return reply != null; }

        /** Whether a reply of this length may be held for a client that does not read it. */
        boolean hasRoomFor(int bytes) { return bytes <= ReplyBudget.MAX_UNRESERVED_BYTES || !connection.isShortOfReplyMemory(); }

        /** Once the terminal has left: whether it ended the connection itself. */
        public boolean isEndedByClient() { return endedByClient; }

        /** Whether the client may have left a while ago, unseen behind input that is not read. */
        public boolean mayClientHaveLeft() { return connection.mayClientHaveLeft(); }

        /** Whether the terminal is on this machine. */
        public boolean isLocal() { return connection.isLocal(); }

        /** The connection on which the command came. */
        public Session session() { return connection.session(); }

        /** Handles no more commands of this terminal for a while. */
        public void pauseReading(double delayMs) { connection.pause(delayMs); }

        /**
         * Rejects a malformed command. The reply is sent at once, but each such command delays the next one of the connection
         * longer, and after a number of them the connection is closed. Otherwise a client that resends its command as soon as
         * it is rejected would crowd out others.
         */
        public void reject(String reason) {
            connection.onCommandRejected();
            complete(new Encoder(64).error("ERR " + reason).toBytes());
        }

        /** Starts a reply that is streamed, between this head and a line end. */
        public ResponseStream startStream(byte[] head) {
            connection.onCommandAccepted();
            streamHead = head;
            return new ResponseStream() {
                @Override
                public void write(ByteBuffer bytes, Runnable onWritten) {
                    nextChunk = bytes;
                    onChunkWritten = onWritten;
                    connection.sendReplies();
                }

                @Override
                public boolean hasBegun() { return streamHead == null; }

                @Override
                public void end() { complete(CRLF); }

                @Override
                public void fail() {
                    if (streamHead == null) {
                        connection.abort();
                        return;
                    }
                    // Nothing of this reply was sent yet, so the connection, and the replies before it, can be kept.
                    streamHead = null;
                    nextChunk = null;
                    onChunkWritten = null;
                    complete(FAILED_REPLY);
                }
            };
        }

        /** Answers the command with an encoded RESP value. */
        public void answer(byte[] bytes) {
            connection.onCommandAccepted();
            complete(bytes);
        }

        void complete(byte[] bytes) {
            if (reply != null) { return; }
            reply = bytes;
            request = null;
            releaseBody();
            connection.releaseCommand(this);
            connection.onReplyComplete(bytes.length);
            connection.sendReplies();
        }
    }
}

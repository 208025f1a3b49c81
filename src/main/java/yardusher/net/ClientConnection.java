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
import yardusher.resp.MalformedRespException;

/**
 * One terminal's connection: reads its commands, gives each a place in the order of answers, waits for room for a large body,
 * and writes the answers in that order however they come. What it does not follow yet it goes on reading within a bound, so that
 * the terminal's end is seen whatever holds its commands back. In loop.
 */
final class ClientConnection implements Connection.Owner {
    private static final int MAX_UNANSWERED = 64; // on one connection; more are followed when some are answered
    private static final int MAX_UNREAD_BYTES = 256 * 1024; // bytes of answers that the terminal has not taken yet
    private static final int MAX_READ_AHEAD_BYTES = 128 * 1024; // bytes read and not followed yet: some 900 usual commands
    private static final double FLOOD_TIMEOUT_MS = 100;    // held at that bound for so long behind an open request it is a flood
    private static final int MAX_COMMANDS_PER_TASK = 32;   // of one connection in one turn; then it is the others' turn
    private static final double NEXT_TASK_DELAY_MS = 1;
    private static final int MAX_REJECTED = 16;   // commands on one connection that mean nothing
    private static final double REJECTED_DELAY_MS = 5;   // the next is read so much later, for each before it
    private static final double BODY_TIMEOUT_MS = 10_000;  // to the end of a large body, the wait for room with it

    /**
     * READING, then one or more of these in this order. DEAF: what still comes is dropped, what was read before is answered.
     * LOST: what is open is answered, nothing else is followed. OVER: the terminal has gone, or its last bytes go out.
     */
    private enum Stage { READING, INPUT_IGNORED, FINISHING, CLOSED }

    private final RespServer server;
    private final ConnectionRegistry connections;
    private final EventLoop loop;
    private final Connection connection;
    private final boolean local;
    private final ArrayDeque<RespServer.Slot> slots = new ArrayDeque<>(2);
    private Stage stage = Stage.READING;
    private double quietSinceMs;
    private double commandBegunAtMs = Double.POSITIVE_INFINITY; // when the command now being read began
    private Runnable releaseBody;                           // gives back what is held for the large body now being read
    private boolean bodyGranted;
    private double bodyRequestedAtMs;
    private int rejectedCount;
    private Session session;                         // null until somebody asks for it
    private List<Runnable> closeCallbacks;                    // null for none
    private boolean paused;                          // no command is followed for a while
    private boolean handlingCommands;                       // commands are being followed in this very call
    private boolean fullCheckScheduled;                         // a look at a full connection is due
    private int unflushedAtLastCheck;                            // bytes of answers not taken at the last look, and since when
    private double unflushedSinceMs;

    ClientConnection(AsynchronousSocketChannel channel, RespServer server, ConnectionRegistry connections, EventLoop loop) {
        this.server = server;
        this.connections = connections;
        this.loop = loop;
        quietSinceMs = loop.now();
        connection = Connection.createReadingAhead(channel, loop, this, MAX_READ_AHEAD_BYTES, server.readAheadBudget());
        local = isLocal(channel);
        connections.add(this);
        connection.readMore();
    }

    private static boolean isLocal(AsynchronousSocketChannel channel) {
        try {
            return channel.getRemoteAddress() instanceof InetSocketAddress address && address.getAddress().isLoopbackAddress();
        } catch (IOException e) {
            return false;                            // it has left already
        }
    }

    /** Whether the terminal is on this machine. */
    boolean isLocal() { return local; }

    /** Since when nothing is open here, or nothing new has come of a large body. */
    double quietSinceMs() { return quietSinceMs; }

    /** When the command now being read began; infinite for none. */
    double commandBegunAtMs() { return commandBegunAtMs; }

    boolean hasBegunCommand() { return commandBegunAtMs < Double.POSITIVE_INFINITY; }

    /** Whether it owes no answer. */
    boolean owesNoReply() { return slots.isEmpty(); }

    /** Whether the system has not taken all bytes of its answers yet. */
    boolean hasUnflushedBytes() { return connection.queuedBytes() > 0; }

    @Override
    public boolean keepsInput(Connection from) {
        // Guards the end of a process against a terminal whose requests overlap: it would find more to answer for ever.
        if (stage == Stage.READING && !slots.isEmpty() && server.drainSchedule().hasStoppedReading(loop.now())) { stage = Stage.INPUT_IGNORED; }
        return stage == Stage.READING;
    }

    @Override
    public boolean onReadable(Connection from) {
        if (handlingCommands || stage == Stage.CLOSED) { return false; }
        handlingCommands = true;
        try {
            handleCommands();
        } catch (MalformedRespException e) {
            closeWithError(e.getMessage());
        } finally {
            handlingCommands = false;
        }
        if (isDone()) { finish(); }
        return false;
    }

    private void handleCommands() throws MalformedRespException {
        for (int handled = 0; mayHandleCommands(); handled++) {
            if (handled == MAX_COMMANDS_PER_TASK) {
                // Guards the others against one that sends hundreds of commands at once.
                pause(NEXT_TASK_DELAY_MS);
                return;
            }
            byte[][] words = connection.decoder().nextCommand();
            if (words == null && connection.decoder().bodyLength() > 0) {
                if (acquireBody()) { continue; }
                return;
            }
            if (words == null) {
                if (connection.decoder().isEmpty()) {
                    commandBegunAtMs = Double.POSITIVE_INFINITY;
                } else if (commandBegunAtMs == Double.POSITIVE_INFINITY || handled > 0) {
                    commandBegunAtMs = loop.now();
                }
                return;
            }
            commandBegunAtMs = Double.POSITIVE_INFINITY;
            connections.markBusy(this);
            RespServer.Slot slot = new RespServer.Slot(this);
            slots.add(slot);
            slot.releaseBody = releaseBody;
            releaseBody = null;
            server.commandHandler().handle(words, slot);
        }
    }

    /** A large body comes: it is read once there is room for it. True where that is there at once. */
    private boolean acquireBody() throws MalformedRespException {
        double nowMs = loop.now();
        if (!server.bodyBudget().fits(connection.decoder().bodyLength())) { throw new MalformedRespException("invalid bulk length"); }
        if (releaseBody != null) {
            if (nowMs < bodyRequestedAtMs + BODY_TIMEOUT_MS) { commandBegunAtMs = quietSinceMs = nowMs; }
            return false;
        }
        bodyRequestedAtMs = commandBegunAtMs = quietSinceMs = nowMs;
        bodyGranted = false;
        boolean[] immediate = {true};
        releaseBody = server.bodyBudget().acquire(connection.decoder().bodyLength(), () -> {
            bodyGranted = true;
            if (connection.isClosed() || stage.compareTo(Stage.FINISHING) >= 0) { return; }
            connection.decoder().allocateBody();
            if (!immediate[0]) {
                loop.defer(() -> {
                    commandBegunAtMs = quietSinceMs = loop.now();
                    resume();
                });
            }
        });
        immediate[0] = false;
        return bodyGranted;
    }

    /** Follows what was read, where it may again. */
    private void resume() {
        onReadable(connection);
        connection.readMore();
    }

    /** Nothing is open, and nothing that was read is to be answered any more. */
    private boolean isDone() {
        if (!slots.isEmpty()) { return false; }
        return switch (stage) {
            case READING -> server.closesAfterReplies() && connection.decoder().isEmpty();
            case INPUT_IGNORED -> mayHandleCommands();                // what is left is no whole command
            case FINISHING -> true;
            case CLOSED -> false;
        };
    }

    @Override
    public boolean isHoldingBack(Connection from) { return !mayHandleCommands(); }

    @Override
    public void onReadAheadFull(Connection from) {
        if (fullCheckScheduled) { return; }
        fullCheckScheduled = true;
        long readCount = connection.readCount();
        loop.deadlines().schedule(loop.now() + FLOOD_TIMEOUT_MS, () -> {
            fullCheckScheduled = false;
            if (stage == Stage.CLOSED || connection.isClosed()) { return; }
            // Guards against a terminal that sends much at once and goes: its end lies behind what is not read.
            if (readCount == connection.readCount() && !connection.isReading() && !slots.isEmpty() && (releaseBody == null || bodyGranted)) {
                closeWithError("too many commands at once");
            }
            connection.readMore();                         // or is told anew that it is full
        });
    }

    /** What was held for a command that will not come. */
    private void releaseBody() {
        if (releaseBody != null) { releaseBody.run(); }
        releaseBody = null;
    }

    private boolean mayHandleCommands() {
        return stage.compareTo(Stage.FINISHING) < 0 && !paused && !connection.isClosed() && slots.size() < MAX_UNANSWERED
                && connection.queuedBytes() < MAX_UNREAD_BYTES;
    }

    /** Framing is lost: what came before is still answered in order, then the connection closes. */
    void closeWithError(String reason) {
        if (stage.compareTo(Stage.FINISHING) >= 0) { return; }
        releaseBody();
        stage = Stage.FINISHING;
        connection.decoder().discard();
        server.commandHandler().onInvalidCommand();
        commandBegunAtMs = Double.POSITIVE_INFINITY;
        connections.markBusy(this);
        RespServer.Slot slot = new RespServer.Slot(this);
        slots.add(slot);
        slot.complete(new Encoder(64).error("ERR Protocol error: " + reason).toBytes());
    }

    /** One more command that means nothing; after some the connection ends. */
    void onCommandRejected() {
        server.commandHandler().onInvalidCommand();
        rejectedCount++;
        if (rejectedCount >= MAX_REJECTED && stage.compareTo(Stage.FINISHING) < 0) {
            stage = Stage.FINISHING;
            connection.decoder().discard();
        }
        pause(REJECTED_DELAY_MS * rejectedCount);
    }

    /** A command that means something. */
    void onCommandAccepted() { rejectedCount = 0; }

    void pause(double delayMs) {
        if (paused) { return; }
        paused = true;
        loop.deadlines().schedule(loop.now() + delayMs, () -> {
            paused = false;
            resume();
        });
    }

    void sendReplies() {
        for (RespServer.Slot first; (first = slots.peek()) != null;) {
            if (first.nextChunk != null) {
                if (first.streamHead != null) { connection.write(first.streamHead); }
                connection.write(first.nextChunk);
                first.streamHead = null;
                first.nextChunk = null;
            }
            if (first.reply == null) { break; }
            connection.write(slots.poll().reply);
        }
        if (slots.isEmpty() && stage != Stage.CLOSED) {
            unflushedAtLastCheck = 0;
            connections.markFlushing(this);
        }
        if (!handlingCommands && (slots.isEmpty() || !connection.decoder().isEmpty())) { resume(); }
    }

    /** Whether it has taken no byte of its answers for so long, in ms; asked again and again. */
    boolean hasReadNothing(double durationMs, double nowMs) {
        if (connection.queuedBytes() != unflushedAtLastCheck) {
            unflushedAtLastCheck = connection.queuedBytes();
            unflushedSinceMs = nowMs;
        }
        return nowMs - unflushedSinceMs >= durationMs;
    }

    @Override
    public void onFlushed(Connection from) {
        RespServer.Slot first = slots.peek();
        if (first != null && first.nextChunk == null && first.onChunkWritten != null) {
            Runnable then = first.onChunkWritten;
            first.onChunkWritten = null;
            then.run();
        }
        if (!connection.decoder().isEmpty()) { resume(); }
        // Guards an answer against the close of an idle connection: it is one only once the system has taken all bytes.
        if (stage == Stage.CLOSED || !slots.isEmpty() || hasUnflushedBytes()) { return; }
        quietSinceMs = loop.now();
        if (hasBegunCommand()) { commandBegunAtMs = quietSinceMs; }    // till now it may have been held up from here
        connections.markIdle(this, quietSinceMs);
    }

    void closeIfIdle() {
        // Who has begun a command ends it and has its answer; who never ends it is cut off as ever.
        boolean readingStopped = server.isClosing() && server.drainSchedule().hasStoppedReading(loop.now());
        if (slots.isEmpty() && (readingStopped || connection.decoder().isEmpty())) { finish(); }
    }

    /** A value cannot be finished: the connection ends behind what is there of it, so that the terminal sees that it is not whole. */
    void abort() {
        if (stage == Stage.CLOSED) { return; }
        onClosed(connection);
        connections.closeAfterFlush(connection, loop.now(), server.closesAfterReplies());
    }

    /** Ends it behind its last bytes. Guards them, and what is just coming, against the reset of a close over unread bytes. */
    void finish() {
        if (stage == Stage.CLOSED) { return; }
        deregister();
        connections.closeAfterFlush(connection, loop.now(), server.closesAfterReplies());
    }

    @Override
    public void onClosed(Connection from) {
        deregister();
        for (RespServer.Slot slot : slots) {
            slot.releaseBody();
            if (slot.reply == null) {
                slot.reply = new byte[0];
                server.commandHandler().onTerminalLeft(slot);
            }
        }
        slots.clear();
    }

    private void deregister() {
        releaseBody();
        if (connections.remove(this)) { server.onRoomAvailable(); }
        stage = Stage.CLOSED;
        List<Runnable> callbacks = closeCallbacks;
        closeCallbacks = null;
        if (callbacks != null) { callbacks.forEach(loop::defer); }
    }

    /** This connection, for what belongs to it as a whole. */
    Session session() {
        if (session == null) { session = this::addCloseCallback; }
        return session;
    }

    private void addCloseCallback(Runnable callback) {
        if (stage == Stage.CLOSED) {
            loop.defer(callback);
            return;
        }
        if (closeCallbacks == null) { closeCallbacks = new ArrayList<>(1); }
        closeCallbacks.add(callback);
    }
}

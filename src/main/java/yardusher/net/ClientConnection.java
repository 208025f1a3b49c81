package yardusher.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import yardusher.core.Deadlines;
import yardusher.core.EventLoop;
import yardusher.core.Session;
import yardusher.resp.Encoder;
import yardusher.resp.MalformedRespException;

/**
 * A terminal's connection: reads commands, gives each a slot in the order of replies, waits for buffer space for large bodies,
 * and writes the replies in that order, whatever the order in which they come. While commands are held back it keeps reading up
 * to a limit, so that the terminal's disconnect is seen. Used on the event loop only.
 */
final class ClientConnection implements Connection.Owner {
    private static final int MAX_UNANSWERED = 64; // per connection; further commands are handled when some are answered
    private static final int MAX_UNANSWERED_WHEN_SHORT = 2; // the same while memory for replies is short
    private static final int MAX_UNREAD_BYTES = 256 * 1024; // bytes of replies that the terminal has not read yet
    private static final int MAX_READ_AHEAD_BYTES = 128 * 1024; // bytes read and not handled yet: about 900 typical commands
    private static final double MAX_UNSEEN_MS = 70;  // an attempt must not begin over 100 ms after its client has left
    private static final double FLOOD_TIMEOUT_MS = 100; // full for this long while requests are open, none of them handled in it
    private static final double FULL_CHECK_INTERVAL_MS = 25;
    private static final int MAX_COMMANDS_PER_TASK = 32; // of one connection per event loop task; then others have their turn
    private static final double NEXT_TASK_DELAY_MS = 1;
    private static final double READ_RETRY_DELAY_MS = 30; // within this a read that failed for a moment is repeated
    private static final int MAX_REJECTED = 16;      // malformed commands on one connection
    private static final double REJECTED_DELAY_MS = 5; // delay of the next command, for each malformed one before it
    private static final double QUICK_COMMAND_MS = 250; // a command that arrives within this may be buffered while memory is short
    private static final byte[] BUSY_REPLY = new Encoder(16).error("BUSY").toBytes();
    private static final double BODY_TIMEOUT_MS = 10_000; // until the end of a large body, including the wait for buffer space

    /**
     * READING, then one or more of the others in this order. INPUT_IGNORED: further input is dropped, commands read before are
     * handled. FINISHING: open commands are answered, no others are handled. CLOSED: the terminal has left, or its last bytes
     * are being flushed.
     */
    private enum Stage { READING, INPUT_IGNORED, FINISHING, CLOSED }

    private final RespServer server;
    private final ConnectionRegistry connections;
    private final EventLoop loop;
    private final Connection connection;
    private final boolean local;
    private final ArrayDeque<RespServer.Slot> slots = new ArrayDeque<>(2);
    private int waitingReplyBytes;                   // of replies that wait for an earlier one
    private Stage stage = Stage.READING;
    private double quietSinceMs;
    private double lastHandledAtMs;                  // when the last command was handled
    private double commandBegunAtMs = Double.POSITIVE_INFINITY; // start of the command that is being read
    private Runnable releaseBody;                    // releases the buffer space of the large body that is being read
    private boolean bodyGranted;
    private boolean hasAsked;                        // sent any command but those that keep a connection alive
    private double bodyRequestedAtMs;
    private Deadlines.Entry bodyWaitLimit;           // when a command that waits for buffer space is refused
    private int rejectedCount;
    private Session session;                         // null until it is requested
    private List<Runnable> closeCallbacks;
    private boolean paused;                          // no command is handled for a while
    private boolean readingFirst;                    // commands wait until input is read that has arrived
    private boolean handlingCommands;                // guards against reentrant command handling
    private boolean fullCheckScheduled;              // a check of a full read-ahead buffer is scheduled
    private int unflushedAtLastCheck;                // unflushed reply bytes at the last check, and since when
    private double unflushedSinceMs;
    private CloseReason finishReason;                // why this side drops input and ends the connection; null while it does not
    private double inputDroppedFromMs;

    /** The connection may have waited for up to {@code acceptHeldUpMs} to be accepted. */
    ClientConnection(AsynchronousSocketChannel channel, RespServer server, ConnectionRegistry connections, EventLoop loop,
            double acceptHeldUpMs) {
        this.server = server;
        this.connections = connections;
        this.loop = loop;
        quietSinceMs = loop.now();
        connection = Connection.createReadingAhead(channel, loop, this, MAX_READ_AHEAD_BYTES, server.budgets(),
                server.inputBarrier(), acceptHeldUpMs);
        local = isLocal(channel);
        connections.add(this);
        connection.readMore();
    }

    private static boolean isLocal(AsynchronousSocketChannel channel) {
        try {
            return channel.getRemoteAddress() instanceof InetSocketAddress address && address.getAddress().isLoopbackAddress();
        } catch (IOException e) {
            return false;                            // already disconnected
        }
    }

    /** Whether the terminal is on this machine. */
    boolean isLocal() { return local; }

    /** Since when no command is open, or no more of a large body has arrived; now, while a command may have arrived unread. */
    double quietSinceMs() { return connection.isReadFailing() || isWaitingForRoom() ? loop.now() : quietSinceMs; }

    /** When the command that is being read began; infinity for none, and now while it is this side that keeps it from being read. */
    double commandBegunAtMs() { return isWaitingForRoom() ? loop.now() : commandBegunAtMs; }

    /** Whether a command was handled but for those that every RESP client may send to keep a connection alive. */
    boolean hasAsked() { return hasAsked; }

    boolean hasBegunCommand() { return commandBegunAtMs < Double.POSITIVE_INFINITY; }

    /** Whether no reply is owed. */
    boolean owesNoReply() { return slots.isEmpty() && !isWaitingForRoom(); }

    /** Whether the head of a command was read whose large body waits for buffer space. It may have arrived as a whole. */
    boolean isWaitingForRoom() { return releaseBody != null && !bodyGranted; }

    /** Whether a command was begun, but for its large body, which is still read to its end. */
    private boolean mayCompleteBody() { return releaseBody != null && (stage == Stage.READING || connection.decoder().hasWholeBody()); }

    /** Whether the client may have left for so long that nothing may be begun for it any more. */
    boolean mayClientHaveLeft() { return connection.heldBackMs() > MAX_UNSEEN_MS; }

    /** Whether the system has not accepted all reply bytes yet. */
    boolean hasUnflushedBytes() { return connection.queuedBytes() > 0; }

    @Override
    public boolean keepsInput(Connection from) {
        // At the end of a process, a terminal whose requests overlap would otherwise send more commands for ever.
        if (stage == Stage.READING && !slots.isEmpty() && releaseBody == null && server.hasStoppedReading(loop.now())) {
            stage = Stage.INPUT_IGNORED;
            dropInputFor(drainReason());
        }
        return stage == Stage.READING;
    }

    @Override
    public boolean onReadable(Connection from) {
        if (handlingCommands || stage == Stage.CLOSED) { return false; }
        handlingCommands = true;
        try {
            handleCommands();
        } catch (MalformedRespException e) {
            closeWithError(CloseReason.PROTOCOL_ERROR, e.getMessage());
        } finally {
            handlingCommands = false;
        }
        if (isDone()) { finishWhenDone(); }
        return false;
    }

    private void handleCommands() throws MalformedRespException {
        for (int handled = 0; mayHandleCommands(); handled++) {
            if (canReadFirst()) {
                readBeforeHandling();
                return;
            }
            if (handled == MAX_COMMANDS_PER_TASK) {
                // One connection with hundreds of pipelined commands must not delay the others.
                pause(NEXT_TASK_DELAY_MS);
                return;
            }
            byte[][] words = connection.decoder().nextCommand();
            if (words == null && connection.decoder().bodyLength() > 0) {
                if (acquireBody()) { continue; }
                return;
            }
            if (words == null) {
                if (connection.decoder().isSkipping()) {
                    commandBegunAtMs = quietSinceMs = loop.now();
                } else if (connection.decoder().isEmpty()) {
                    commandBegunAtMs = Double.POSITIVE_INFINITY;
                } else if (commandBegunAtMs == Double.POSITIVE_INFINITY || handled > 0) {
                    commandBegunAtMs = loop.now();
                }
                return;
            }
            commandBegunAtMs = Double.POSITIVE_INFINITY;
            lastHandledAtMs = loop.now();
            connections.markBusy(this);
            RespServer.Slot slot = new RespServer.Slot(this, connection.takeInputAgeMs());
            slots.add(slot);
            slot.releaseBody = releaseBody;
            holdCommand(slot, words);
            releaseBody = null;
            handle(words, slot);
        }
    }

    /** Whether input may have arrived that can be read before the next command is handled. */
    private boolean canReadFirst() {
        if (!connection.isHeldBack()) { return false; }
        connection.readMore();
        return connection.isReading();
    }

    /** Handles the next command once all input is handled that has arrived by now: behind it the client may have ended the connection. */
    private void readBeforeHandling() {
        readingFirst = true;
        server.inputBarrier().await(loop.now(), () -> {
            readingFirst = false;
            if (!connection.isClosed()) { resume(); }
        });
    }

    /** Counts the memory of a command until it is answered; a large body has a budget of its own. */
    private void holdCommand(RespServer.Slot slot, byte[][] words) {
        slot.heldBytes = InputBudget.COMMAND_BYTES;
        int counted = releaseBody == null ? words.length : words.length - 1;
        for (int i = 0; i < counted; i++) { slot.heldBytes += words[i].length; }
        server.inputBudget().addCommand(slot.heldBytes);
    }

    void releaseCommand(RespServer.Slot slot) {
        server.inputBudget().addCommand(-slot.heldBytes);
        slot.heldBytes = 0;
    }

    private void handle(byte[][] words, RespServer.Slot slot) {
        hasAsked = hasAsked || !RespServer.isCommon(words);
        try {
            server.commandHandler().handle(words, slot);
        } catch (RuntimeException | Error e) {
            // A fault in one command must not leave it, and the commands behind it, without an answer.
            loop.reportFault(e);
            slot.complete(RespServer.FAULT_REPLY);
        }
    }

    /** A large body begins: it is read once buffer space is available. Returns true if that is the case at once. */
    private boolean acquireBody() throws MalformedRespException {
        double nowMs = loop.now();
        if (!server.bodyBudget().fits(connection.decoder().bodyLength())) { throw new MalformedRespException("invalid bulk length"); }
        if (releaseBody != null) {
            if (nowMs < bodyRequestedAtMs + BODY_TIMEOUT_MS) { commandBegunAtMs = quietSinceMs = nowMs; }
            return false;
        }
        // Like any command that has not been read to its end by the time at which reading stops.
        if (hasStoppedReading(nowMs) && !connection.decoder().hasWholeBody()) { return false; }
        bodyRequestedAtMs = commandBegunAtMs = quietSinceMs = nowMs;
        bodyGranted = false;
        boolean[] immediate = {true};
        releaseBody = server.bodyBudget().acquire(connection.decoder().bodyLength(), () -> {
            bodyGranted = true;
            loop.deadlines().cancel(bodyWaitLimit);
            if (connection.isClosed() || stage.compareTo(Stage.FINISHING) >= 0) { return; }
            connection.decoder().allocateBody();
            // The client may have left meanwhile, and a failed read is repeated before that is seen.
            if (connection.isReadFailing()) { pause(READ_RETRY_DELAY_MS); }
            if (!immediate[0]) {
                loop.defer(() -> {
                    commandBegunAtMs = quietSinceMs = loop.now();
                    resume();
                });
            }
        });
        immediate[0] = false;
        if (!bodyGranted) {
            double waitMs = Math.min(BODY_TIMEOUT_MS, server.commandHandler().maxBodyWaitMs(connection.decoder().bodyCommand()));
            bodyWaitLimit = loop.deadlines().schedule(nowMs + waitMs, this::refuseWaitingBody);
        }
        return bodyGranted;
    }

    /** Refuses the command that waits for buffer space, if there is one. Its body is dropped as it comes. */
    void refuseWaitingBody() {
        if (!isWaitingForRoom() || connection.isClosed() || stage.compareTo(Stage.FINISHING) >= 0) { return; }
        releaseBody();
        byte[][] words = connection.decoder().skipBody();
        hasAsked = true;
        connections.markBusy(this);
        RespServer.Slot slot = new RespServer.Slot(this, 0);
        slots.add(slot);
        server.commandHandler().refuse(words, slot);
        resume();
    }

    /** Resumes handling and reading commands where possible. */
    private void resume() {
        onReadable(connection);
        connection.readMore();
    }

    /** Whether no command is open and no input is to be handled any more. */
    private boolean isDone() {
        if (!slots.isEmpty()) { return false; }
        return switch (stage) {
            case READING -> server.closesAfterReplies() && connection.decoder().isEmpty();
            case INPUT_IGNORED -> mayHandleCommands() && !mayCompleteBody(); // what is left is an incomplete command
            case FINISHING -> true;
            case CLOSED -> false;
        };
    }

    /** Closes a connection that is done; but while commands are still read, the next one may have arrived. */
    private void finishWhenDone() {
        if (stage == Stage.READING && !server.hasStoppedReading(loop.now())) {
            server.closer().close(this, () -> isDone() && isResting(), () -> finish(drainReason()));
        } else {
            finish(finishReason == null ? drainReason() : finishReason);
        }
    }

    private CloseReason drainReason() { return server.isClosing() ? CloseReason.SHUTDOWN : CloseReason.DRAINING; }

    @Override
    public boolean isHoldingBack(Connection from) { return !mayHandleCommands() || isWaitingForRoom() || isSlowWithCommand(); }

    private boolean isSlowWithCommand() { return hasBegunCommand() && loop.now() - commandBegunAtMs > QUICK_COMMAND_MS; }

    double lastInputAtMs() { return connection.lastInputAtMs(); }

    /** Whether the client has begun a command that takes memory, and has sent nothing more of it since then. */
    boolean isStalledWithinCommand(double sinceMs) {
        boolean waitsForClient = hasBegunCommand() && !isWaitingForRoom() && connection.isReading() && !mayHaveUnhandledInput() && mayHandleCommands();
        return waitsForClient && connection.inputBytes() > 0 && connection.lastInputAtMs() <= sinceMs;
    }

    /** Ends this connection since memory for input is short, unless more has arrived by now. The command that it has begun is refused. */
    void endForMemory() {
        if (stage.compareTo(Stage.FINISHING) >= 0) { return; }
        endInput(CloseReason.INPUT_MEMORY, BUSY_REPLY);
    }

    @Override
    public void onReadAheadFull(Connection from) {
        if (fullCheckScheduled) { return; }
        fullCheckScheduled = true;
        loop.deadlines().schedule(loop.now() + FULL_CHECK_INTERVAL_MS, () -> {
            fullCheckScheduled = false;
            if (stage == Stage.CLOSED || connection.isClosed()) { return; }
            if (isFlood()) { closeWithError(CloseReason.FLOOD, "too many commands at once"); }
            connection.readMore();                   // or reports again that the buffer is full
        });
    }

    /** Whether the client has sent more than is held for it: its end would stay unseen behind the input that is not read. */
    private boolean isFlood() {
        boolean isFull = connection.heldBackMs() >= FLOOD_TIMEOUT_MS && !connection.isReading() && connection.isFullByItself();
        boolean madeNoProgress = loop.now() - lastHandledAtMs >= FLOOD_TIMEOUT_MS && !slots.isEmpty();
        return isFull && madeNoProgress && !isWaitingForRoom();
    }

    /** Releases the buffer space of a command that will not complete. */
    private void releaseBody() {
        loop.deadlines().cancel(bodyWaitLimit);
        if (releaseBody != null) { releaseBody.run(); }
        releaseBody = null;
    }

    private boolean mayHandleCommands() {
        if (stage.compareTo(Stage.FINISHING) >= 0 || paused || readingFirst || connection.isClosed()) { return false; }
        // A client that does not read its replies must not fill the memory that is left with more of them.
        if (server.replyBudget().isShort()) {
            return slots.size() < MAX_UNANSWERED_WHEN_SHORT && connection.queuedBytes() + waitingReplyBytes == 0;
        }
        return slots.size() < MAX_UNANSWERED && connection.queuedBytes() < MAX_UNREAD_BYTES;
    }

    boolean isShortOfReplyMemory() { return server.replyBudget().isShort(); }

    /** A reply is complete and waits for its turn. */
    void onReplyComplete(int bytes) { countWaiting(bytes); }

    private void countWaiting(int bytes) {
        waitingReplyBytes += bytes;
        server.replyBudget().add(bytes);
    }

    /** No more commands are handled: earlier ones are still answered in order, then the connection closes. */
    private void closeWithError(CloseReason reason, String error) {
        if (stage.compareTo(Stage.FINISHING) >= 0) { return; }
        server.commandHandler().onInvalidCommand();
        endInput(reason, new Encoder(64).error("ERR Protocol error: " + error).toBytes());
    }

    /** The same with that reply to what is not handled any more. */
    private void endInput(CloseReason reason, byte[] reply) {
        releaseBody();
        discardInput(reason);
        commandBegunAtMs = Double.POSITIVE_INFINITY;
        connections.markBusy(this);
        RespServer.Slot slot = new RespServer.Slot(this, 0);
        slots.add(slot);
        slot.complete(reply);
    }

    /** The connection is to end once all replies are sent that it owes; input that is not handled yet is dropped. */
    private void discardInput(CloseReason reason) {
        stage = Stage.FINISHING;
        dropInputFor(reason);
        reportUnhandledInput();
        connection.releaseBuffer();
    }

    /** From now on input is dropped for that reason. */
    private void dropInputFor(CloseReason reason) {
        finishReason = reason;
        inputDroppedFromMs = loop.now();
    }

    private void reportUnhandledInput() {
        byte[] unhandled = connection.decoder().bufferedInput(DroppedInput.MAX_BYTES);
        if (unhandled.length > 0) { connection.reportDroppedInput(unhandled); }
    }

    /** Counts a malformed command and delays the next one. After a number of them the connection closes. */
    void onCommandRejected() {
        server.commandHandler().onInvalidCommand();
        rejectedCount++;
        if (rejectedCount >= MAX_REJECTED && stage.compareTo(Stage.FINISHING) < 0) { discardInput(CloseReason.PROTOCOL_ERROR); }
        pause(REJECTED_DELAY_MS * rejectedCount);
    }

    /** A valid command. */
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
            byte[] reply = slots.poll().reply;
            countWaiting(-reply.length);
            connection.write(reply);
        }
        if (slots.isEmpty() && stage != Stage.CLOSED) {
            unflushedAtLastCheck = 0;
            connections.markFlushing(this);
        }
        if (!handlingCommands && (slots.isEmpty() || !connection.decoder().isEmpty())) { resume(); }
    }

    /** Whether the terminal has read no reply bytes for this long; called periodically. */
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
        // A connection is idle only once the system has accepted all reply bytes. Closing it before could lose a reply.
        if (stage == Stage.CLOSED || !slots.isEmpty() || hasUnflushedBytes()) { return; }
        quietSinceMs = loop.now();
        if (hasBegunCommand()) { commandBegunAtMs = quietSinceMs; } // until now it may have been held back on this side
        connections.markIdle(this, quietSinceMs);
        if (isDone()) { finishWhenDone(); }
    }

    /** Ends this connection for that reason, unless more of a command has arrived by now. */
    void endUnlessUsed(CloseReason reason) { endUnlessUsed(() -> finish(reason)); }

    /** The same for one that has begun a command and does not end it: with an error as its reply. */
    void endWithErrorUnlessUsed(String error) { endUnlessUsed(() -> closeWithError(CloseReason.INCOMPLETE_COMMAND, error)); }

    private void endUnlessUsed(Runnable end) {
        long readCount = connection.readCount();
        server.closer().close(this, () -> readCount == connection.readCount() && isResting(), end);
    }

    /** Whether no command is open, and none is known to have arrived. Its replies are flushed, since it reads nothing while they end it. */
    private boolean isResting() {
        boolean holdsCommands = paused && !connection.decoder().isEmpty();
        return stage == Stage.READING && owesNoReply() && !holdsCommands && !mayHaveUnhandledInput() && isFlushedOrStopped();
    }

    private boolean mayHaveUnhandledInput() { return connection.isReadFailing() || connection.hasUnhandledInput(); }

    private boolean isFlushedOrStopped() { return !hasUnflushedBytes() || server.hasStoppedReading(loop.now()); }

    /** Closes unless a command is open, was begun and may still be completed, or has arrived by now. */
    void closeIfIdle() {
        if (mayCloseIdle()) {
            server.closer().close(this, this::mayCloseIdle, () -> finish(drainReason()));
        }
    }

    private boolean mayCloseIdle() {
        if (stage == Stage.CLOSED || mayHaveUnhandledInput() || !isFlushedOrStopped()) { return false; } // tried again later
        // A command that has begun is read to its end and answered, unless reading has stopped for good. A large body is read
        // to its end even then: it may have arrived as a whole, and waits on this side.
        boolean isGivenUp = hasStoppedReading(loop.now()) && !mayCompleteBody();
        return slots.isEmpty() && (isGivenUp || connection.decoder().isEmpty());
    }

    private boolean hasStoppedReading(double nowMs) { return server.isClosing() && server.hasStoppedReading(nowMs); }

    /**
     * A value cannot be completed: the connection closes after the bytes sent so far, so that the terminal sees that it is
     * truncated.
     */
    void abort() {
        if (stage == Stage.CLOSED) { return; }
        dropInputFor(CloseReason.VALUE_INCOMPLETE);
        reportUnhandledInput();
        end(CloseReason.VALUE_INCOMPLETE, "");
        connections.closeAfterFlush(connection, loop.now(), server.closesAfterReplies());
    }

    /** Closes after the last bytes are flushed. A close with unread input would reset the connection and lose them. */
    void finish(CloseReason reason) {
        if (stage == Stage.CLOSED) { return; }
        dropInputFor(reason);
        server.commandHandler().onConnectionFinished(reason);
        reportUnhandledInput();
        deregister();
        connections.closeAfterFlush(connection, loop.now(), server.closesAfterReplies());
    }

    @Override
    public void onInputDropped(Connection from, byte[] bytes) {
        server.commandHandler().onInputDropped(new DroppedInput(finishReason, loop.now() - inputDroppedFromMs, bytes));
    }

    @Override
    public void onClosed(Connection from) { end(from.closeReason(), from.closeError()); }

    @Override
    public void onLastBytesLost(Connection from) { reportEnd(from.closeReason(), from.closeError()); }

    /** Reports the end of a connection that owes replies. */
    private void reportEnd(CloseReason reason, String error) {
        boolean owesReplies = !owesNoReply() || connection.bytesWritten() < connection.bytesAccepted();
        if (!owesReplies) { return; }
        server.commandHandler().onConnectionEnded(new ConnectionEnd(reason, stage.name(), error, connection.bytesWritten(),
                connection.bytesAccepted(), connection.heldBackMs(), List.copyOf(slots)));
    }

    private void end(CloseReason reason, String error) {
        reportEnd(reason, error);
        deregister();
        for (RespServer.Slot slot : slots) {
            slot.releaseBody();
            releaseCommand(slot);
            slot.endedByClient = reason.isByPeer();
            if (slot.reply == null) {
                slot.reply = new byte[0];
                server.commandHandler().onTerminalLeft(slot);
            }
        }
        slots.clear();
    }

    private void deregister() {
        releaseBody();
        countWaiting(-waitingReplyBytes);
        if (connections.remove(this)) { server.onRoomAvailable(); }
        stage = Stage.CLOSED;
        List<Runnable> callbacks = closeCallbacks;
        closeCallbacks = null;
        if (callbacks != null) { callbacks.forEach(loop::defer); }
    }

    /** The session object of this connection. */
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

package yardusher.net;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.net.StandardSocketOptions;
import java.net.UnknownHostException;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.function.Consumer;
import java.util.function.Predicate;
import yardusher.core.EventLoop;
import yardusher.error.ConfigError;
import yardusher.error.WireError;

/** Opens connections and listeners on one channel group with a single thread. */
public final class Sockets {
    static {
        // {@link Connection} reads ahead to see disconnects. Beyond this number of nested completions (default 16) the JDK
        // defers the rest to the next poll. The completions do not nest on the stack, since the event loop defers tasks that
        // come within a task.
        if (System.getProperty("sun.nio.ch.maxCompletionHandlersOnStack") == null) {
            System.setProperty("sun.nio.ch.maxCompletionHandlersOnStack", "64");
        }
    }

    private static final double MAX_OPEN_MS = 5000;  // for a listener, at the start of the process

    private final AsynchronousChannelGroup group;
    private final EventLoop loop;
    private final PollBarrier pollBarrier;
    private volatile Consumer<Throwable> pollerErrorHandler = error -> { };

    public Sockets(EventLoop loop) throws IOException {
        this.loop = loop;
        // A single fixed thread polls and runs the handlers itself; an external pool would cost a thread hop per completion.
        group = AsynchronousChannelGroup.withFixedThreadPool(1, work -> {
            Thread thread = new Thread(() -> runPoller(work), "sockets");
            thread.setDaemon(true);
            return thread;
        });
        pollBarrier = new PollBarrier(group, loop);
    }

    /**
     * Sets who is told of an error that ends the thread that polls, from that thread. The group starts another one if it can; the
     * completion that met the error is lost either way.
     */
    public void onPollerError(Consumer<Throwable> handler) { pollerErrorHandler = handler; }

    private void runPoller(Runnable work) {
        try {
            work.run();
        } catch (Throwable e) {
            pollerErrorHandler.accept(e);
            throw e;
        }
    }

    public EventLoop loop() { return loop; }

    /** Tells up to which time the input of all connections was handled. */
    public PollBarrier pollBarrier() { return pollBarrier; }

    /**
     * Parses a numeric address and port, such as 127.0.0.4:6379. Host names are not resolved. Throws a {@link ConfigError} for
     * other text.
     */
    public static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        String host = colon < 0 ? "" : text.substring(0, colon);
        if (!host.matches("[0-9.]+|\\[[0-9a-fA-F:.]+]")) {
            throw new ConfigError.Address(null, text);
        }
        try {
            return new InetSocketAddress(InetAddress.getByName(host), Integer.parseInt(text.substring(colon + 1)));
        } catch (UnknownHostException | IllegalArgumentException e) {
            throw new ConfigError.Address(null, text);
        }
    }

    /** Formats an address for messages. */
    public static String formatAddress(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** A listening socket. */
    public final class Listener {
        private static final int BACKLOG = 1024;
        private static final double MIN_QUIET_CHECK_MS = 5;
        private static final double MAX_BACKLOG_KEPT_MS = 1000; // of a listener that closes while accepts fail
        private static final double MAX_BACKLOG_READ_MS = 100; // of one on which connections come without a pause

        private final AsynchronousServerSocketChannel channel;
        private final Consumer<AsynchronousSocketChannel> onAccept;
        private final Predicate<Void> hasRoom;
        private final InetSocketAddress address;
        private boolean accepting;
        private boolean retryPending;                // a failed accept waits to be repeated
        private boolean bound;
        private InetSocketAddress boundAddress;
        private boolean watching;                    // finds out whether the backlog is empty
        private long acceptCount;                    // of accepts that were begun
        private double lastAcceptedAtMs;             // when the last connection was accepted
        private final RetryWait acceptRetry = new RetryWait();
        private final AcceptDelay delay = new AcceptDelay();
        private double acceptedHeldUpMs;

        private Listener(AsynchronousServerSocketChannel channel, InetSocketAddress address,
                Consumer<AsynchronousSocketChannel> onAccept, Predicate<Void> hasRoom) {
            this.channel = channel;
            this.address = address;
            this.onAccept = onAccept;
            this.hasRoom = hasRoom;
        }

        public InetSocketAddress address() throws IOException { return (InetSocketAddress) channel.getLocalAddress(); }

        /** Starts listening. Throws a {@link WireError} if another process holds the address. */
        public void bind() throws IOException {
            try {
                channel.bind(address, BACKLOG);
            } catch (SocketException e) {
                throw new WireError.Listen(formatAddress(address), e.getMessage(), e);
            }
            boundAddress = address();
            bound = true;
        }

        /** Accepts connections while there is room; called again when there is room again. */
        public void accept() {
            // Connections without room wait in the backlog, so that the process does not run out of descriptors.
            if (accepting && delay.isHeldUp()) { watchBacklog(); }
            if (accepting || retryPending || !bound || !channel.isOpen()) { return; }
            boolean mayAccept = false;
            accepting = true;                        // also while room is made, which may call this method again
            try {
                mayAccept = hasRoom.test(null);
            } finally {
                accepting = mayAccept;               // after a fault in hasRoom the listener must be able to accept again
            }
            if (!mayAccept) { delay.heldBack(loop.now()); }
            if (delay.wantsSample(loop.now())) { sampleBacklog(); }
            if (!mayAccept) { return; }
            delay.begun(loop.now());
            acceptCount++;
            if (delay.isHeldUp()) { watchBacklog(); }
            channel.accept(this, new CompletionHandler<AsynchronousSocketChannel, Listener>() {
                @Override
                public void completed(AsynchronousSocketChannel accepted, Listener listener) {
                    loop.execute(() -> {
                        accepting = false;
                        lastAcceptedAtMs = loop.now();
                        acceptRetry.reset();
                        acceptedHeldUpMs = delay.accepted(lastAcceptedAtMs);
                        setNoDelay(accepted);
                        loop.defer(Listener.this::accept); // also if the new connection meets a fault
                        onAccept.accept(accepted);
                    });
                }

                @Override
                public void failed(Throwable cause, Listener listener) {
                    loop.execute(() -> {
                        accepting = false;
                        double nowMs = loop.now();
                        double waitMs = acceptRetry.nextWaitMs(nowMs);
                        delay.failed(nowMs, waitMs);
                        retryPending = true;         // others that call accept meanwhile must not begin a retry each
                        loop.deadlines().schedule(nowMs + waitMs, () -> {
                            retryPending = false;
                            accept();
                        });
                    });
                }
            });
        }

        private void sampleBacklog() {
            double nowMs = loop.now();
            int waiting = AcceptQueue.length(boundAddress);
            if (waiting == AcceptQueue.UNKNOWN) { delay.notSampled(nowMs); } else { delay.sampled(nowMs, waiting); }
        }

        /** An accept that is still pending once all is handled that had come by now shows that the backlog was empty. */
        private void watchBacklog() {
            if (watching) { return; }
            watching = true;
            long current = acceptCount;
            // A connection that was there at once is handed over by a task of its own, which the second round comes behind.
            pollBarrier.await(loop.now(), () -> {
                double nowMs = loop.now();
                pollBarrier.await(nowMs, () -> {
                    watching = false;
                    boolean isKnown = pollBarrier.handledUpToMs() >= nowMs;
                    if (isKnown && accepting && acceptCount == current) { delay.backlogEmpty(); }
                });
            });
        }

        /**
         * Closes after no connection has come for {@code quietMs}, or at {@code deadlineMs}: connections in the accept queue
         * are reset when it closes, and those that come while it is open are accepted at once.
         */
        public void closeWhenQuiet(double quietMs, double deadlineMs) {
            double nowMs = loop.now();
            double closeAtMs = Math.min(deadlineMs, Math.max(nowMs, lastAcceptedAtMs) + quietMs);
            loop.deadlines().schedule(Math.max(closeAtMs, nowMs + MIN_QUIET_CHECK_MS), () -> {
                boolean quiet = lastAcceptedAtMs < nowMs || loop.now() >= deadlineMs;
                // While accepts fail, connections wait that the close would reset.
                boolean backlogKept = delay.isRecent(loop.now()) && loop.now() < deadlineMs + MAX_BACKLOG_KEPT_MS;
                if (quiet && !backlogKept) { closeUnlessAccepting(quietMs, deadlineMs); } else { closeWhenQuiet(quietMs, deadlineMs); }
            });
        }

        /** That nothing was accepted for a while proves nothing if the process did not run: connections that wait are accepted first. */
        private void closeUnlessAccepting(double quietMs, double deadlineMs) {
            double askedAtMs = loop.now();
            pollBarrier.await(askedAtMs, () -> {
                boolean noneCame = lastAcceptedAtMs < askedAtMs;
                if (noneCame || loop.now() >= deadlineMs + MAX_BACKLOG_READ_MS) { close(); } else { closeWhenQuiet(quietMs, deadlineMs); }
            });
        }

        /** For how long, at most, the connection that was just accepted waited because accepts failed on this machine. */
        double acceptedHeldUpMs() { return acceptedHeldUpMs; }

        /** Whether no more connections can come. */
        public boolean isClosed() { return !channel.isOpen(); }

        public void close() {
            try {
                channel.close();
            } catch (IOException e) { /* closed either way */ }
        }
    }

    /** Creates a listener and binds it; it accepts connections after {@link Listener#accept}. */
    public Listener listen(InetSocketAddress address, Consumer<AsynchronousSocketChannel> onAccept, Predicate<Void> hasRoom)
            throws IOException {
        Listener listener = createListener(address, false, onAccept, hasRoom);
        listener.bind();
        return listener;
    }

    /**
     * Creates a listener that does not listen yet. With {@code reusePort} the next version of this program can listen on the
     * same address before this one ends.
     */
    public Listener createListener(InetSocketAddress address, boolean reusePort, Consumer<AsynchronousSocketChannel> onAccept,
            Predicate<Void> hasRoom) throws IOException {
        AsynchronousServerSocketChannel channel = OpenRetry.open(MAX_OPEN_MS, () -> AsynchronousServerSocketChannel.open(group));
        channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        if (reusePort && channel.supportedOptions().contains(StandardSocketOptions.SO_REUSEPORT)) {
            channel.setOption(StandardSocketOptions.SO_REUSEPORT, true);
        }
        return new Listener(channel, address, onAccept, hasRoom);
    }

    /** Connects with a timeout; one of the two callbacks runs, on the event loop. The returned callback cancels the attempt. */
    public Runnable connect(InetSocketAddress to, double timeoutMs, Consumer<AsynchronousSocketChannel> onConnected,
            Runnable onFailed) {
        return beginConnect(to, timeoutMs, onConnected, failure -> onFailed.run())::cancel;
    }

    /** The same, for callers that must know whose failure it was. */
    public Connecting beginConnect(InetSocketAddress to, double timeoutMs, Consumer<AsynchronousSocketChannel> onConnected,
            Consumer<ConnectFailure> onFailed) {
        return new Connecting(group, loop, to, onConnected, onFailed).begin(timeoutMs);
    }

    /**
     * Connects without a timeout of its own. For callers that must know how a connect ended after they have abandoned it: a
     * channel that is closed while connecting may have been accepted all the same.
     */
    public Connecting dial(InetSocketAddress to, Consumer<AsynchronousSocketChannel> onConnected, Consumer<ConnectFailure> onFailed) {
        return beginConnect(to, Double.POSITIVE_INFINITY, onConnected, onFailed);
    }

    static void setNoDelay(AsynchronousSocketChannel channel) {
        try {
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        } catch (IOException e) { /* the first read or write reports it */ }
    }

    public void shutdown() {
        try {
            group.shutdownNow();
        } catch (IOException e) { /* the process ends */ }
    }
}

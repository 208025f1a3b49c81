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
import yardusher.core.Deadlines;
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

    private final AsynchronousChannelGroup group;
    private final EventLoop loop;

    public Sockets(EventLoop loop) throws IOException {
        this.loop = loop;
        // A single fixed thread polls and runs the handlers itself; an external pool would cost a thread hop per completion.
        group = AsynchronousChannelGroup.withFixedThreadPool(1, work -> {
            Thread thread = new Thread(work, "sockets");
            thread.setDaemon(true);
            return thread;
        });
    }

    public EventLoop loop() { return loop; }

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
        private final AsynchronousServerSocketChannel channel;
        private final Consumer<AsynchronousSocketChannel> onAccept;
        private final Predicate<Void> hasRoom;
        private final InetSocketAddress address;
        private boolean accepting;
        private boolean bound;
        private double lastAcceptedAtMs;             // when the last connection was accepted

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
                channel.bind(address, 1024);
            } catch (SocketException e) {
                throw new WireError.Listen(formatAddress(address), e.getMessage(), e);
            }
            bound = true;
        }

        /** Accepts connections while there is room; called again when there is room again. */
        public void accept() {
            // Connections without room wait in the backlog, so that the process does not run out of descriptors.
            if (accepting || !bound || !channel.isOpen()) { return; }
            boolean mayAccept = false;
            accepting = true;                        // also while room is made, which may call this method again
            try {
                mayAccept = hasRoom.test(null);
            } finally {
                accepting = mayAccept;               // after a fault in hasRoom the listener must be able to accept again
            }
            if (!mayAccept) { return; }
            channel.accept(this, new CompletionHandler<AsynchronousSocketChannel, Listener>() {
                @Override
                public void completed(AsynchronousSocketChannel accepted, Listener listener) {
                    loop.execute(() -> {
                        accepting = false;
                        lastAcceptedAtMs = loop.now();
                        setNoDelay(accepted);
                        onAccept.accept(accepted);
                        accept();
                    });
                }

                @Override
                public void failed(Throwable cause, Listener listener) {
                    loop.execute(() -> {
                        accepting = false;
                        loop.deadlines().schedule(loop.now() + 50, Listener.this::accept);
                    });
                }
            });
        }

        /**
         * Closes after no connection has come for {@code quietMs}, or at {@code deadlineMs}: connections in the accept queue
         * are reset when it closes, and those that come while it is open are accepted at once.
         */
        public void closeWhenQuiet(double quietMs, double deadlineMs) {
            double nowMs = loop.now();
            double closeAtMs = Math.min(deadlineMs, Math.max(nowMs, lastAcceptedAtMs) + quietMs);
            loop.deadlines().schedule(closeAtMs, () -> {
                if (lastAcceptedAtMs < nowMs || loop.now() >= deadlineMs) { close(); } else { closeWhenQuiet(quietMs, deadlineMs); }
            });
        }

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
        AsynchronousServerSocketChannel channel = AsynchronousServerSocketChannel.open(group);
        channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        if (reusePort && channel.supportedOptions().contains(StandardSocketOptions.SO_REUSEPORT)) {
            channel.setOption(StandardSocketOptions.SO_REUSEPORT, true);
        }
        return new Listener(channel, address, onAccept, hasRoom);
    }

    /** Connects with a timeout; one of the two callbacks runs, on the event loop. The returned callback cancels the attempt. */
    public Runnable connect(InetSocketAddress to, double timeoutMs, Consumer<AsynchronousSocketChannel> onConnected,
            Runnable onFailed) {
        boolean[] finished = new boolean[1];
        AsynchronousSocketChannel channel;
        try {
            channel = AsynchronousSocketChannel.open(group);
        } catch (IOException e) {                    // no descriptor left: treated as no answer
            loop.defer(() -> {
                if (!finished[0]) { onFailed.run(); }
            });
            return () -> finished[0] = true;
        }
        Runnable cancel = () -> {
            finished[0] = true;
            closeQuietly(channel);
        };
        Deadlines.Entry timeout = loop.deadlines().schedule(loop.now() + timeoutMs, () -> {
            if (!finished[0]) {
                cancel.run();
                onFailed.run();
            }
        });
        channel.connect(to, null, new CompletionHandler<Void, Void>() {
            @Override
            public void completed(Void nothing, Void none) {
                loop.execute(() -> {
                    loop.deadlines().cancel(timeout);
                    if (finished[0]) { return; }
                    finished[0] = true;
                    setNoDelay(channel);
                    onConnected.accept(channel);
                });
            }

            @Override
            public void failed(Throwable cause, Void none) {
                loop.execute(() -> {
                    loop.deadlines().cancel(timeout);
                    if (finished[0]) { return; }
                    cancel.run();
                    onFailed.run();
                });
            }
        });
        return () -> {
            loop.deadlines().cancel(timeout);
            cancel.run();
        };
    }

    /**
     * Connects without a timeout of its own; one of the two callbacks runs, on the event loop. For callers that must know how a
     * connect ended after they have given it up: a channel that is closed while connecting may have been accepted all the same.
     */
    public void dial(InetSocketAddress to, Consumer<AsynchronousSocketChannel> onConnected, Runnable onFailed) {
        AsynchronousSocketChannel channel;
        try {
            channel = AsynchronousSocketChannel.open(group);
        } catch (IOException e) {
            loop.defer(onFailed);
            return;
        }
        channel.connect(to, null, new CompletionHandler<Void, Void>() {
            @Override
            public void completed(Void nothing, Void none) {
                loop.execute(() -> {
                    setNoDelay(channel);
                    onConnected.accept(channel);
                });
            }

            @Override
            public void failed(Throwable cause, Void none) {
                loop.execute(() -> {
                    closeQuietly(channel);
                    onFailed.run();
                });
            }
        });
    }

    private static void setNoDelay(AsynchronousSocketChannel channel) {
        try {
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        } catch (IOException e) { /* the first read or write reports it */ }
    }

    private static void closeQuietly(AsynchronousSocketChannel channel) {
        try {
            channel.close();
        } catch (IOException e) { /* closed either way */ }
    }

    public void shutdown() {
        try {
            group.shutdownNow();
        } catch (IOException e) { /* the process ends */ }
    }
}

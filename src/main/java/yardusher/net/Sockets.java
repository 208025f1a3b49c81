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

/** Opens connections and listens, on one channel group with one thread of its own. */
public final class Sockets {
    static {
        // Guards the look ahead of {@link Connection}: past so many completions at once (16 if not said) the platform leaves what is
        // there to the next poll. None of them runs on the stack of another, since a turn puts off what comes within it.
        if (System.getProperty("sun.nio.ch.maxCompletionHandlersOnStack") == null) {
            System.setProperty("sun.nio.ch.maxCompletionHandlersOnStack", "64");
        }
    }

    private final AsynchronousChannelGroup group;
    private final EventLoop loop;

    public Sockets(EventLoop loop) throws IOException {
        this.loop = loop;
        // One fixed thread polls and runs the handlers itself; a pool given from outside would cost a hop each.
        group = AsynchronousChannelGroup.withFixedThreadPool(1, work -> {
            Thread thread = new Thread(work, "sockets");
            thread.setDaemon(true);
            return thread;
        });
    }

    public EventLoop loop() { return loop; }

    /** An address of digits and a port, such as 127.0.0.4:6379. Names are not looked up. Else a {@link ConfigError}. */
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

    /** The other way round, for messages. */
    public static String formatAddress(InetSocketAddress address) { return address.getAddress().getHostAddress() + ":" + address.getPort(); }

    /** A listening socket. */
    public final class Listener {
        private final AsynchronousServerSocketChannel channel;
        private final Consumer<AsynchronousSocketChannel> onAccept;
        private final Predicate<Void> hasRoom;
        private final InetSocketAddress address;
        private boolean accepting;
        private boolean bound;
        private double lastAcceptedAtMs;                      // when the last one came

        private Listener(AsynchronousServerSocketChannel channel, InetSocketAddress address,
                Consumer<AsynchronousSocketChannel> onAccept, Predicate<Void> hasRoom) {
            this.channel = channel;
            this.address = address;
            this.onAccept = onAccept;
            this.hasRoom = hasRoom;
        }

        public InetSocketAddress address() throws IOException { return (InetSocketAddress) channel.getLocalAddress(); }

        /** Listens; until then nobody can come. A {@link WireError} where another process holds the address. */
        public void bind() throws IOException {
            try {
                channel.bind(address, 1024);
            } catch (SocketException e) {
                throw new WireError.Listen(formatAddress(address), e.getMessage(), e);
            }
            bound = true;
        }

        /** Goes on accepting while there is room; called again when room comes back. */
        public void accept() {
            // Guards against running out of descriptors: who finds no room waits in the backlog.
            if (accepting || !bound || !channel.isOpen()) { return; }
            boolean mayAccept = false;
            accepting = true;                        // also while room is made, which may open the door again
            try {
                mayAccept = hasRoom.test(null);
            } finally {
                accepting = mayAccept;                    // guards the door against a fault while room is made: it may be opened again
            }
            if (!mayAccept) { return; }
            channel.accept(this, new CompletionHandler<AsynchronousSocketChannel, Listener>() {
                @Override
                public void completed(AsynchronousSocketChannel guest, Listener door) {
                    loop.execute(() -> {
                        accepting = false;
                        lastAcceptedAtMs = loop.now();
                        setNoDelay(guest);
                        onAccept.accept(guest);
                        accept();
                    });
                }

                @Override
                public void failed(Throwable why, Listener door) {
                    loop.execute(() -> {
                        accepting = false;
                        loop.deadlines().schedule(loop.now() + 50, Listener.this::accept);
                    });
                }
            });
        }

        /**
         * Closes once nobody has come for so long, or at that time: whoever waits to be accepted when it closes is reset,
         * and who comes while it is open is accepted at once.
         */
        public void closeWhenQuiet(double quietMs, double deadlineMs) {
            double nowMs = loop.now();
            double closeAtMs = Math.min(deadlineMs, Math.max(nowMs, lastAcceptedAtMs) + quietMs);
            loop.deadlines().schedule(closeAtMs, () -> {
                if (lastAcceptedAtMs < nowMs || loop.now() >= deadlineMs) { close(); } else { closeWhenQuiet(quietMs, deadlineMs); }
            });
        }

        /** Whether nobody can come any more. */
        public boolean isClosed() { return !channel.isOpen(); }

        public void close() {
            try {
                channel.close();
            } catch (IOException e) { /* it is gone either way */ }
        }
    }

    public Listener listen(InetSocketAddress address, Consumer<AsynchronousSocketChannel> onAccept, Predicate<Void> hasRoom)
            throws IOException {
        Listener listener = createListener(address, false, onAccept, hasRoom);
        listener.bind();
        return listener;
    }

    /**
     * A door that does not listen yet. With {@code shared} the next version of this program can listen there as well,
     * before this one ends.
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

    /** Connects within the time given; one of the two is called, in a turn. The result gives it up. */
    public Runnable connect(InetSocketAddress to, double timeoutMs, Consumer<AsynchronousSocketChannel> onConnected,
            Runnable onFailed) {
        boolean[] finished = new boolean[1];
        AsynchronousSocketChannel channel;
        try {
            channel = AsynchronousSocketChannel.open(group);
        } catch (IOException e) {                    // no descriptor left: as if nobody had answered
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
            public void failed(Throwable why, Void none) {
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
     * Connects, however long the system tries; one of the two is called, in a turn. For whoever must know how a dial ended
     * after having given it up: a channel that is closed on the way may have been accepted all the same.
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
            public void failed(Throwable why, Void none) {
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
        } catch (IOException e) { /* the first read or write will tell */ }
    }

    private static void closeQuietly(AsynchronousSocketChannel channel) {
        try {
            channel.close();
        } catch (IOException e) { /* it is gone either way */ }
    }

    public void shutdown() {
        try {
            group.shutdownNow();
        } catch (IOException e) { /* the process ends */ }
    }
}

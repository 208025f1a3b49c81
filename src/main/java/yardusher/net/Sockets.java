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
    public static InetSocketAddress address(String text) {
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
    public static String text(InetSocketAddress at) { return at.getAddress().getHostAddress() + ":" + at.getPort(); }

    /** A listening socket. */
    public final class Door {
        private final AsynchronousServerSocketChannel channel;
        private final Consumer<AsynchronousSocketChannel> guests;
        private final Predicate<Void> room;
        private final InetSocketAddress at;
        private boolean accepting;
        private boolean bound;
        private double guestAt;                      // when the last connection was accepted

        private Door(AsynchronousServerSocketChannel channel, InetSocketAddress at,
                Consumer<AsynchronousSocketChannel> guests, Predicate<Void> room) {
            this.channel = channel;
            this.at = at;
            this.guests = guests;
            this.room = room;
        }

        public InetSocketAddress address() throws IOException { return (InetSocketAddress) channel.getLocalAddress(); }

        /** Starts listening. Throws a {@link WireError} if another process holds the address. */
        public void bind() throws IOException {
            try {
                channel.bind(at, 1024);
            } catch (SocketException e) {
                throw new WireError.Listen(text(at), e.getMessage(), e);
            }
            bound = true;
        }

        /** Accepts connections while there is room; called again when there is room again. */
        public void open() {
            // Connections without room wait in the backlog, so that the process does not run out of descriptors.
            if (accepting || !bound || !channel.isOpen()) { return; }
            boolean fits = false;
            accepting = true;                        // also while room is made, which may call this method again
            try {
                fits = room.test(null);
            } finally {
                accepting = fits;                    // after a fault in hasRoom the listener must be able to accept again
            }
            if (!fits) { return; }
            channel.accept(this, new CompletionHandler<AsynchronousSocketChannel, Door>() {
                @Override
                public void completed(AsynchronousSocketChannel guest, Door door) {
                    loop.turn(() -> {
                        accepting = false;
                        guestAt = loop.now();
                        quick(guest);
                        guests.accept(guest);
                        open();
                    });
                }

                @Override
                public void failed(Throwable why, Door door) {
                    loop.turn(() -> {
                        accepting = false;
                        loop.deadlines().at(loop.now() + 50, Door.this::open);
                    });
                }
            });
        }

        /**
         * Closes after no connection has come for {@code quietMs}, or at {@code deadlineMs}: connections in the accept queue
         * are reset when it closes, and those that come while it is open are accepted at once.
         */
        public void closeWhenQuiet(double quietMs, double by) {
            double now = loop.now();
            double at = Math.min(by, Math.max(now, guestAt) + quietMs);
            loop.deadlines().at(at, () -> {
                if (guestAt < now || loop.now() >= by) { close(); } else { closeWhenQuiet(quietMs, by); }
            });
        }

        /** Whether no more connections can come. */
        public boolean isShut() { return !channel.isOpen(); }

        public void close() {
            try {
                channel.close();
            } catch (IOException e) { /* closed either way */ }
        }
    }

    public Door listen(InetSocketAddress at, Consumer<AsynchronousSocketChannel> guests, Predicate<Void> room)
            throws IOException {
        Door door = door(at, false, guests, room);
        door.bind();
        return door;
    }

    /**
     * Creates a listener that does not listen yet. With {@code reusePort} the next version of this program can listen on the
     * same address before this one ends.
     */
    public Door door(InetSocketAddress at, boolean shared, Consumer<AsynchronousSocketChannel> guests,
            Predicate<Void> room) throws IOException {
        AsynchronousServerSocketChannel channel = AsynchronousServerSocketChannel.open(group);
        channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        if (shared && channel.supportedOptions().contains(StandardSocketOptions.SO_REUSEPORT)) {
            channel.setOption(StandardSocketOptions.SO_REUSEPORT, true);
        }
        return new Door(channel, at, guests, room);
    }

    /** Connects with a timeout; one of the two callbacks runs, on the event loop. The returned callback cancels the attempt. */
    public Runnable connect(InetSocketAddress to, double withinMs, Consumer<AsynchronousSocketChannel> then,
            Runnable orElse) {
        boolean[] over = new boolean[1];
        AsynchronousSocketChannel channel;
        try {
            channel = AsynchronousSocketChannel.open(group);
        } catch (IOException e) {                    // no descriptor left: treated as no answer
            loop.afterwards(() -> {
                if (!over[0]) { orElse.run(); }
            });
            return () -> over[0] = true;
        }
        Runnable drop = () -> {
            over[0] = true;
            shut(channel);
        };
        Deadlines.Entry limit = loop.deadlines().at(loop.now() + withinMs, () -> {
            if (!over[0]) {
                drop.run();
                orElse.run();
            }
        });
        channel.connect(to, null, new CompletionHandler<Void, Void>() {
            @Override
            public void completed(Void nothing, Void none) {
                loop.turn(() -> {
                    loop.deadlines().cancel(limit);
                    if (over[0]) { return; }
                    over[0] = true;
                    quick(channel);
                    then.accept(channel);
                });
            }

            @Override
            public void failed(Throwable why, Void none) {
                loop.turn(() -> {
                    loop.deadlines().cancel(limit);
                    if (over[0]) { return; }
                    drop.run();
                    orElse.run();
                });
            }
        });
        return () -> {
            loop.deadlines().cancel(limit);
            drop.run();
        };
    }

    /**
     * Connects without a timeout of its own; one of the two callbacks runs, on the event loop. For callers that must know how a
     * connect ended after they have given it up: a channel that is closed while connecting may have been accepted all the same.
     */
    public void dial(InetSocketAddress to, Consumer<AsynchronousSocketChannel> then, Runnable orElse) {
        AsynchronousSocketChannel channel;
        try {
            channel = AsynchronousSocketChannel.open(group);
        } catch (IOException e) {
            loop.afterwards(orElse);
            return;
        }
        channel.connect(to, null, new CompletionHandler<Void, Void>() {
            @Override
            public void completed(Void nothing, Void none) {
                loop.turn(() -> {
                    quick(channel);
                    then.accept(channel);
                });
            }

            @Override
            public void failed(Throwable why, Void none) {
                loop.turn(() -> {
                    shut(channel);
                    orElse.run();
                });
            }
        });
    }

    private static void quick(AsynchronousSocketChannel channel) {
        try {
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        } catch (IOException e) { /* the first read or write reports it */ }
    }

    private static void shut(AsynchronousSocketChannel channel) {
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

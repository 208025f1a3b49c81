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
        // Guards the look ahead of {@link Link}: past so many completions at once (16 if not said) the platform leaves what is
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

    /** The other way round, for messages. */
    public static String text(InetSocketAddress at) { return at.getAddress().getHostAddress() + ":" + at.getPort(); }

    /** A listening socket. */
    public final class Door {
        private final AsynchronousServerSocketChannel channel;
        private final Consumer<AsynchronousSocketChannel> guests;
        private final Predicate<Void> room;
        private final InetSocketAddress at;
        private boolean accepting;
        private boolean bound;
        private double guestAt;                      // when the last one came

        private Door(AsynchronousServerSocketChannel channel, InetSocketAddress at,
                Consumer<AsynchronousSocketChannel> guests, Predicate<Void> room) {
            this.channel = channel;
            this.at = at;
            this.guests = guests;
            this.room = room;
        }

        public InetSocketAddress address() throws IOException { return (InetSocketAddress) channel.getLocalAddress(); }

        /** Listens; until then nobody can come. A {@link WireError} where another process holds the address. */
        public void bind() throws IOException {
            try {
                channel.bind(at, 1024);
            } catch (SocketException e) {
                throw new WireError.Listen(text(at), e.getMessage(), e);
            }
            bound = true;
        }

        /** Goes on accepting while there is room; called again when room comes back. */
        public void open() {
            // Guards against running out of descriptors: who finds no room waits in the backlog.
            if (accepting || !bound || !channel.isOpen()) { return; }
            boolean fits = false;
            accepting = true;                        // also while room is made, which may open the door again
            try {
                fits = room.test(null);
            } finally {
                accepting = fits;                    // guards the door against a fault while room is made: it may be opened again
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
         * Closes once nobody has come for so long, or at that time: whoever waits to be accepted when it closes is reset,
         * and who comes while it is open is accepted at once.
         */
        public void closeWhenQuiet(double quietMs, double by) {
            double now = loop.now();
            double at = Math.min(by, Math.max(now, guestAt) + quietMs);
            loop.deadlines().at(at, () -> {
                if (guestAt < now || loop.now() >= by) { close(); } else { closeWhenQuiet(quietMs, by); }
            });
        }

        public void close() {
            try {
                channel.close();
            } catch (IOException e) { /* it is gone either way */ }
        }
    }

    public Door listen(InetSocketAddress at, Consumer<AsynchronousSocketChannel> guests, Predicate<Void> room)
            throws IOException {
        Door door = door(at, false, guests, room);
        door.bind();
        return door;
    }

    /**
     * A door that does not listen yet. With {@code shared} the next version of this program can listen there as well,
     * before this one ends.
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

    /** Connects within the time given; one of the two is called, in a turn. The result gives it up. */
    public Runnable connect(InetSocketAddress to, double withinMs, Consumer<AsynchronousSocketChannel> then,
            Runnable orElse) {
        boolean[] over = new boolean[1];
        AsynchronousSocketChannel channel;
        try {
            channel = AsynchronousSocketChannel.open(group);
        } catch (IOException e) {                    // no descriptor left: as if nobody had answered
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
     * Connects, however long the system tries; one of the two is called, in a turn. For whoever must know how a dial ended
     * after having given it up: a channel that is closed on the way may have been accepted all the same.
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
        } catch (IOException e) { /* the first read or write will tell */ }
    }

    private static void shut(AsynchronousSocketChannel channel) {
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

package yardusher.discovery;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import yardusher.Api;
import yardusher.core.Counters;
import yardusher.core.Deadlines;
import yardusher.core.Ingress;
import yardusher.core.EventLoop;
import yardusher.net.Sockets;
import yardusher.wire.Codec;

/**
 * The watch on discovery: a long-lived HTTP response. When it ends or falls silent, or discovery moves to another address, a
 * new one is requested; the old one stays in use until the new one has delivered its first object. {@link WatchClock} decides
 * when to connect; this class does the socket I/O.
 */
public final class Watch {
    private static final double AGAIN_MS = 100;
    private static final double AGAIN_MOST_MS = 1000;

    private final Sockets sockets;
    private final EventLoop loop;
    private final DiscoveredBackends table;
    private final Ingress ingress;
    private final Counters counters;
    private InetSocketAddress address;
    private final WatchClock clock;
    private final Map<Integer, Stream> streams = new HashMap<>(); // at most three
    private Deadlines.Entry pending;                 // the next call of the clock
    private double pendingAt = Double.POSITIVE_INFINITY;
    private Runnable awaits;                         // runs after the first update, or null
    private boolean spoken;                          // discovery has sent an update
    private boolean stopped;

    public Watch(Sockets sockets, InetSocketAddress address, DiscoveredBackends table, Ingress ingress, long seed) {
        this.sockets = sockets;
        this.loop = sockets.loop();
        this.address = address;
        this.table = table;
        this.ingress = ingress;
        this.counters = ingress.counters();
        clock = new WatchClock(new WatchClock.Hands() {
            @Override
            public void dial(int watch) { streams.put(watch, new Stream(watch)); }

            @Override
            public void close(int watch) {
                Stream stream = streams.remove(watch);
                if (stream != null) { stream.close(); }
            }
        }, new Backoff(AGAIN_MS, AGAIN_MOST_MS, seed));
    }

    public void start() {
        clock.start(loop.now());
        look();
    }

    /** Discovery has moved to another address. */
    public void move(InetSocketAddress to) {
        if (to.equals(address)) { return; }
        address = to;
        clock.move(loop.now());
        look();
    }

    /**
     * Runs an action once: after the first update from discovery has reached the module, or after {@code withinMs} at the latest.
     * Not at all once the watch has stopped. Holds one action at a time.
     */
    public void whenTold(double withinMs, Runnable then) {
        if (spoken || withinMs <= 0) {
            then.run();
            return;
        }
        awaits = then;
        loop.deadlines().schedule(loop.now() + withinMs, this::awaitNoLonger);
    }

    /** Runs the action that waits for the first update, without waiting any longer. */
    public void awaitNoLonger() {
        Runnable then = awaits;
        awaits = null;
        if (then != null && !stopped) { then.run(); }
    }

    public void stop() {
        stopped = true;
        clock.stop();
        look();
    }

    /** Schedules the clock's next call. Too early is harmless, so a later time waits for the call already scheduled. */
    private void look() {
        double next = clock.next();
        if (next >= pendingAt) { return; }
        loop.deadlines().cancel(pending);
        pendingAt = next;
        pending = loop.deadlines().schedule(next, () -> {
            pendingAt = Double.POSITIVE_INFINITY;
            clock.look(loop.now());
            look();
        });
    }

    /** One watch connection, from its dial on. */
    private final class Stream {
        private final int number;
        private final ChunkedLines lines = new ChunkedLines();
        private final ObjectLines objects = new ObjectLines();
        private final ByteBuffer in = ByteBuffer.allocate(8192);
        private Runnable dial = () -> { };           // cancels the dial in progress
        private AsynchronousSocketChannel channel;
        private long knew;                           // the revision known when the request was sent
        private long asked;                          // the revision requested from, 0 for the full list
        private final Set<Long> newer = new HashSet<>(); // backends that other watches updated since the dial, at most LIFE_MS worth
        private boolean closed;

        Stream(int number) {
            this.number = number;
            try {
                dial = sockets.connect(address, WatchClock.LIFE_MS, made -> {
                    channel = made;
                    ask();
                }, this::fail);
            } catch (RuntimeException e) {
                // An address that the system cannot even try counts as refused, so that the clock goes on.
                loop.defer(this::fail);
            }
        }

        private void ask() {
            counters.listWatches++;
            knew = table.revision();
            asked = clock.asksWhole() ? 0 : knew;
            String request = "GET /v1/servers?follow=1&since=" + asked + " HTTP/1.1\r\nHost: "
                    + address.getHostString() + ":" + address.getPort() + "\r\nAccept: application/json\r\n\r\n";
            write(ByteBuffer.wrap(request.getBytes(StandardCharsets.US_ASCII)));
        }

        private void write(ByteBuffer request) {
            channel.write(request, null, new CompletionHandler<Integer, Void>() {
                @Override
                public void completed(Integer count, Void none) {
                    loop.execute(() -> {
                        if (closed) { return; }
                        if (request.hasRemaining()) { write(request); } else { read(); }
                    });
                }

                @Override
                public void failed(Throwable why, Void none) { loop.execute(Stream.this::fail); }
            });
        }

        private void read() {
            in.clear();
            channel.read(in, null, new CompletionHandler<Integer, Void>() {
                @Override
                public void completed(Integer count, Void none) { loop.execute(() -> got(count)); }

                @Override
                public void failed(Throwable why, Void none) { loop.execute(Stream.this::end); }
            });
        }

        private void got(int count) {
            if (closed) { return; }
            if (count < 0) {
                end();
                return;
            }
            try {
                lines.feed(in.array(), count);
            } catch (IOException e) {
                bad(e);
                fail();
                return;
            }
            for (String line; !closed && (line = lines.next()) != null;) { line(line); }
            if (closed) { return; }
            if (lines.ended()) { end(); } else { read(); }
        }

        /** The response ended or broke off: a complete last object counts even without its line end. */
        private void end() {
            if (closed) { return; }
            String rest = lines.rest();
            if (rest != null && !rest.isBlank()) { line(rest); }
            fail();
        }

        private void line(String line) {
            try {
                String object = objects.add(line);
                if (object == null) { return; }
                if (object.isBlank()) { clock.empty(number, loop.now()); } else { news(object); }
                look();
            } catch (IOException e) {
                bad(e);
                spoilt();
            } catch (RuntimeException e) {
                fail();                              // otherwise the watch would stay open without being read
                throw e;
            }
        }

        private void bad(IOException why) {
            counters.malformedListLines++;
            System.err.println("service table: " + String.valueOf(why.getMessage()).lines().findFirst().orElse(""));
        }

        private void news(String object) throws IOException {
            Codec.JsonObject fields = DiscoveredBackends.read(object);
            boolean first = clock.isHeir(number);
            long version = table.revision(fields);
            // A response written before the old watch's latest updates must not undo them. Revisions of another address are not
            // comparable.
            boolean late = first && !clock.isMoved() && version >= knew && version < table.revision();
            Api.ServerList news = late ? table.takeBut(fields, newer) : table.take(fields);
            for (Stream other : streams.values()) {
                if (other == this || !clock.isHeir(other.number)) { continue; }
                for (Api.Server server : news.servers()) { other.newer.add(server.id()); }
            }
            counters.listChanges++;
            counters.completeLists += news.kind() == Api.ListKind.FULL ? 1 : 0;
            ingress.deliver(news);
            spoken = true;
            if (table.unread() > 0) {
                counters.malformedListLines += table.unread();
                System.err.println("service table: " + table.unread() + " entries cannot be read");
            }
            if (table.unread() > 0 && !(first && asked == 0)) {
                spoilt();                            // requests the unreadable entries again, in the end the full list
            } else if (first && news.kind() != Api.ListKind.FULL && version < asked) {
                clock.empty(number, loop.now());     // changes after a revision that is not ours: some are missing
            } else {
                clock.object(number, loop.now());
                newer.clear();
            }
            awaitNoLonger();
        }

        private void spoilt() {
            if (closed) { return; }
            close();
            streams.remove(number);
            clock.spoilt(number, loop.now());
            look();
        }

        private void fail() {
            if (closed) { return; }
            close();
            streams.remove(number);
            clock.ended(number, loop.now());
            look();
        }

        void close() {
            closed = true;
            if (channel == null) {
                dial.run();
                return;
            }
            try {
                channel.close();
            } catch (IOException e) { /* closed either way */ }
        }
    }
}

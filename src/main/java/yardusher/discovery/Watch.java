package yardusher.discovery;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import yardusher.Api;
import yardusher.core.Counters;
import yardusher.core.Deadlines;
import yardusher.core.Ingress;
import yardusher.core.EventLoop;
import yardusher.net.Sockets;

/**
 * The watch on discovery: one HTTP answer that stays open. When it ends or falls silent, or discovery is to be found
 * at another address, it is asked for anew; the old one is heard until the new one has spoken. {@link WatchClock} decides
 * when; this is its sockets.
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
    private final Map<Integer, Stream> streams = new HashMap<>(); // three at the most
    private Deadlines.Entry pending;                 // the clock's next look
    private double pendingAt = Double.POSITIVE_INFINITY;

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

    /** Discovery is found there from now on. */
    public void move(InetSocketAddress to) {
        if (to.equals(address)) { return; }
        address = to;
        clock.move(loop.now());
        look();
    }

    public void stop() {
        clock.stop();
        look();
    }

    /** Sees to it that the clock is looked at in time: sooner does no harm, so a later time waits for the look that stands. */
    private void look() {
        double next = clock.next();
        if (next >= pendingAt) { return; }
        loop.deadlines().cancel(pending);
        pendingAt = next;
        pending = loop.deadlines().at(next, () -> {
            pendingAt = Double.POSITIVE_INFINITY;
            clock.look(loop.now());
            look();
        });
    }

    /** One watch, from its dial on. */
    private final class Stream {
        private final int number;
        private final ChunkedLines lines = new ChunkedLines();
        private final ObjectLines objects = new ObjectLines();
        private final ByteBuffer in = ByteBuffer.allocate(8192);
        private final Runnable dial;                 // gives up the connection under way
        private AsynchronousSocketChannel channel;
        private boolean closed;

        Stream(int number) {
            this.number = number;
            dial = sockets.connect(address, WatchClock.LIFE_MS, made -> {
                channel = made;
                ask();
            }, this::fail);
        }

        private void ask() {
            counters.listAsks++;
            String request = "GET /v1/servers?follow=1&since=" + (clock.asksWhole() ? 0 : table.revision()) + " HTTP/1.1\r\nHost: "
                    + address.getHostString() + ":" + address.getPort() + "\r\nAccept: application/json\r\n\r\n";
            write(ByteBuffer.wrap(request.getBytes(StandardCharsets.US_ASCII)));
        }

        private void write(ByteBuffer request) {
            channel.write(request, null, new CompletionHandler<Integer, Void>() {
                @Override
                public void completed(Integer count, Void none) {
                    loop.turn(() -> {
                        if (closed) { return; }
                        if (request.hasRemaining()) { write(request); } else { read(); }
                    });
                }

                @Override
                public void failed(Throwable why, Void none) { loop.turn(Stream.this::fail); }
            });
        }

        private void read() {
            in.clear();
            channel.read(in, null, new CompletionHandler<Integer, Void>() {
                @Override
                public void completed(Integer count, Void none) { loop.turn(() -> got(count)); }

                @Override
                public void failed(Throwable why, Void none) { loop.turn(Stream.this::fail); }
            });
        }

        private void got(int count) {
            if (closed) { return; }
            if (count < 0) {
                fail();
                return;
            }
            try {
                lines.feed(in.array(), count);
                for (String line; !closed && (line = lines.next()) != null;) {
                    String object = objects.add(line);
                    if (object == null) { continue; }
                    if (object.isBlank()) { clock.empty(number, loop.now()); } else { news(object); }
                    look();
                }
            } catch (IOException e) {
                counters.listBad++;
                System.err.println("service table: " + e.getMessage());
                fail();
                return;
            }
            if (closed) { return; }
            if (lines.ended()) { fail(); } else { read(); }
        }

        private void news(String object) throws IOException {
            Api.ServerList news = table.line(object);
            counters.listChanges++;
            counters.listWhole += news.kind() == Api.ListKind.FULL ? 1 : 0;
            clock.object(number, loop.now());
            ingress.tell(news);
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
            } catch (IOException e) { /* it is gone either way */ }
        }
    }
}

package yardusher.list;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.nio.charset.StandardCharsets;
import yardusher.Api;
import yardusher.core.Counters;
import yardusher.core.Deadlines;
import yardusher.core.Ingress;
import yardusher.core.Turns;
import yardusher.net.Sockets;

/**
 * The watch on discovery: one HTTP answer that stays open. When it ends or falls silent, or discovery is to be found
 * at another address, it is asked for anew; the old one is heard until the new one has spoken.
 */
public final class Watch {
    private static final double DIAL_MS = 1000;
    private static final double SILENT_MS = 3000;    // a line comes every 2 s; later than this it is broken
    private static final double SILENT_SPREAD_MS = 300;
    private static final double AGAIN_MS = 100;
    private static final double AGAIN_MOST_MS = 1000;

    private final Sockets sockets;
    private final Turns turns;
    private final ServiceTable table;
    private final Ingress ingress;
    private final Counters counters;
    private InetSocketAddress address;
    private final Backoff backoff;
    private boolean moved;                           // nothing has been told by the present address yet
    private Stream told;                             // the one that has spoken
    private Stream next;                             // the one that is to follow it
    private Runnable dial;                           // gives up the connection under way
    private Deadlines.Entry pending;
    private boolean stopped;

    public Watch(Sockets sockets, InetSocketAddress address, ServiceTable table, Ingress ingress, long seed) {
        backoff = new Backoff(AGAIN_MS, AGAIN_MOST_MS, seed);
        this.sockets = sockets;
        this.turns = sockets.turns();
        this.address = address;
        this.table = table;
        this.ingress = ingress;
        this.counters = ingress.counters();
    }

    public void start() {
        pending = null;
        if (stopped || dial != null || next != null) { return; }
        dial = sockets.connect(address, DIAL_MS, channel -> {
            dial = null;
            next = new Stream(channel);
            next.ask();
        }, () -> {
            dial = null;
            again();
        });
    }

    /** Discovery is found there from now on. */
    public void move(InetSocketAddress to) {
        if (stopped || to.equals(address)) { return; }
        address = to;
        moved = true;                                // its versions are its own: the whole list is asked for
        drop();
        backoff.reset();
        start();
    }

    public void stop() {
        stopped = true;
        drop();
        if (told != null) { told.close(); }
    }

    /** Gives up what is under way for a new watch. */
    private void drop() {
        turns.deadlines().cancel(pending);
        if (dial != null) { dial.run(); }
        dial = null;
        if (next != null) { next.close(); }
        next = null;
    }

    private void again() {
        if (stopped || dial != null || next != null) { return; }
        turns.deadlines().cancel(pending);
        pending = turns.deadlines().at(turns.now() + backoff.next(), this::start);
    }

    private final class Stream {
        private final AsynchronousSocketChannel channel;
        private final ChunkedLines lines = new ChunkedLines();
        private final ObjectLines objects = new ObjectLines();
        private final ByteBuffer in = ByteBuffer.allocate(8192);
        private double heardAt = turns.now();
        private boolean closed;

        Stream(AsynchronousSocketChannel channel) { this.channel = channel; }

        void ask() {
            counters.listAsks++;
            String request = "GET /v1/servers?follow=1&since=" + (moved ? 0 : table.revision()) + " HTTP/1.1\r\nHost: "
                    + address.getHostString() + ":" + address.getPort() + "\r\nAccept: application/json\r\n\r\n";
            write(ByteBuffer.wrap(request.getBytes(StandardCharsets.US_ASCII)));
            turns.deadlines().at(turns.now() + SILENT_MS, this::watchSilence);
        }

        private void watchSilence() {
            if (closed) { return; }
            double left = heardAt + SILENT_MS - turns.now();
            if (left > 0) {
                turns.deadlines().at(turns.now() + left, this::watchSilence);
                return;
            }
            if (this == next) {
                fail();
                return;
            }
            // Guards against a list that stands still behind a broken path: asked anew, and heard meanwhile.
            heardAt = turns.now();
            turns.deadlines().at(turns.now() + SILENT_MS, this::watchSilence);
            if (pending == null && dial == null && next == null) {
                // Guards discovery: a silence falls on all at once, and they would ask in the same moment.
                pending = turns.deadlines().at(turns.now() + backoff.spread(SILENT_SPREAD_MS), Watch.this::start);
            }
        }

        private void write(ByteBuffer request) {
            channel.write(request, null, new CompletionHandler<Integer, Void>() {
                @Override
                public void completed(Integer count, Void none) {
                    turns.turn(() -> {
                        if (closed) { return; }
                        if (request.hasRemaining()) { write(request); } else { read(); }
                    });
                }

                @Override
                public void failed(Throwable why, Void none) { turns.turn(Stream.this::fail); }
            });
        }

        private void read() {
            in.clear();
            channel.read(in, null, new CompletionHandler<Integer, Void>() {
                @Override
                public void completed(Integer count, Void none) { turns.turn(() -> got(count)); }

                @Override
                public void failed(Throwable why, Void none) { turns.turn(Stream.this::fail); }
            });
        }

        private void got(int count) {
            if (closed) { return; }
            if (count < 0) {
                fail();
                return;
            }
            heardAt = turns.now();
            try {
                lines.feed(in.array(), count);
                for (String line; (line = lines.next()) != null;) {
                    String object = objects.add(line);
                    if (object == null) { continue; }
                    if (this == next) { takeOver(); }
                    if (object.isBlank()) { continue; }
                    Api.ServerList news = table.line(object);
                    counters.listChanges++;
                    counters.listWhole += news.kind() == Api.ListKind.FULL ? 1 : 0;
                    backoff.reset();
                    moved = false;                   // by a list, and not by an empty line before it
                    ingress.tell(news);
                }
            } catch (IOException e) {
                counters.listBad++;
                System.err.println("service table: " + e.getMessage());
                fail();
                return;
            }
            if (lines.ended()) { fail(); } else { read(); }
        }

        /** It has spoken: the one before is heard no more. */
        private void takeOver() {
            if (told != null) { told.close(); }
            told = this;
            next = null;
        }

        private void fail() {
            if (closed) { return; }
            close();
            if (this == next) { next = null; }
            if (this == told) { told = null; }
            again();
        }

        void close() {
            closed = true;
            try {
                channel.close();
            } catch (IOException e) { /* it is gone either way */ }
        }
    }
}

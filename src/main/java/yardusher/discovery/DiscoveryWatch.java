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
 * The watch on discovery: one HTTP answer that stays open. When it ends or falls silent, or discovery is to be found
 * at another address, it is asked for anew; the old one is heard until the new one has spoken. {@link WatchScheduler} decides
 * when; this is its sockets.
 */
public final class DiscoveryWatch {
    private static final double FIRST_RETRY_MS = 100;
    private static final double MAX_RETRY_MS = 1000;

    private final Sockets sockets;
    private final EventLoop loop;
    private final DiscoveredBackends table;
    private final Ingress ingress;
    private final Counters counters;
    private InetSocketAddress address;
    private final WatchScheduler scheduler;
    private final Map<Integer, Stream> streams = new HashMap<>(); // three at the most
    private Deadlines.Entry schedulerTimer;                 // the clock's next look
    private double schedulerTimerAtMs = Double.POSITIVE_INFINITY;
    private Runnable firstUpdateAction;                         // the first news, or null
    private boolean updateReceived;                          // discovery has told something
    private boolean stopped;

    public DiscoveryWatch(Sockets sockets, InetSocketAddress address, DiscoveredBackends table, Ingress ingress, long seed) {
        this.sockets = sockets;
        this.loop = sockets.loop();
        this.address = address;
        this.table = table;
        this.ingress = ingress;
        this.counters = ingress.counters();
        scheduler = new WatchScheduler(new WatchScheduler.Actions() {
            @Override
            public void dial(int watch) { streams.put(watch, new Stream(watch)); }

            @Override
            public void close(int watch) {
                Stream stream = streams.remove(watch);
                if (stream != null) { stream.close(); }
            }
        }, new Backoff(FIRST_RETRY_MS, MAX_RETRY_MS, seed));
    }

    public void start() {
        scheduler.start(loop.now());
        scheduleNext();
    }

    /** Discovery is found there from now on. */
    public void moveTo(InetSocketAddress to) {
        if (to.equals(address)) { return; }
        address = to;
        scheduler.addressMoved(loop.now());
        scheduleNext();
    }

    /**
     * Runs that once: when discovery has first told of its backends, and the module knows, or after so many milliseconds at the
     * latest. Not at all once the watch has stopped. One waits at a time.
     */
    public void runAfterFirstUpdate(double withinMs, Runnable then) {
        if (updateReceived || withinMs <= 0) {
            then.run();
            return;
        }
        firstUpdateAction = then;
        loop.deadlines().schedule(loop.now() + withinMs, this::stopAwaitingUpdate);
    }

    /** Runs what waits for the first news, without them. */
    public void stopAwaitingUpdate() {
        Runnable then = firstUpdateAction;
        firstUpdateAction = null;
        if (then != null && !stopped) { then.run(); }
    }

    public void stop() {
        stopped = true;
        scheduler.stop();
        scheduleNext();
    }

    /** Sees to it that the clock is looked at in time: sooner does no harm, so a later time waits for the look that stands. */
    private void scheduleNext() {
        double next = scheduler.nextDueMs();
        if (next >= schedulerTimerAtMs) { return; }
        loop.deadlines().cancel(schedulerTimer);
        schedulerTimerAtMs = next;
        schedulerTimer = loop.deadlines().schedule(next, () -> {
            schedulerTimerAtMs = Double.POSITIVE_INFINITY;
            scheduler.runDue(loop.now());
            scheduleNext();
        });
    }

    /** One watch, from its dial on. */
    private final class Stream {
        private final int number;
        private final HttpLineReader lines = new HttpLineReader();
        private final JsonObjectAssembler objects = new JsonObjectAssembler();
        private final ByteBuffer buffer = ByteBuffer.allocate(8192);
        private Runnable cancelDial = () -> { };           // gives up the connection under way
        private AsynchronousSocketChannel channel;
        private long revisionAtRequest;                           // the version known when it was asked
        private long requestedRevision;                          // the version asked from, 0 for all there is
        private final Set<Long> updatedElsewhere = new HashSet<>(); // who was told of since it was dialled, at most what is told in LIFE_MS
        private boolean closed;

        Stream(int number) {
            this.number = number;
            try {
                cancelDial = sockets.connect(address, WatchScheduler.CANDIDATE_LIFETIME_MS, made -> {
                    channel = made;
                    sendRequest();
                }, this::fail);
            } catch (RuntimeException e) {
                // Guards the clock's next look: an address that the system cannot even try is one that refuses.
                loop.defer(this::fail);
            }
        }

        private void sendRequest() {
            counters.listWatches++;
            revisionAtRequest = table.revision();
            requestedRevision = scheduler.requestsFullList() ? 0 : revisionAtRequest;
            String request = "GET /v1/servers?follow=1&since=" + requestedRevision + " HTTP/1.1\r\nHost: "
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
            buffer.clear();
            channel.read(buffer, null, new CompletionHandler<Integer, Void>() {
                @Override
                public void completed(Integer count, Void none) { loop.execute(() -> onBytes(count)); }

                @Override
                public void failed(Throwable why, Void none) { loop.execute(Stream.this::end); }
            });
        }

        private void onBytes(int count) {
            if (closed) { return; }
            if (count < 0) {
                end();
                return;
            }
            try {
                lines.feed(buffer.array(), count);
            } catch (IOException e) {
                logMalformed(e);
                fail();
                return;
            }
            for (String line; !closed && (line = lines.nextLine()) != null;) { onLine(line); }
            if (closed) { return; }
            if (lines.isComplete()) { end(); } else { read(); }
        }

        /** The answer is over, or broken off: an object that is whole without its line's end counts, half a one does not. */
        private void end() {
            if (closed) { return; }
            String rest = lines.takeUnterminatedLine();
            if (rest != null && !rest.isBlank()) { onLine(rest); }
            fail();
        }

        private void onLine(String line) {
            try {
                String object = objects.add(line);
                if (object == null) { return; }
                if (object.isBlank()) { scheduler.keepAliveReceived(number, loop.now()); } else { applyObject(object); }
                scheduleNext();
            } catch (IOException e) {
                logMalformed(e);
                closeMalformed();
            } catch (RuntimeException e) {
                fail();                              // guards against a watch that stays open and is read no more
                throw e;
            }
        }

        private void logMalformed(IOException why) {
            counters.malformedListLines++;
            System.err.println("service table: " + String.valueOf(why.getMessage()).lines().findFirst().orElse(""));
        }

        private void applyObject(String object) throws IOException {
            Codec.JsonObject fields = DiscoveredBackends.parse(object);
            boolean first = scheduler.isCandidate(number);
            long version = table.revision(fields);
            // Guards against an answer that was written before what the old watch has told meanwhile, and would undo it. The
            // versions of another address say nothing.
            boolean late = first && !scheduler.isAddressChanged() && version >= revisionAtRequest && version < table.revision();
            Api.ServerList news = late ? table.applyExcept(fields, updatedElsewhere) : table.apply(fields);
            for (Stream other : streams.values()) {
                if (other == this || !scheduler.isCandidate(other.number)) { continue; }
                for (Api.Server server : news.servers()) { other.updatedElsewhere.add(server.id()); }
            }
            counters.listChanges++;
            counters.completeLists += news.kind() == Api.ListKind.FULL ? 1 : 0;
            ingress.deliver(news);
            updateReceived = true;
            if (table.unreadableEntries() > 0) {
                counters.malformedListLines += table.unreadableEntries();
                System.err.println("service table: " + table.unreadableEntries() + " entries cannot be read");
            }
            if (table.unreadableEntries() > 0 && !(first && requestedRevision == 0)) {
                closeMalformed();                            // what could not be read is asked for again, up to all there is
            } else if (first && news.kind() != Api.ListKind.FULL && version < requestedRevision) {
                scheduler.keepAliveReceived(number, loop.now());     // changes after a version of another count: some are missing
            } else {
                scheduler.objectReceived(number, loop.now());
                updatedElsewhere.clear();
            }
            stopAwaitingUpdate();
        }

        private void closeMalformed() {
            if (closed) { return; }
            close();
            streams.remove(number);
            scheduler.malformedReceived(number, loop.now());
            scheduleNext();
        }

        private void fail() {
            if (closed) { return; }
            close();
            streams.remove(number);
            scheduler.watchEnded(number, loop.now());
            scheduleNext();
        }

        void close() {
            closed = true;
            if (channel == null) {
                cancelDial.run();
                return;
            }
            try {
                channel.close();
            } catch (IOException e) { /* it is gone either way */ }
        }
    }
}

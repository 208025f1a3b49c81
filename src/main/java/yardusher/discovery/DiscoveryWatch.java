package yardusher.discovery;

import java.io.IOException;
import java.net.InetSocketAddress;
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
import yardusher.net.Connection;
import yardusher.net.Sockets;
import yardusher.wire.Codec;

/**
 * The watch on discovery: a long-lived HTTP response. When it ends or falls silent, or discovery moves to another address, a
 * new one is requested; the old one stays in use until the new one has delivered its first object. {@link WatchScheduler} decides
 * when to connect; this class does the socket I/O.
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
    private final Map<Integer, Stream> streams = new HashMap<>(); // at most three
    private Deadlines.Entry schedulerTimer;          // the next call of the clock
    private double schedulerTimerAtMs = Double.POSITIVE_INFINITY;
    private Runnable firstUpdateAction;              // runs after the first update, or null
    private boolean updateReceived;                  // discovery has sent an update
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

    /** Discovery has moved to another address. */
    public void moveTo(InetSocketAddress to) {
        if (to.equals(address)) { return; }
        address = to;
        scheduler.addressMoved(loop.now());
        scheduleNext();
    }

    /**
     * Runs an action once: after the first update from discovery has reached the module, or after {@code withinMs} at the latest.
     * Not at all once the watch has stopped. Holds one action at a time.
     */
    public void runAfterFirstUpdate(double withinMs, Runnable then) {
        if (updateReceived || withinMs <= 0) {
            then.run();
            return;
        }
        firstUpdateAction = then;
        loop.deadlines().schedule(loop.now() + withinMs, this::stopAwaitingUpdate);
    }

    /** Runs the action that waits for the first update, without waiting any longer. */
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

    /** Schedules the clock's next call. Too early is harmless, so a later time waits for the call already scheduled. */
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

    /** One watch connection, from its dial on. */
    private final class Stream implements Connection.Owner {
        private final int number;
        private final HttpLineReader lines = new HttpLineReader();
        private final JsonObjectAssembler objects = new JsonObjectAssembler();
        private final ReceivedBytes received = new ReceivedBytes();
        private Runnable cancelDial = () -> { };     // cancels the dial in progress
        private Connection connection;
        private long revisionAtRequest;              // the revision known when the request was sent
        private long requestedRevision;              // the revision requested from, 0 for the full list
        private final Set<Long> updatedElsewhere = new HashSet<>(); // backends that other watches updated since the dial
        private boolean closed;

        Stream(int number) {
            this.number = number;
            try {
                cancelDial = sockets.connect(address, WatchScheduler.CANDIDATE_LIFETIME_MS, made -> {
                    connection = new Connection(made, loop, this, received);
                    sendRequest();
                }, this::fail);
            } catch (RuntimeException e) {
                // An address that the system cannot even try counts as refused, so that the clock goes on.
                loop.defer(this::fail);
            }
        }

        private void sendRequest() {
            counters.listWatches++;
            revisionAtRequest = table.revision();
            requestedRevision = scheduler.requestsFullList() ? 0 : revisionAtRequest;
            String request = "GET /v1/servers?follow=1&since=" + requestedRevision + " HTTP/1.1\r\nHost: "
                    + address.getHostString() + ":" + address.getPort() + "\r\nAccept: application/json\r\n\r\n";
            connection.write(request.getBytes(StandardCharsets.US_ASCII));
            connection.readMore();
        }

        @Override
        public boolean onReadable(Connection from) {
            if (closed) { return false; }
            try {
                lines.feed(received.bytes(), received.takeCount());
            } catch (IOException e) {
                logMalformed(e);
                fail();
                return false;
            }
            for (String line; !closed && (line = lines.nextLine()) != null;) { onLine(line); }
            if (closed) { return false; }
            if (lines.isComplete()) { end(); }
            return !closed;
        }

        @Override
        public void onClosed(Connection from) { end(); }

        /** The response ended or broke off: a complete last object counts even without its line end. */
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
                fail();                              // otherwise the watch would stay open without being read
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
            // A response written before the old watch's latest updates must not undo them. Revisions of another address are not
            // comparable.
            boolean late = first && !scheduler.isAddressChanged() && version >= revisionAtRequest && version < table.revision();
            Api.ServerList update = late ? table.applyExcept(fields, updatedElsewhere) : table.apply(fields);
            for (Stream other : streams.values()) {
                if (other == this || !scheduler.isCandidate(other.number)) { continue; }
                for (Api.Server server : update.servers()) { other.updatedElsewhere.add(server.id()); }
            }
            counters.listChanges++;
            counters.completeLists += update.kind() == Api.ListKind.FULL ? 1 : 0;
            ingress.deliver(update);
            updateReceived = true;
            if (table.unreadableEntries() > 0) {
                counters.malformedListLines += table.unreadableEntries();
                System.err.println("service table: " + table.unreadableEntries() + " entries cannot be read");
            }
            if (table.unreadableEntries() > 0 && !(first && requestedRevision == 0)) {
                closeMalformed();                    // requests the unreadable entries again, in the end the full list
            } else if (first && update.kind() != Api.ListKind.FULL && version < requestedRevision) {
                scheduler.keepAliveReceived(number, loop.now()); // changes after a revision that is not ours: some are missing
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
            if (connection == null) { cancelDial.run(); } else { connection.close(); }
        }
    }
}

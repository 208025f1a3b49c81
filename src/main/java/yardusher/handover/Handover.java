package yardusher.handover;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.util.Collection;
import yardusher.core.Deadlines;
import yardusher.core.PeerSender;
import yardusher.core.EventLoop;
import yardusher.error.CommandError;
import yardusher.error.WireError;
import yardusher.error.YardusherError;
import yardusher.log.Events;
import yardusher.net.LineReader;
import yardusher.net.Connection;
import yardusher.net.Sockets;

/**
 * Coordinates two processes of one ingress during an upgrade: finds the process that already serves, answers the one that
 * succeeds it, and decides which of the two owns what; see docs/design/upgrade.md. Used on the event loop only, but for its
 * construction.
 */
public final class Handover implements PeerSender, SiblingLink.Listener {
    /** What the handover asks of this process. */
    public interface ProcessActions {
        /** Bans a region in this process only, or lifts the ban. */
        void ban(String region, boolean out);

        Collection<String> banned();

        void drain(boolean away);

        boolean isDraining();

        /** Delivers a message of another ingress, or of this one's other process, to the module. */
        void deliver(int from, String body);

        /** Whether another process of this ingress runs, and whether this one owns the ingress's shares of ceilings. */
        void siblingChanged(boolean other, boolean owns);

        /** Opens the peer port of this ingress; an {@link IOException} if it cannot. */
        void openPeerPort() throws IOException;

        void closePeerPort();

        /** Sends a datagram from the peer port. */
        void send(int to, String body);

        /** Starts to accept clients, now or later, and then runs {@code then}; an {@link java.io.UncheckedIOException} if it cannot. */
        void acceptClients(Runnable then);
    }

    // Until the previous process, which may be short of processor time, has sent its whole state: what it does not send in time
    // is lost, bans included. Half of the 6 s within which a new version must accept clients.
    private static final double STATE_TIMEOUT_MS = 3000;
    private static final double BAN_CONFIRM_TIMEOUT_MS = 500; // for the other process to confirm a ban: half of a caller's timeout

    private final Sockets sockets;
    private final EventLoop loop;
    private final ProcessActions process;
    private final int self;
    private final String name;
    private final Path folder;                       // null: neither finds another process nor can be found
    private final Events events;
    private HandoverFile ownFile;
    private SiblingLink sibling;
    private boolean siblingIsNewer;                  // the other process is the newer one
    private boolean ownsPeerPort;                    // this process owns the peer port
    private boolean serving;
    private Deadlines.Entry stateTimeout;

    /** {@code folder} is where notes are stored, null for none; {@code self} this ingress's number. */
    public Handover(Sockets sockets, ProcessActions process, int self, String name, Path folder, Events events) {
        this.sockets = sockets;
        this.loop = sockets.loop();
        this.process = process;
        this.self = self;
        this.name = name;
        this.folder = folder;
        this.events = events;
    }

    /** Whether another process of this ingress is connected. */
    public boolean hasSibling() { return sibling != null; }

    /** Whether the other process is the newer one and accepts clients, so that this one must end. */
    public boolean hasSuccessor() { return sibling != null && siblingIsNewer && !ownsPeerPort; }

    /**
     * Accepts clients at once, or after the process that already serves has sent its state. {@code at} is the admin address
     * of this process, null for none.
     */
    public void start(InetSocketAddress at) {
        HandoverFile before = null;
        if (folder != null && at != null) {
            ownFile = HandoverFile.create(at);
            try {
                before = HandoverFile.read(folder, name);
            } catch (IOException e) {
                events.warn("starts without the process before", "why", e.getMessage());
            } catch (WireError e) {
                events.warn("starts without the process before", e);
            }
        }
        if (before == null) {
            startServing();
            return;
        }
        stateTimeout = loop.deadlines().schedule(loop.now() + STATE_TIMEOUT_MS, () -> startWithoutPredecessor("it does not answer"));
        String call = "handover " + HandoverFile.VERSION + " " + before.token() + "\n";
        Runnable drop = sockets.connect(before.address(), STATE_TIMEOUT_MS, channel -> {
            if (serving) { return; }
            LineReader lines = new LineReader(HandoverMessage.MAX_LINE_BYTES);
            sibling = new SiblingLink(lines, this);
            Connection link = new Connection(channel, loop, sibling, lines);
            sibling.setConnection(link);
            link.write(call.getBytes(StandardCharsets.US_ASCII));
            link.readMore();
            process.siblingChanged(true, false);
        }, () -> startWithoutPredecessor("it is gone"));
        if (serving) { drop.run(); }
    }

    /** Starts without the state of a previous process, as after a restart. */
    private void startWithoutPredecessor(String why) {
        if (serving) { return; }
        events.warn("starts without the process before", "why", why);
        startServing();
    }

    private void startServing() {
        if (serving) { return; }
        serving = true;
        ownsPeerPort = true;
        loop.deadlines().cancel(stateTimeout);
        try {
            process.openPeerPort();
            process.siblingChanged(sibling != null, true);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        process.acceptClients(() -> {
            try {
                if (ownFile != null) { ownFile.write(folder, name); }
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            if (sibling != null) { sibling.send(new HandoverMessage.Serving()); }
        });
    }

    /** This process ends and must no longer be found. */
    public void close() {
        SiblingLink last = sibling;
        sibling = null;                              // so that its close does not count as a failed takeover
        if (last != null) { last.close(); } else if (ownFile != null) { ownFile.remove(folder, name); }
    }

    /**
     * The next version requests the state with this line; what it sends afterwards goes to the returned owner. A
     * {@link CommandError} if it may not.
     */
    public Connection.Owner acceptSuccessor(String line, LineReader lines, Connection link) {
        String[] words = line.split(" ", -1);
        if (words.length != 3 || ownFile == null || !MessageDigest.isEqual(words[2].getBytes(StandardCharsets.ISO_8859_1),
                ownFile.token().getBytes(StandardCharsets.ISO_8859_1))) {
            throw new CommandError.Unknown("no such call");
        }
        if (!words[1].equals(Integer.toString(HandoverFile.VERSION))) { throw new CommandError.Refused("another version is spoken here"); }
        if (sibling != null) { throw new CommandError.Refused("another process is there already"); }
        SiblingLink successor = new SiblingLink(lines, this);
        successor.setConnection(link);
        sibling = successor;
        siblingIsNewer = true;
        events.info("is asked by its next version");
        for (String region : process.banned()) { successor.sendBan(new HandoverMessage.Ban(region, true), () -> { }); }
        if (process.isDraining()) { successor.send(new HandoverMessage.Drain(true)); }
        process.siblingChanged(true, true);          // makes the module send its totals
        successor.send(new HandoverMessage.StateComplete());
        return successor;
    }

    /** Forwards a ban to the other process; {@code then} runs once, when it holds there too or after half a second. */
    public void forwardBan(String region, boolean out, Runnable then) {
        if (sibling == null) {
            then.run();
            return;
        }
        boolean[] over = new boolean[1];
        Runnable once = () -> {
            if (!over[0]) { then.run(); }
            over[0] = true;
        };
        Deadlines.Entry limit = loop.deadlines().schedule(loop.now() + BAN_CONFIRM_TIMEOUT_MS, once);
        sibling.sendBan(new HandoverMessage.Ban(region, out), () -> {
            loop.deadlines().cancel(limit);
            once.run();
        });
    }

    public void forwardDrain(boolean away) {
        if (sibling != null) { sibling.send(new HandoverMessage.Drain(away)); }
    }

    /** A datagram arrived at the peer port. */
    public void onDatagram(int from, String body) {
        process.deliver(from, body);
        if (sibling != null) { sibling.send(new HandoverMessage.PeerDatagram(from, body)); }
    }

    @Override
    public void send(int to, String body) {
        if (to == self) {
            if (sibling != null) { sibling.send(new HandoverMessage.PeerDatagram(self, body)); }
        } else if (ownsPeerPort || sibling == null) {
            process.send(to, body);
        } else {
            sibling.send(new HandoverMessage.SendDatagram(to, body));
        }
    }

    @Override
    public void onMessage(SiblingLink from, HandoverMessage message) {
        if (message instanceof HandoverMessage.Ban ban) {
            process.ban(ban.region(), ban.banned());
            from.send(new HandoverMessage.BanConfirmed());
        } else if (message instanceof HandoverMessage.BanConfirmed) {
            from.confirmOldestBan();
        } else if (message instanceof HandoverMessage.Drain drain) {
            process.drain(drain.away());
        } else if (message instanceof HandoverMessage.PeerDatagram heard) {
            process.deliver(heard.from(), heard.body());
        } else if (message instanceof HandoverMessage.SendDatagram send) {
            if (ownsPeerPort && send.to() != self) { process.send(send.to(), send.body()); }
        } else if (message instanceof HandoverMessage.StateComplete) {
            if (!siblingIsNewer) { startServing(); }
        } else if (siblingIsNewer) {                 // HandoverMessage.Serving
            ownsPeerPort = false;
            process.closePeerPort();
            process.siblingChanged(true, false);
        }
    }

    @Override
    public void onSiblingGone(SiblingLink from) {
        if (from != sibling) { return; }
        sibling = null;
        boolean before = siblingIsNewer;
        siblingIsNewer = false;
        if (!serving) {
            startWithoutPredecessor("it has ended");
            return;
        }
        if (before) {
            // The new version died: this process continues. This holds even if its Serving message was not received, since
            // a reset destroys unread bytes.
            ownsPeerPort = true;
            try {
                process.openPeerPort();
                ownFile.write(folder, name);         // the other process's note is stale now
            } catch (IOException e) {
                events.warn("the peers' port or the note cannot be taken back", "why", e.getMessage());
            } catch (YardusherError e) {
                events.warn("the peers' port or the note cannot be taken back", e);
            }
        }
        process.siblingChanged(false, true);
    }
}

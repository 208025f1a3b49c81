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
 * Two processes of one ingress while a new version takes over: finds the process that serves already, is asked by the one
 * that comes after, and says which of the two owns what; see docs/design/upgrade.md. In turns only, but for its making.
 */
public final class Handover implements PeerSender, SiblingLink.Listener {
    /** What this program does on its way. */
    public interface ProcessActions {
        /** A region is out by hand, or no longer; here only. */
        void ban(String region, boolean out);

        Collection<String> banned();

        void drain(boolean away);

        boolean isDraining();

        /** The module hears what an ingress says, this one's other process too. */
        void deliver(int from, String body);

        /** Another process of this ingress is there or not; this one owns what the ingress earns, or not. */
        void siblingChanged(boolean other, boolean owns);

        /** Speaks and listens to the other ingresses at the port of this one; an {@link IOException} where it cannot. */
        void openPeerPort() throws IOException;

        void closePeerPort();

        /** Sends by the port. */
        void send(int to, String body);

        /** Listens for clients and takes them, now or in a later turn, and then runs that; an {@link java.io.UncheckedIOException} where it cannot. */
        void acceptClients(Runnable then);
    }

    // To all that the process before has to tell, which may be short of processor time: what it does not tell in time is
    // lost, bans with it. Half of the 6 s in which a new version is to take clients.
    private static final double STATE_TIMEOUT_MS = 3000;
    private static final double BAN_CONFIRM_TIMEOUT_MS = 500;       // to the word that a ban holds there too: half a caller's patience

    private final Sockets sockets;
    private final EventLoop loop;
    private final ProcessActions process;
    private final int self;
    private final String name;
    private final Path folder;                       // null: neither finds nor is found
    private final Events events;
    private HandoverFile ownFile;
    private SiblingLink sibling;
    private boolean siblingIsNewer;                           // the other came after this one
    private boolean ownsPeerPort;                            // this one owns the peers' port
    private boolean serving;
    private Deadlines.Entry stateTimeout;

    /** {@code folder} is where notes lie, null for none; {@code self} this ingress's number. */
    public Handover(Sockets sockets, ProcessActions process, int self, String name, Path folder, Events events) {
        this.sockets = sockets;
        this.loop = sockets.loop();
        this.process = process;
        this.self = self;
        this.name = name;
        this.folder = folder;
        this.events = events;
    }

    /** Whether another process of this ingress is there. */
    public boolean hasSibling() { return sibling != null; }

    /** Whether the other process came after this one and takes clients, so that this one is to end. */
    public boolean hasSuccessor() { return sibling != null && siblingIsNewer && !ownsPeerPort; }

    /**
     * Takes clients at once, or once the process that serves already has told what it knows. {@code at} is the second
     * address of this process, null for none.
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

    /** Nothing can be learned: as after a restart. */
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

    /** This process ends: it is not to be found any more. */
    public void close() {
        SiblingLink last = sibling;
        sibling = null;                                // nothing is taken back from it
        if (last != null) { last.close(); } else if (ownFile != null) { ownFile.remove(folder, name); }
    }

    /**
     * The next version asks for what is known, with this line; what it says afterwards comes to the result. An
     * {@link CommandError} for one that may not.
     */
    public Connection.Owner acceptSuccessor(String line, LineReader lines, Connection link) {
        String[] words = line.split(" ", -1);
        if (words.length != 3 || ownFile == null || !MessageDigest.isEqual(words[2].getBytes(StandardCharsets.ISO_8859_1),
                ownFile.token().getBytes(StandardCharsets.ISO_8859_1))) {
            throw new CommandError.Unknown("no such call");
        }
        if (!words[1].equals(Integer.toString(HandoverFile.VERSION))) { throw new CommandError.Refused("another version is spoken here"); }
        if (sibling != null) { throw new CommandError.Refused("another process is there already"); }
        SiblingLink heir = new SiblingLink(lines, this);
        heir.setConnection(link);
        sibling = heir;
        siblingIsNewer = true;
        events.info("is asked by its next version");
        for (String region : process.banned()) { heir.sendBan(new HandoverMessage.Ban(region, true), () -> { }); }
        if (process.isDraining()) { heir.send(new HandoverMessage.Drain(true)); }
        process.siblingChanged(true, true);                  // the module tells its sums at this
        heir.send(new HandoverMessage.StateComplete());
        return heir;
    }

    /** Tells the other process of a ban that holds here; {@code then} runs when it holds there too, once, in half a second at the most. */
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

    /** A datagram came to the port. */
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
    public void onMessage(SiblingLink from, HandoverMessage word) {
        if (word instanceof HandoverMessage.Ban ban) {
            process.ban(ban.region(), ban.banned());
            from.send(new HandoverMessage.BanConfirmed());
        } else if (word instanceof HandoverMessage.BanConfirmed) {
            from.confirmOldestBan();
        } else if (word instanceof HandoverMessage.Drain drain) {
            process.drain(drain.away());
        } else if (word instanceof HandoverMessage.PeerDatagram heard) {
            process.deliver(heard.from(), heard.body());
        } else if (word instanceof HandoverMessage.SendDatagram send) {
            if (ownsPeerPort && send.to() != self) { process.send(send.to(), send.body()); }
        } else if (word instanceof HandoverMessage.StateComplete) {
            if (!siblingIsNewer) { startServing(); }
        } else if (siblingIsNewer) {                          // it serves
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
            // The new version died: this one goes on as if nothing had been. Also where its word that it serves is not
            // known here, since a reset destroys what is not yet read.
            ownsPeerPort = true;
            try {
                process.openPeerPort();
                ownFile.write(folder, name);             // the other's note leads nowhere now
            } catch (IOException e) {
                events.warn("the peers' port or the note cannot be taken back", "why", e.getMessage());
            } catch (YardusherError e) {
                events.warn("the peers' port or the note cannot be taken back", e);
            }
        }
        process.siblingChanged(false, true);
    }
}

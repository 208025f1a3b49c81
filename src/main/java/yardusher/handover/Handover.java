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
public final class Handover implements PeerSender, Other.Ear {
    /** What the handover asks of this process. */
    public interface Program {
        /** Bans a region in this process only, or lifts the ban. */
        void ban(String region, boolean out);

        Collection<String> banned();

        void drain(boolean away);

        boolean isAway();

        /** Delivers a message of another ingress, or of this one's other process, to the module. */
        void hear(int from, String body);

        /** Whether another process of this ingress runs, and whether this one owns the ingress's shares of ceilings. */
        void shares(boolean other, boolean owns);

        /** Opens the peer port of this ingress; an {@link IOException} if it cannot. */
        void takePort() throws IOException;

        void givePort();

        /** Sends a datagram from the peer port. */
        void send(int to, String body);

        /** Starts to accept clients, now or later on the event loop, and then runs {@code then}; an {@link java.io.UncheckedIOException} if it cannot. */
        void takeClients(Runnable then);
    }

    // Until the previous process, which may be short of processor time, has sent its whole state: what it does not send in time
    // is lost, bans included. Half of the 6 s within which a new version must accept clients.
    private static final double FOUND_MS = 3000;
    private static final double HELD_MS = 500;       // for the other process to confirm a ban: half of a caller's timeout

    private final Sockets sockets;
    private final EventLoop loop;
    private final Program program;
    private final int self;
    private final String name;
    private final Path folder;                       // null: neither finds another process nor can be found
    private final Events events;
    private Note own;
    private Other other;
    private boolean elder;                           // the other process is the newer one
    private boolean port;                            // this process owns the peer port
    private boolean serving;
    private Deadlines.Entry foundBy;

    /** {@code folder} is where notes are stored, null for none; {@code self} this ingress's number. */
    public Handover(Sockets sockets, Program program, int self, String name, Path folder, Events events) {
        this.sockets = sockets;
        this.loop = sockets.loop();
        this.program = program;
        this.self = self;
        this.name = name;
        this.folder = folder;
        this.events = events;
    }

    /** Whether another process of this ingress is connected. */
    public boolean hasOther() { return other != null; }

    /** Whether the other process is the newer one and accepts clients, so that this one must end. */
    public boolean hasHeir() { return other != null && elder && !port; }

    /**
     * Accepts clients at once, or after the process that already serves has sent its state. {@code at} is the admin address
     * of this process, null for none.
     */
    public void start(InetSocketAddress at) {
        Note before = null;
        if (folder != null && at != null) {
            own = Note.at(at);
            try {
                before = Note.read(folder, name);
            } catch (IOException e) {
                events.warn("starts without the process before", "why", e.getMessage());
            } catch (WireError e) {
                events.warn("starts without the process before", e);
            }
        }
        if (before == null) {
            serve();
            return;
        }
        foundBy = loop.deadlines().schedule(loop.now() + FOUND_MS, () -> alone("it does not answer"));
        String call = "handover " + Note.VERSION + " " + before.token() + "\n";
        Runnable drop = sockets.connect(before.address(), FOUND_MS, channel -> {
            if (serving) { return; }
            LineReader lines = new LineReader(Word.MOST_LINE);
            other = new Other(lines, this);
            Connection link = new Connection(channel, loop, other, lines);
            other.on(link);
            link.write(call.getBytes(StandardCharsets.US_ASCII));
            link.readMore();
            program.shares(true, false);
        }, () -> alone("it is gone"));
        if (serving) { drop.run(); }
    }

    /** Starts without the state of a previous process, as after a restart. */
    private void alone(String why) {
        if (serving) { return; }
        events.warn("starts without the process before", "why", why);
        serve();
    }

    private void serve() {
        if (serving) { return; }
        serving = true;
        port = true;
        loop.deadlines().cancel(foundBy);
        try {
            program.takePort();
            program.shares(other != null, true);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        program.takeClients(() -> {
            try {
                if (own != null) { own.write(folder, name); }
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            if (other != null) { other.say(new Word.Serving()); }
        });
    }

    /** This process ends and must no longer be found. */
    public void end() {
        Other last = other;
        other = null;                                // so that its close does not count as a failed takeover
        if (last != null) { last.close(); } else if (own != null) { own.remove(folder, name); }
    }

    /**
     * The next version requests the state with this line; what it sends afterwards goes to the returned owner. A
     * {@link CommandError} if it may not.
     */
    public Connection.Owner succeed(String line, LineReader lines, Connection link) {
        String[] words = line.split(" ", -1);
        if (words.length != 3 || own == null || !MessageDigest.isEqual(words[2].getBytes(StandardCharsets.ISO_8859_1),
                own.token().getBytes(StandardCharsets.ISO_8859_1))) {
            throw new CommandError.Unknown("no such call");
        }
        if (!words[1].equals(Integer.toString(Note.VERSION))) { throw new CommandError.Refused("another version is spoken here"); }
        if (other != null) { throw new CommandError.Refused("another process is there already"); }
        Other heir = new Other(lines, this);
        heir.on(link);
        other = heir;
        elder = true;
        events.info("is asked by its next version");
        for (String region : program.banned()) { heir.ban(new Word.Ban(region, true), () -> { }); }
        if (program.isAway()) { heir.say(new Word.Drain(true)); }
        program.shares(true, true);                  // makes the module send its totals
        heir.say(new Word.Whole());
        return heir;
    }

    /** Forwards a ban to the other process; {@code then} runs once, when it holds there too or after half a second. */
    public void tellBan(String region, boolean out, Runnable then) {
        if (other == null) {
            then.run();
            return;
        }
        boolean[] over = new boolean[1];
        Runnable once = () -> {
            if (!over[0]) { then.run(); }
            over[0] = true;
        };
        Deadlines.Entry limit = loop.deadlines().schedule(loop.now() + HELD_MS, once);
        other.ban(new Word.Ban(region, out), () -> {
            loop.deadlines().cancel(limit);
            once.run();
        });
    }

    public void tellDrain(boolean away) {
        if (other != null) { other.say(new Word.Drain(away)); }
    }

    /** A datagram arrived at the peer port. */
    public void datagram(int from, String body) {
        program.hear(from, body);
        if (other != null) { other.say(new Word.Heard(from, body)); }
    }

    @Override
    public void send(int to, String body) {
        if (to == self) {
            if (other != null) { other.say(new Word.Heard(self, body)); }
        } else if (port || other == null) {
            program.send(to, body);
        } else {
            other.say(new Word.Send(to, body));
        }
    }

    @Override
    public void heard(Other from, Word word) {
        if (word instanceof Word.Ban ban) {
            program.ban(ban.region(), ban.out());
            from.say(new Word.Held());
        } else if (word instanceof Word.Held) {
            from.held();
        } else if (word instanceof Word.Drain drain) {
            program.drain(drain.away());
        } else if (word instanceof Word.Heard heard) {
            program.hear(heard.from(), heard.body());
        } else if (word instanceof Word.Send send) {
            if (port && send.to() != self) { program.send(send.to(), send.body()); }
        } else if (word instanceof Word.Whole) {
            if (!elder) { serve(); }
        } else if (elder) {                          // Word.Serving
            port = false;
            program.givePort();
            program.shares(true, false);
        }
    }

    @Override
    public void gone(Other from) {
        if (from != other) { return; }
        other = null;
        boolean before = elder;
        elder = false;
        if (!serving) {
            alone("it has ended");
            return;
        }
        if (before) {
            // The new version died: this process continues. This holds even if its Serving message was not received, since
            // a reset destroys unread bytes.
            port = true;
            try {
                program.takePort();
                own.write(folder, name);             // the other process's note is stale now
            } catch (IOException e) {
                events.warn("the peers' port or the note cannot be taken back", "why", e.getMessage());
            } catch (YardusherError e) {
                events.warn("the peers' port or the note cannot be taken back", e);
            }
        }
        program.shares(false, true);
    }
}

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
public final class Handover implements PeerSender, Other.Ear {
    /** What this program does on its way. */
    public interface Program {
        /** A region is out by hand, or no longer; here only. */
        void ban(String region, boolean out);

        Collection<String> banned();

        void drain(boolean away);

        boolean isAway();

        /** The module hears what an ingress says, this one's other process too. */
        void hear(int from, String body);

        /** Another process of this ingress is there or not; this one owns what the ingress earns, or not. */
        void shares(boolean other, boolean owns);

        /** Speaks and listens to the other ingresses at the port of this one; an {@link IOException} where it cannot. */
        void takePort() throws IOException;

        void givePort();

        /** Sends by the port. */
        void send(int to, String body);

        /** Listens for clients and takes them, now or in a later turn, and then runs that; an {@link java.io.UncheckedIOException} where it cannot. */
        void takeClients(Runnable then);
    }

    // To all that the process before has to tell, which may be short of processor time: what it does not tell in time is
    // lost, bans with it. Half of the 6 s in which a new version is to take clients.
    private static final double FOUND_MS = 3000;
    private static final double HELD_MS = 500;       // to the word that a ban holds there too: half a caller's patience

    private final Sockets sockets;
    private final EventLoop loop;
    private final Program program;
    private final int self;
    private final String name;
    private final Path folder;                       // null: neither finds nor is found
    private final Events events;
    private Note own;
    private Other other;
    private boolean elder;                           // the other came after this one
    private boolean port;                            // this one owns the peers' port
    private boolean serving;
    private Deadlines.Entry foundBy;

    /** {@code folder} is where notes lie, null for none; {@code self} this ingress's number. */
    public Handover(Sockets sockets, Program program, int self, String name, Path folder, Events events) {
        this.sockets = sockets;
        this.loop = sockets.loop();
        this.program = program;
        this.self = self;
        this.name = name;
        this.folder = folder;
        this.events = events;
    }

    /** Whether another process of this ingress is there. */
    public boolean hasOther() { return other != null; }

    /** Whether the other process came after this one and takes clients, so that this one is to end. */
    public boolean hasHeir() { return other != null && elder && !port; }

    /**
     * Takes clients at once, or once the process that serves already has told what it knows. {@code at} is the second
     * address of this process, null for none.
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

    /** Nothing can be learned: as after a restart. */
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

    /** This process ends: it is not to be found any more. */
    public void end() {
        Other last = other;
        other = null;                                // nothing is taken back from it
        if (last != null) { last.close(); } else if (own != null) { own.remove(folder, name); }
    }

    /**
     * The next version asks for what is known, with this line; what it says afterwards comes to the result. An
     * {@link CommandError} for one that may not.
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
        program.shares(true, true);                  // the module tells its sums at this
        heir.say(new Word.Whole());
        return heir;
    }

    /** Tells the other process of a ban that holds here; {@code then} runs when it holds there too, once, in half a second at the most. */
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

    /** A datagram came to the port. */
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
        } else if (elder) {                          // it serves
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
            // The new version died: this one goes on as if nothing had been. Also where its word that it serves is not
            // known here, since a reset destroys what is not yet read.
            port = true;
            try {
                program.takePort();
                own.write(folder, name);             // the other's note leads nowhere now
            } catch (IOException e) {
                events.warn("the peers' port or the note cannot be taken back", "why", e.getMessage());
            } catch (YardusherError e) {
                events.warn("the peers' port or the note cannot be taken back", e);
            }
        }
        program.shares(false, true);
    }
}

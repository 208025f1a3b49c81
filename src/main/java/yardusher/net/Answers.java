package yardusher.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Locale;
import java.util.Set;
import java.util.function.Supplier;
import yardusher.core.Transaction;
import yardusher.core.Turns;
import yardusher.resp.Encoder;
import yardusher.resp.Malformed;

/**
 * The serving side of a RESP front: terminals' connections, commands in, answers out in the order of the
 * commands however they come. What the commands mean is the front's.
 */
public final class Answers {
    /** A front's meaning of commands. */
    public interface Commands {
        /** Answers the slot now or later, once. */
        void command(byte[][] words, Slot slot);

        /** The terminal left with this command unanswered. */
        void gone(Slot slot);
    }

    private static final int MOST_UNANSWERED = 64; // on one connection; more are read when some are answered

    private final Commands commands;
    private final int mostTerminals;
    private final Turns turns;
    private final Sockets.Door door;
    private final Set<TerminalLink> terminals = new LinkedHashSet<>();
    private boolean closing;

    public Answers(Sockets sockets, InetSocketAddress at, int mostTerminals, Commands commands) throws IOException {
        this.commands = commands;
        this.mostTerminals = mostTerminals;
        this.turns = sockets.turns();
        door = sockets.listen(at, channel -> new TerminalLink(channel, sockets), nothing -> terminals.size() < mostTerminals);
    }

    public InetSocketAddress address() throws IOException { return door.address(); }

    public void open() { door.open(); }

    public int terminalCount() { return terminals.size(); }

    /** Accepts no more; connections are closed as soon as all they asked is answered. */
    public void close() {
        closing = true;
        door.close();
        for (TerminalLink terminal : new ArrayList<>(terminals)) { terminal.closeIfIdle(); }
    }

    /** Answers to what every RESP client may ask; INFO gives the counters. */
    public static byte[] common(byte[][] words, Supplier<String> counters) {
        String name = new String(words[0], StandardCharsets.ISO_8859_1).toUpperCase(Locale.ROOT);
        Encoder out = new Encoder(48);
        return switch (name) {
            case "PING" -> words.length > 1 ? out.bulk(words[1]).toBytes() : out.simple("PONG").toBytes();
            case "INFO" -> out.bulk(counters.get()).toBytes();
            case "CLIENT", "SELECT" -> out.simple("OK").toBytes();
            default -> out.failure("ERR unknown command").toBytes();
        };
    }

    /** The place of one answer on its connection. */
    public final class Slot {
        private final TerminalLink terminal;
        private byte[] bytes;
        /** What is under way for this command, if anything. */
        public Transaction transaction;

        private Slot(TerminalLink terminal) { this.terminal = terminal; }

        public boolean isAnswered() { return bytes != null; }

        /** Reads no more of this terminal's commands for a while. */
        public void pauseReading(double ms) { terminal.pause(ms); }

        public void answer(byte[] answer) {
            if (bytes != null) { return; }
            bytes = answer;
            transaction = null;
            terminal.send();
        }
    }

    private final class TerminalLink implements Link.Owner {
        private final Link link;
        private final ArrayDeque<Slot> slots = new ArrayDeque<>(2);
        private boolean lost;
        private boolean paused;

        TerminalLink(AsynchronousSocketChannel channel, Sockets sockets) {
            link = new Link(channel, sockets.turns(), this);
            terminals.add(this);
            link.readMore();
        }

        @Override
        public boolean readable(Link from) {
            try {
                while (!lost && !paused && slots.size() < MOST_UNANSWERED) {
                    byte[][] words = link.decoder().command();
                    if (words == null) { return true; }
                    Slot slot = new Slot(this);
                    slots.add(slot);
                    commands.command(words, slot);
                }
            } catch (Malformed e) {
                // Framing is lost: what came before is still answered in order, then the connection closes.
                lost = true;
                Slot slot = new Slot(this);
                slots.add(slot);
                slot.answer(new Encoder(64).failure("ERR Protocol error: " + e.getMessage()).toBytes());
            }
            return false;
        }

        void pause(double ms) {
            if (paused) { return; }
            paused = true;
            turns.deadlines().at(turns.now() + ms, () -> {
                paused = false;
                if (!link.isClosed() && readable(link)) { link.readMore(); }
            });
        }

        void send() {
            boolean full = slots.size() >= MOST_UNANSWERED;
            while (!slots.isEmpty() && slots.peek().bytes != null) { link.write(slots.poll().bytes); }
            if (link.isClosed()) { return; }
            if (lost && slots.isEmpty()) {
                leave();
                link.finish();
            } else if (full && slots.size() < MOST_UNANSWERED && readable(link)) {
                link.readMore();
            }
            closeIfIdle();
        }

        void closeIfIdle() {
            if (closing && slots.isEmpty()) {
                leave();
                link.finish();
            }
        }

        @Override
        public void ended(Link from) {
            leave();
            for (Slot slot : slots) {
                if (slot.bytes == null) {
                    slot.bytes = new byte[0];
                    commands.gone(slot);
                }
            }
            slots.clear();
        }

        private void leave() {
            if (terminals.remove(this) && !closing && terminals.size() == mostTerminals - 1) { door.open(); }
        }
    }
}

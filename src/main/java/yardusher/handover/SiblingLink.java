package yardusher.handover;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import yardusher.error.WireError;
import yardusher.net.LineReader;
import yardusher.net.Connection;

/** The link to the other process of this ingress: words in, words out. In turns only. */
public final class SiblingLink implements Connection.Owner {
    /** What is done with what the other says. */
    public interface Listener {
        void onMessage(SiblingLink from, HandoverMessage word);

        /** The other process has ended, or says what cannot be understood. */
        void onSiblingGone(SiblingLink other);
    }

    private final LineReader lines;
    private final Listener listener;
    private final ArrayDeque<Runnable> unconfirmedBans = new ArrayDeque<>();
    private Connection connection;

    public SiblingLink(LineReader lines, Listener ear) {
        this.lines = lines;
        this.listener = ear;
    }

    /** The connection that carries it, whose lines are those given before. */
    public void setConnection(Connection carried) { connection = carried; }

    public void send(HandoverMessage word) { sendLine(word.encode()); }

    void sendLine(String line) { connection.write((line + "\n").getBytes(StandardCharsets.ISO_8859_1)); }

    /** Says a ban; {@code then} runs once it holds there, or the other has gone. */
    void sendBan(HandoverMessage.Ban ban, Runnable then) {
        unconfirmedBans.add(then);
        send(ban);
    }

    /** The oldest ban said holds there. */
    void confirmOldestBan() {
        Runnable then = unconfirmedBans.poll();
        if (then != null) { then.run(); }
    }

    @Override
    public boolean onReadable(Connection from) {
        try {
            for (String line; !connection.isClosed() && (line = lines.nextLine()) != null;) { listener.onMessage(this, HandoverMessage.parse(line)); }
            return true;
        } catch (WireError e) {
            close();
            return false;
        }
    }

    @Override
    public void onClosed(Connection from) { handleClosed(); }

    /** Ends the link from this side. */
    public void close() {
        connection.close();
        handleClosed();
    }

    private void handleClosed() {
        for (Runnable then; (then = unconfirmedBans.poll()) != null;) { then.run(); }
        listener.onSiblingGone(this);
    }
}

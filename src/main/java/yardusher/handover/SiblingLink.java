package yardusher.handover;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import yardusher.error.WireError;
import yardusher.net.LineReader;
import yardusher.net.Connection;

/** The link to the other process of this ingress, which exchanges {@link HandoverMessage}s. Used on the event loop only. */
public final class SiblingLink implements Connection.Owner {
    /** Receives the messages of the other process. */
    public interface Listener {
        void onMessage(SiblingLink from, HandoverMessage message);

        /** The other process has ended, or sent a malformed message. */
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

    /** Sets the connection, whose input goes to the line reader given to the constructor. */
    public void setConnection(Connection carried) { connection = carried; }

    public void send(HandoverMessage message) { sendLine(message.encode()); }

    void sendLine(String line) { connection.write((line + "\n").getBytes(StandardCharsets.ISO_8859_1)); }

    /** Sends a ban; {@code then} runs once it holds there, or the other process is gone. */
    void sendBan(HandoverMessage.Ban ban, Runnable then) {
        unconfirmedBans.add(then);
        send(ban);
    }

    /** The other process confirmed the oldest unconfirmed ban. */
    void confirmOldestBan() {
        Runnable then = unconfirmedBans.poll();
        if (then != null) { then.run(); }
    }

    @Override
    public boolean onReadable(Connection from) {
        try {
            for (String line; !connection.isClosed() && (line = lines.nextLine()) != null;) {
                listener.onMessage(this, HandoverMessage.parse(line));
            }
            return true;
        } catch (WireError e) {
            close();
            return false;
        }
    }

    @Override
    public void onClosed(Connection from) { handleClosed(); }

    /** Closes the link locally. */
    public void close() {
        connection.close();
        handleClosed();
    }

    private void handleClosed() {
        for (Runnable then; (then = unconfirmedBans.poll()) != null;) { then.run(); }
        listener.onSiblingGone(this);
    }
}

package yardusher.handover;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import yardusher.error.WireError;
import yardusher.net.LineReader;
import yardusher.net.Connection;

/** The link to the other process of this ingress, which exchanges {@link Word}s. Used on the event loop only. */
public final class Other implements Connection.Owner {
    /** Receives the messages of the other process. */
    public interface Ear {
        void heard(Other from, Word word);

        /** The other process has ended, or sent a malformed message. */
        void gone(Other other);
    }

    private final LineReader lines;
    private final Ear ear;
    private final ArrayDeque<Runnable> unheld = new ArrayDeque<>();
    private Connection link;

    public Other(LineReader lines, Ear ear) {
        this.lines = lines;
        this.ear = ear;
    }

    /** Sets the connection, whose input goes to the line reader given to the constructor. */
    public void on(Connection carried) { link = carried; }

    public void say(Word word) { raw(word.line()); }

    void raw(String line) { link.write((line + "\n").getBytes(StandardCharsets.ISO_8859_1)); }

    /** Sends a ban; {@code then} runs once it holds there, or the other process is gone. */
    void ban(Word.Ban ban, Runnable then) {
        unheld.add(then);
        say(ban);
    }

    /** The other process confirmed the oldest unconfirmed ban. */
    void held() {
        Runnable then = unheld.poll();
        if (then != null) { then.run(); }
    }

    @Override
    public boolean onReadable(Connection from) {
        try {
            for (String line; !link.isClosed() && (line = lines.nextLine()) != null;) { ear.heard(this, Word.of(line)); }
            return true;
        } catch (WireError e) {
            close();
            return false;
        }
    }

    @Override
    public void onClosed(Connection from) { over(); }

    /** Closes the link locally. */
    public void close() {
        link.close();
        over();
    }

    private void over() {
        for (Runnable then; (then = unheld.poll()) != null;) { then.run(); }
        ear.gone(this);
    }
}

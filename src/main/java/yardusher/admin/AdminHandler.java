package yardusher.admin;

import yardusher.fence.InstanceFence;
import yardusher.net.LineReader;
import yardusher.net.Connection;

/**
 * What an ingress does at the calls of its second address. In turns only. A call that cannot be followed is an
 * {@link yardusher.error.YardusherError} whose message is a few plain words.
 */
public interface AdminHandler {
    /** Whether this process takes clients now. */
    boolean acceptsClients();

    /** The figures, a line each, every line ended. */
    String counterLines();

    /** What a subsystem says to a call of its own, lines that are each ended; null where none has such a call. */
    String report(String call);

    /** Keeps a region out by hand, or ends that; {@code then} runs once it holds. */
    void ban(String region, boolean out, Runnable then);

    /** Whether calls of the fleet's work are taken, which carry a token. */
    boolean isFenced();

    /** The fence against old owners of the fleet's work; asked only where it is on. */
    InstanceFence fence();

    /** Sends the clients away, or takes them again. */
    void drain(boolean away);

    /** The next version of this program speaks, with this line; what it says afterwards is the result's to hear. */
    Connection.Owner acceptSuccessor(String line, LineReader lines, Connection link);
}

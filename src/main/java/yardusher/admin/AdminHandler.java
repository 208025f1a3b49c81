package yardusher.admin;

import yardusher.fence.InstanceFence;
import yardusher.net.LineReader;
import yardusher.net.Connection;

/**
 * What an ingress does for the calls at its admin address. Called on the event loop only. A call that fails throws a
 * {@link yardusher.error.YardusherError} with a short message.
 */
public interface AdminHandler {
    /** Whether this process accepts clients now. */
    boolean acceptsClients();

    /** The counters, one terminated line each. */
    String counterLines();

    /** The terminated lines with which a subsystem answers a call; null if no subsystem has such a call. */
    String report(String call);

    /** Bans a region or lifts the ban; {@code then} runs once it holds. */
    void ban(String region, boolean out, Runnable then);

    /** Whether calls of fleet operations, which carry a fencing token, are accepted. */
    boolean isFenced();

    /** The fence against former owners of fleet operations; called only if {@link #isFenced}. */
    InstanceFence fence();

    /** Redirects the clients away, or accepts them again. */
    void drain(boolean away);

    /** The next version of this program connects with this line; what it sends afterwards goes to the returned owner. */
    Connection.Owner acceptSuccessor(String line, LineReader lines, Connection link);
}

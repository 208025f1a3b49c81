package yardusher.core;

/**
 * A terminal's connection, for state that belongs to the connection and not to a request. Compared by identity. Used on the
 * event loop only.
 */
public interface Session {
    /** Runs the callback once when the connection has closed, whichever side closed it; at once if it is closed already. */
    void onClose(Runnable callback);
}

package yardusher.servers;

/**
 * Limits the number of connections to each backend and is notified of each one. A connection counts from before it is dialled
 * until the backend has closed its side too, because a local close does not prove that the backend has noticed it. Without an
 * implementation, only the descriptor limit applies and a local close ends the connection. Called on the event loop only.
 */
public interface ConnectionAllowance {
    /** Reserves a connection before it is dialled; false if the limit is reached. */
    boolean tryAcquire(long backend);

    /** A connection begins to close, or a dial is abandoned; {@link #closed} follows, however long the backend takes. */
    void closing(long backend);

    /** A connection is closed at both ends, or a dial has failed. */
    void closed(long backend, boolean wasLeaving);

    /** Whether a connection that has just delivered a response must be closed instead of being kept idle. */
    boolean isSurplus(long backend);
}

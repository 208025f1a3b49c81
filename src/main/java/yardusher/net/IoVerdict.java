package yardusher.net;

/** What the result of a socket call means for its connection. */
public enum IoVerdict {
    /** Bytes were transferred. */
    PROGRESS,
    /** The peer has closed its side. */
    PEER_CLOSED,
    /** The connection is broken; no call on it can succeed any more. */
    BROKEN,
    /** This machine or process is short of something for a moment, or the call was interrupted. The connection is unharmed. */
    TRANSIENT,
    /**
     * The failure is not known. It is repeated like a transient one: Linux reports the failure of a broken connection once, and
     * the end of the connection at the next call.
     */
    UNKNOWN;

    /** Whether the call is to be repeated on the same connection. */
    public boolean isRepeated() { return this == TRANSIENT || this == UNKNOWN; }
}

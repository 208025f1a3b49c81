package yardusher.net;

import java.util.Locale;

/** Why a connection ended before its owner had finished with it. */
public enum CloseReason {
    /** The peer closed its side. */
    PEER_CLOSED,
    /** The connection broke. */
    PEER_RESET,
    /** Reads failed on this machine until the retry limit. */
    READ_FAILED,
    /** Writes failed on this machine until the retry limit. */
    WRITE_FAILED,
    /** The peer sends commands and does not read the replies. */
    REPLIES_UNREAD,
    /** The peer goes on sending what is no longer read. */
    INPUT_UNREAD,
    /** A value that had begun could not be completed. */
    VALUE_INCOMPLETE,
    /** A fault of this program. */
    FAULT;

    /** Whether the peer ended the connection, or the network between. */
    public boolean isByPeer() { return this == PEER_CLOSED || this == PEER_RESET; }

    /** The name in counters and logs. */
    public String label() { return name().toLowerCase(Locale.ROOT); }
}

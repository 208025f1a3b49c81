package yardusher.net;

import java.util.Locale;

/** Why a connection ended. */
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
    FAULT,
    /** A resting connection made room for a new one. */
    EVICTED,
    /** Too many connections were resting. */
    EXCESS_IDLE,
    /** The client sent no command for too long. */
    IDLE,
    /** The client did not complete its first command in time, or sent none. */
    SILENT,
    /** The limit on connections was lowered. */
    LIMIT_LOWERED,
    /** Clients are asked to disconnect, or a new version takes over. */
    DRAINING,
    /** The process shuts down. */
    SHUTDOWN,
    /** The client's input could not be read as commands. */
    PROTOCOL_ERROR;

    /** Whether the peer ended the connection, or the network between. */
    public boolean isByPeer() { return this == PEER_CLOSED || this == PEER_RESET; }

    /** Whether this process chose to end a connection that owed nothing that it knew of. */
    public boolean isByChoice() { return compareTo(EVICTED) >= 0; }

    /** The name in counters and logs. */
    public String label() { return name().toLowerCase(Locale.ROOT); }
}

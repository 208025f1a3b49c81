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
    /** The peer does not read its replies. */
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
    /** The client's input could not be read as commands, or too many of its commands were malformed. */
    PROTOCOL_ERROR,
    /** The client sent more commands behind an open one than are held for it. */
    FLOOD,
    /** The client did not complete a command that it had begun. */
    INCOMPLETE_COMMAND,
    /** The client was the slowest with a command that it had begun when memory for input was short. */
    INPUT_MEMORY;

    /** Whether the peer ended the connection, or the network between. */
    public boolean isByPeer() { return this == PEER_CLOSED || this == PEER_RESET; }

    /** Whether this process may choose to end a connection for this reason that owes no reply to a command that it has handled. */
    public boolean isByChoice() { return this == REPLIES_UNREAD || compareTo(EVICTED) >= 0; }

    /** Whether this process ends a connection for this reason while its client may still send. */
    public boolean mayDropInput() { return isByChoice() || this == VALUE_INCOMPLETE; }

    /** Whether a connection may end for this reason that owes replies. */
    public boolean mayOweReplies() { return compareTo(EVICTED) < 0; }

    /** The name in counters and logs. */
    public String label() { return name().toLowerCase(Locale.ROOT); }
}

package yardusher.mesh;

import java.net.InetSocketAddress;

/**
 * Datagrams between the ingresses of an installation, for membership, units of work, connection shares and rates. They may be
 * lost, duplicated, delayed or reordered; those of another installation, truncated or corrupt ones are dropped. Used on the
 * event loop only.
 */
public interface Mesh {
    /**
     * Maximum length of a body in bytes; a longer one is an {@link IllegalArgumentException}. With the frame it fits one
     * Ethernet packet.
     */
    int MAX_BODY_BYTES = 1200;

    /** The subsystem that a message belongs to. The ordinal is part of the wire format. */
    enum Kind { VIEW, UNITS, PARTS, RATES }

    /** Handles a complete body from a peer's address, on the event loop. */
    interface MessageHandler {
        void onMessage(InetSocketAddress from, byte[] body);
    }

    /** The address at which peers reach this ingress. */
    InetSocketAddress address();

    /** Sends a body, without confirmation of its delivery. */
    void send(InetSocketAddress to, Kind kind, byte[] body);

    /** Sets the handler for bodies of this kind. Bodies of a kind without a handler are counted and dropped. */
    void setHandler(Kind kind, MessageHandler handler);

    /** Counters as names and values: sent, received, and dropped by reason. */
    String countersLine();
}

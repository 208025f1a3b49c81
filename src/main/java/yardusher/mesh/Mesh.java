package yardusher.mesh;

import java.net.InetSocketAddress;

/**
 * Datagrams between the ingresses of one installation, for what they keep together: their view of one another, units of
 * work, parts of connections, rates. Any may be lost, doubled, late or out of order; none is believed that is of another
 * installation, cut or made up by chance. In turns only.
 */
public interface Mesh {
    /** Bytes of a body at the most; a longer one is an {@link IllegalArgumentException}. With the frame it fits one Ethernet packet. */
    int MAX_BODY_BYTES = 1200;

    /** Whose message it is. */
    enum Kind { VIEW, UNITS, PARTS, RATES }

    /** What is done with a body that came whole from that address, in a turn. */
    interface MessageHandler {
        void onMessage(InetSocketAddress from, byte[] body);
    }

    /** Where others reach this one. */
    InetSocketAddress address();

    /** Sends a body; whether it arrives is not told. */
    void send(InetSocketAddress to, Kind kind, byte[] body);

    /** Bodies of this kind go there from now on; those of a kind that nobody hears are counted and dropped. */
    void setHandler(Kind kind, MessageHandler handler);

    /** Names and values for the counters line: sent, heard, and what was dropped by reason. */
    String countersLine();
}

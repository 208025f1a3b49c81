package yardusher;

import java.util.HashMap;
import java.util.Map;
import yardusher.Api.Settings;

/** What is known of the other gateways as senders of messages. Written by gossip; tells others how old and complete the counts can be. */
final class Peers {
    private static final double INTAKE_USED = 0.9;   // fraction of the configured intake; the rest is for bursts
    static final int LIVES = 60;                     // incarnation numbers, which are reused
    final int life;                                  // distinguishes counts of this process from those of a previous one
    final double intake;                             // messages that a gateway may receive, and send, per millisecond
    final Map<Integer, Integer> lives = new HashMap<>(); // of the peers heard from; looked up only
    int wideFrom = Integer.MAX_VALUE;                // set size from which Api.ExternalDemand replaces counts
    double heardAt;                                  // when the last message arrived
    boolean twin, owns = true;                       // another process of this gateway runs; this one owns the shares of ceilings

    /** The limit applies to sending, too: all that is sent has to be received, and receivers drop what exceeds their intake. */
    Peers(int life, Settings settings) {
        this.life = life;
        intake = settings.limits().peers() ? INTAKE_USED * settings.peerIntakePerS() / 1000 : 0;
    }

    /** A hash of a customer's or server's id, the same at all gateways. */
    static int drawn(long id, int of) { return (int) (((id + 1) * 0x9E3779B97F4A7C15L >>> 20) % of); }
}

package yardusher;

import java.util.HashMap;
import java.util.Map;
import yardusher.Api.Settings;

/** What is known of the other gateways as senders of messages. Written by gossip; shows how old and complete the counts can be. */
final class Peers {
    private static final double INTAKE_FRACTION = 0.9; // fraction of the configured intake; the rest is for bursts
    static final int INCARNATIONS = 60; // incarnation numbers, which are reused
    final int incarnation; // distinguishes counts of this process from those of a previous one
    final double intakePerMs; // messages that a gateway may receive, and send, per millisecond
    final Map<Integer, Integer> incarnations = new HashMap<>(); // of the peers heard from; looked up only
    int externalDemandFrom = Integer.MAX_VALUE; // set size from which Api.ExternalDemand replaces counts
    double heardAtMs; // when the last message arrived
    boolean hasSibling, ownsCeilings = true; // a second process of this gateway runs; this one owns the ceilings

    /** The limit applies to sending, too: all that is sent has to be received, and receivers drop what exceeds their intake. */
    Peers(int incarnation, Settings settings) {
        this.incarnation = incarnation;
        intakePerMs = settings.limits().mayMessagePeers() ? INTAKE_FRACTION * settings.peerIntakePerS() / 1000 : 0;
    }

    /** A hash of a customer's or server's id, the same at all gateways. */
    static int hash(long id, int bound) { return (int) (((id + 1) * 0x9E3779B97F4A7C15L >>> 20) % bound); }
}

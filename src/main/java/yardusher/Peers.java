package yardusher;

import java.util.HashMap;
import java.util.Map;
import yardusher.Api.Settings;

/** The other gateways as speakers. Written by gossip; others read here how old and how whole their counts can be. */
final class Peers {
    private static final double INTAKE_FRACTION = 0.9;   // of the told intake; the rest is for bursts
    static final int INCARNATIONS = 60;                     // numbers of lives, which come again
    final int incarnation;                                  // tells this life's counts from a former one's
    final double intakePerMs;                             // messages to take in, and to send, a millisecond
    final Map<Integer, Integer> incarnations = new HashMap<>(); // of the peers heard; looked up only
    int externalDemandFrom = Integer.MAX_VALUE;                // gateways of a set that another part speaks for
    double heardAtMs;                                  // when a message came in last
    boolean hasSibling, ownsCeilings = true;                       // another process of this gateway; which one earns

    /** Danger: what all send is what all take in; more is lost there. */
    Peers(int incarnation, Settings settings) {
        this.incarnation = incarnation;
        intakePerMs = settings.limits().mayMessagePeers() ? INTAKE_FRACTION * settings.peerIntakePerS() / 1000 : 0;
    }

    /** A number that all gateways draw alike for a customer or a server. */
    static int hash(long id, int bound) { return (int) (((id + 1) * 0x9E3779B97F4A7C15L >>> 20) % bound); }
}

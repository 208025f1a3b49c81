package yardusher.fleet;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import yardusher.net.Sockets;
import yardusher.resp.Encoder;

/** The other agents that this one has heard of, and the way to each. In the agent's loop; bounded by the register's members. */
final class PeerDirectory {
    private final FleetSettings settings;
    private final Sockets sockets;
    private final Random random;
    private final Map<String, PeerClient> peers = new TreeMap<>();

    PeerDirectory(FleetSettings settings, Sockets sockets, Random random) {
        this.settings = settings;
        this.sockets = sockets;
        this.random = random;
    }

    /** A member is there from now on. */
    void putMember(String name, String address) {
        if (name.equals(settings.member())) { return; }
        InetSocketAddress at = Sockets.parseAddress(address);
        PeerClient known = peers.get(name);
        if (known == null) { peers.put(name, new PeerClient(sockets, at, random)); } else { known.move(at); }
    }

    /** The way to a member, or null for this one and those never heard of. */
    PeerClient peer(String name) { return peers.get(name); }

    /** A command of the fleet's with the installation's name; what is missing of its words follows. */
    Encoder command(String name, String... words) {
        int count = switch (name) {
            case "FLEET.RAFT" -> 4;
            case "FLEET.OP" -> 3;
            default -> 2 + words.length;
        };
        Encoder out = new Encoder(256).array(count).bulk(name).bulk(settings.installation());
        for (String word : words) { out.bulk(word); }
        return out;
    }

    void close() { peers.values().forEach(PeerClient::close); }
}

package yardusher.fleet;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import yardusher.net.Sockets;
import yardusher.resp.Encoder;

/** The other agents known to this one and the client for each. In the agent's loop; bounded by the register's members. */
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

    /** Adds a member, or updates its address. */
    void putMember(String name, String address) {
        if (name.equals(settings.member())) { return; }
        InetSocketAddress at = Sockets.parseAddress(address);
        PeerClient known = peers.get(name);
        if (known == null) { peers.put(name, new PeerClient(sockets, at, random)); } else { known.move(at); }
    }

    /** The client for a member, or null for this one and unknown ones. */
    PeerClient peer(String name) { return peers.get(name); }

    /** Begins a FLEET command with the installation's name; the caller appends the remaining arguments. */
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

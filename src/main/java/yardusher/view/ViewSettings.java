package yardusher.view;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import yardusher.error.ConfigError;
import yardusher.file.Toml;
import yardusher.net.Sockets;

/**
 * The table {@code view} of deploy/yardusher.toml. {@code listen} is the address of the mesh's socket; {@code advertise} is the
 * address at which the others reach it, null for the socket's own; {@code installation} is the same at all ingresses of an
 * installation; {@code seeds} are addresses of a few of them, used to join. {@code probeMs} is the length of a probe round;
 * {@code suspicionRounds} the minimum number of rounds that a silent member has to refute a suspicion; {@code rememberS} how long GONE
 * members are remembered and probed; {@code settleMs} how long the view has to be stable before a change is reported;
 * {@code hall} is the data hall of this ingress, null for its zone's name.
 */
public record ViewSettings(InetSocketAddress listen, InetSocketAddress advertise, String installation, List<InetSocketAddress> seeds,
        int probeMs, int suspicionRounds, int rememberS, int settleMs, String hall) {
    private static final Set<String> KEYS = Set.of("listen", "advertise", "installation", "seeds", "probe_ms", "suspicion", "remember_s", "settle_ms", "hall");
    private static final int DEFAULT_PROBE_MS = 300;
    private static final int DEFAULT_SUSPICION_ROUNDS = 4;
    private static final int DEFAULT_REMEMBER_S = 600;
    private static final int DEFAULT_SETTLE_MS = 300;
    private static final int MAX_SEEDS = 64;

    /** Creates settings with defaults for everything else. */
    public ViewSettings(InetSocketAddress listen, String installation, List<InetSocketAddress> seeds) {
        this(listen, null, installation, seeds, DEFAULT_PROBE_MS, DEFAULT_SUSPICION_ROUNDS, DEFAULT_REMEMBER_S, DEFAULT_SETTLE_MS, null);
    }

    /** Reads the table, null if it is absent; a {@link ConfigError} names the key and the allowed values. */
    public static ViewSettings of(Toml file) {
        Toml table = file.table("view");
        if (table == null) { return null; }
        table.allowOnly(KEYS);
        String installation = table.text("installation");
        if (!installation.matches("[!-~]{1,64}")) { throw invalidValue("installation", "1 to 64 visible characters"); }
        String hall = table.text("hall", null);
        if (hall != null && !ViewCodec.isHall(hall)) {
            throw invalidValue("hall", "1 to " + ViewCodec.MAX_HALL_LENGTH + " visible characters");
        }
        List<InetSocketAddress> seeds = table.texts("seeds").stream().map(text -> address("seeds", text)).toList();
        if (seeds.size() > MAX_SEEDS) { throw invalidValue("seeds", MAX_SEEDS + " addresses at most"); }
        String advertise = table.text("advertise", null);
        InetSocketAddress listen = address("listen", table.text("listen"));
        if (advertise == null && listen.getAddress().isAnyLocalAddress()) {
            throw invalidValue("advertise", "an address at which the others reach this ingress, since view.listen is a wildcard");
        }
        return new ViewSettings(listen, advertise == null ? null : address("advertise", advertise), installation, seeds,
                table.integer("probe_ms", DEFAULT_PROBE_MS, 50, 60_000), table.integer("suspicion", DEFAULT_SUSPICION_ROUNDS, 2, 100),
                table.integer("remember_s", DEFAULT_REMEMBER_S, 1, 86_400),
                table.integer("settle_ms", DEFAULT_SETTLE_MS, 0, 60_000), hall);
    }

    private static InetSocketAddress address(String key, String text) {
        try {
            InetSocketAddress address = Sockets.parseAddress(text);
            if (key.equals("listen") || address.getPort() != 0 && !address.getAddress().isAnyLocalAddress()) { return address; }
        } catch (ConfigError e) { /* reported below, with the key */ }
        throw invalidValue(key, "an address in digits and a port, such as 127.0.0.4:7946, not " + text);
    }

    private static ConfigError invalidValue(String key, String allowed) { return new ConfigError.Value(null, "view." + key, allowed); }
}

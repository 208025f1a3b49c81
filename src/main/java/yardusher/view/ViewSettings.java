package yardusher.view;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import yardusher.error.ConfigError;
import yardusher.file.Toml;
import yardusher.net.Sockets;

/**
 * What deploy/yardusher.toml says in its table {@code view}. {@code listen} is the port of the mesh, {@code advertise} where the
 * others reach it, null for the port itself; {@code installation} is the same at all ingresses of one; {@code seeds} are where a
 * few of them are found at the start. {@code probeMs} is one round of probes, {@code suspicion} the least rounds that a silent
 * member has to be heard again in, {@code rememberS} how long the gone are remembered and asked for, {@code settleMs} how
 * long a picture has to stand still before it is told on; {@code hall} is this one's, null for its zone's name.
 */
public record ViewSettings(InetSocketAddress listen, InetSocketAddress advertise, String installation, List<InetSocketAddress> seeds,
        int probeMs, int suspicionRounds, int rememberS, int settleMs, String hall) {
    private static final Set<String> KEYS = Set.of("listen", "advertise", "installation", "seeds", "probe_ms", "suspicion", "remember_s", "settle_ms", "hall");
    private static final int DEFAULT_PROBE_MS = 300;
    private static final int DEFAULT_SUSPICION_ROUNDS = 4;
    private static final int DEFAULT_REMEMBER_S = 600;
    private static final int DEFAULT_SETTLE_MS = 300;
    private static final int MAX_SEEDS = 64;

    /** With the defaults for all else. */
    public ViewSettings(InetSocketAddress listen, String installation, List<InetSocketAddress> seeds) {
        this(listen, null, installation, seeds, DEFAULT_PROBE_MS, DEFAULT_SUSPICION_ROUNDS, DEFAULT_REMEMBER_S, DEFAULT_SETTLE_MS, null);
    }

    /** Reads the table; a {@link ConfigError} names the key and what is allowed. Null where it is left out. */
    public static ViewSettings of(Toml file) {
        Toml table = file.table("view");
        if (table == null) { return null; }
        table.allowOnly(KEYS);
        String installation = table.text("installation");
        if (!installation.matches("[!-~]{1,64}")) { throw invalidValue("installation", "1 to 64 visible characters"); }
        String hall = table.text("hall", null);
        if (hall != null && !ViewCodec.isHall(hall)) { throw invalidValue("hall", "1 to " + ViewCodec.MAX_HALL_LENGTH + " visible characters"); }
        List<InetSocketAddress> seeds = table.texts("seeds").stream().map(text -> address("seeds", text)).toList();
        if (seeds.size() > MAX_SEEDS) { throw invalidValue("seeds", MAX_SEEDS + " addresses at the most"); }
        String advertise = table.text("advertise", null);
        InetSocketAddress listen = address("listen", table.text("listen"));
        if (advertise == null && listen.getAddress().isAnyLocalAddress()) {
            throw invalidValue("advertise", "an address that the others reach, since view.listen names none");
        }
        return new ViewSettings(listen, advertise == null ? null : address("advertise", advertise), installation, seeds,
                table.integer("probe_ms", DEFAULT_PROBE_MS, 50, 60_000), table.integer("suspicion", DEFAULT_SUSPICION_ROUNDS, 2, 100), table.integer("remember_s", DEFAULT_REMEMBER_S, 1, 86_400),
                table.integer("settle_ms", DEFAULT_SETTLE_MS, 0, 60_000), hall);
    }

    private static InetSocketAddress address(String key, String text) {
        try {
            InetSocketAddress address = Sockets.parseAddress(text);
            if (key.equals("listen") || address.getPort() != 0 && !address.getAddress().isAnyLocalAddress()) { return address; }
        } catch (ConfigError e) { /* told below, with the key */ }
        throw invalidValue(key, "an address in digits and a port, as 127.0.0.4:7946, not " + text);
    }

    private static ConfigError invalidValue(String key, String allowed) { return new ConfigError.Value(null, "view." + key, allowed); }
}

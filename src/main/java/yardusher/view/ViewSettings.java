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
        int probeMs, int suspicion, int rememberS, int settleMs, String hall) {
    private static final Set<String> KEYS = Set.of("listen", "advertise", "installation", "seeds", "probe_ms", "suspicion", "remember_s", "settle_ms", "hall");
    private static final int PROBE_MS = 300;
    private static final int SUSPICION = 4;
    private static final int REMEMBER_S = 600;
    private static final int SETTLE_MS = 300;
    private static final int MOST_SEEDS = 64;

    /** With the defaults for all else. */
    public ViewSettings(InetSocketAddress listen, String installation, List<InetSocketAddress> seeds) {
        this(listen, null, installation, seeds, PROBE_MS, SUSPICION, REMEMBER_S, SETTLE_MS, null);
    }

    /** Reads the table; a {@link ConfigError} names the key and what is allowed. Null where it is left out. */
    public static ViewSettings of(Toml file) {
        Toml table = file.table("view");
        if (table == null) { return null; }
        table.only(KEYS);
        String installation = table.text("installation");
        if (!installation.matches("[!-~]{1,64}")) { throw bad("installation", "1 to 64 visible characters"); }
        String hall = table.text("hall", null);
        if (hall != null && !Wire.isHall(hall)) { throw bad("hall", "1 to " + Wire.MOST_HALL + " visible characters"); }
        List<InetSocketAddress> seeds = table.texts("seeds").stream().map(text -> address("seeds", text)).toList();
        if (seeds.size() > MOST_SEEDS) { throw bad("seeds", MOST_SEEDS + " addresses at the most"); }
        String advertise = table.text("advertise", null);
        InetSocketAddress listen = address("listen", table.text("listen"));
        if (advertise == null && listen.getAddress().isAnyLocalAddress()) {
            throw bad("advertise", "an address that the others reach, since view.listen names none");
        }
        return new ViewSettings(listen, advertise == null ? null : address("advertise", advertise), installation, seeds,
                table.whole("probe_ms", PROBE_MS, 50, 60_000), table.whole("suspicion", SUSPICION, 2, 100), table.whole("remember_s", REMEMBER_S, 1, 86_400),
                table.whole("settle_ms", SETTLE_MS, 0, 60_000), hall);
    }

    private static InetSocketAddress address(String key, String text) {
        try {
            InetSocketAddress at = Sockets.parseAddress(text);
            if (key.equals("listen") || at.getPort() != 0 && !at.getAddress().isAnyLocalAddress()) { return at; }
        } catch (ConfigError e) { /* told below, with the key */ }
        throw bad(key, "an address in digits and a port, as 127.0.0.4:7946, not " + text);
    }

    private static ConfigError bad(String key, String allowed) { return new ConfigError.Value(null, "view." + key, allowed); }
}

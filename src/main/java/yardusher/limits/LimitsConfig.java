package yardusher.limits;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import yardusher.error.ConfigError;
import yardusher.file.Toml;
import yardusher.net.Sockets;

/**
 * The content of deploy/limits.toml: where the limits frontend listens (nowhere if left out), the class of its requests, and
 * the plan and the set of ingresses of each customer.
 */
public record LimitsConfig(InetSocketAddress listen, String className, long waitMs, int queriesPerS,
        Map<String, Partner> partners, Partner others) {
    /** A customer: its number, its plan and the ingresses that receive its requests. */
    public record Partner(long customer, String plan, int first, int spread) { }

    private static final Set<String> KEYS =
            Set.of("listen", "class", "wait_ms", "queries_per_s", "partner", "others");
    private static final Set<String> PARTNER_KEYS = Set.of("key", "customer", "plan", "first", "spread");

    /** Reads the file; a {@link ConfigError} describes in one line what is wrong with it. */
    public static LimitsConfig read(Path file) { return Toml.read(file, LimitsConfig::of); }

    private static LimitsConfig of(Toml toml) {
        toml.only(KEYS);
        String listen = toml.text("listen", "");
        Map<String, Partner> partners = new HashMap<>();
        for (Toml one : toml.tables("partner")) {
            one.only(PARTNER_KEYS);
            String key = one.text("key");
            if (partners.put(key, partner(one, customer(one.text("customer")))) != null) {
                throw new ConfigError.Conflict(null, "partner.key", "partner " + key + " stands twice");
            }
        }
        Toml others = toml.table("others");
        if (others != null) { others.only(Set.of("plan", "first", "spread")); }
        return new LimitsConfig(listen.isEmpty() ? null : Sockets.address(listen), toml.text("class", ""),
                toml.whole("wait_ms", 1000, 1, 600_000), toml.whole("queries_per_s", 200, 1, 1_000_000), partners,
                others == null ? null : partner(others, -1));
    }

    private static Partner partner(Toml one, long customer) {
        return new Partner(customer, one.text("plan"), one.whole("first", 0, 0, 10_000), one.whole("spread", 1, 1, 10_000));
    }

    /** The customer of a key: by its name in the file, or, where others are admitted, by the customer number itself. */
    Partner partner(String key) {
        Partner named = partners.get(key);
        if (named != null || others == null || !key.matches("[0-9a-f]{16}")) { return named; }
        long customer = number(key);
        return customer < 0 ? null : new Partner(customer, others.plan(), others.first(), others.spread());
    }

    private static long customer(String hex) {
        long number = number(hex);
        if (number < 0) { throw new ConfigError.Value(null, "partner.customer", "up to 16 hex digits below 2^33, not \"" + hex + "\""); }
        return number;
    }

    /** Parses a customer number; -1 if the text is none. */
    private static long number(String hex) {
        long number = hex.matches("[0-9a-f]{1,16}") ? Long.parseUnsignedLong(hex, 16) : -1;
        return number < 1L << 33 ? number : -1;
    }
}

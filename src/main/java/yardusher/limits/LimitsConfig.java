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
 * What deploy/limits.toml says of the limits front: where it listens (nowhere, if left out), the class of its
 * transactions, and each partner's plan and set.
 */
public record LimitsConfig(InetSocketAddress listen, String className, long waitMs, int queriesPerS,
        Map<String, Customer> customers, Customer others) {
    /** A partner: its number, its plan and the ingresses through which its transactions come. */
    public record Customer(long number, String plan, int first, int spread) { }

    private static final Set<String> KEYS =
            Set.of("listen", "class", "wait_ms", "queries_per_s", "partner", "others");
    private static final Set<String> CUSTOMER_KEYS = Set.of("key", "customer", "plan", "first", "spread");

    /** Reads the file; a {@link ConfigError} says in one line what is wrong with it. */
    public static LimitsConfig read(Path file) { return Toml.read(file, LimitsConfig::parse); }

    private static LimitsConfig parse(Toml toml) {
        toml.allowOnly(KEYS);
        String listen = toml.text("listen", "");
        Map<String, Customer> customers = new HashMap<>();
        for (Toml entry : toml.tables("partner")) {
            entry.allowOnly(CUSTOMER_KEYS);
            String key = entry.text("key");
            if (customers.put(key, parseCustomer(entry, requireNumber(entry.text("customer")))) != null) {
                throw new ConfigError.Conflict(null, "partner.key", "partner " + key + " stands twice");
            }
        }
        Toml others = toml.table("others");
        if (others != null) { others.allowOnly(Set.of("plan", "first", "spread")); }
        return new LimitsConfig(listen.isEmpty() ? null : Sockets.parseAddress(listen), toml.text("class", ""),
                toml.integer("wait_ms", 1000, 1, 600_000), toml.integer("queries_per_s", 200, 1, 1_000_000), customers,
                others == null ? null : parseCustomer(others, -1));
    }

    private static Customer parseCustomer(Toml entry, long number) {
        return new Customer(number, entry.text("plan"), entry.integer("first", 0, 0, 10_000), entry.integer("spread", 1, 1, 10_000));
    }

    /** The partner of a key: by name, or, where others are let in, by the customer's number itself. */
    Customer findCustomer(String key) {
        Customer named = customers.get(key);
        if (named != null || others == null || !key.matches("[0-9a-f]{16}")) { return named; }
        long number = parseNumber(key);
        return number < 0 ? null : new Customer(number, others.plan(), others.first(), others.spread());
    }

    private static long requireNumber(String hex) {
        long number = parseNumber(hex);
        if (number < 0) { throw new ConfigError.Value(null, "partner.customer", "up to 16 hex digits below 2^33, not \"" + hex + "\""); }
        return number;
    }

    /** A customer's number; -1 where it is none. */
    private static long parseNumber(String hex) {
        long number = hex.matches("[0-9a-f]{1,16}") ? Long.parseUnsignedLong(hex, 16) : -1;
        return number < 1L << 33 ? number : -1;
    }
}

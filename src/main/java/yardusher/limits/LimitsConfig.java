package yardusher.limits;

import com.electronwill.nightconfig.core.UnmodifiableConfig;
import com.electronwill.nightconfig.core.io.ParsingException;
import com.electronwill.nightconfig.toml.TomlParser;
import java.io.IOException;
import java.io.Reader;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import yardusher.net.Sockets;

/**
 * What deploy/limits.toml says of the limits front: where it listens (nowhere, if left out), the class of its
 * transactions, and each partner's plan and set.
 */
public record LimitsConfig(InetSocketAddress listen, String className, long waitMs, int queriesPerS,
        Map<String, Partner> partners, Partner others) {
    /** A partner: its number, its plan and the ingresses through which its transactions come. */
    public record Partner(long customer, String plan, int first, int spread) { }

    private static final Set<String> KEYS =
            Set.of("listen", "class", "wait_ms", "queries_per_s", "partner", "others");
    private static final Set<String> PARTNER_KEYS = Set.of("key", "customer", "plan", "first", "spread");

    /** Reads the file; an {@link IllegalArgumentException} says in one line what is wrong with it. */
    public static LimitsConfig read(Path file) {
        try (Reader text = Files.newBufferedReader(file)) {
            return of(new TomlParser().parse(text));
        } catch (IOException e) {
            throw new IllegalArgumentException(file + ": cannot be read", e);
        } catch (ParsingException | ClassCastException | IllegalArgumentException e) {
            throw new IllegalArgumentException(file + ": " + String.valueOf(e.getMessage()).lines().findFirst().orElse(""), e);
        }
    }

    private static LimitsConfig of(UnmodifiableConfig toml) {
        only(toml, KEYS);
        String listen = text(toml, "listen", "");
        Map<String, Partner> partners = new HashMap<>();
        List<UnmodifiableConfig> tables = toml.getOrElse("partner", List.of());
        for (UnmodifiableConfig one : tables) {
            only(one, PARTNER_KEYS);
            String key = text(one, "key", null);
            Partner partner = partner(one, customer(text(one, "customer", null)));
            if (partners.put(key, partner) != null) { throw new IllegalArgumentException("partner " + key + " stands twice"); }
        }
        UnmodifiableConfig others = toml.get("others");
        if (others != null) { only(others, Set.of("plan", "first", "spread")); }
        return new LimitsConfig(listen.isEmpty() ? null : Sockets.address(listen), text(toml, "class", "lookup"),
                whole(toml, "wait_ms", 1000, 1, 600_000), whole(toml, "queries_per_s", 200, 1, 1_000_000), partners,
                others == null ? null : partner(others, -1));
    }

    private static Partner partner(UnmodifiableConfig one, long customer) {
        return new Partner(customer, text(one, "plan", null), whole(one, "first", 0, 0, 10_000),
                whole(one, "spread", 1, 1, 10_000));
    }

    /** The partner of a key: by name, or, where others are let in, by the customer's number itself. */
    Partner partner(String key) {
        Partner named = partners.get(key);
        if (named != null || others == null || !key.matches("[0-9a-f]{16}")) { return named; }
        try {
            return new Partner(customer(key), others.plan(), others.first(), others.spread());
        } catch (IllegalArgumentException e) {
            return null;
        }
    }

    private static long customer(String hex) {
        long number = hex.matches("[0-9a-f]{1,16}") ? Long.parseUnsignedLong(hex, 16) : -1;
        if (number < 0 || number >= 1L << 33) { throw new IllegalArgumentException("bad customer \"" + hex + "\""); }
        return number;
    }

    private static String text(UnmodifiableConfig from, String key, String absent) {
        Object value = from.get(key);
        if (value == null && absent != null) { return absent; }
        if (value instanceof String text) { return text; }
        throw new IllegalArgumentException("needs a text in " + key);
    }

    private static int whole(UnmodifiableConfig from, String key, int absent, int least, int most) {
        Object value = from.get(key);
        if (value == null) { return absent; }
        if (value instanceof Number number && number.doubleValue() == number.intValue() && number.intValue() >= least
                && number.intValue() <= most) {
            return number.intValue();
        }
        throw new IllegalArgumentException(key + " must be a whole number from " + least + " to " + most);
    }

    private static void only(UnmodifiableConfig table, Set<String> keys) {
        for (String key : table.valueMap().keySet()) {
            if (!keys.contains(key)) { throw new IllegalArgumentException("unknown key " + key); }
        }
    }
}

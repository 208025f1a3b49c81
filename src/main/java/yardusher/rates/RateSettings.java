package yardusher.rates;

import java.util.Set;
import yardusher.file.Toml;

/**
 * What deploy/yardusher.toml says in its table {@code rates}. {@code bytesPerS}: sent for rates in a second, with the heads of the
 * datagrams; {@code from}: ingresses of the narrowest set whose counts are told as rates in place of rows; {@code horizonS}: seconds over which what
 * a customer is asked is taken together, at the least.
 */
public record RateSettings(int bytesPerS, int minSetSize, int horizonS) {
    private static final Set<String> KEYS = Set.of("bytes_per_s", "from", "horizon_s");

    /** Reads the table; a {@link yardusher.error.ConfigError} names the key and what is allowed. Null where it is left out. */
    public static RateSettings of(Toml file) {
        Toml table = file.table("rates");
        if (table == null) { return null; }
        table.allowOnly(KEYS);
        return new RateSettings(table.integer("bytes_per_s", 1200, 200, 100_000), table.integer("from", 64, 2, 10_000), table.integer("horizon_s", 20, 2, 600));
    }
}

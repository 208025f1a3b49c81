package yardusher.rates;

import java.util.Set;
import yardusher.file.Toml;

/**
 * The table {@code rates} of deploy/yardusher.toml. {@code bytesPerS} is the sending budget in bytes a second, including datagram
 * headers. {@code minSetSize} is the smallest number of ingresses in a customer's set from which its demand is shared as rates instead
 * of counts. {@code horizonS} is the minimum averaging time of demand, in seconds.
 */
public record RateSettings(int bytesPerS, int minSetSize, int horizonS) {
    private static final Set<String> KEYS = Set.of("bytes_per_s", "from", "horizon_s");

    /** Reads the table, null if it is absent; a {@link yardusher.error.ConfigError} names the key and the allowed values. */
    public static RateSettings of(Toml file) {
        Toml table = file.table("rates");
        if (table == null) { return null; }
        table.allowOnly(KEYS);
        return new RateSettings(table.integer("bytes_per_s", 1200, 200, 100_000), table.integer("from", 64, 2, 10_000), table.integer("horizon_s", 20, 2, 600));
    }
}

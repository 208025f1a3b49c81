package yardusher.file;

import com.electronwill.nightconfig.core.UnmodifiableConfig;
import com.electronwill.nightconfig.core.io.ParsingException;
import com.electronwill.nightconfig.toml.TomlParser;
import java.io.IOException;
import java.io.Reader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import yardusher.error.ConfigError;
import yardusher.error.YardusherError;

/** A table of a TOML file with typed access; every invalid value is reported as a {@link ConfigError} that names the key. */
public final class Toml {
    private final UnmodifiableConfig table;
    private final String prefix;                     // of keys in error messages, such as "journal."

    private Toml(UnmodifiableConfig table, String prefix) {
        this.table = table;
        this.prefix = prefix;
    }

    /**
     * Reads a file and converts it; errors name the file. The parser may also throw exceptions that are not its own, which count
     * as syntax errors.
     */
    public static <T> T read(Path file, Function<Toml, T> into) {
        try (Reader text = Files.newBufferedReader(file)) {
            return into.apply(new Toml(new TomlParser().parse(text), ""));
        } catch (IOException e) {
            throw new ConfigError.Unreadable(file, e);
        } catch (YardusherError e) {
            throw e.in(file);
        } catch (ParsingException | ClassCastException | IllegalArgumentException e) {
            throw new ConfigError.Syntax(file, String.valueOf(e.getMessage()).lines().findFirst().orElse(""), e);
        }
    }

    /** Rejects any other key, so that a misspelt key does not silently fall back to its default. */
    public Toml allowOnly(Set<String> keys) {
        for (UnmodifiableConfig.Entry entry : table.entrySet()) {
            String key = entry.getKey();
            if (!keys.contains(key)) { throw new ConfigError.UnknownKey(null, prefix + key, String.join(", ", new TreeSet<>(keys))); }
        }
        return this;
    }

    /** A required string. */
    public String text(String key) {
        if (table.get(key) instanceof String text) { return text; }
        throw new ConfigError.Missing(null, prefix + key, "a text in " + prefix + key);
    }

    public String text(String key, String defaultValue) { return table.get(key) == null ? defaultValue : text(key); }

    /** An integer from {@code min} to {@code max}, both inclusive. */
    public int integer(String key, int defaultValue, int min, int max) {
        Object value = table.get(key);
        if (value == null) { return defaultValue; }
        if (value instanceof Number number && number.doubleValue() == number.intValue() && number.intValue() >= min
                && number.intValue() <= max) {
            return number.intValue();
        }
        throw invalidValue(key, "a whole number from " + min + " to " + max);
    }

    public boolean flag(String key, boolean defaultValue) {
        Object value = table.get(key);
        if (value == null || value instanceof Boolean) { return value == null ? defaultValue : (Boolean) value; }
        throw invalidValue(key, "true or false");
    }

    /** One of the allowed strings. */
    public String choice(String key, String defaultValue, String... allowed) {
        Object value = table.get(key);
        if (value == null) { return defaultValue; }
        if (List.of(allowed).contains(value)) { return (String) value; }
        throw invalidValue(key, "one of " + String.join(", ", allowed));
    }

    /** An array of strings; empty if it is absent. */
    public List<String> texts(String key) {
        return list(key, String.class, "texts");
    }

    /** The tables of an array of tables; empty if it is absent. */
    public List<Toml> tables(String key) {
        return list(key, UnmodifiableConfig.class, "tables").stream().map(one -> new Toml(one, prefix + key + ".")).toList();
    }

    private <T> List<T> list(String key, Class<T> of, String what) {
        Object value = table.get(key);
        if (value == null) { return List.of(); }
        if (value instanceof List<?> items && items.stream().allMatch(of::isInstance)) { return items.stream().map(of::cast).toList(); }
        throw invalidValue(key, "a list of " + what);
    }

    /** A table, or null if it is absent. */
    public Toml table(String key) {
        Object one = table.get(key);
        if (one == null) { return null; }
        if (one instanceof UnmodifiableConfig found) { return new Toml(found, prefix + key + "."); }
        throw invalidValue(key, "a table");
    }

    private ConfigError invalidValue(String key, String allowed) { return new ConfigError.Value(null, prefix + key, allowed); }
}

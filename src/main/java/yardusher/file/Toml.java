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

/** A table of a TOML file with typed access; every complaint is a {@link ConfigError} that names the key. */
public final class Toml {
    private final UnmodifiableConfig table;
    private final String prefix;                     // of keys in complaints, such as "journal."

    private Toml(UnmodifiableConfig table, String prefix) {
        this.table = table;
        this.prefix = prefix;
    }

    /** Reads a file and makes of it what the caller wants; complaints name the file. A reader may still throw what is no error of ours. */
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

    /** Complains of any other key: a misspelt one must not pass for a default. */
    public Toml allowOnly(Set<String> keys) {
        for (UnmodifiableConfig.Entry entry : table.entrySet()) {
            String key = entry.getKey();
            if (!keys.contains(key)) { throw new ConfigError.UnknownKey(null, prefix + key, String.join(", ", new TreeSet<>(keys))); }
        }
        return this;
    }

    public String text(String key) {
        if (table.get(key) instanceof String text) { return text; }
        throw new ConfigError.Missing(null, prefix + key, "a text in " + prefix + key);
    }

    public String text(String key, String defaultValue) { return table.get(key) == null ? defaultValue : text(key); }

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

    /** One of a few words. */
    public String choice(String key, String defaultValue, String... allowed) {
        Object value = table.get(key);
        if (value == null) { return defaultValue; }
        if (List.of(allowed).contains(value)) { return (String) value; }
        throw invalidValue(key, "one of " + String.join(", ", allowed));
    }

    public List<String> texts(String key) {
        return list(key, String.class, "texts");
    }

    /** The tables of an array of tables; empty where it is left out. */
    public List<Toml> tables(String key) {
        return list(key, UnmodifiableConfig.class, "tables").stream().map(one -> new Toml(one, prefix + key + ".")).toList();
    }

    private <T> List<T> list(String key, Class<T> of, String what) {
        Object value = table.get(key);
        if (value == null) { return List.of(); }
        if (value instanceof List<?> items && items.stream().allMatch(of::isInstance)) { return items.stream().map(of::cast).toList(); }
        throw invalidValue(key, "a list of " + what);
    }

    /** One table, or null where it is left out. */
    public Toml table(String key) {
        Object one = table.get(key);
        if (one == null) { return null; }
        if (one instanceof UnmodifiableConfig found) { return new Toml(found, prefix + key + "."); }
        throw invalidValue(key, "a table");
    }

    private ConfigError invalidValue(String key, String allowed) { return new ConfigError.Value(null, prefix + key, allowed); }
}

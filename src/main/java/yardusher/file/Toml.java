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
import java.util.function.Function;

/** A table of a TOML file with typed access; every complaint is an IllegalArgumentException in one plain line. */
public final class Toml {
    private final UnmodifiableConfig table;

    private Toml(UnmodifiableConfig table) { this.table = table; }

    /** Reads a file and makes of it what the caller wants; complaints name the file. */
    public static <T> T read(Path file, Function<Toml, T> into) {
        try (Reader text = Files.newBufferedReader(file)) {
            return into.apply(new Toml(new TomlParser().parse(text)));
        } catch (IOException e) {
            throw new IllegalArgumentException(file + ": cannot be read", e);
        } catch (ParsingException | ClassCastException | IllegalArgumentException e) {
            throw new IllegalArgumentException(file + ": " + String.valueOf(e.getMessage()).lines().findFirst().orElse(""), e);
        }
    }

    /** Complains of any other key: a misspelt one must not pass for a default. */
    public Toml only(Set<String> keys) {
        for (UnmodifiableConfig.Entry entry : table.entrySet()) {
            String key = entry.getKey();
            if (!keys.contains(key)) { throw new IllegalArgumentException("unknown key " + key); }
        }
        return this;
    }

    public String text(String key) {
        if (table.get(key) instanceof String text) { return text; }
        throw new IllegalArgumentException("needs a text in " + key);
    }

    public String text(String key, String absent) { return table.get(key) == null ? absent : text(key); }

    public int whole(String key, int absent, int least, int most) {
        Object value = table.get(key);
        if (value == null) { return absent; }
        if (value instanceof Number number && number.doubleValue() == number.intValue() && number.intValue() >= least
                && number.intValue() <= most) {
            return number.intValue();
        }
        throw new IllegalArgumentException(key + " must be a whole number from " + least + " to " + most);
    }

    public List<String> texts(String key) {
        List<Object> items = table.getOrElse(key, List.of());
        return items.stream().map(String.class::cast).toList();
    }

    /** The tables of an array of tables; empty where it is left out. */
    public List<Toml> tables(String key) {
        List<UnmodifiableConfig> tables = table.getOrElse(key, List.of());
        return tables.stream().map(Toml::new).toList();
    }

    /** One table, or null where it is left out. */
    public Toml table(String key) {
        UnmodifiableConfig one = table.get(key);
        return one == null ? null : new Toml(one);
    }
}

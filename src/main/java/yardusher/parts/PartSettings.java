package yardusher.parts;

import java.util.Set;
import yardusher.file.Toml;

/** What deploy/yardusher.toml says in its table {@code parts}. */
public record PartSettings() {
    /** Reads the table; an IllegalArgumentException names the key and what is allowed. Null where it is left out. */
    public static PartSettings of(Toml file) {
        Toml table = file.table("parts");
        if (table == null) { return null; }
        table.only(Set.of());
        return new PartSettings();
    }
}

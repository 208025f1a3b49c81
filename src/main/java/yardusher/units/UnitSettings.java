package yardusher.units;

import java.util.Set;
import yardusher.file.Toml;

/** What deploy/yardusher.toml says in its table {@code units}. */
public record UnitSettings() {
    /** Reads the table; an IllegalArgumentException names the key and what is allowed. Null where it is left out. */
    public static UnitSettings of(Toml file) {
        Toml table = file.table("units");
        if (table == null) { return null; }
        table.only(Set.of());
        return new UnitSettings();
    }
}

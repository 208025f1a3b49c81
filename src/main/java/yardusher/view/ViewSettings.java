package yardusher.view;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import yardusher.file.Toml;
import yardusher.net.Sockets;

/**
 * What deploy/yardusher.toml says in its table {@code view}: the port of the mesh, the installation's name, the same at all
 * of its ingresses, and where a few of them are found at the start.
 */
public record ViewSettings(InetSocketAddress listen, String installation, List<InetSocketAddress> seeds) {
    /** Reads the table; an IllegalArgumentException names the key and what is allowed. Null where it is left out. */
    public static ViewSettings of(Toml file) {
        Toml table = file.table("view");
        if (table == null) { return null; }
        table.only(Set.of("listen", "installation", "seeds"));
        return new ViewSettings(Sockets.address(table.text("listen")), table.text("installation"),
                table.texts("seeds").stream().map(Sockets::address).toList());
    }
}

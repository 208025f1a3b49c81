package yardusher.register;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import yardusher.error.RegisterError;
import yardusher.error.WireError;

/**
 * The regions that operators have banned at all ingresses, and those unbanned since, each with the revision of its last
 * change. Written as {@code REVISION:REGION:out}, separated by commas. Immutable.
 */
public final class Bans {
    /** Regions held. When full, the region unbanned longest ago is dropped; a banned region never is. */
    public static final int MAX_REGIONS = 256;
    /** Pattern of a region name. Names stand in space-separated lines and in the comma-separated list. */
    public static final String REGION_PATTERN = "[!-+./0-9;-~-]{1,64}"; // printable, without comma, colon and blank

    /** The last change of one region. */
    public record Ban(String region, long revision, boolean banned) { }

    private final Map<String, Ban> byRegion = new TreeMap<>();

    private Bans() { }

    /** Parses the written form. Throws {@link WireError.Malformed} if the text is invalid. */
    public static Bans of(String text) {
        Bans bans = new Bans();
        if (text.isEmpty()) { return bans; }
        for (String one : text.split(",")) {
            String[] parts = one.split(":", -1);
            if (parts.length != 3 || !parts[0].matches("[0-9]{1,18}")) { throw new WireError.Malformed(null, "no list of bans"); }
            bans.byRegion.put(parts[1], new Ban(parts[1], Long.parseLong(parts[0]), parts[2].equals("out")));
        }
        return bans;
    }

    /** Returns a copy with one more change. Throws {@link RegisterError.Refused} if all slots hold banned regions. */
    public Bans with(String region, long revision, boolean out) {
        Bans next = new Bans();
        next.byRegion.putAll(byRegion);
        next.byRegion.put(region, new Ban(region, revision, out));
        while (next.byRegion.size() > MAX_REGIONS) {
            Ban oldest = next.byRegion.values().stream().filter(ban -> !ban.banned())
                    .min((a, b) -> Long.compare(a.revision(), b.revision())).orElse(null);
            if (oldest == null) { throw new RegisterError.Refused(MAX_REGIONS + " regions are out already"); }
            next.byRegion.remove(oldest.region());
        }
        return next;
    }

    public Collection<Ban> all() { return byRegion.values(); }

    public Ban of(String region, Ban absent) { return byRegion.getOrDefault(region, absent); }

    @Override
    public String toString() {
        StringBuilder out = new StringBuilder();
        for (Ban ban : byRegion.values()) {
            out.append(out.length() == 0 ? "" : ",").append(ban.revision()).append(':').append(ban.region()).append(':')
                    .append(ban.banned() ? "out" : "in");
        }
        return out.toString();
    }
}

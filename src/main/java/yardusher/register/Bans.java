package yardusher.register;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import yardusher.error.RegisterError;
import yardusher.error.WireError;

/**
 * The regions that are out by hand, and those let in again since, each with the revision that said so last. Written as
 * {@code REVISION:REGION:out} parted by commas. Not changed once made.
 */
public final class Bans {
    /** Regions held at the most; the longest let in again give way, one that is out never does. */
    public static final int MAX_REGIONS = 256;
    /** What a region's name may look like here: it stands in lines of words. */
    public static final String REGION_PATTERN = "[!-+./0-9;-~-]{1,64}"; // printable, without comma, colon and blank

    /** One region's last order. */
    public record Ban(String region, long revision, boolean banned) { }

    private final Map<String, Ban> byRegion = new TreeMap<>();

    private Bans() { }

    /** Reads the written form; a {@link WireError.Malformed} where it is none. */
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

    /** With one more order; a {@link RegisterError.Refused} where no room is left. */
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

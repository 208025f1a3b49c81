package yardusher.lab.scale;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;

/** What an ingress of a run is told, as the platform would: the JSON of RELAY_CONFIG, and our own settings file. */
final class Configs {
    private static final int MEMORY_MB = 192;
    static final int SEEDS = 3;
    static final int RATES_FROM = 2;                 // where there are rates, they speak for all sets

    private final Sizes sizes;
    private final Block block;
    private final Listing listing;
    private final Demand demand;

    Configs(Sizes sizes, Block block, Listing listing, Demand demand) {
        this.sizes = sizes;
        this.block = block;
        this.listing = listing;
        this.demand = demand;
    }

    /** {@code known}: the list as this ingress held it last. */
    String json(int ingress, long seed, String known) throws IOException {
        String template;
        try (InputStream in = Configs.class.getResourceAsStream("/ingress.json")) {
            if (in == null) { throw new IOException("no /ingress.json on the class path: compile the tests"); }
            template = new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
        StringBuilder peers = new StringBuilder();
        for (int i = 0; i < sizes.ingresses(); i++) { peers.append(i == 0 ? "" : ", ").append('"').append(Block.text(block.ingress(i, Block.PEERS))).append('"'); }
        StringBuilder plans = new StringBuilder();
        for (Demand.Plan plan : demand.plans) {
            plans.append(plans.length() == 0 ? "" : ",\n").append("   {\"at_once\": 0, \"beyond_costs\": 0.7, \"beyond_earns\": 0.0, \"ceiling_rate\": 0.0, \"ceiling_slack\": 0.0, \"hard_burst\": 0.0, \"name\": \"")
                    .append(plan.name()).append("\", \"peak_units\": ").append(plan.burst()).append(", \"units_per_s\": ").append(plan.rate()).append(", \"value_factor\": 1.0}");
        }
        StringBuilder zones = new StringBuilder();
        for (int i = 0; i < sizes.zones(); i++) { zones.append(i == 0 ? "" : ", ").append('"').append(listing.zone(i)).append('"'); }
        return template.replace("\"name\": \"n0\"", "\"name\": \"" + name(ingress) + "\"")
                .replace("\"listen\": \"127.0.0.1:0\"", "\"listen\": \"" + Block.text(block.ingress(ingress, Block.LISTEN)) + "\",\n \"admin_addr\": \"" + Block.text(block.ingress(ingress, Block.ADMIN)) + "\"")
                .replace("127.0.0.1:9\"", Block.text(block.discovery()) + "\"")
                .replace("8c1f30d27a5be964", String.format("%016x", (seed * 1_000_003 + ingress) * 0x9e3779b97f4a7c15L))
                .replace("\"peer_listen\": \"127.0.0.1:0\"", "\"peer_listen\": \"" + Block.text(block.ingress(ingress, Block.PEERS)) + "\"")
                .replace("\"memory_mb\": 192", "\"memory_mb\": " + MEMORY_MB).replace("\"sockets\": 1024", "\"sockets\": " + sizes.sockets())
                .replaceAll("(?s)\"peers\": \\[.*?]", Matcher.quoteReplacement("\"peers\": [" + peers + "]"))
                .replaceAll("(?s)\"contracts\": \\[.*?\\n  ]", Matcher.quoteReplacement("\"contracts\": [\n" + plans + "\n  ]"))
                .replaceAll("(?s)\"zones\": \\[.*?]", Matcher.quoteReplacement("\"zones\": [" + zones + "]"))
                .replaceAll("\"peers_total\": [0-9]+", "\"peers_total\": " + sizes.ingresses())
                .replaceAll("\"most_units\": [0-9]+", "\"most_units\": " + sizes.mostUnits())
                .replaceAll("\"peer_in_per_s\": [0-9.]+", "\"peer_in_per_s\": " + sizes.peerInPerS() + ".0")
                .replace("\"me\": 0", "\"me\": " + ingress)
                .replace("\"zone\": 0", "\"zone\": " + listing.zoneOf(ingress))
                .replaceAll("(?s)\"known\": \\{.*?},", Matcher.quoteReplacement("\"known\": " + known + ","));
    }

    static String name(int ingress) { return "n" + ingress; }

    /** The text of the settings file: a view, or nothing. */
    String settings(int ingress) {
        if (!sizes.view()) { return ""; }
        StringBuilder seeds = new StringBuilder();
        for (int i = 0; i < Math.min(SEEDS, sizes.ingresses()); i++) { seeds.append(i == 0 ? "" : ", ").append('"').append(Block.text(block.ingress(i, Block.VIEW))).append('"'); }
        return "[view]\nlisten = \"" + Block.text(block.ingress(ingress, Block.VIEW)) + "\"\ninstallation = \"scale\"\nseeds = [" + seeds + "]\nprobe_ms = " + sizes.probeMs() + "\n"
                + (sizes.ratesBytesPerS() == 0 ? "" : "[rates]\nbytes_per_s = " + sizes.ratesBytesPerS() + "\nfrom = " + RATES_FROM + "\n");
    }
}

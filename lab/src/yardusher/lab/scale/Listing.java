package yardusher.lab.scale;

/** Backends as discovery lists them: the same numbers, zones and cells in every process of a run. */
final class Listing {
    /** A backend's part of the list. {@code phase}: Ready, Terminating or Gone. */
    record Entry(int index, String phase, double size, long upSinceMs) {
        Entry in(String next) { return new Entry(index, next, size, upSinceMs); }

        Entry sized(double next) { return new Entry(index, phase, next, upSinceMs); }
    }

    private final Sizes sizes;
    private final Block block;

    Listing(Sizes sizes, Block block) {
        this.sizes = sizes;
        this.block = block;
    }

    static String id(int backend) { return String.format("s-%08x", backend + 1); }

    static long number(int backend) { return backend + 1; }

    static int index(long number) { return (int) number - 1; }

    /** Zones of the first region, then those of the next: ingresses and backends of the same numbers stand together. */
    String zone(int zone) { return "region-" + zone * sizes.regions() / sizes.zones() + "-zone-" + (char) ('a' + zone); }

    int zoneOf(int index) { return index % sizes.zones(); }

    /** The service of a backend, which the list says as its cell. */
    int serviceOf(int backend) { return backend % sizes.services(); }

    String json(Entry entry) {
        return "{\"id\":\"" + id(entry.index()) + "\",\"host_port\":\"" + Block.text(block.backend(entry.index())) + "\",\"locality\":\"" + zone(zoneOf(entry.index()))
                + "\",\"flavor\":\"std-4\",\"cell\":" + serviceOf(entry.index()) + ",\"phase\":\"" + entry.phase() + "\",\"size\":" + entry.size() + ",\"up_since_ms\":"
                + entry.upSinceMs() + "}";
    }
}

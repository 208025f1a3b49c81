package yardusher.lab.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;

/** One run: starts everything, plays a day, measures, and ends everything, also where it is cut off. */
final class Play {
    private static final long READY_MS = 120_000;
    private static final double GO_MS = 500;
    private static final double FAULT_PART = 0.3;    // of the measured time, before a rack or a zone goes
    private static final double TOLD_MS = 3000;      // then discovery tells that its backends are gone
    private static final double LATE_MS = 30;        // of timers, from which the view takes a process for one that does not run
    private static final double RATE_LEAST = 0.95;   // of the asked one
    private static final double LAST_MS = 15_000;    // for the last sample, on a machine that is behind
    private static final long MOST_US = 600_000_000;

    /** What came of it. {@code figures} are of one ingress; {@code real} those of the real ones beside them; {@code more} of the run itself. */
    record Result(Sizes sizes, long seed, boolean partial, double seconds, boolean saturated, Map<String, Number> figures, Map<String, Number> real, Map<String, Number> hollow,
            Map<String, Number> more, List<String> samples) {
        Map<String, Number> sizesTold() {
            Map<String, Number> told = new LinkedHashMap<>();
            told.put("ingresses", sizes.ingresses());
            told.put("backends", sizes.backends());
            told.put("services", sizes.services());
            told.put("tenants", sizes.tenants());
            told.put("routes", sizes.routes());
            told.put("zones", sizes.zones());
            told.put("regions", sizes.regions());
            told.put("rate", sizes.rate());
            told.put("changes_per_min", sizes.changesPerMin());
            return told;
        }

        String json() {
            return "{\"kind\":\"run\",\"day\":\"" + sizes.day() + "\",\"seed\":" + seed + ",\"partial\":" + partial + ",\"saturated\":" + saturated + ",\"seconds\":" + Figures.number(seconds)
                    + ",\"sizes\":" + Figures.json(sizesTold()) + ",\"figures\":" + Figures.json(figures) + ",\"real\":" + Figures.json(real) + ",\"hollow\":" + Figures.json(hollow)
                    + ",\"more\":" + Figures.json(more) + "}";
        }

        String table() {
            Map<String, Number> all = new LinkedHashMap<>(figures);
            real.forEach((name, value) -> all.put("real." + name, value));
            hollow.forEach((name, value) -> all.put("hollow." + name, value));
            more.forEach((name, value) -> all.put("run." + name, value));
            return "day " + sizes.day() + ", seed " + seed + (partial ? ", PARTIAL" : "") + (saturated ? ", SATURATED" : "") + String.format(Locale.ROOT, ", %.1f s%n", seconds) + Figures.table(sizesTold(), all);
        }
    }

    private final Sizes sizes;
    private final Path file;
    private final long seed;
    private final Path folder;
    private final BooleanSupplier interrupted;
    private final SplittableRandom random;
    private Hosts hosts;
    private RealIngresses real;
    private RealClients clients;
    private TcpBackends tcp;
    private ListServer discovery;
    private Demand demand;
    private Map<Integer, Map<String, Long>> realBefore = new HashMap<>();
    private double measuredFrom = Double.POSITIVE_INFINITY;
    private double realFrom;
    private long[] ticksBefore;
    private long[] clientsBefore = new long[4];
    private long handshakesBefore;
    private int gone;                                // ingresses

    /** {@code folder} takes what the processes say; {@code file} is where the sizes that are not varied were read from. */
    Play(Sizes sizes, Path file, long seed, Path folder, BooleanSupplier interrupted) throws IOException {
        this.sizes = sizes;
        this.file = file;
        this.seed = seed;
        this.folder = Files.createDirectories(folder);
        this.interrupted = interrupted;
        random = new SplittableRandom(seed * 31 + 4);
    }

    Result run() throws IOException, InterruptedException {
        try (Block.Held held = Block.take(); Keeper keeper = new Keeper()) {
            Block block = held.block;
            Listing listing = new Listing(sizes, block);
            demand = new Demand(sizes, seed);
            Configs configs = new Configs(sizes, block, listing, demand);
            Tries tries = new Tries(folder.resolve("tries-real.bin"));
            try {
                discovery = new ListServer(block.discovery(), listing, sizes.backends());
                String known = discovery.whole();
                Files.writeString(folder.resolve("hollow.json"), configs.json(0, seed, known));
                if (sizes.real() > 0) { tcp = new TcpBackends(sizes, block, seed); }
                hosts = new Hosts(sizes, file, seed, block, folder, keeper);
                if (sizes.real() > 0) {
                    real = new RealIngresses(sizes, block, configs, seed, known, folder, keeper);
                    real.awaitReady(READY_MS);
                }
                if (!hosts.awaitReady(READY_MS)) { throw new IOException("hollow ingresses did not start; see the logs in " + folder); }
                double began = Moment.now() + GO_MS;
                measuredFrom = began + sizes.warmS() * 1000.0;
                hosts.order("go " + began + " " + measuredFrom);
                if (real != null) { clients = new RealClients(sizes, block, demand, seed, tries, began); }
                play();
                return result(tries);
            } finally {
                if (hosts != null) { hosts.end(); }
                if (clients != null) { clients.close(); }
                tries.close();
                if (discovery != null) { discovery.close(); }
                keeper.close();
                if (tcp != null) { tcp.close(); }
            }
        }
    }

    /** What happens, and when it is due. */
    private record Deed(double atMs, Act act) { }

    private interface Act {
        void run() throws IOException;
    }

    private void play() throws IOException, InterruptedException {
        double ends = measuredFrom + sizes.seconds() * 1000.0;
        List<Deed> deeds = new ArrayList<>();
        deeds.add(new Deed(measuredFrom, this::measure));
        if (sizes.changesPerMin() > 0) {
            double every = 60_000.0 / sizes.changesPerMin();
            for (double at = measuredFrom + every / 2; at < ends - 1000; at += every) {
                int backend = random.nextInt(sizes.backends());
                deeds.add(new Deed(at, () -> change(List.of(discovery.entry(backend).sized(discovery.entry(backend).size() == 1 ? 0.9 : 1)))));
            }
        }
        double fault = measuredFrom + FAULT_PART * sizes.seconds() * 1000;
        List<Integer> lost = new ArrayList<>();
        List<Integer> lostBackends = new ArrayList<>();
        if (sizes.day().equals("rack")) {
            int from = random.nextInt(Math.max(1, sizes.hollow() - sizes.rackIngresses() + 1));
            IntStream.range(from, Math.min(sizes.hollow(), from + sizes.rackIngresses())).forEach(lost::add);
            int first = random.nextInt(sizes.backends() - sizes.rackBackends() + 1);
            IntStream.range(first, first + sizes.rackBackends()).forEach(lostBackends::add);
        } else if (sizes.day().equals("zone")) {
            int zone = random.nextInt(sizes.zones());
            IntStream.range(0, sizes.hollow()).filter(i -> i % sizes.zones() == zone).forEach(lost::add);
            IntStream.range(0, sizes.backends()).filter(i -> i % sizes.zones() == zone).forEach(lostBackends::add);
        }
        if (!lostBackends.isEmpty()) {
            deeds.add(new Deed(fault, () -> lose(lost, lostBackends)));
            deeds.add(new Deed(fault + TOLD_MS, () -> change(lostBackends.stream().map(one -> new Listing.Entry(one, "Gone", 1, 0)).toList())));
        }
        deeds.sort(java.util.Comparator.comparingDouble(Deed::atMs));
        int next = 0;
        int seconds = 0;
        while (!interrupted.getAsBoolean() && hosts.isAlive() && seconds < sizes.seconds() && Moment.now() < ends + LAST_MS) {
            for (; next < deeds.size() && deeds.get(next).atMs() <= Moment.now(); next++) { deeds.get(next).act().run(); }
            int told = hosts.told() - 1;
            if (told > seconds) {
                seconds = told;
                System.err.println("measured " + seconds + " of " + sizes.seconds() + " s");
            }
            double wait = Math.min(50, next < deeds.size() ? deeds.get(next).atMs() - Moment.now() : 50);
            if (wait > 0) { Thread.sleep((long) wait, (int) (wait % 1 * 999_999)); }
        }
    }

    private void measure() throws IOException {
        ticksBefore = Machine.ticks();
        if (real == null) { return; }
        clients.measure();
        realFrom = Moment.now();
        for (int one : real.numbers()) { realBefore.put(one, real.counters(one)); }
        clientsBefore = clients.counts();
        handshakesBefore = tcp.handshakes();
    }

    private void change(List<Listing.Entry> entries) throws IOException {
        double now = Moment.now();
        long revision = discovery.put(entries);
        hosts.order("changed " + revision + " " + now);
        if (sizes.wholeLists()) { discovery.pushWhole(); }
    }

    private void lose(List<Integer> ingresses, List<Integer> backends) throws IOException {
        gone = ingresses.size();
        hosts.order("dead " + words(backends));
        if (!ingresses.isEmpty()) { hosts.order("vanish " + words(ingresses)); }
        if (tcp != null) { backends.forEach(tcp::die); }
    }

    private static String words(List<Integer> of) { return of.stream().map(String::valueOf).collect(Collectors.joining(" ")); }

    private Result result(Tries tries) throws IOException, InterruptedException {
        tries.flush();
        double realTo = Moment.now();
        Map<Integer, Map<String, Long>> realAfter = new HashMap<>();
        long[] clientsAfter = new long[4];
        if (real != null && clients != null) {
            clientsAfter = clients.counts();
            for (int one : real.numbers()) { realAfter.put(one, real.counters(one)); }
        }
        long[] ticks = Machine.ticks();
        List<List<Map<String, String>>> told = hosts.samples();
        long hostsKb = hosts.residentKb();
        boolean whole = told.stream().allMatch(one -> one.size() > sizes.seconds());
        Map<String, Double> sum = new HashMap<>();
        double seconds = Double.NaN;
        Histogram late = new Histogram(MOST_US, 2);
        Histogram force = new Histogram(MOST_US, 2);
        int[] held = new int[sizes.backends()];
        List<String> samples = new ArrayList<>();
        boolean any = told.stream().allMatch(one -> one.size() > 1);
        if (any) {
            for (List<Map<String, String>> of : told) {
                Map<String, String> first = of.get(0);
                Map<String, String> last = of.get(Math.min(of.size() - 1, sizes.seconds()));
                last = last.containsKey("late") ? last : of.get(of.size() - 1);
                double span = (number(last, "at") - number(first, "at")) / 1000;
                seconds = Double.isNaN(seconds) ? span : Math.min(seconds, span);
                for (String name : first.keySet()) {
                    if (!List.of("late", "force", "held").contains(name)) { sum.merge(name, (number(last, name) - number(first, name)) / span, Double::sum); }
                }
                sum.merge("there_mean", of.stream().mapToDouble(one -> number(one, "there")).average().orElse(0), Double::sum);
                sum.merge("there_last", number(last, "there"), Double::sum);
                sum.merge("connections_last", number(last, "connections"), Double::sum);
                sum.merge("members_last", number(last, "members"), Double::sum);
                sum.merge("unsent_all", number(last, "unsent"), Double::sum);
                sum.merge("faults_all", number(last, "faults"), Double::sum);
                Figures.add(late, last.get("late"));
                Figures.add(force, last.get("force"));
                String[] open = last.get("held").split(",");
                for (int i = 0; i < held.length; i++) { held[i] += Integer.parseInt(open[i]); }
            }
            samples = samples(told);
        }
        boolean partial = !whole || interrupted.getAsBoolean();
        long heap = any && !partial ? hosts.heap(30_000) : -1;
        return result(partial, any, seconds, sum, late, force, held, samples, heap, hostsKb, ticks, realAfter, clientsAfter, realTo);
    }

    private Result result(boolean partial, boolean any, double seconds, Map<String, Double> sum, Histogram late, Histogram force, int[] held, List<String> samples, long heap, long hostsKb, long[] ticks,
            Map<Integer, Map<String, Long>> realAfter, long[] clientsAfter, double realTo) throws IOException {
        Figures figures = new Figures();
        Figures realFigures = new Figures();
        Figures hollowFigures = new Figures();
        Figures more = new Figures();
        boolean saturated = false;
        if (any) {
            double n = sum.get("there_mean");
            for (String name : List.of("gossip", "view")) {
                figures.put(name + "_bytes_s", sum.get(name + "_bytes") / n);
                figures.put(name + "_datagrams_s", sum.get(name) / n);
                if (name.equals("gossip")) { figures.put("gossip_rows_s", sum.get("gossip_rows") / n); }
            }
            if (sizes.ratesBytesPerS() > 0) {
                figures.put("rates_bytes_s", sum.get("rates_bytes") / n);
                figures.put("rates_datagrams_s", sum.get("rates") / n);
            }
            figures.put("discovery_bytes_s", sum.get("list") / n);
            figures.put("discovery_whole_bytes", discovery.whole().length());
            double taken = sum.get("taken");
            double made = sum.get("opened") + sum.get("reused");
            figures.put("dials_per_request", sum.get("opened") / taken);
            figures.put("reuse_share", made == 0 ? Double.NaN : sum.get("reused") / made);
            figures.put("connections_per_ingress", sum.get("connections_last") / Math.max(1, sum.get("there_last")));
            int most = 0;
            long all = 0;
            for (int i = 0; i < held.length; i++) {
                int open = held[i] + (tcp == null ? 0 : tcp.open(i));
                most = Math.max(most, open);
                all += open;
            }
            figures.put("connections_per_backend_max", most);
            figures.put("connections_per_backend_mean", all / (double) held.length);
            figures.put("cpu_share", sum.get("cpu_ns") / 1e9 / n);
            figures.put("cpu_us_per_request", sum.get("cpu_ns") / 1000 / taken);
            if (heap >= 0) { figures.put("heap_bytes_per_ingress", heap / (double) sizes.hollow()); }
            figures.put("change_in_force_ms_p50", Figures.ms(force, 50));
            figures.put("change_in_force_ms_p99", Figures.ms(force, 99));
            figures.put("change_in_force_ms_max", Figures.ms(force, 100));
            Tries.Truth truth = truth(seconds);
            figures.put("refused_with_room_share", truth.withRoomShare());
            figures.put("over_quota_share", truth.overShare());
            figures.put("served_share", sum.get("served") / taken);
            double realRate = (clientsAfter[0] - clientsBefore[0]) / ((realTo - realFrom) / 1000);
            double reached = taken + (real == null ? 0 : realRate);
            figures.put("rate_reached", reached);
            if (real != null && clients != null) {
                Histogram added = clients.added();
                figures.put("added_ms_p50", Figures.ms(added, 50));
                figures.put("added_ms_p99", Figures.ms(added, 99));
            }
            figures.put("timer_late_ms_p99", Figures.ms(late, 99));
            double idle = (ticks[1] - ticksBefore[1]) / Math.max(1.0, ticks[0] - ticksBefore[0]);
            saturated = Figures.ms(late, 99) > LATE_MS || reached < RATE_LEAST * sizes.rate();
            more.put("machine_idle_share", idle);
            more.put("hollow_processes", sizes.processes());
            more.put("hollow_resident_mb", hostsKb / 1024.0);
            more.put("needed_mb", sizes.neededMb());
            more.put("quota_refused_share", sum.get("quota") / taken);
            more.put("refused_share", sum.get("refused") / taken);
            more.put("failed_share", sum.get("failed") / taken);
            more.put("attempts_per_request", sum.get("attempts") / taken);
            more.put("lost_ingresses", gone);
            more.put("skipped_share", sum.get("skipped") / taken);
            more.put("members_mean", sum.get("members_last") / Math.max(1, sum.get("there_last")));
            more.put("datagrams_unsent", sum.get("unsent_all"));
            more.put("faults", sum.get("faults_all"));
            more.put("in_force_counted", force.getTotalCount());
        }
        if (any && real != null && clients != null) { real(realFigures, hollowFigures, sum, realAfter, clientsAfter, (realTo - realFrom) / 1000); }
        return new Result(sizes, seed, partial, Double.isNaN(seconds) ? 0 : seconds, saturated, map(figures), map(realFigures), map(hollowFigures), map(more), samples);
    }

    private static Map<String, Number> map(Figures of) { return new LinkedHashMap<>(of.all()); }

    /**
     * The real ones' figures, and what the hollow ones have by the same names. Bytes and rows of a real one's gossip are those of its datagrams
     * that hollow ones got, times its own count of datagrams.
     */
    private void real(Figures figures, Figures hollow, Map<String, Double> sum, Map<Integer, Map<String, Long>> after, long[] clientsAfter, double seconds) throws IOException {
        double n = sizes.real();
        Map<String, Double> one = new HashMap<>();
        for (int ingress : real.numbers()) {
            Map<String, Long> before = realBefore.getOrDefault(ingress, Map.of());
            for (Map.Entry<String, Long> cell : after.getOrDefault(ingress, Map.of()).entrySet()) {
                one.merge(cell.getKey(), (cell.getValue() - before.getOrDefault(cell.getKey(), 0L)) / seconds / n, Double::sum);
                if (cell.getKey().equals("resident_kb")) { one.merge("resident_now", cell.getValue() / n, Double::sum); }
            }
        }
        double heard = sum.get("real_gossip");
        double datagrams = one.getOrDefault("peer_out", Double.NaN);
        figures.put("gossip_datagrams_s", datagrams);
        figures.put("gossip_bytes_s", datagrams * sum.get("real_gossip_bytes") / heard);
        figures.put("gossip_rows_s", datagrams * sum.get("real_gossip_rows") / heard);
        if (sizes.view()) {
            double sent = one.getOrDefault("mesh_sent", Double.NaN);
            double rates = one.getOrDefault("rates_sent", 0.0);
            double ratesBytes = one.getOrDefault("rates_sent_bytes", 0.0);
            figures.put("view_datagrams_s", sent - rates);
            figures.put("view_bytes_s", one.getOrDefault("mesh_sent_bytes", Double.NaN) + sent * HollowIngress.HEADS - ratesBytes);
            if (sizes.ratesBytesPerS() > 0) {
                figures.put("rates_datagrams_s", rates);
                figures.put("rates_bytes_s", ratesBytes);
            }
        }
        figures.put("requests_s", one.getOrDefault("taken_in", Double.NaN));
        figures.put("dials_per_request", one.getOrDefault("connections", Double.NaN) / one.getOrDefault("taken_in", Double.NaN));
        figures.put("reuse_share", one.getOrDefault("connections_reused", Double.NaN) / (one.getOrDefault("connections_reused", Double.NaN) + one.getOrDefault("connections", Double.NaN)));
        figures.put("served_share", (clientsAfter[1] - clientsBefore[1]) / (double) Math.max(1, clientsAfter[0] - clientsBefore[0]));
        figures.put("cpu_share", one.getOrDefault("cpu_ns", Double.NaN) / 1e9);
        figures.put("cpu_us_per_request", one.getOrDefault("cpu_ns", Double.NaN) / 1000 / one.getOrDefault("taken_in", Double.NaN));
        figures.put("resident_mb", one.getOrDefault("resident_now", Double.NaN) / 1024);
        figures.put("handshakes_s", (tcp.handshakes() - handshakesBefore) / seconds / n);
        long commands = 0;
        for (int ingress : real.numbers()) { commands += tcp.sentBy(ingress); }
        figures.put("commands_all", commands / n);
        double h = sizes.hollow();
        for (String name : sizes.ratesBytesPerS() > 0 ? List.of("gossip", "view", "rates") : List.of("gossip", "view")) {
            hollow.put(name + "_datagrams_s", sum.get(name) / h);
            hollow.put(name + "_bytes_s", sum.get(name + "_bytes") / h);
        }
        hollow.put("gossip_rows_s", sum.get("gossip_rows") / h);
        hollow.put("requests_s", sum.get("taken") / h);
        hollow.put("dials_per_request", sum.get("opened") / sum.get("taken"));
        hollow.put("reuse_share", sum.get("reused") / (sum.get("reused") + sum.get("opened")));
        hollow.put("served_share", sum.get("served") / sum.get("taken"));
    }

    private Tries.Truth truth(double seconds) throws IOException {
        List<Path> files = new ArrayList<>();
        for (int i = 0; i < sizes.processes(); i++) { files.add(folder.resolve("tries-" + sizes.from(i) + ".bin")); }
        if (real != null) { files.add(folder.resolve("tries-real.bin")); }
        return Tries.truth(files, demand, measuredFrom, measuredFrom + seconds * 1000);
    }

    /** A line for each second: counts of all hollow ones in it, a second. */
    private List<String> samples(List<List<Map<String, String>>> told) {
        List<String> lines = new ArrayList<>();
        int most = told.stream().mapToInt(List::size).min().orElse(0);
        for (int i = 1; i < most; i++) {
            Map<String, Number> cells = new LinkedHashMap<>();
            cells.put("at_s", (number(told.get(0).get(i), "at") - measuredFrom) / 1000);
            for (String name : List.of("taken", "served", "refused", "quota", "failed", "attempts", "opened", "gossip", "gossip_bytes", "view", "view_bytes", "list", "cpu_ns")) {
                double sum = 0;
                for (List<Map<String, String>> of : told) { sum += (number(of.get(i), name) - number(of.get(i - 1), name)) / (number(of.get(i), "at") - number(of.get(i - 1), "at")) * 1000; }
                cells.put(name + "_s", sum);
            }
            for (String name : List.of("there", "connections", "members")) {
                double sum = 0;
                for (List<Map<String, String>> of : told) { sum += number(of.get(i), name); }
                cells.put(name, sum);
            }
            int second = i;
            cells.put("members_least", told.stream().mapToDouble(of -> number(of.get(second), "members_least")).min().orElse(0));
            lines.add("{\"kind\":\"sample\",\"day\":\"" + sizes.day() + "\",\"seed\":" + seed + ",\"figures\":" + Figures.json(cells) + "}");
        }
        return lines;
    }

    private static double number(Map<String, String> of, String name) { return Double.parseDouble(of.get(name)); }
}

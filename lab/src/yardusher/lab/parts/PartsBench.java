package yardusher.lab.parts;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import yardusher.lab.Chronicle;
import yardusher.lab.Group;
import yardusher.lab.Region;
import yardusher.lab.Seeds;
import yardusher.lab.Terminals;

/**
 * Ways to divide connections beside each other, in real processes under the same load: today's (each opens what it likes and
 * the region turns away what is beyond its number), fixed shares (parts that know nobody) and parts that are negotiated.
 */
public final class PartsBench {
    private static final int SERVICE_MS = 40;

    private enum Scheme { TODAY, FIXED, PARTS }

    private record Measurements(long sent, long served, long refused, long otherEnds, long handshakes, long rejected, double utilization, double jainIndex, double p50Ms, double p99Ms) { }

    private PartsBench() { }

    /** {@code FOLDER PROCESSES NUMBER SECONDS [WAY...]}: each way through even load that is ample, load beyond the number, strokes and rest. */
    public static void main(String[] args) throws Exception {
        int processes = Integer.parseInt(args[1]);
        int limit = Integer.parseInt(args[2]);
        int seconds = Integer.parseInt(args[3]);
        for (Scheme scheme : Scheme.values()) {
            if (args.length > 4 && !List.of(args).subList(4, args.length).contains(scheme.name())) { continue; }
            Path folder = Path.of(args[0]).resolve(scheme.name().toLowerCase(java.util.Locale.ROOT));
            if (Files.exists(folder)) { Seeds.delete(folder); }
            run(folder, scheme, processes, limit, seconds);
            Seeds.delete(folder);
        }
    }

    private static void run(Path folder, Scheme scheme, int processes, int limit, int seconds) throws Exception {
        try (Group group = new Group(folder, processes, 7)) {
            for (int i = 0; i < PartsRun.REGIONS; i++) {
                group.region("0000000" + i, "hall-" + "abc".charAt(i)).takes(SERVICE_MS - 10, SERVICE_MS + 10).cap(limit, Region.Over.CLOSE);
            }
            if (scheme != Scheme.TODAY) {
                group.settings(i -> {
                    String text = PartsRun.settings(group, i, limit, scheme == Scheme.FIXED ? "absent = \"begin\"\n" : "");
                    return scheme == Scheme.FIXED ? text.replaceAll("seeds = \\[.*]", "seeds = []") : text;
                });
            }
            group.start();
            Thread.sleep(3000);
            int totalLimit = PartsRun.REGIONS * limit;
            double requestsPerS = totalLimit * 1000.0 / SERVICE_MS;
            print(scheme, processes, limit, "ample, 40%", measure(group, limit, requestsPerS * 0.4, totalLimit, seconds, -1));
            print(scheme, processes, limit, "scarce, 200%", measure(group, limit, requestsPerS * 2, totalLimit * 3, seconds, -1));
            List<Double> hotspotMs = new ArrayList<>();
            Measurements lastHotspot = null;
            for (int round = 0; round < 5; round++) {
                lastHotspot = measureHotspot(group, scheme, limit, requestsPerS, totalLimit, round % processes, hotspotMs);
            }
            hotspotMs.sort(null);
            print(scheme, processes, limit, "the last of 5 strokes, 85% at one; part there after " + hotspotMs + " ms", lastHotspot);
            System.out.println("refused by reason so far: " + new TreeMap<>(PartsRun.counters(group, List.of("refused_quota", "refused_ceiling", "refused_pressure", "refused_no_server", "refused_attempts",
                    "refused_late", "attempts_connect_failed", "attempts_connection_lost", "attempts_not_sent", "attempts_timed_out", "attempts_cancelled"))));
            double cpuBeforeMs = cpuMs(group);
            Thread.sleep(6000);
            System.out.printf("%s n=%d number=%d at rest: %.2f%% of a core each; told %s%n", scheme, processes, limit, (cpuMs(group) - cpuBeforeMs) / 6000 / processes * 100,
                    scheme == Scheme.PARTS ? new TreeMap<>(PartsRun.counters(group, List.of("parts_told", "parts_moved", "parts_leak", "mesh_sent", "parts_bad", "parts_far"))) : "-");
        }
    }

    private static Measurements measureHotspot(Group group, Scheme scheme, int limit, double requestsPerS, int totalLimit, int hot, List<Double> reachedAfterMs) throws Exception {
        double startedAtMs = Chronicle.now();
        Thread watcher = new Thread(() -> {
            double want = 0.9 * Math.min(0.85 * totalLimit, totalLimit - group.size() + 1);
            while (Chronicle.now() - startedAtMs < 3000) {
                String report = PartsRun.call(group, hot, "parts", 500);
                int may = 0;
                for (String cell : report == null ? new String[0] : report.split("[\t\n]")) { may += cell.startsWith("may=") ? Integer.parseInt(cell.substring(4)) : 0; }
                if (may >= want) {
                    reachedAfterMs.add((double) Math.round(Chronicle.now() - startedAtMs));
                    return;
                }
                try {
                    Thread.sleep(10);
                } catch (InterruptedException e) {
                    return;
                }
            }
            reachedAfterMs.add(3000.0);
        });
        if (scheme == Scheme.PARTS) { watcher.start(); }
        Measurements measurements = measure(group, limit, requestsPerS * 0.85, totalLimit * 2, 3, hot);
        watcher.join();
        return measurements;
    }

    /** {@code hot}: where all of it goes, -1 for everywhere. */
    private static Measurements measure(Group group, int limit, double perSecond, int terminals, int seconds, int hot) throws Exception {
        int eventsBefore = group.regionHistory().size();
        int triesBefore = group.terminalHistory().size();
        double fromMs;
        double untilMs;
        try (RandomLoad load = new RandomLoad(group, terminals, perSecond, hot)) {
            Thread.sleep(1000);                      // settled, as the goals say
            fromMs = Chronicle.now();
            Thread.sleep(seconds * 500L);
            Thread.sleep(seconds * 500L);
            untilMs = Chronicle.now();
        }
        List<Region.Event> seen = group.regionHistory();
        double busyMs = 0;
        double lastEventAtMs = fromMs;
        int running = 0;
        long opened = 0;
        long rejected = 0;
        for (Region.Event event : seen.subList(eventsBefore, seen.size())) {
            if (event.atMs() > untilMs) { break; }
            if (event.atMs() > fromMs) {
                busyMs += running * (event.atMs() - lastEventAtMs);
                lastEventAtMs = event.atMs();
                opened += event.what().equals("open") ? 1 : 0;
                rejected += event.what().equals("turned away") ? 1 : 0;
            }
            running += switch (event.what()) {
                case "begin" -> 1;
                case "served", "error", "busy", "dropped" -> -1;
                default -> 0;
            };
        }
        Map<Integer, Long> servedBy = new TreeMap<>();
        List<Double> latenciesMs = new ArrayList<>();
        long sent = 0;
        long refused = 0;
        long other = 0;
        List<Terminals.Try> attempts = group.terminalHistory();
        for (Terminals.Try one : attempts.subList(triesBefore, attempts.size())) {
            if (one.sentMs() < fromMs || one.sentMs() > untilMs) { continue; }
            sent++;
            servedBy.merge(one.ingress(), one.end() == Terminals.End.SERVED ? 1L : 0L, Long::sum);
            if (one.end() == Terminals.End.SERVED) { latenciesMs.add(one.answeredMs() - one.sentMs()); } else if (one.end() == Terminals.End.REFUSED) { refused++; } else { other++; }
        }
        latenciesMs.sort(null);
        double sum = servedBy.values().stream().mapToDouble(Long::doubleValue).sum();
        double squares = servedBy.values().stream().mapToDouble(one -> (double) one * one).sum();
        return new Measurements(sent, latenciesMs.size(), refused, other, opened + rejected, rejected, busyMs / (untilMs - fromMs) / limit / PartsRun.REGIONS, squares == 0 ? 0 : sum * sum / squares / servedBy.size(),
                percentile(latenciesMs, 0.5), percentile(latenciesMs, 0.99));
    }

    /** Terminals that send at random times, so many a second in all, wherever they are told. */
    private static final class RandomLoad implements AutoCloseable {
        private final List<Thread> threads = new ArrayList<>();
        private volatile boolean isClosed;

        RandomLoad(Group group, int terminals, double perSecond, int hot) {
            for (int i = 0; i < terminals; i++) {
                int me = i;
                Thread thread = new Thread(() -> {
                    Random random = new Random(me);
                    double next = Chronicle.now();
                    for (long at = 0; !isClosed; at++) {
                        next = Math.max(next - Math.log(1 - random.nextDouble()) * terminals / perSecond * 1000, Chronicle.now() - 500);
                        double wait = next - Chronicle.now();
                        try {
                            if (wait > 0) { Thread.sleep((long) wait, (int) (wait % 1 * 999_999)); }
                        } catch (InterruptedException e) {
                            return;
                        }
                        int to = hot >= 0 ? hot : random.nextInt(group.size());
                        group.terminals().send(to, group.terminals().get(1000 + me * 200L + at % 200, 1500, to, 1));
                    }
                }, "terminal " + i);
                thread.setDaemon(true);
                threads.add(thread);
                thread.start();
            }
        }

        @Override
        public void close() throws InterruptedException {
            isClosed = true;
            for (Thread thread : threads) { thread.join(); }
        }
    }

    private static double percentile(List<Double> sorted, double fraction) { return sorted.isEmpty() ? 0 : sorted.get((int) Math.min(sorted.size() - 1, fraction * sorted.size())); }

    private static void print(Scheme scheme, int processes, int limit, String what, Measurements measurements) {
        System.out.printf("%s n=%d number=%d %s: sent %d, served %.3f, refused %.3f, other %d, handshakes a served one %.4f, turned away %d, use %.3f, jain %.3f, p50 %.1f, p99 %.1f ms%n", scheme,
                processes, limit, what, measurements.sent, measurements.served / (double) Math.max(1, measurements.sent), measurements.refused / (double) Math.max(1, measurements.sent), measurements.otherEnds, measurements.handshakes / (double) Math.max(1, measurements.served), measurements.rejected, measurements.utilization, measurements.jainIndex, measurements.p50Ms, measurements.p99Ms);
    }

    /** Processor time of all processes so far, in ms. */
    private static double cpuMs(Group group) throws IOException {
        double ms = 0;
        for (int i = 0; i < group.size(); i++) {
            String[] stat = Files.readString(Path.of("/proc/" + group.process(i).pid() + "/stat")).replaceAll(".*\\) ", "").split(" ");
            ms += (Long.parseLong(stat[11]) + Long.parseLong(stat[12])) * 10.0;
        }
        return ms;
    }
}

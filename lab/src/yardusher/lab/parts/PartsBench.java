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
 * Compares ways to divide connections, in real processes under the same load: no division (each ingress opens what it likes
 * and the region rejects connections above its limit), fixed shares (quotas without any known peer) and negotiated quotas.
 */
public final class PartsBench {
    private static final int SERVICE_MS = 40;

    private enum Scheme { TODAY, FIXED, PARTS }

    private record Measurements(long sent, long served, long refused, long otherEnds, long handshakes, long rejected, double utilization,
            double jainIndex, double p50Ms, double p99Ms) { }

    private PartsBench() { }

    /** Arguments: {@code FOLDER PROCESSES LIMIT SECONDS [SCHEME...]}. Runs light load, load above the limit, moving load and no load. */
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
                group.region("0000000" + i, "hall-" + "abc".charAt(i)).takes(SERVICE_MS - 10, SERVICE_MS + 10)
                        .cap(limit, Region.Over.CLOSE);
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
            print(scheme, processes, limit, "the last of 5 rounds with 85% at one ingress, which had its part after " + hotspotMs + " ms",
                    lastHotspot);
            System.out.println("refused by reason so far: " + new TreeMap<>(PartsRun.counters(group,
                    List.of("refused_quota", "refused_ceiling", "refused_pressure", "refused_no_server", "refused_attempts",
                            "refused_late", "attempts_connect_failed", "attempts_connection_lost", "attempts_not_sent",
                            "attempts_timed_out", "attempts_cancelled"))));
            double cpuBeforeMs = cpuMs(group);
            Thread.sleep(6000);
            System.out.printf("%s n=%d number=%d without load: %.2f%% of a core each; counters %s%n", scheme, processes, limit,
                    (cpuMs(group) - cpuBeforeMs) / 6000 / processes * 100,
                    scheme == Scheme.PARTS ? new TreeMap<>(PartsRun.counters(group,
                            List.of("parts_told", "parts_moved", "parts_leak", "mesh_sent", "parts_bad", "parts_far"))) : "-");
        }
    }

    private static Measurements measureHotspot(Group group, Scheme scheme, int limit, double requestsPerS, int totalLimit, int hot,
            List<Double> reachedAfterMs) throws Exception {
        double startedAtMs = Chronicle.now();
        Thread watcher = new Thread(() -> {
            double wanted = 0.9 * Math.min(0.85 * totalLimit, totalLimit - group.size() + 1);
            while (Chronicle.now() - startedAtMs < 3000) {
                String report = PartsRun.call(group, hot, "parts", 500);
                int allowance = 0;
                for (String cell : report == null ? new String[0] : report.split("[\t\n]")) {
                    allowance += cell.startsWith("may=") ? Integer.parseInt(cell.substring(4)) : 0;
                }
                if (allowance >= wanted) {
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

    /** {@code hot}: the ingress that gets all load, -1 for an even distribution. */
    private static Measurements measure(Group group, int limit, double perSecond, int terminals, int seconds, int hot) throws Exception {
        int eventsBefore = group.regionHistory().size();
        int triesBefore = group.terminalHistory().size();
        double fromMs;
        double untilMs;
        try (RandomLoad load = new RandomLoad(group, terminals, perSecond, hot)) {
            Thread.sleep(1000);                      // not measured, so that the load settles
            fromMs = Chronicle.now();
            Thread.sleep(seconds * 500L);
            Thread.sleep(seconds * 500L);
            untilMs = Chronicle.now();
        }
        List<Region.Event> events = group.regionHistory();
        double busyMs = 0;
        double lastEventAtMs = fromMs;
        int running = 0;
        long opened = 0;
        long rejected = 0;
        for (Region.Event event : events.subList(eventsBefore, events.size())) {
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
        long otherEnds = 0;
        List<Terminals.Try> attempts = group.terminalHistory();
        for (Terminals.Try attempt : attempts.subList(triesBefore, attempts.size())) {
            if (attempt.sentMs() < fromMs || attempt.sentMs() > untilMs) { continue; }
            sent++;
            servedBy.merge(attempt.ingress(), attempt.end() == Terminals.End.SERVED ? 1L : 0L, Long::sum);
            if (attempt.end() == Terminals.End.SERVED) {
                latenciesMs.add(attempt.answeredMs() - attempt.sentMs());
            } else if (attempt.end() == Terminals.End.REFUSED) {
                refused++;
            } else {
                otherEnds++;
            }
        }
        latenciesMs.sort(null);
        double sum = servedBy.values().stream().mapToDouble(Long::doubleValue).sum();
        double squares = servedBy.values().stream().mapToDouble(served -> (double) served * served).sum();
        return new Measurements(sent, latenciesMs.size(), refused, otherEnds, opened + rejected, rejected,
                busyMs / (untilMs - fromMs) / limit / PartsRun.REGIONS, squares == 0 ? 0 : sum * sum / squares / servedBy.size(),
                percentile(latenciesMs, 0.5), percentile(latenciesMs, 0.99));
    }

    /** Terminals that send requests at random times, at a given total rate, to one ingress or to all. */
    private static final class RandomLoad implements AutoCloseable {
        private final List<Thread> threads = new ArrayList<>();
        private volatile boolean isClosed;

        RandomLoad(Group group, int terminals, double perSecond, int hot) {
            for (int i = 0; i < terminals; i++) {
                int terminal = i;
                Thread thread = new Thread(() -> {
                    Random random = new Random(terminal);
                    double nextAtMs = Chronicle.now();
                    for (long number = 0; !isClosed; number++) {
                        nextAtMs = Math.max(nextAtMs - Math.log(1 - random.nextDouble()) * terminals / perSecond * 1000,
                                Chronicle.now() - 500);
                        double waitMs = nextAtMs - Chronicle.now();
                        try {
                            if (waitMs > 0) { Thread.sleep((long) waitMs, (int) (waitMs % 1 * 999_999)); }
                        } catch (InterruptedException e) {
                            return;
                        }
                        int to = hot >= 0 ? hot : random.nextInt(group.size());
                        group.terminals().send(to, group.terminals().get(1000 + terminal * 200L + number % 200, 1500, to, 1));
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

    private static double percentile(List<Double> sorted, double fraction) {
        return sorted.isEmpty() ? 0 : sorted.get((int) Math.min(sorted.size() - 1, fraction * sorted.size()));
    }

    private static void print(Scheme scheme, int processes, int limit, String what, Measurements measurements) {
        System.out.printf(
                "%s n=%d number=%d %s: sent %d, served %.3f, refused %.3f, other %d, handshakes per served request %.4f, rejected %d, use %.3f, jain %.3f, p50 %.1f, p99 %.1f ms%n",
                scheme, processes, limit, what, measurements.sent, measurements.served / (double) Math.max(1, measurements.sent),
                measurements.refused / (double) Math.max(1, measurements.sent), measurements.otherEnds,
                measurements.handshakes / (double) Math.max(1, measurements.served), measurements.rejected, measurements.utilization,
                measurements.jainIndex, measurements.p50Ms, measurements.p99Ms);
    }

    /** CPU time of all processes so far, in ms. */
    private static double cpuMs(Group group) throws IOException {
        double ms = 0;
        for (int i = 0; i < group.size(); i++) {
            String[] stat = Files.readString(Path.of("/proc/" + group.process(i).pid() + "/stat")).replaceAll(".*\\) ", "").split(" ");
            ms += (Long.parseLong(stat[11]) + Long.parseLong(stat[12])) * 10.0;
        }
        return ms;
    }
}

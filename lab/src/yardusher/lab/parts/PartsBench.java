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

    private enum Way { TODAY, FIXED, PARTS }

    private record Figures(long sent, long served, long refused, long other, long handshakes, long turnedAway, double use, double jain, double p50, double p99) { }

    private PartsBench() { }

    /** Arguments: {@code FOLDER PROCESSES LIMIT SECONDS [WAY...]}. Runs light load, load above the limit, moving load and no load. */
    public static void main(String[] args) throws Exception {
        int processes = Integer.parseInt(args[1]);
        int number = Integer.parseInt(args[2]);
        int seconds = Integer.parseInt(args[3]);
        for (Way way : Way.values()) {
            if (args.length > 4 && !List.of(args).subList(4, args.length).contains(way.name())) { continue; }
            Path folder = Path.of(args[0]).resolve(way.name().toLowerCase(java.util.Locale.ROOT));
            if (Files.exists(folder)) { Seeds.delete(folder); }
            run(folder, way, processes, number, seconds);
            Seeds.delete(folder);
        }
    }

    private static void run(Path folder, Way way, int processes, int number, int seconds) throws Exception {
        try (Group group = new Group(folder, processes, 7)) {
            for (int i = 0; i < PartsRun.REGIONS; i++) {
                group.region("0000000" + i, "hall-" + "abc".charAt(i)).takes(SERVICE_MS - 10, SERVICE_MS + 10).cap(number, Region.Over.CLOSE);
            }
            if (way != Way.TODAY) {
                group.settings(i -> {
                    String text = PartsRun.settings(group, i, number, way == Way.FIXED ? "absent = \"begin\"\n" : "");
                    return way == Way.FIXED ? text.replaceAll("seeds = \\[.*]", "seeds = []") : text;
                });
            }
            group.start();
            Thread.sleep(3000);
            int held = PartsRun.REGIONS * number;
            double pace = held * 1000.0 / SERVICE_MS;
            tell(way, processes, number, "ample, 40%", load(group, number, pace * 0.4, held, seconds, -1));
            tell(way, processes, number, "scarce, 200%", load(group, number, pace * 2, held * 3, seconds, -1));
            List<Double> hot = new ArrayList<>();
            Figures strokes = null;
            for (int stroke = 0; stroke < 5; stroke++) {
                strokes = stroke(group, way, number, pace, held, stroke % processes, hot);
            }
            hot.sort(null);
            tell(way, processes, number, "the last of 5 strokes, 85% at one; part there after " + hot + " ms", strokes);
            System.out.println("refused by reason so far: " + new TreeMap<>(PartsRun.figures(group, List.of("refused_quota", "refused_ceiling", "refused_pressure", "refused_no_server", "refused_attempts",
                    "refused_late", "attempts_connect_failed", "attempts_connection_lost", "attempts_not_sent", "attempts_timed_out", "attempts_cancelled"))));
            double before = cpu(group);
            Thread.sleep(6000);
            System.out.printf("%s n=%d number=%d at rest: %.2f%% of a core each; told %s%n", way, processes, number, (cpu(group) - before) / 6000 / processes * 100,
                    way == Way.PARTS ? new TreeMap<>(PartsRun.figures(group, List.of("parts_told", "parts_moved", "parts_leak", "mesh_sent", "parts_bad", "parts_far"))) : "-");
        }
    }

    private static Figures stroke(Group group, Way way, int number, double pace, int held, int hot, List<Double> ms) throws Exception {
        double from = Chronicle.now();
        Thread watch = new Thread(() -> {
            double want = 0.9 * Math.min(0.85 * held, held - group.size() + 1);
            while (Chronicle.now() - from < 3000) {
                String report = PartsRun.call(group, hot, "parts", 500);
                int may = 0;
                for (String cell : report == null ? new String[0] : report.split("[\t\n]")) { may += cell.startsWith("may=") ? Integer.parseInt(cell.substring(4)) : 0; }
                if (may >= want) {
                    ms.add((double) Math.round(Chronicle.now() - from));
                    return;
                }
                try {
                    Thread.sleep(10);
                } catch (InterruptedException e) {
                    return;
                }
            }
            ms.add(3000.0);
        });
        if (way == Way.PARTS) { watch.start(); }
        Figures figures = load(group, number, pace * 0.85, held * 2, 3, hot);
        watch.join();
        return figures;
    }

    /** {@code hot}: the ingress that gets all load, -1 for an even distribution. */
    private static Figures load(Group group, int number, double perSecond, int terminals, int seconds, int hot) throws Exception {
        int events = group.regionHistory().size();
        int tries = group.terminalHistory().size();
        double from;
        double until;
        try (Crowd load = new Crowd(group, terminals, perSecond, hot)) {
            Thread.sleep(1000);                      // not measured, so that the load settles
            from = Chronicle.now();
            Thread.sleep(seconds * 500L);
            Thread.sleep(seconds * 500L);
            until = Chronicle.now();
        }
        List<Region.Event> seen = group.regionHistory();
        double busy = 0;
        double at = from;
        int running = 0;
        long opened = 0;
        long away = 0;
        for (Region.Event event : seen.subList(events, seen.size())) {
            if (event.atMs() > until) { break; }
            if (event.atMs() > from) {
                busy += running * (event.atMs() - at);
                at = event.atMs();
                opened += event.what().equals("open") ? 1 : 0;
                away += event.what().equals("turned away") ? 1 : 0;
            }
            running += switch (event.what()) {
                case "begin" -> 1;
                case "served", "error", "busy", "dropped" -> -1;
                default -> 0;
            };
        }
        Map<Integer, Long> servedBy = new TreeMap<>();
        List<Double> took = new ArrayList<>();
        long sent = 0;
        long refused = 0;
        long other = 0;
        List<Terminals.Try> tried = group.terminalHistory();
        for (Terminals.Try one : tried.subList(tries, tried.size())) {
            if (one.sentMs() < from || one.sentMs() > until) { continue; }
            sent++;
            servedBy.merge(one.ingress(), one.end() == Terminals.End.SERVED ? 1L : 0L, Long::sum);
            if (one.end() == Terminals.End.SERVED) { took.add(one.answeredMs() - one.sentMs()); } else if (one.end() == Terminals.End.REFUSED) { refused++; } else { other++; }
        }
        took.sort(null);
        double sum = servedBy.values().stream().mapToDouble(Long::doubleValue).sum();
        double squares = servedBy.values().stream().mapToDouble(one -> (double) one * one).sum();
        return new Figures(sent, took.size(), refused, other, opened + away, away, busy / (until - from) / number / PartsRun.REGIONS, squares == 0 ? 0 : sum * sum / squares / servedBy.size(),
                at(took, 0.5), at(took, 0.99));
    }

    /** Terminals that send requests at random times, at a given total rate, to one ingress or to all. */
    private static final class Crowd implements AutoCloseable {
        private final List<Thread> threads = new ArrayList<>();
        private volatile boolean over;

        Crowd(Group group, int terminals, double perSecond, int hot) {
            for (int i = 0; i < terminals; i++) {
                int me = i;
                Thread thread = new Thread(() -> {
                    Random random = new Random(me);
                    double next = Chronicle.now();
                    for (long at = 0; !over; at++) {
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
            over = true;
            for (Thread thread : threads) { thread.join(); }
        }
    }

    private static double at(List<Double> sorted, double part) { return sorted.isEmpty() ? 0 : sorted.get((int) Math.min(sorted.size() - 1, part * sorted.size())); }

    private static void tell(Way way, int processes, int number, String what, Figures f) {
        System.out.printf("%s n=%d number=%d %s: sent %d, served %.3f, refused %.3f, other %d, handshakes a served one %.4f, turned away %d, use %.3f, jain %.3f, p50 %.1f, p99 %.1f ms%n", way,
                processes, number, what, f.sent, f.served / (double) Math.max(1, f.sent), f.refused / (double) Math.max(1, f.sent), f.other, f.handshakes / (double) Math.max(1, f.served), f.turnedAway, f.use, f.jain, f.p50, f.p99);
    }

    /** CPU time of all processes so far, in ms. */
    private static double cpu(Group group) throws IOException {
        double ms = 0;
        for (int i = 0; i < group.size(); i++) {
            String[] stat = Files.readString(Path.of("/proc/" + group.process(i).pid() + "/stat")).replaceAll(".*\\) ", "").split(" ");
            ms += (Long.parseLong(stat[11]) + Long.parseLong(stat[12])) * 10.0;
        }
        return ms;
    }
}

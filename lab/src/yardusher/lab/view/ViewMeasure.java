package yardusher.lab.view;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;

/**
 * Measures the view in simulated time: {@code times MEMBERS SEEDS LOSS} for latencies, {@code noise MEMBERS SEEDS LOSS MINUTES} for
 * false suspicions, and {@code plain MEMBERS SEEDS LOSS MINUTES} for both with plain heartbeats. Times are p50, p99 and maximum, in ms.
 */
public final class ViewMeasure {
    private static final double STARVED = 0.1;       // share of the members
    private static final double MOST_MS = 120_000;

    private ViewMeasure() { }

    public static void main(String[] args) {
        int members = Integer.parseInt(args[1]);
        int seeds = Integer.parseInt(args[2]);
        double loss = Double.parseDouble(args[3]);
        switch (args[0]) {
            case "times" -> times(members, seeds, loss, args.length > 4 && args[4].equals("nosplit"));
            case "noise" -> noise(members, seeds, loss, Double.parseDouble(args[4]));
            case "plain" -> plain(members, seeds, loss, Double.parseDouble(args[4]));
            default -> throw new IllegalArgumentException("unknown mode, expected times, noise or plain");
        }
    }

    private static String spread(List<Double> values) {
        double[] all = values.stream().mapToDouble(Double::doubleValue).toArray();
        return String.format(Locale.ROOT, "%.0f / %.0f / %.0f", ViewFleet.percentile(all, 0.5), ViewFleet.percentile(all, 0.99), ViewFleet.percentile(all, 1));
    }

    private static void times(int members, int seeds, double loss, boolean short_) {
        List<Double> joined = new ArrayList<>();
        List<Double> first = new ArrayList<>();
        List<Double> all = new ArrayList<>();
        List<Double> hall = new ArrayList<>();
        List<Double> one = new ArrayList<>();
        List<Double> healed = new ArrayList<>();
        double sent = 0;
        double bytes = 0;
        double batches = 0;
        for (int seed = 1; seed <= seeds; seed++) {
            ViewNet net = new ViewNet(seed, 1.7e12);
            net.lose(loss);
            ViewChecker checker = members > 200 ? null : new ViewChecker(0);
            ViewFleet fleet = new ViewFleet(net, seed, 3, checker, null);
            joined.add(fleet.begin(members, MOST_MS));
            net.until(net.now() + 10_000);
            net.forgetFigures();
            net.until(net.now() + 10_000);
            for (int i = 0; i < members; i++) {
                sent += net.sent(i) / 10.0 / members / seeds;
                bytes += net.sentBytes(i) / 10.0 / members / seeds;
            }
            for (int n = 0; n < (short_ ? 1 : 5); n++) {
                int dead = 3 + (seed * 31 + n * 17) % (members - 3);
                if (fleet.at(dead) == null) { continue; }
                double from = net.now();
                fleet.kill(dead);
                double settled = fleet.awaitSettled(members - 1, MOST_MS);
                all.add(settled);
                first.add(fleet.running().stream().mapToDouble(life -> life.membership.changedMs()).min().orElse(from) - from);
                net.until(net.now() + 1000);
                from = net.now();
                fleet.start(dead);
                one.add(fleet.awaitSettled(members, MOST_MS));
                net.until(net.now() + 1000);
            }
            if (short_) { continue; }
            for (int i = 0; i < members; i++) { net.side(i, i % 2); }
            net.until(net.now() + 10_000);
            for (int i = 0; i < members; i++) { net.side(i, 0); }
            healed.add(fleet.awaitSettled(members, MOST_MS));
            net.until(net.now() + 5000);
            int dead = 0;
            long before = batches(fleet);
            for (int i = 4; i < members; i += 3, dead++) { fleet.kill(i); }
            hall.add(fleet.awaitSettled(members - dead, MOST_MS));
            net.until(net.now() + 4000);
            batches += (double) (batches(fleet) - before) / fleet.running().size() / seeds;
        }
        System.out.printf(Locale.ROOT, "%d members, loss %.0f%%, %d seeds, p50 / p99 / max in ms: all join at once %s; kill to first %s, to all %s; one joins %s; heal %s;"
                + " a third fails %s, reported in %.2f changes; idle: %.1f datagrams and %.0f bytes a second and member%n", members, loss * 100, seeds, spread(joined), spread(first),
                spread(all), spread(one), spread(healed), spread(hall), batches, sent, bytes);
    }

    private static long batches(ViewFleet fleet) { return fleet.running().stream().filter(life -> life.place % 3 != 1 || life.place == 1).mapToLong(life -> life.batches.size()).sum(); }

    private static void noise(int members, int seeds, double loss, double minutes) {
        long accused = 0;
        long gone = 0;
        double sent = 0;
        double bytes = 0;
        for (int seed = 1; seed <= seeds; seed++) {
            ViewNet net = new ViewNet(seed, 1.7e12);
            ViewChecker checker = new ViewChecker(0);
            ViewFleet fleet = new ViewFleet(net, seed, 3, checker, null);
            fleet.begin(members, MOST_MS);
            net.until(net.now() + 5000);
            net.lose(loss);
            for (int i = 0; i < members * STARVED; i++) { net.starve(i * 10 % members, ViewRun.SHARE); }
            long before = suspicions(fleet);
            int wasGone = checker.falselyLost().size();
            net.forgetFigures();
            net.until(net.now() + minutes * 60_000);
            accused += suspicions(fleet) - before;
            gone += checker.falselyLost().size() - wasGone;
            for (int i = 0; i < members; i++) {
                sent += net.sent(i) / (minutes * 60) / members / seeds;
                bytes += net.sentBytes(i) / (minutes * 60) / members / seeds;
            }
        }
        double hours = seeds * minutes / 60;
        System.out.printf(Locale.ROOT, "%d members, loss %.0f%%, a tenth runs %.0f%% of the time, %.1f hours: %.0f suspicions raised an hour, %.1f false \"gone\" an hour (over all observers);"
                + " %.1f datagrams and %.0f bytes a second and member%n", members, loss * 100, ViewRun.SHARE * 100, hours, accused / hours, gone / hours, sent, bytes);
    }

    private static long suspicions(ViewFleet fleet) {
        return fleet.running().stream().mapToLong(life -> Long.parseLong(life.membership.line().replaceAll(".*view_accused=([0-9]+).*", "$1"))).sum();
    }

    private static void plain(int members, int seeds, double loss, double minutes) {
        List<Double> first = new ArrayList<>();
        List<Double> all = new ArrayList<>();
        long gone = 0;
        double sent = 0;
        double bytes = 0;
        for (int seed = 1; seed <= seeds; seed++) {
            ViewNet net = new ViewNet(seed, 1.7e12);
            net.lose(loss);
            List<Integer> places = IntStream.range(0, members).mapToObj(i -> net.place()).toList();
            List<ViewHeartbeats> parties = new ArrayList<>();
            for (int i : places) {
                parties.add(new ViewHeartbeats(net, i, places));
                net.put(i, parties.get(i));
            }
            for (int i = 0; i < members * STARVED; i++) { net.starve(i * 10 % members, ViewRun.SHARE); }
            net.until(net.now() + 5000);
            net.forgetFigures();
            long before = parties.stream().mapToLong(one -> one.lost).sum();
            net.until(net.now() + minutes * 60_000);
            gone += parties.stream().mapToLong(one -> one.lost).sum() - before;
            for (int i = 0; i < members; i++) {
                sent += net.sent(i) / (minutes * 60) / members / seeds;
                bytes += net.sentBytes(i) / (minutes * 60) / members / seeds;
            }
            double from = net.now();
            int dead = members / 2;
            net.put(dead, null);
            net.until(from + 10_000);
            double[] at = parties.stream().filter(one -> one != parties.get(dead)).mapToDouble(one -> one.goneAt[dead] - from).toArray();
            first.add(Arrays.stream(at).min().orElse(-1));
            all.add(Arrays.stream(at).max().orElse(-1));
        }
        double hours = seeds * minutes / 60;
        System.out.printf(Locale.ROOT, "plain, %d members, loss %.0f%%, a tenth runs %.0f%% of the time, %.1f hours: %.1f false \"gone\" an hour (over all observers); kill to first %s, to all %s;"
                + " %.1f datagrams and %.0f bytes a second and member%n", members, loss * 100, ViewRun.SHARE * 100, hours, gone / hours, spread(first), spread(all), sent, bytes);
    }
}

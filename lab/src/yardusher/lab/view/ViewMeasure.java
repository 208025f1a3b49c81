package yardusher.lab.view;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;

/**
 * Figures of the view on scripted time: {@code times MEMBERS SEEDS LOSS}, {@code noise MEMBERS SEEDS LOSS MINUTES}, and the same
 * of the plain way, {@code plain MEMBERS SEEDS LOSS MINUTES}. Times are p50, p99 and the most, in ms.
 */
public final class ViewMeasure {
    private static final double STARVED_SHARE = 0.1;       // of the members
    private static final double TIMEOUT_MS = 120_000;

    private ViewMeasure() { }

    public static void main(String[] args) {
        int members = Integer.parseInt(args[1]);
        int seeds = Integer.parseInt(args[2]);
        double loss = Double.parseDouble(args[3]);
        switch (args[0]) {
            case "times" -> times(members, seeds, loss, args.length > 4 && args[4].equals("nosplit"));
            case "noise" -> noise(members, seeds, loss, Double.parseDouble(args[4]));
            case "plain" -> heartbeats(members, seeds, loss, Double.parseDouble(args[4]));
            default -> throw new IllegalArgumentException("times, noise or plain");
        }
    }

    private static String percentiles(List<Double> values) {
        double[] all = values.stream().mapToDouble(Double::doubleValue).toArray();
        return String.format(Locale.ROOT, "%.0f / %.0f / %.0f", ViewFleet.percentile(all, 0.5), ViewFleet.percentile(all, 0.99), ViewFleet.percentile(all, 1));
    }

    private static void times(int members, int seeds, double loss, boolean isShort) {
        List<Double> joined = new ArrayList<>();
        List<Double> first = new ArrayList<>();
        List<Double> all = new ArrayList<>();
        List<Double> hallFailed = new ArrayList<>();
        List<Double> rejoined = new ArrayList<>();
        List<Double> healed = new ArrayList<>();
        double sent = 0;
        double bytes = 0;
        double changesReported = 0;
        for (int seed = 1; seed <= seeds; seed++) {
            ViewNet net = new ViewNet(seed, 1.7e12);
            net.setLoss(loss);
            ViewChecker checker = members > 200 ? null : new ViewChecker(0);
            ViewFleet fleet = new ViewFleet(net, seed, 3, checker, null);
            joined.add(fleet.startAll(members, TIMEOUT_MS));
            net.runUntil(net.now() + 10_000);
            net.resetCounters();
            net.runUntil(net.now() + 10_000);
            for (int i = 0; i < members; i++) {
                sent += net.sent(i) / 10.0 / members / seeds;
                bytes += net.sentBytes(i) / 10.0 / members / seeds;
            }
            for (int n = 0; n < (isShort ? 1 : 5); n++) {
                int dead = 3 + (seed * 31 + n * 17) % (members - 3);
                if (fleet.instanceAt(dead) == null) { continue; }
                double from = net.now();
                fleet.kill(dead);
                double settled = fleet.awaitSettled(members - 1, TIMEOUT_MS);
                all.add(settled);
                first.add(fleet.running().stream().mapToDouble(life -> life.membership.changedAtMs()).min().orElse(from) - from);
                net.runUntil(net.now() + 1000);
                from = net.now();
                fleet.start(dead);
                rejoined.add(fleet.awaitSettled(members, TIMEOUT_MS));
                net.runUntil(net.now() + 1000);
            }
            if (isShort) { continue; }
            for (int i = 0; i < members; i++) { net.setPartition(i, i % 2); }
            net.runUntil(net.now() + 10_000);
            for (int i = 0; i < members; i++) { net.setPartition(i, 0); }
            healed.add(fleet.awaitSettled(members, TIMEOUT_MS));
            net.runUntil(net.now() + 5000);
            int dead = 0;
            long before = changeCount(fleet);
            for (int i = 4; i < members; i += 3, dead++) { fleet.kill(i); }
            hallFailed.add(fleet.awaitSettled(members - dead, TIMEOUT_MS));
            net.runUntil(net.now() + 4000);
            changesReported += (double) (changeCount(fleet) - before) / fleet.running().size() / seeds;
        }
        System.out.printf(Locale.ROOT, "%d members, loss %.0f%%, %d seeds, p50 / p99 / most in ms: all join at once %s; kill to first %s, to all %s; one joins %s; heal %s;"
                + " a third dies %s, told in %.2f batches; calm: %.1f datagrams and %.0f bytes a second and member%n", members, loss * 100, seeds, percentiles(joined), percentiles(first),
                percentiles(all), percentiles(rejoined), percentiles(healed), percentiles(hallFailed), changesReported, sent, bytes);
    }

    private static long changeCount(ViewFleet fleet) { return fleet.running().stream().filter(life -> life.node % 3 != 1 || life.node == 1).mapToLong(life -> life.changes.size()).sum(); }

    private static void noise(int members, int seeds, double loss, double minutes) {
        long suspicionsRaised = 0;
        long gone = 0;
        double sent = 0;
        double bytes = 0;
        for (int seed = 1; seed <= seeds; seed++) {
            ViewNet net = new ViewNet(seed, 1.7e12);
            ViewChecker checker = new ViewChecker(0);
            ViewFleet fleet = new ViewFleet(net, seed, 3, checker, null);
            fleet.startAll(members, TIMEOUT_MS);
            net.runUntil(net.now() + 5000);
            net.setLoss(loss);
            for (int i = 0; i < members * STARVED_SHARE; i++) { net.starve(i * 10 % members, ViewRun.STARVED_CPU_SHARE); }
            long before = suspicions(fleet);
            int goneBefore = checker.falseGone().size();
            net.resetCounters();
            net.runUntil(net.now() + minutes * 60_000);
            suspicionsRaised += suspicions(fleet) - before;
            gone += checker.falseGone().size() - goneBefore;
            for (int i = 0; i < members; i++) {
                sent += net.sent(i) / (minutes * 60) / members / seeds;
                bytes += net.sentBytes(i) / (minutes * 60) / members / seeds;
            }
        }
        double hours = seeds * minutes / 60;
        System.out.printf(Locale.ROOT, "%d members, loss %.0f%%, a tenth runs %.0f%% of the time, %.1f hours: %.0f suspicions raised an hour, %.1f false \"gone\" an hour (over all observers);"
                + " %.1f datagrams and %.0f bytes a second and member%n", members, loss * 100, ViewRun.STARVED_CPU_SHARE * 100, hours, suspicionsRaised / hours, gone / hours, sent, bytes);
    }

    private static long suspicions(ViewFleet fleet) {
        return fleet.running().stream().mapToLong(life -> Long.parseLong(life.membership.counters().replaceAll(".*view_accused=([0-9]+).*", "$1"))).sum();
    }

    private static void heartbeats(int members, int seeds, double loss, double minutes) {
        List<Double> first = new ArrayList<>();
        List<Double> all = new ArrayList<>();
        long gone = 0;
        double sent = 0;
        double bytes = 0;
        for (int seed = 1; seed <= seeds; seed++) {
            ViewNet net = new ViewNet(seed, 1.7e12);
            net.setLoss(loss);
            List<Integer> places = IntStream.range(0, members).mapToObj(i -> net.addNode()).toList();
            List<ViewHeartbeats> processes = new ArrayList<>();
            for (int i : places) {
                processes.add(new ViewHeartbeats(net, i, places));
                net.setProcess(i, processes.get(i));
            }
            for (int i = 0; i < members * STARVED_SHARE; i++) { net.starve(i * 10 % members, ViewRun.STARVED_CPU_SHARE); }
            net.runUntil(net.now() + 5000);
            net.resetCounters();
            long before = processes.stream().mapToLong(one -> one.goneDeclarations).sum();
            net.runUntil(net.now() + minutes * 60_000);
            gone += processes.stream().mapToLong(one -> one.goneDeclarations).sum() - before;
            for (int i = 0; i < members; i++) {
                sent += net.sent(i) / (minutes * 60) / members / seeds;
                bytes += net.sentBytes(i) / (minutes * 60) / members / seeds;
            }
            double from = net.now();
            int dead = members / 2;
            net.setProcess(dead, null);
            net.runUntil(from + 10_000);
            double[] delays = processes.stream().filter(one -> one != processes.get(dead)).mapToDouble(one -> one.goneAtMs[dead] - from).toArray();
            first.add(Arrays.stream(delays).min().orElse(-1));
            all.add(Arrays.stream(delays).max().orElse(-1));
        }
        double hours = seeds * minutes / 60;
        System.out.printf(Locale.ROOT, "plain, %d members, loss %.0f%%, a tenth runs %.0f%% of the time, %.1f hours: %.1f false \"gone\" an hour (over all observers); kill to first %s, to all %s;"
                + " %.1f datagrams and %.0f bytes a second and member%n", members, loss * 100, ViewRun.STARVED_CPU_SHARE * 100, hours, gone / hours, percentiles(first), percentiles(all), sent, bytes);
    }
}

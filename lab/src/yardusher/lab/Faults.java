package yardusher.lab;

import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.IntStream;

/**
 * A schedule of faults of a group that follows from a seed alone: drawn whole before it is played, and written to
 * {@code schedule.txt} of the group's folder. Each fault has a beginning and an end; at the end of the play all is healed.
 */
public final class Faults {
    /** What can happen. The last five are of datagrams, on every relay of the group. */
    public enum Kind { KILL, TERM, PAUSE, STARVE, REGION, DISCOVERY, CUT_ONE_WAY, CUT_ONE, SPLIT, LOSS, MESS }

    /** From {@code atMs} for {@code ms}, at these processes (or this region, by its place). */
    public record Fault(long atMs, long ms, Kind kind, List<Integer> at) {
        @Override
        public String toString() { return atMs + " " + kind + " " + at + " for " + ms; }
    }

    private record Step(long atMs, boolean begins, Fault fault) { }

    private final Group group;
    private final List<Fault> schedule;

    /** {@code count} faults of these kinds within {@code overMs}, each of {@code leastMs} to {@code mostMs}. */
    public Faults(Group group, long seed, Set<Kind> kinds, int count, long overMs, long leastMs, long mostMs) throws IOException {
        this.group = group;
        schedule = draw(seed, new TreeSet<>(kinds), group.size(), Math.max(1, group.regions().size()), count, overMs, leastMs, mostMs);
        List<String> lines = new ArrayList<>(List.of("seed " + seed));
        for (Fault fault : schedule) { lines.add(fault.toString()); }
        Files.write(group.folder().resolve("schedule.txt"), lines);
    }

    static List<Fault> draw(long seed, Set<Kind> kinds, int processes, int regions, int count, long overMs, long leastMs, long mostMs) {
        Random random = new Random(seed * 0x9e3779b97f4a7c15L + 17);
        List<Kind> all = List.copyOf(kinds);
        List<Fault> out = new ArrayList<>();
        for (int i = 0; i < count && !all.isEmpty(); i++) {
            Kind kind = all.get(random.nextInt(all.size()));
            long at = (long) (random.nextDouble() * overMs);
            long ms = leastMs + (long) (random.nextDouble() * (mostMs - leastMs + 1));
            List<Integer> whom = switch (kind) {
                case REGION -> List.of(random.nextInt(regions));
                case CUT_ONE_WAY -> {
                    int a = random.nextInt(processes);
                    yield List.of(a, (a + 1 + random.nextInt(Math.max(1, processes - 1))) % processes);
                }
                case SPLIT -> IntStream.range(0, processes).filter(one -> random.nextBoolean()).boxed().toList();
                case LOSS, MESS -> List.of();
                default -> List.of(random.nextInt(processes));
            };
            out.add(new Fault(at, ms, kind, whom));
        }
        out.sort(Comparator.comparingLong(Fault::atMs));
        return out;
    }

    public List<Fault> schedule() { return schedule; }

    /** Plays it, and returns when the last fault has ended and all processes answer. */
    public void play() throws IOException, InterruptedException {
        List<Step> steps = new ArrayList<>();
        for (Fault fault : schedule) {
            steps.add(new Step(fault.atMs(), true, fault));
            steps.add(new Step(fault.atMs() + fault.ms(), false, fault));
        }
        steps.sort(Comparator.comparingLong(Step::atMs));
        double from = Chronicle.now();
        for (Step step : steps) {
            double wait = from + step.atMs() - Chronicle.now();
            if (wait > 0) { Thread.sleep((long) wait); }
            group.deed((step.begins() ? "begins " : "ends ") + step.fault());
            if (step.begins()) { begin(step.fault()); } else { end(step.fault()); }
        }
        calm();
    }

    private void begin(Fault fault) throws IOException, InterruptedException {
        int a = fault.at().isEmpty() ? 0 : fault.at().get(0);
        switch (fault.kind()) {
            case KILL -> group.kill(a);
            case TERM -> group.signal(a, "-TERM");
            case PAUSE -> group.pause(a);
            case STARVE -> group.starve(a, 0.2);
            case REGION -> {
                if (!group.regions().isEmpty()) { group.crash(group.regions().get(a)); }
            }
            case DISCOVERY -> group.discovery().silence(a, true);
            default -> {
                for (DatagramRelay relay : group.allDatagrams()) { trouble(relay, fault, true); }
            }
        }
    }

    private void end(Fault fault) throws IOException, InterruptedException {
        int a = fault.at().isEmpty() ? 0 : fault.at().get(0);
        switch (fault.kind()) {
            case KILL -> group.launch(a);
            case TERM -> {
                group.kill(a);                       // a planned restart ends so where it has not ended by itself
                group.launch(a);
            }
            case PAUSE -> group.resume(a);
            case STARVE -> group.feed(a);
            case REGION -> {
                if (!group.regions().isEmpty()) { group.restart(group.regions().get(a)); }
            }
            case DISCOVERY -> group.discovery().silence(a, false);
            default -> {
                for (DatagramRelay relay : group.allDatagrams()) { trouble(relay, fault, false); }
            }
        }
    }

    private void trouble(DatagramRelay relay, Fault fault, boolean begins) {
        for (int i = 0; i < relay.size(); i++) {
            for (int j = 0; j < relay.size(); j++) {
                if (i == j) { continue; }
                DatagramRelay.Way way = relay.way(i, j);
                switch (fault.kind()) {
                    case CUT_ONE_WAY -> {
                        if (i == fault.at().get(0) && j == fault.at().get(1)) { way.cut(begins); }
                    }
                    case CUT_ONE -> {
                        if (i == fault.at().get(0) || j == fault.at().get(0)) { way.cut(begins); }
                    }
                    case SPLIT -> {
                        if (fault.at().contains(i) != fault.at().contains(j)) { way.cut(begins); }
                    }
                    case LOSS -> way.lose(begins ? 0.2 : 0);
                    default -> {
                        way.twice(begins ? 0.2 : 0);
                        way.corrupt(begins ? 0.05 : 0);
                        way.cutShort(begins ? 0.05 : 0);
                        way.delay(0, begins ? 2000 : 0);
                    }
                }
            }
        }
    }

    /** All is healed and runs. */
    public void calm() throws IOException, InterruptedException {
        for (DatagramRelay relay : group.allDatagrams()) { relay.heal(); }
        for (Region region : group.regions()) { region.restart(); }
        for (int i = 0; i < group.size(); i++) {
            group.feed(i);
            group.resume(i);
            group.discovery().silence(i, false);
            group.launch(i);
        }
        for (int i = 0; i < group.size(); i++) { group.awaitReady(i, 60_000); }
        group.deed("calm");
    }
}

package yardusher.lab;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Holds the histories of a group against what every part has to keep. The breaches, a line each; empty for none. */
public final class Checks {
    private Checks() { }

    /** Connections are counted right, and commands come only on those that are open. */
    public static List<String> connections(List<Region.Event> events) {
        List<String> found = new ArrayList<>();
        Map<String, Set<Long>> open = new HashMap<>();
        for (Region.Event event : events) {
            Set<Long> here = open.computeIfAbsent(event.region(), none -> new HashSet<>());
            switch (event.what()) {
                case "open" -> here.add(event.connection());
                case "close" -> here.remove(event.connection());
                case "begin" -> {
                    if (!here.contains(event.connection())) { found.add("begun on no connection: " + event); }
                }
                default -> { }
            }
            if (!event.what().equals("dropped") && here.size() != event.open()) { found.add(here.size() + " are open: " + event); }
        }
        return found;
    }

    /** Never more connections at a region, from accept to close, than its number. */
    public static List<String> atMost(List<Region.Event> events, String region, int number) {
        return events.stream().filter(one -> one.region().equals(region) && one.what().equals("open") && one.open() > number)
                .map(one -> one.open() + " connections, " + number + " allowed: " + one).toList();
    }

    /** What was served was made by a region for that very try, and before it was answered. */
    public static List<String> served(List<Region.Event> events, List<Terminals.Try> tries) {
        List<String> found = new ArrayList<>();
        Map<String, Double> made = new HashMap<>();
        for (Region.Event event : events) {
            if (event.what().equals("served")) { made.merge(event.region() + " " + event.word(2), event.atMs(), Math::min); }
        }
        for (Terminals.Try one : tries) {
            if (one.end() == Terminals.End.SERVED && made.getOrDefault(one.answer(), Double.MAX_VALUE) > one.answeredMs()) {
                found.add("served with what no region made for it: " + one);
            }
        }
        return found;
    }

    /** No request without an answer: a try that found no process dead or stopped is answered before its terminal gives up. */
    public static List<String> silent(List<Terminals.Try> tries, Set<Integer> mayBeSilent) {
        return tries.stream().filter(one -> one.end() == Terminals.End.SILENT && !mayBeSilent.contains(one.ingress())).map(one -> "never answered: " + one).toList();
    }

    /**
     * Answers come in their time: of the tries that found no process dead or stopped, one in 50 at the most after it. Single ones may, where the machine
     * gave a process no time.
     */
    public static List<String> late(List<Terminals.Try> tries, Set<Integer> mayBeLate) {
        List<Terminals.Try> counted = tries.stream().filter(one -> !mayBeLate.contains(one.ingress())).toList();
        List<Terminals.Try> late = counted.stream().filter(one -> one.end() == Terminals.End.LATE).toList();
        return late.size() * 50 <= counted.size() ? List.of() : List.of(late.size() + " of " + counted.size() + " answered late, the first: " + late.get(0));
    }
}

package yardusher.lab.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import yardusher.lab.fleet.History.Event;

/** Checks a history of effects against the guarantees of fleet work. Uses the targets' logs only. */
public final class Checker {
    private Checker() { }

    /**
     * The breaches, one line each; empty if there are none. {@code away}: instances that a roll may have unavailable at
     * once. {@code done}: ids of the rolls that the register reports as done; {@code all}: the instances that each of
     * them had to restart.
     */
    public static List<String> breaches(List<Event> events, int away, Set<String> done, Set<String> all) {
        List<String> found = new ArrayList<>();
        checkTokens(events, found);
        checkAway(events, away, found);
        checkEffects(events, done, all, found);
        return found;
    }

    /** At each target the tokens of seals and executed steps never decrease. */
    private static void checkTokens(List<Event> events, List<String> found) {
        Map<String, Long> highest = new HashMap<>();
        for (Event event : events) {
            if (event.work().equals("instance")) { continue; }
            boolean counts = event.what().startsWith("seals") || event.what().startsWith("acts");
            String key = event.target() + " " + event.work();
            if (counts && event.token() < highest.getOrDefault(key, 0L)) {
                found.add(event.target() + " " + event.what() + " of " + event.step() + " under token " + event.token() + " after token "
                        + highest.get(key));
            }
            if (counts) { highest.merge(key, event.token(), Math::max); }
        }
    }

    /** An instance is unavailable from its restart until it is ready again; never more at once than allowed. */
    private static void checkAway(List<Event> events, int allowed, List<String> found) {
        Set<String> gone = new HashSet<>();
        for (Event event : events) {
            if (event.work().equals("roll") && event.what().startsWith("acts restart ")) {
                gone.add(event.what().substring("acts restart ".length()));
                if (gone.size() > allowed) { found.add(gone.size() + " away at once, " + allowed + " allowed: " + gone + " at " + event.atMs()); }
            } else if (event.work().equals("instance") && event.what().startsWith("ready")) {
                gone.remove(event.step());
            }
        }
    }

    /** Each step takes effect once: an instance is started once for each roll and never without one. */
    private static void checkEffects(List<Event> events, Set<String> done, Set<String> all, List<String> found) {
        Map<String, Integer> starts = new LinkedHashMap<>();
        Map<String, Set<String>> rolls = new HashMap<>(); // by instance, the rolls whose step was executed
        for (Event event : events) {
            if (event.work().equals("instance") && event.what().startsWith("started")) { starts.merge(event.step(), 1, Integer::sum); }
            if (event.work().equals("roll") && event.what().startsWith("acts restart ")) {
                rolls.computeIfAbsent(event.what().substring("acts restart ".length()), none -> new HashSet<>())
                        .add(event.step().substring(0, event.step().indexOf('/')));
            }
        }
        starts.forEach((instance, count) -> {
            int most = 1 + rolls.getOrDefault(instance, Set.of()).size();
            if (count > most) { found.add(instance + " was started " + count + " times for " + (most - 1) + " rolls"); }
        });
        for (String roll : done) {
            for (String instance : all) {
                if (!rolls.getOrDefault(instance, Set.of()).contains(roll)) { found.add("roll " + roll + " is called done and never reached " + instance); }
            }
        }
    }
}

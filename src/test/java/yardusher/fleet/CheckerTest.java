package yardusher.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import yardusher.lab.fleet.Checker;
import yardusher.lab.fleet.History.Event;

/** The history checker detects a breach of each of its rules. */
class CheckerTest {
    private final List<Event> events = new ArrayList<>();

    private void event(String target, String work, long token, String step, String what) { events.add(new Event(events.size(), target, work, token, step, what)); }

    private void restart(String target, long token, String roll, String name) {
        event(target, "roll", token, roll + "/" + name, "acts restart " + name);
        event(target, "instance", 0, name, "started pid=1");
        event(target, "instance", 0, name, "ready pid=1");
    }

    private List<String> breaches(int away) { return Checker.breaches(events, away, Set.of("5"), Set.of("n0", "n1")); }

    @Test
    void validHistoryHasNoBreaches() {
        for (String name : List.of("n0", "n1")) { event("a0", "instance", 0, name, "started pid=1"); }
        event("a0", "roll", 3, "-", "seals");
        restart("a0", 3, "5", "n0");
        event("a0", "roll", 4, "-", "seals");
        event("a0", "roll", 3, "5/n1", "refused, 4 is newer");
        restart("a0", 4, "5", "n1");
        assertThat(breaches(1)).isEmpty();
    }

    @Test
    void detectsBreachOfEachRule() {
        event("a0", "roll", 4, "-", "seals");
        event("a0", "roll", 3, "5/n0", "acts restart n0");
        event("a1", "roll", 4, "5/n1", "acts restart n1");
        event("a1", "instance", 0, "n1", "started pid=1");
        event("a1", "instance", 0, "n1", "started pid=2");
        event("a1", "instance", 0, "n1", "started pid=3");
        assertThat(breaches(1)).anyMatch(line -> line.contains("under token 3 after token 4")).anyMatch(line -> line.contains("2 away at once"))
                .anyMatch(line -> line.contains("n1 was started 3 times"));
        events.clear();
        assertThat(breaches(1)).anyMatch(line -> line.contains("called done and never reached n0"));
    }
}

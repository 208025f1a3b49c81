package yardusher.lab.scale;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What a process of hollow ingresses has told, a sample a second, by names and texts; only the latest keeps its long ones. For several threads. */
final class Samples {
    private static final int MOST = 4000;            // later ones are passed over
    private static final List<String> LONG = List.of("late", "force", "held");
    private final List<Map<String, String>> all = new ArrayList<>();

    synchronized void add(Map<String, String> sample) {
        if (all.size() >= MOST) { return; }
        if (all.size() > 1) { all.get(all.size() - 1).keySet().removeAll(LONG); }
        all.add(sample);
    }

    /** The earliest first. Copies: what is told later takes nothing out of them. */
    synchronized List<Map<String, String>> all() { return all.stream().map(one -> (Map<String, String>) new HashMap<>(one)).toList(); }

    synchronized int size() { return all.size(); }
}

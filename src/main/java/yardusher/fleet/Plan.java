package yardusher.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** How far a roll is: each instance of the fleet, in the order of the roll, and whether its turn was. */
final class Plan {
    /** Whether an instance's turn was. */
    enum Turn { TODO, OUT, DONE, FAILED }

    /** One instance. */
    record Target(String member, String name) {
        @Override
        public String toString() { return member + "/" + name; }
    }

    final Map<Target, Turn> loop = new LinkedHashMap<>();

    /** One of each agent in turn, so that a batch is spread over machines. */
    static Plan of(Map<String, List<String>> byMember) {
        Plan plan = new Plan();
        int most = byMember.values().stream().mapToInt(List::size).max().orElse(0);
        for (int i = 0; i < most; i++) {
            for (Map.Entry<String, List<String>> one : byMember.entrySet()) {
                if (i < one.getValue().size()) { plan.loop.put(new Target(one.getKey(), one.getValue().get(i)), Turn.TODO); }
            }
        }
        return plan;
    }

    /** Reads the written form; null for the empty text. */
    static Plan decode(String text) {
        if (text.isEmpty()) { return null; }
        Plan plan = new Plan();
        for (String one : text.split(",")) {
            String[] parts = one.split("[/:]");
            plan.loop.put(new Target(parts[0], parts[1]), Turn.values()["todf".indexOf(parts[2])]);
        }
        return plan;
    }

    String encode() {
        StringBuilder out = new StringBuilder();
        loop.forEach((target, turn) -> out.append(out.length() == 0 ? "" : ",").append(target).append(':').append("todf".charAt(turn.ordinal())));
        return out.toString();
    }

    Plan copy() {
        Plan copy = new Plan();
        copy.loop.putAll(loop);
        return copy;
    }

    List<Target> in(Turn turn) {
        List<Target> found = new ArrayList<>();
        loop.forEach((target, now) -> {
            if (now == turn) { found.add(target); }
        });
        return found;
    }

    long count(Turn turn) { return loop.values().stream().filter(now -> now == turn).count(); }

    String progress() {
        return count(Turn.DONE) + " of " + loop.size() + " done, " + count(Turn.OUT) + " away, " + count(Turn.FAILED) + " failed";
    }
}

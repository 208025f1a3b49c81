package yardusher.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** How far a roll is: each instance of the fleet, in the order of the roll, and whether its turn was. */
final class RollPlan {
    /** Whether an instance's turn was. */
    enum TargetState { TODO, OUT, DONE, FAILED }

    /** One instance. */
    record Target(String member, String name) {
        @Override
        public String toString() { return member + "/" + name; }
    }

    final Map<Target, TargetState> targets = new LinkedHashMap<>();

    /** One of each agent in turn, so that a batch is spread over machines. */
    static RollPlan of(Map<String, List<String>> byMember) {
        RollPlan plan = new RollPlan();
        int most = byMember.values().stream().mapToInt(List::size).max().orElse(0);
        for (int i = 0; i < most; i++) {
            for (Map.Entry<String, List<String>> one : byMember.entrySet()) {
                if (i < one.getValue().size()) { plan.targets.put(new Target(one.getKey(), one.getValue().get(i)), TargetState.TODO); }
            }
        }
        return plan;
    }

    /** Reads the written form; null for the empty text. */
    static RollPlan decode(String text) {
        if (text.isEmpty()) { return null; }
        RollPlan plan = new RollPlan();
        for (String one : text.split(",")) {
            String[] parts = one.split("[/:]");
            plan.targets.put(new Target(parts[0], parts[1]), TargetState.values()["todf".indexOf(parts[2])]);
        }
        return plan;
    }

    String encode() {
        StringBuilder out = new StringBuilder();
        targets.forEach((target, turn) -> out.append(out.length() == 0 ? "" : ",").append(target).append(':').append("todf".charAt(turn.ordinal())));
        return out.toString();
    }

    RollPlan copy() {
        RollPlan copy = new RollPlan();
        copy.targets.putAll(targets);
        return copy;
    }

    List<Target> in(TargetState turn) {
        List<Target> found = new ArrayList<>();
        targets.forEach((target, now) -> {
            if (now == turn) { found.add(target); }
        });
        return found;
    }

    long count(TargetState turn) { return targets.values().stream().filter(now -> now == turn).count(); }

    String progress() {
        return count(TargetState.DONE) + " of " + targets.size() + " done, " + count(TargetState.OUT) + " away, " + count(TargetState.FAILED) + " failed";
    }
}

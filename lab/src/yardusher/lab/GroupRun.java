package yardusher.lab;

import java.nio.file.Path;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** Seeds of a group under mixed traffic and all faults, without any settings of its own: what every installation has to keep. */
public final class GroupRun {
    private GroupRun() { }

    /** {@code FOLDER FIRST COUNT [PROCESSES [MS]]}: traffic with faults for so long, then calm. */
    public static void main(String[] args) throws Exception {
        int processes = args.length > 3 ? Integer.parseInt(args[3]) : 5;
        long ms = args.length > 4 ? Long.parseLong(args[4]) : 4000;
        System.exit(Seeds.run(GroupRun.class, args, (folder, seed, note) -> play(folder, seed, processes, ms, note)) == 0 ? 0 : 1);
    }

    /** Plays a seed; the breaches. */
    public static List<String> play(Path folder, long seed, int processes, long ms, StringBuilder note) throws Exception {
        try (Group group = new Group(folder, processes, seed)) {
            for (int i = 0; i < 3; i++) { group.region("r" + i, "hall-" + "abc".charAt(i)).takes(1, 8); }
            group.start();
            Faults faults = new Faults(group, seed, EnumSet.allOf(Faults.Kind.class), 4 + processes, ms, ms / 20, ms / 4);
            Set<Integer> troubled = new HashSet<>(); // whose terminals may wait in vain
            for (Faults.Fault fault : faults.schedule()) {
                if (Set.of(Faults.Kind.KILL, Faults.Kind.TERM, Faults.Kind.PAUSE, Faults.Kind.STARVE).contains(fault.kind())) { troubled.addAll(fault.at()); }
            }
            try (Terminals.Load load = group.terminals().load(8, 200, 4, (terminal, number) -> {
                int first = (int) (number % processes);
                return number % 3 != 0 ? group.terminals().get(1000 + terminal * 50L + number % 50, 1500, first, Math.min(3, processes))
                        : group.terminals().post(1000 + terminal * 50L + number % 50, 1500, first, Math.min(3, processes), terminal * 1_000_000L + number, "b");
            })) {
                faults.play();
            }
            Map<Terminals.End, Long> ends = group.terminalHistory().stream().collect(Collectors.groupingBy(Terminals.Try::end, TreeMap::new, Collectors.counting()));
            note.append(faults.schedule().size()).append(" faults, ").append(ends);
            List<String> found = new java.util.ArrayList<>(Checks.connections(group.regionHistory()));
            found.addAll(Checks.served(group.regionHistory(), group.terminalHistory()));
            found.addAll(Checks.silent(group.terminalHistory(), troubled));
            found.addAll(Checks.late(group.terminalHistory(), troubled));
            if (ends.getOrDefault(Terminals.End.SERVED, 0L) == 0) { found.add("nothing was served"); }
            return found;
        }
    }
}

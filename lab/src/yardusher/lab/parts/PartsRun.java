package yardusher.lab.parts;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.Collectors;
import yardusher.lab.Checks;
import yardusher.lab.Chronicle;
import yardusher.lab.Faults;
import yardusher.lab.Group;
import yardusher.lab.Programs;
import yardusher.lab.Region;
import yardusher.lab.Seeds;
import yardusher.lab.Terminals;
import yardusher.resp.MalformedRespException;
import yardusher.resp.Value;

/**
 * Real processes that negotiate their connections at stand-in regions, under faults by seed. Each region counts from accept
 * to close; the rule is that it never counts more than its number.
 */
public final class PartsRun {
    static final int REGIONS = 3;
    private static final int RECOVERY_TIMEOUT_MS = 20_000;       // on a machine with much else to do

    private PartsRun() { }

    /** {@code FOLDER FIRST COUNT [PROCESSES [MS [NUMBER]]]}: traffic with faults for so long, then calm. */
    public static void main(String[] args) throws Exception {
        int processes = args.length > 3 ? Integer.parseInt(args[3]) : 3;
        long ms = args.length > 4 ? Long.parseLong(args[4]) : 4000;
        int limit = args.length > 5 ? Integer.parseInt(args[5]) : 2 * processes;
        System.exit(Seeds.run(PartsRun.class, args, (folder, seed, note) -> play(folder, seed, processes, ms, limit, note)) == 0 ? 0 : 1);
    }

    /** The settings of one process: the view by the relay, claims in one folder of the group. */
    static String settings(Group group, int i, int limit, String extra) {
        StringBuilder seeds = new StringBuilder();
        for (int j = 0; j < Math.min(3, group.size()); j++) { seeds.append(j == 0 ? "" : ", ").append('"').append(Programs.text(group.relayed(j, "mesh"))).append('"'); }
        return "[view]\nlisten = \"" + Programs.text(group.port(i, "mesh")) + "\"\nadvertise = \"" + Programs.text(group.relayed(i, "mesh")) + "\"\ninstallation = \"lab\"\nseeds = ["
                + seeds + "]\n[parts]\nconnections = " + limit + "\nfolder = '" + group.folder().resolve("claims") + "'\n" + extra;
    }

    static Path claimFile(Group group, int i) { return group.folder().resolve("claims").resolve("yardusher-n" + i + ".parts"); }

    /** Plays a seed; the breaches. */
    public static List<String> play(Path folder, long seed, int processes, long ms, int limit, StringBuilder note) throws Exception {
        Random random = new Random(seed);
        try (Group group = new Group(folder, processes, seed)) {
            for (int i = 0; i < REGIONS; i++) { group.region("0000000" + i, "hall-" + "abc".charAt(i)).takes(2, 25); }
            group.settings(i -> {
                try {
                    if (random.nextInt(3) == 0) { Files.deleteIfExists(claimFile(group, i)); } // a life with an empty memory: the one before has ended
                } catch (IOException e) {
                    throw new java.io.UncheckedIOException(e);
                }
                return settings(group, i, limit, "");
            });
            group.start();
            Faults faults = new Faults(group, seed, EnumSet.of(Faults.Kind.KILL, Faults.Kind.TERM, Faults.Kind.PAUSE, Faults.Kind.STARVE, Faults.Kind.REGION,
                    Faults.Kind.CUT_ONE_WAY, Faults.Kind.CUT_ONE, Faults.Kind.SPLIT, Faults.Kind.LOSS, Faults.Kind.MESS), 4 + processes / 2, ms, ms / 20, ms / 3);
            int hot = (int) (seed % processes);
            try (Terminals.Load load = group.terminals().load(24, 600, 1, (terminal, at) -> group.terminals().get(1000 + terminal * 50L + at % 50, 800,
                    at % 3 != 0 ? hot : (int) (at % processes), 1))) {
                faults.play();
            }
            return check(group, limit, note.append(faults.schedule().size()).append(" faults, "));
        }
    }

    /** The rule at each region, and that something was served. */
    static List<String> check(Group group, int limit, StringBuilder note) {
        List<String> found = new ArrayList<>(Checks.connections(group.regionHistory()));
        Map<String, Integer> maxOpen = new TreeMap<>();
        for (Region.Event event : group.regionHistory()) { maxOpen.merge(event.region(), event.open(), Math::max); }
        for (Region region : group.regions()) { found.addAll(Checks.atMost(group.regionHistory(), region.name(), limit).stream().limit(3).toList()); }
        Map<Terminals.End, Long> ends = group.terminalHistory().stream().collect(Collectors.groupingBy(Terminals.Try::end, TreeMap::new, Collectors.counting()));
        note.append(ends).append(", most open ").append(maxOpen.values()).append(" of ").append(limit);
        note.append(", all served again after ").append(Math.round(awaitRecovery(group, found))).append(" ms");
        return found;
    }

    /** After the calm each serves again, in a stated time. */
    private static double awaitRecovery(Group group, List<String> found) {
        double startedAtMs = Chronicle.now();
        for (int i = 0; i < group.size(); i++) {
            for (boolean isServed = false; !isServed;) {
                isServed = group.terminals().send(i, group.terminals().get(77_000 + (long) Chronicle.now() % 1000, 500, i, 1)).end() == Terminals.End.SERVED;
                if (Chronicle.now() - startedAtMs > RECOVERY_TIMEOUT_MS) {
                    found.add("n" + i + " serves nothing " + RECOVERY_TIMEOUT_MS + " ms after the calm");
                    return Chronicle.now() - startedAtMs;
                }
            }
        }
        return Chronicle.now() - startedAtMs;
    }

    /** One call at a process's second address; null where it does not answer in time. */
    static String call(Group group, int i, String call, int withinMs) {
        try (Socket socket = new Socket()) {
            socket.connect(group.admin(i), withinMs);
            socket.setSoTimeout(withinMs);
            socket.getOutputStream().write((call + "\n").getBytes(StandardCharsets.US_ASCII));
            ByteArrayOutputStream reply = new ByteArrayOutputStream();
            byte[] buffer = new byte[4096];
            for (int count; (count = socket.getInputStream().read(buffer)) > 0;) {
                reply.write(buffer, 0, count);
                String text = reply.toString(StandardCharsets.US_ASCII);
                if (text.endsWith("EOF\n") || text.startsWith("ERR") && text.endsWith("\n")) { return text; }
            }
        } catch (IOException e) { /* as good as no answer */ }
        return null;
    }

    /** A figure of a process's counters line; 0 where there is none. */
    static double counter(Group group, int i, String name) {
        try (Terminals.Connection connection = group.terminals().connect(i)) {
            Value reply = connection.ask(2000, "INFO");
            String line = reply instanceof Value.BulkString bulk ? bulk.text() : String.valueOf(reply);
            for (String pair : line.split("\\s")) {
                if (pair.startsWith(name + "=")) { return Double.parseDouble(pair.substring(name.length() + 1)); }
            }
        } catch (IOException | MalformedRespException e) { /* as good as no figure */ }
        return 0;
    }

    /** Figures of all processes, added up. */
    static Map<String, Double> counters(Group group, List<String> names) {
        Map<String, Double> sums = new HashMap<>();
        for (int i = 0; i < group.size(); i++) {
            for (String name : names) { sums.merge(name, counter(group, i, name), Double::sum); }
        }
        return sums;
    }
}

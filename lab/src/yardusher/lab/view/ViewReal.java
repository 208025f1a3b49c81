package yardusher.lab.view;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import yardusher.lab.DatagramRelay;
import yardusher.lab.Group;
import yardusher.lab.Seeds;

/**
 * The hard cases of the view by real processes. {@code FOLDER FIRST COUNT SIZE CASE ...} plays each case for each seed and
 * tells a line for each: breaches of its rules, and the times that were measured. Without a case, all but the long ones.
 */
public final class ViewReal {
    private static final double JOIN_TIMEOUT_MS = 60_000;
    private static final double SETTLE_TIMEOUT_MS = 30_000;
    /** Longer than any suspicion. */
    private static final long BEYOND_SUSPICION_MS = 8000;
    private static final int SEEDS = 3;

    /** A case: breaches go to {@code found}, figures to {@code note}. */
    private interface Scenario {
        void run(Path folder, int size, long seed, List<String> found, StringBuilder note) throws Exception;
    }

    private static final Map<String, Scenario> SCENARIOS = new LinkedHashMap<>();
    private static final Map<String, Scenario> LONG_SCENARIOS = new LinkedHashMap<>();

    static {
        SCENARIOS.put("one-killed", (folder, size, seed, found, note) -> crash(folder, size, seed, Set.of(size / 2), found, note));
        SCENARIOS.put("three-at-once", (folder, size, seed, found, note) -> crash(folder, size, seed, Set.of(1, size / 2, size - 1), found, note));
        SCENARIOS.put("hall", (folder, size, seed, found, note) -> crash(folder, size, seed, hallMembers(size), found, note));
        SCENARIOS.put("short-stop", ViewReal::shortPause);
        SCENARIOS.put("long-stop", ViewReal::longPause);
        SCENARIOS.put("starved", ViewReal::starved);
        SCENARIOS.put("one-way", ViewReal::oneWay);
        SCENARIOS.put("flapping", ViewReal::flapping);
        SCENARIOS.put("halves", (folder, size, seed, found, note) -> partition(folder, size, seed, 2, 10_000, found, note));
        SCENARIOS.put("thirds", (folder, size, seed, found, note) -> partition(folder, size, seed, 3, 10_000, found, note));
        SCENARIOS.put("name-twice", ViewReal::duplicateName);
        SCENARIOS.put("quick-restart", ViewReal::quickRestart);
        SCENARIOS.put("leaves", ViewReal::leave);
        SCENARIOS.put("roll", ViewReal::rollingRestart);
        SCENARIOS.put("join", ViewReal::join);
        SCENARIOS.put("bad-datagrams", ViewReal::badDatagrams);
        SCENARIOS.put("no-seed", ViewReal::noSeed);
        LONG_SCENARIOS.put("cost", ViewReal::cost);
        LONG_SCENARIOS.put("halves-60", (folder, size, seed, found, note) -> partition(folder, size, seed, 2, 60_000, found, note));
        LONG_SCENARIOS.put("thirds-60", (folder, size, seed, found, note) -> partition(folder, size, seed, 3, 60_000, found, note));
    }

    private ViewReal() { }

    public static void main(String[] args) throws Exception {
        int size = Integer.parseInt(args[3]);
        List<String> chosen = args.length > 4 ? List.of(args).subList(4, args.length) : List.copyOf(SCENARIOS.keySet());
        int broken = 0;
        for (String name : chosen) {
            broken += Seeds.run(ViewReal.class, new String[] {args[0] + "/" + name, args[1], args[2], args[3], name},
                    (folder, seed, note) -> play(folder, name, size, seed, note.append(name).append(": ")));
        }
        System.exit(broken == 0 ? 0 : 1);
    }

    /** Plays a case; the breaches. */
    public static List<String> play(Path folder, String name, int size, long seed, StringBuilder note) throws Exception {
        List<String> found = new ArrayList<>();
        Scenario scenario = SCENARIOS.containsKey(name) ? SCENARIOS.get(name) : LONG_SCENARIOS.get(name);
        if (scenario == null) { throw new IllegalArgumentException("no case " + name + "; there are " + SCENARIOS.keySet() + " " + LONG_SCENARIOS.keySet()); }
        scenario.run(folder, size, seed, found, note);
        return found;
    }

    private static Set<Integer> hallMembers(int size) {
        Set<Integer> hall = new TreeSet<>();
        for (int i = 1; i < size; i += 3) { hall.add(i); }
        return hall;
    }

    private static Set<Integer> without(Set<Integer> all, Collection<Integer> excluded) {
        Set<Integer> rest = new TreeSet<>(all);
        rest.removeAll(excluded);
        return rest;
    }

    private static ViewGroup startSettled(Path folder, int size, long seed, StringBuilder note) throws IOException, InterruptedException {
        ViewGroup view = new ViewGroup(folder, size, seed, Math.min(SEEDS, size), true);
        try {
            view.start(view.all(), 10);
            if (view.awaitSettled(view.all(), size, JOIN_TIMEOUT_MS) == null) { throw new IllegalStateException("did not settle at the start; see " + folder); }
            return view;
        } catch (IOException | RuntimeException | InterruptedException e) {
            view.close();
            throw e;
        }
    }

    /** Whoever runs is there, and those who do not are not. */
    private static List<ViewGroup.ProcessView> checkSettled(ViewGroup view, Set<Integer> running, double startMs, String what, List<String> found, StringBuilder note)
            throws InterruptedException {
        List<ViewGroup.ProcessView> views = view.awaitSettled(running, running.size(), SETTLE_TIMEOUT_MS);
        if (views == null) {
            found.add(what + ": not settled after " + SETTLE_TIMEOUT_MS + " ms: " + view.observeAll(running).stream().map(processView -> processView == null ? "silent" : processView.process() + ":" + processView.activeCount()).toList());
            return null;
        }
        Set<String> names = running.stream().map(view::name).collect(Collectors.toSet());
        for (ViewGroup.ProcessView processView : views) {
            Set<String> active = processView.states().entrySet().stream().filter(state -> state.getValue().equals("alive") || state.getValue().equals("suspect"))
                    .map(Map.Entry::getKey).collect(Collectors.toSet());
            if (!active.equals(names)) { found.add(what + ": n" + processView.process() + " holds " + active.size() + " to be there"); }
        }
        note.append(String.format(java.util.Locale.ROOT, "%s first %.0f all %.0f ms; ", what, ViewGroup.firstChangeAfter(views, startMs), ViewGroup.lastChangeAfter(views, startMs)));
        return views;
    }

    private static long goneDeclarations(ViewGroup view, Collection<Integer> processes) { return view.sumOfCounter(processes, "view_lost"); }

    private static void crash(Path folder, int size, long seed, Set<Integer> victims, List<String> found, StringBuilder note) throws Exception {
        try (ViewGroup view = startSettled(folder, size, seed, note)) {
            Set<Integer> rest = without(view.all(), victims);
            double startMs = Group.now();
            for (int i : victims) { view.group.signal(i, "-KILL"); }
            checkSettled(view, rest, startMs, "killed " + victims.size(), found, note);
            Thread.sleep(1500);
            // A hall that dies is one change to who follows.
            for (int i : rest) {
                long changes = Files.readAllLines(view.group.log(i)).stream().filter(line -> line.contains("view: settled") && !line.contains("gone=-")).count();
                if (changes > 1 && victims.size() > 1) { note.append("n").append(i).append(" was told in ").append(changes).append(" batches; "); }
            }
        }
    }

    private static void shortPause(Path folder, int size, long seed, List<String> found, StringBuilder note) throws Exception {
        try (ViewGroup view = startSettled(folder, size, seed, note)) {
            for (int i : List.of(0, size / 2, size - 1)) {
                view.group.pause(i);
                Thread.sleep(700);
                view.group.resume(i);
                Thread.sleep(1500);
            }
            if (goneDeclarations(view, view.all()) != 0) { found.add("a stop of 700 ms was taken for an end"); }
            checkSettled(view, view.all(), Group.now(), "awake", found, new StringBuilder());
            note.append("suspected ").append(view.sumOfCounter(view.all(), "view_accused")).append(" times; ");
        }
    }

    private static void longPause(Path folder, int size, long seed, List<String> found, StringBuilder note) throws Exception {
        try (ViewGroup view = startSettled(folder, size, seed, note)) {
            int one = size / 2;
            double from = Group.now();
            view.group.pause(one);
            checkSettled(view, without(view.all(), Set.of(one)), from, "stopped", found, note);
            Thread.sleep(BEYOND_SUSPICION_MS);
            from = Group.now();
            view.group.resume(one);
            checkSettled(view, view.all(), from, "woken", found, note);
            if (goneDeclarations(view, List.of(one)) != 0) { found.add("the woken one took others to be gone"); }
        }
    }

    private static void starved(Path folder, int size, long seed, List<String> found, StringBuilder note) throws Exception {
        try (ViewGroup view = startSettled(folder, size, seed, note)) {
            Set<Integer> starved = new TreeSet<>();
            for (int i = 0; i < Math.max(1, size / 10); i++) { starved.add((i * 10 + 4) % size); }
            for (int i : starved) { view.group.starve(i, 0.2); }
            Thread.sleep(10_000);
            for (int i : starved) { view.group.feed(i); }
            long accused = view.sumOfCounter(starved, "view_accused");
            if (goneDeclarations(view, view.all()) != 0) { found.add("under starvation " + goneDeclarations(view, view.all()) + " times a member that runs was taken to be gone"); }
            note.append("the starved accused ").append(accused).append(", the others ").append(view.sumOfCounter(without(view.all(), starved), "view_accused")).append("; ");
            checkSettled(view, view.all(), Group.now(), "fed", found, new StringBuilder());
        }
    }

    private static void oneWay(Path folder, int size, long seed, List<String> found, StringBuilder note) throws Exception {
        try (ViewGroup view = startSettled(folder, size, seed, note)) {
            Random random = new Random(seed);
            for (int n = 0; n < size; n++) {         // each hears one other no more
                int to = random.nextInt(size);
                if (to != n) { view.relay().way(n, to).cut(true); }
            }
            Thread.sleep(8000);
            if (goneDeclarations(view, view.all()) != 0) { found.add("a way cut in one direction made a member gone"); }
            note.append("suspected ").append(view.sumOfCounter(view.all(), "view_accused")).append("; ");
            view.relay().heal();
            checkSettled(view, view.all(), Group.now(), "healed", found, new StringBuilder());
        }
    }

    private static void flapping(Path folder, int size, long seed, List<String> found, StringBuilder note) throws Exception {
        try (ViewGroup view = startSettled(folder, size, seed, note)) {
            for (int second = 0; second < 10; second++) {
                for (int i = 1; i < size; i++) {
                    view.relay().way(0, i).cut(second % 2 == 0);
                    view.relay().way(i, 0).cut(second % 2 == 0);
                }
                Thread.sleep(1000);
            }
            view.relay().heal();
            checkSettled(view, view.all(), Group.now(), "still", found, note);
            note.append("lost ").append(goneDeclarations(view, view.all())).append(", refuted ").append(view.sumOfCounter(view.all(), "view_refuted")).append("; ");
        }
    }

    private static void partition(Path folder, int size, long seed, int sides, long ms, List<String> found, StringBuilder note) throws Exception {
        // One process comes on the first side, one is killed on the last.
        int late = size - 1;
        ViewGroup view = new ViewGroup(folder, size, seed, Math.min(SEEDS, size), true);
        try (view) {
            Set<Integer> begun = without(view.all(), Set.of(late));
            view.start(begun, 10);
            if (view.awaitSettled(begun, begun.size(), JOIN_TIMEOUT_MS) == null) { throw new IllegalStateException("did not settle at the start"); }
            List<List<Integer>> parts = new ArrayList<>();
            for (int side = 0; side < sides; side++) { parts.add(new ArrayList<>()); }
            for (int i = 0; i < size; i++) { parts.get(i % sides).add(i); }
            double from = Group.now();
            for (int a = 0; a < sides; a++) {
                for (int b = a + 1; b < sides; b++) { view.relay().split(parts.get(a), parts.get(b)); }
            }
            Thread.sleep(ms / 2);
            int dead = parts.get(sides - 1).stream().filter(i -> i >= SEEDS && i != late).findFirst().orElse(SEEDS);
            view.group.kill(dead);
            view.start(List.of(late), 1);
            Thread.sleep(Math.max(0, (long) (from + ms - Group.now())));
            for (List<Integer> part : parts) {
                Set<Integer> there = without(Set.copyOf(part), Set.of(dead));
                if (view.awaitSettled(there, there.size(), 5000) == null) { found.add("a side did not settle by itself"); }
            }
            from = Group.now();
            view.relay().heal();
            checkSettled(view, without(view.all(), Set.of(dead)), from, "healed", found, note);
        }
    }

    private static void duplicateName(Path folder, int size, long seed, List<String> found, StringBuilder note) throws Exception {
        int other = size - 1;
        try (ViewGroup view = new ViewGroup(folder, size, seed, Math.min(SEEDS, size - 1), true, i -> "n" + (i == other ? 1 : i))) {
            Set<Integer> right = without(view.all(), Set.of(other));
            view.start(right, 10);
            if (view.awaitSettled(right, right.size(), JOIN_TIMEOUT_MS) == null) { throw new IllegalStateException("did not settle at the start"); }
            view.start(List.of(other), 1);
            Thread.sleep(4000);
            checkSettled(view, right, Group.now(), "claimed", found, new StringBuilder());
            if (goneDeclarations(view, right) != 0) { found.add("the first holder of the name was taken to be gone"); }
            ViewGroup.ProcessView held = view.observe(other);
            if (held == null || !held.phase().equals("taken")) { found.add("the second claimant is " + (held == null ? "silent" : held.phase())); }
            if (!hasLogged(view, other, "VIEW_NAME_TAKEN")) { found.add("the second claimant does not say so"); }
            if (!hasLogged(view, 1, "VIEW_NAME_TAKEN")) { found.add("the first claimant does not say so"); }
            view.group.kill(1);                      // now the name is free
            double from = Group.now();
            checkSettled(view, without(view.all(), Set.of(1)), from, "taken over", found, note);
        }
    }

    private static boolean hasLogged(ViewGroup view, int i, String what) throws IOException {
        return Files.readString(view.group.log(i)).contains(what);
    }

    private static void quickRestart(Path folder, int size, long seed, List<String> found, StringBuilder note) throws Exception {
        try (ViewGroup view = startSettled(folder, size, seed, note)) {
            int one = size / 2;
            long before = view.observe(0).incarnations().get(view.name(one));
            double from = Group.now();
            view.group.kill(one);
            view.group.launch(one);
            view.group.awaitReady(one, 60_000);
            note.append(String.format(java.util.Locale.ROOT, "serves after %.0f; ", Group.now() - from));
            List<ViewGroup.ProcessView> held = checkSettled(view, view.all(), from, "restarted", found, note);
            if (held != null && held.stream().anyMatch(each -> each.incarnations().get(view.name(one)) <= before)) { found.add("the new life is not above the old"); }
        }
    }

    private static void leave(Path folder, int size, long seed, List<String> found, StringBuilder note) throws Exception {
        try (ViewGroup view = startSettled(folder, size, seed, note)) {
            int one = size / 2;
            view.group.terminate(one, 20_000);
            double from = Group.now();
            List<ViewGroup.ProcessView> held = checkSettled(view, without(view.all(), Set.of(one)), from, "left", found, note);
            if (held != null && held.stream().anyMatch(each -> !"left".equals(each.states().get(view.name(one))))) { found.add("who left is not held to have left"); }
            if (goneDeclarations(view, without(view.all(), Set.of(one))) != 0) { found.add("who left was taken to be gone"); }
        }
    }

    private static void rollingRestart(Path folder, int size, long seed, List<String> found, StringBuilder note) throws Exception {
        try (ViewGroup view = startSettled(folder, size, seed, note)) {
            Map<String, Long> before = view.observe(0).incarnations();
            for (int i = 0; i < size; i++) {
                view.group.terminate(i, 20_000);
                view.group.restart(i);
            }
            List<ViewGroup.ProcessView> held = checkSettled(view, view.all(), Group.now(), "rolled", found, note);
            if (held != null && held.stream().anyMatch(each -> before.entrySet().stream().anyMatch(old -> each.incarnations().get(old.getKey()) <= old.getValue()))) {
                found.add("an incarnation did not grow");
            }
            if (goneDeclarations(view, view.all()) != 0) { found.add("somebody was taken to be gone in a roll"); }
        }
    }

    /** All but the seeds come at once through one seed, which dies meanwhile. */
    private static void join(Path folder, int size, long seed, List<String> found, StringBuilder note) throws Exception {
        try (ViewGroup view = new ViewGroup(folder, size, seed, Math.min(SEEDS, size), true)) {
            Set<Integer> seeds = Set.of(0, 1, 2);
            view.start(seeds, 3);
            Set<Integer> others = without(view.all(), seeds);
            for (int i : others) { view.relay().way(i, 1).cut(true); } // of the three one is heard, until it dies
            for (int i : others) { view.relay().way(i, 2).cut(true); }
            double from = Group.now();
            for (int i : others) { view.group.launch(i); }
            Thread.sleep(1200);
            view.group.kill(0);
            view.relay().heal();
            for (int i : others) { view.group.awaitReady(i, 120_000); }
            double up = Group.now();
            List<ViewGroup.ProcessView> held = checkSettled(view, without(view.all(), Set.of(0)), from, "joined", found, note);
            note.append(String.format(java.util.Locale.ROOT, "all serve after %.0f ms, settled %.0f ms after that; ", up - from, held == null ? -1 : ViewGroup.lastChangeAfter(held, up)));
        }
    }

    private static void badDatagrams(Path folder, int size, long seed, List<String> found, StringBuilder note) throws Exception {
        try (ViewGroup view = startSettled(folder, size, seed, note)) {
            Random random = new Random(seed);
            for (int i = 0; i < size; i++) {
                for (int j = 0; j < size; j++) {
                    DatagramRelay.Way way = view.relay().way(i, j);
                    way.lose(0.2);
                    way.twice(0.2);
                    way.corrupt(0.02);
                    way.cutShort(0.02);
                }
            }
            double until = Group.now() + 10_000;
            while (Group.now() < until) {
                for (int i = 0; i < size; i++) {
                    byte[] body = new byte[random.nextInt(3000)];
                    random.nextBytes(body);
                    if (body.length > 3) {
                        body[0] = 'y';
                        body[1] = 1;
                        body[2] = (byte) random.nextInt(3);
                    }
                    view.relay().injectFromStranger(i, body);
                }
                Thread.sleep(50);
            }
            view.relay().heal();
            checkSettled(view, view.all(), Group.now(), "healed", found, new StringBuilder());
            note.append("lost ").append(goneDeclarations(view, view.all())).append(", foreign ").append(view.sumOfCounter(view.all(), "mesh_foreign")).append(", spoilt ")
                    .append(view.sumOfCounter(view.all(), "mesh_spoilt")).append(", suspected ").append(view.sumOfCounter(view.all(), "view_accused")).append("; ");
            if (goneDeclarations(view, view.all()) != 0) { found.add("a member that runs was taken to be gone under loss of 20%"); }
            for (int i = 0; i < size; i++) {
                if (Files.readString(view.group.log(i)).contains("Exception")) { found.add("n" + i + " threw an exception"); }
            }
        }
    }

    /** What the view costs in calm: the same processes with it and without it. */
    private static void cost(Path folder, int size, long seed, List<String> found, StringBuilder note) throws Exception {
        for (boolean on : new boolean[] {false, true}) {
            try (ViewGroup view = new ViewGroup(folder.resolve(on ? "on" : "off"), size, seed, Math.min(SEEDS, size), false)) {
                if (!on) { view.group.settings(i -> null); }
                view.start(view.all(), 10);
                if (on && view.awaitSettled(view.all(), size, JOIN_TIMEOUT_MS) == null) { found.add("did not settle"); }
                Thread.sleep(5000);
                double from = Group.now();
                double cpu = view.all().stream().mapToDouble(view::cpuMs).sum();
                long sent = on ? view.sumOfCounter(view.all(), "mesh_sent") : 0;
                long bytes = on ? view.sumOfCounter(view.all(), "mesh_sent_bytes") : 0;
                Thread.sleep(15_000);
                double ms = Group.now() - from;
                cpu = view.all().stream().mapToDouble(view::cpuMs).sum() - cpu;
                sent = on ? view.sumOfCounter(view.all(), "mesh_sent") - sent : 0;
                bytes = on ? view.sumOfCounter(view.all(), "mesh_sent_bytes") - bytes : 0;
                double kb = 0;
                for (int i = 0; i < size; i++) { kb += (double) view.residentKb(i) / size; }
                note.append(String.format(java.util.Locale.ROOT, "%s: %.2f%% of a core, %.1f MB resident, %.1f datagrams and %.0f bytes a second and process; ",
                        on ? "with" : "without", 100 * cpu / ms / size, kb / 1024, 1000 * sent / ms / size, 1000 * bytes / ms / size));
            }
        }
    }

    /** No seed is there: all serve, and find one another once it comes. */
    private static void noSeed(Path folder, int size, long seed, List<String> found, StringBuilder note) throws Exception {
        try (ViewGroup view = new ViewGroup(folder, size, seed, 1, true)) {
            Set<Integer> others = without(view.all(), Set.of(0));
            view.start(others, 10);
            if (view.observeAll(others).stream().anyMatch(one -> one == null || one.activeCount() != 1)) { found.add("somebody is not alone without a seed"); }
            double from = Group.now();
            view.start(List.of(0), 1);
            checkSettled(view, view.all(), from, "seed back", found, note);
        }
    }
}

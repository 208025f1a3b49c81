package yardusher.lab.units;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import yardusher.lab.Chronicle;
import yardusher.lab.Group;
import yardusher.lab.Terminals;

/**
 * What a part costs against a transaction alone, at its home and elsewhere: blocks in turn, so that what else the machine
 * does falls on all alike; and how soon the units of a dead home are told.
 */
public final class UnitsCosts {
    private UnitsCosts() { }

    /** {@code FOLDER PAIRS KILLS}. */
    public static void main(String[] args) throws Exception {
        Path folder = Path.of(args[0]);
        int pairs = Integer.parseInt(args[1]);
        int kills = Integer.parseInt(args[2]);
        try (Group group = new Group(folder, 3, 1)) {
            for (int i = 0; i < 4; i++) { group.region("b" + i, "hall-" + "ab".charAt(i / 2)).takes(0, 0); }
            group.settings(i -> UnitsRun.settings(group, i, "unit", "most_open_of_customer = 100000\n"));
            group.configuration((i, json) -> json.replaceAll("\"units_per_s\": [0-9.]+", "\"units_per_s\": 100000.0")
                    .replaceAll("\"peak_units\": [0-9.]+", "\"peak_units\": 100000.0")
                    .replaceAll("\"(ceiling_rate|ceiling_slack|hard_burst)\": [0-9.]+", "\"$1\": 0.0")); // quotas are not what is measured
            group.heap(48);
            group.start();
            Thread.sleep(1500);
            try (Terminals.Connection at = group.terminals().connect(0)) { measureCosts(group, at, pairs); }
            measureHomeLoss(group, kills);
        }
    }

    private static final int BLOCK = 150;

    private static void measureCosts(Group group, Terminals.Connection at, int pairs) throws Exception {
        String[] names = {"alone", "at home", "elsewhere"};
        List<List<Double>> took = List.of(new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
        double[][] cpu = new double[3][pairs];
        Terminals.Connection home1 = group.terminals().connect(1);
        for (int pair = -2; pair < pairs; pair++) {  // two to warm up
            for (int kind = 0; kind < 3; kind++) {
                Terminals.Connection opener = kind == 2 ? home1 : at;
                String unit = kind == 0 ? null : opener.send(group.terminals().get(50 + kind, 1000, 0, 3).with("b", "open")).answer();
                double before = totalCpuMs(group);
                for (int i = 1; i <= BLOCK; i++) {
                    Terminals.Command command = group.terminals().get(50 + kind, 1000, 0, 3);
                    if (unit != null) { command = command.with("u", unit).with("p", "" + i); }
                    Terminals.Try one = at.send(command);
                    if (one.end() != Terminals.End.SERVED) { throw new IllegalStateException(one.toString()); }
                    if (pair >= 0) { took.get(kind).add(one.answeredMs() - one.sentMs()); }
                }
                if (pair >= 0) { cpu[kind][pair] = (totalCpuMs(group) - before) / BLOCK; }
                if (unit != null) { at.send(group.terminals().get(50 + kind, 1000, 0, 3).with("u", unit).with("b", "end")); }
            }
        }
        home1.close();
        for (int kind = 0; kind < 3; kind++) {
            List<Double> all = took.get(kind);
            Collections.sort(all);
            double[] extra = new double[pairs];
            for (int i = 0; i < pairs; i++) { extra[i] = cpu[kind][i] - cpu[0][i]; }
            java.util.Arrays.sort(extra);
            double[] own = cpu[kind].clone();
            java.util.Arrays.sort(own);
            System.out.printf(Locale.ROOT, "%s: p50 %.3f ms, p90 %.3f ms, p99 %.3f ms; CPU of all ingresses %.3f ms each (median of %d blocks of %d), %.3f ms more than alone%n",
                    names[kind], all.get(all.size() / 2), all.get(all.size() * 9 / 10), all.get(all.size() * 99 / 100), own[pairs / 2], pairs, BLOCK, extra[pairs / 2]);
        }
    }

    private static double totalCpuMs(Group group) {
        double all = 0;
        for (int i = 0; i < group.size(); i++) { all += group.process(i).info().totalCpuDuration().orElse(Duration.ZERO).toNanos() / 1e6; }
        return all;
    }

    /** From the kill of a home until a part of its unit hears that nobody knows it, and until anything is refused. */
    private static void measureHomeLoss(Group group, int kills) throws Exception {
        List<Double> unknown = new ArrayList<>();
        List<Double> refused = new ArrayList<>();
        for (int kill = 0; kill < kills; kill++) {
            int home = kill % 3;
            int other = (home + 1) % 3;
            String unit = group.terminals().send(home, group.terminals().get(60, 1000, 0, 3).with("b", "open")).answer();
            group.terminals().send(other, group.terminals().get(60, 1000, 0, 3).with("u", unit).with("p", "1"));
            group.kill(home);
            double from = Chronicle.now();
            for (boolean any = false;;) {
                Terminals.Try one = group.terminals().send(other, group.terminals().get(60, 1000, 0, 3).with("u", unit).with("p", "2"));
                if (!any && one.end() != Terminals.End.SERVED) {
                    refused.add(Chronicle.now() - from);
                    any = true;
                }
                if (one.answer().contains("UNIT_UNKNOWN")) { break; }
                if (Chronicle.now() - from > 20_000) { throw new IllegalStateException(one.toString()); }
            }
            unknown.add(Chronicle.now() - from);
            group.launch(home);
            group.awaitReady(home, 30_000);
            Thread.sleep(1500);
        }
        Collections.sort(unknown);
        Collections.sort(refused);
        System.out.printf(Locale.ROOT, "told unknown after the home's death, %d kills: p50 %.0f ms, most %.0f ms; first refusal p50 %.0f ms, most %.0f ms%n", kills,
                unknown.get(kills / 2), unknown.get(kills - 1), refused.get(kills / 2), refused.get(kills - 1));
    }
}

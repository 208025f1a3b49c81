package yardusher.lab.rates;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import yardusher.lab.Checks;
import yardusher.lab.Chronicle;
import yardusher.lab.Faults;
import yardusher.lab.Group;
import yardusher.lab.Programs;
import yardusher.lab.Seeds;
import yardusher.lab.Terminals;

/**
 * Rates at real processes under faults by seed: customers whose sets are all ingresses, some of whom ask for three times their quota through all alike.
 * Some seconds after all is healed those are held to about their quota, though each ingress alone would let all of it in, and those who ask
 * little are let in.
 */
public final class RatesGroupRun {
    /** What an ingress is given beside its view. FLAWED: rates whose words nobody else believes, for who wants to see the check fail. */
    enum Variant { RATES, FLAWED }

    private static final double QUOTA_PER_S = 7.2;   // of the plan "plus" in the tests' configuration
    private static final int HEAVY_CUSTOMERS = 4;
    private static final int LIGHT_CUSTOMERS = 8;
    private static final double HEAVY_DEMAND_RATIO = 3;
    private static final double LIGHT_DEMAND_PER_S = 2;
    private static final int REQUEST_DEADLINE_MS = 1500;
    private static final long LEARNING_MS = 15_000;
    private static final long MEASURE_MS = 8000;
    private static final double MIN_ADMITTED_RATIO = 0.5;
    private static final double MAX_ADMITTED_RATIO = 2;
    private static final double MAX_LIGHT_REFUSED_SHARE = 0.05;

    private RatesGroupRun() { }

    /** {@code FOLDER FIRST COUNT [PROCESSES [MS]]}: traffic with faults for so long, then calm. */
    public static void main(String[] args) throws Exception {
        int processes = args.length > 3 ? Integer.parseInt(args[3]) : 5;
        long ms = args.length > 4 ? Long.parseLong(args[4]) : 4000;
        System.exit(Seeds.run(RatesGroupRun.class, args, (folder, seed, note) -> play(folder, seed, processes, ms, Variant.RATES, note)) == 0 ? 0 : 1);
    }

    private static String settings(Group group, int i, Variant variant) {
        StringBuilder seeds = new StringBuilder();
        for (int j = 0; j < Math.min(3, group.size()); j++) { seeds.append(j == 0 ? "" : ", ").append('"').append(Programs.text(group.relayed(j, "view"))).append('"'); }
        return "[view]\nlisten = \"" + Programs.text(group.port(i, "view")) + "\"\nadvertise = \"" + Programs.text(group.relayed(i, "view"))
                + "\"\ninstallation = \"lab\"\nseeds = [" + seeds + "]\n[rates]\nfrom = 2\nhorizon_s = " + (variant == Variant.FLAWED ? 600 : 4) + "\n";
    }

    static List<String> play(Path folder, long seed, int processes, long ms, Variant variant, StringBuilder note) throws Exception {
        try (Group group = new Group(folder, processes, seed)) {
            for (int i = 0; i < 3; i++) { group.region("r" + i, "hall-" + "abc".charAt(i)).takes(1, 8); }
            group.settings(i -> settings(group, i, variant));
            group.heap(32);
            group.start();
            Faults faults = new Faults(group, seed, EnumSet.of(Faults.Kind.KILL, Faults.Kind.TERM, Faults.Kind.PAUSE, Faults.Kind.CUT_ONE, Faults.Kind.CUT_ONE_WAY, Faults.Kind.SPLIT,
                    Faults.Kind.LOSS, Faults.Kind.MESS), 3 + processes, ms, ms / 20, ms / 3);
            Set<Integer> disturbed = new HashSet<>(); // whose terminals may wait in vain
            for (Faults.Fault fault : faults.schedule()) {
                if (Set.of(Faults.Kind.KILL, Faults.Kind.TERM, Faults.Kind.PAUSE).contains(fault.kind())) { disturbed.addAll(fault.at()); }
            }
            double startMs;
            double endMs;
            try (Terminals.Load heavy = load(group, 8, HEAVY_CUSTOMERS, HEAVY_DEMAND_RATIO * QUOTA_PER_S, 1000); Terminals.Load light = load(group, 2, LIGHT_CUSTOMERS, LIGHT_DEMAND_PER_S, 2000)) {
                faults.play();
                Thread.sleep(LEARNING_MS);
                startMs = Chronicle.now();
                Thread.sleep(MEASURE_MS);
                endMs = Chronicle.now();
            }
            List<String> found = new ArrayList<>(Checks.connections(group.regionHistory()));
            found.addAll(Checks.served(group.regionHistory(), group.terminalHistory()));
            found.addAll(Checks.silent(group.terminalHistory(), disturbed));
            found.addAll(Checks.late(group.terminalHistory(), disturbed));
            found.addAll(check(group.terminalHistory(), startMs, endMs, note));
            return found;
        }
    }

    private static Terminals.Load load(Group group, int terminals, int customers, double perS, long firstCustomer) {
        return group.terminals().load(terminals, customers * perS, 1, (terminal, number) -> {
            long customer = firstCustomer + (number * terminals + terminal) % customers;
            return new Terminals.Command("CALL.GET", customer, group.terminals().newId(), "c=lookup,t=plus,d=" + REQUEST_DEADLINE_MS + ",units=1,spread=" + group.size() + ",first=0", null);
        });
    }

    /** What each customer was let in between two times, of its quota; and how much of the calm ones' tries was refused. */
    static List<String> check(List<Terminals.Try> requests, double startMs, double endMs, StringBuilder note) {
        List<String> found = new ArrayList<>();
        double[] admitted = new double[HEAVY_CUSTOMERS];
        double[] demanded = new double[HEAVY_CUSTOMERS];
        double light = 0;
        double refused = 0;
        for (Terminals.Try request : requests) {
            if (request.sentMs() < startMs || request.sentMs() >= endMs) { continue; }
            long customer = Long.parseLong(request.words().split(" ")[1], 16);
            if (customer >= 2000) {
                light++;
                refused += request.end() == Terminals.End.REFUSED ? 1 : 0;
            } else {
                demanded[(int) (customer - 1000)]++;
                admitted[(int) (customer - 1000)] += request.end() == Terminals.End.SERVED ? 1 : 0;
            }
        }
        double seconds = (endMs - startMs) / 1000;
        note.append("let in");
        for (int i = 0; i < HEAVY_CUSTOMERS; i++) {
            double ratio = admitted[i] / seconds / QUOTA_PER_S;
            note.append(String.format(" %.2f of %.2f", ratio, demanded[i] / seconds / QUOTA_PER_S));
            if (demanded[i] / seconds < 2 * QUOTA_PER_S) { found.add("not enough was asked to tell: " + demanded[i] + " in " + seconds + " s"); }
            if (ratio < MIN_ADMITTED_RATIO || ratio > MAX_ADMITTED_RATIO) { found.add(String.format("customer %d was let in %.2f times its quota", i, ratio)); }
        }
        note.append(String.format(", calm refused %.0f of %.0f", refused, light));
        if (refused > MAX_LIGHT_REFUSED_SHARE * light) { found.add(String.format("%.0f of %.0f tries of customers who ask little were refused", refused, light)); }
        return found;
    }
}

package yardusher.lab.view;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import yardusher.view.Membership;

/**
 * One view on scripted time under faults that follow from a seed: what is borne without a false word ({@code bounds}), and what
 * is only healed from ({@code hard}). {@code MODE FIRST COUNT [MEMBERS [FLAW]]}; exits 1 where a seed broke a rule. A seed is
 * played again by its number; {@code -Dlab.say=true} tells what was done when.
 */
public final class ViewRun {
    /** The longest pause after which nobody is held to be gone, at the defaults and with up to 10% of datagrams lost. */
    public static final int MAX_TOLERATED_PAUSE_MS = Integer.getInteger("lab.pause", 1000);
    /** Of all datagrams. */
    public static final double MAX_LOSS = 0.10;
    /** Of each 100 ms, what a starved process runs. */
    public static final double STARVED_CPU_SHARE = 0.3;
    private static final double FAULT_PHASE_MS = 40_000;
    private static final double HEAL_TIMEOUT_MS = 20_000;
    private static final double GRACE_MS = 6000;
    private static final int SEED_MEMBERS = 3;
    private static final boolean VERBOSE = Boolean.getBoolean("lab.say");

    /** What came of a seed. */
    public record Outcome(List<String> breaches, double healedMs, int members, int falseSuspicions, int falseGone, long changes) { }

    private final Random random;
    private final ViewNet net;
    private final ViewChecker checker = new ViewChecker(GRACE_MS);
    private final ViewFleet fleet;
    private final Set<Integer> duplicateNodes = new HashSet<>(); // places of processes under a name of others
    private final Map<ViewFleet.Instance, ViewFleet.Instance> duplicates = new HashMap<>();
    private final double startMs;
    private final int members;
    private boolean faultsEnded;

    private ViewRun(long seed, int members, Membership.Flaw flaw) {
        random = new Random(seed * 0x9e3779b97f4a7c15L + 5);
        net = new ViewNet(seed, 1.7e12);
        fleet = new ViewFleet(net, seed, SEED_MEMBERS, checker, flaw);
        startMs = net.now();
        this.members = members > 0 ? members : 5 + random.nextInt(36);
    }

    public static void main(String[] args) {
        boolean hard = args[0].equals("hard");
        long first = Long.parseLong(args[1]);
        int count = Integer.parseInt(args[2]);
        int members = args.length > 3 ? Integer.parseInt(args[3]) : 0;
        Membership.Flaw flaw = args.length > 4 ? Membership.Flaw.valueOf(args[4]) : null;
        List<Long> broken = new ArrayList<>();
        double[] healed = new double[count];
        long accused = 0;
        long changes = 0;
        int slowest = 0;
        for (int i = 0; i < count; i++) {
            Outcome outcome = play(first + i, hard, members, flaw);
            healed[i] = outcome.healedMs();
            slowest = healed[i] > healed[slowest] ? i : slowest;
            accused += outcome.falseSuspicions();
            changes += outcome.changes();
            if (!outcome.breaches().isEmpty()) {
                broken.add(first + i);
                System.out.printf("seed %d, %d members: BREACH %s%n", first + i, outcome.members(), outcome.breaches().subList(0, Math.min(5, outcome.breaches().size())));
            }
        }
        System.out.printf("%s: %d seeds, %d with a breach%s; settled in calm p50 %.0f p99 %.0f most %.0f ms (seed %d); %d changes seen, %d suspected for nothing%n", args[0], count,
                broken.size(), broken.isEmpty() ? "" : " " + broken, ViewFleet.percentile(healed, 0.5), ViewFleet.percentile(healed, 0.99),
                ViewFleet.percentile(healed, 1), first + slowest, changes, accused);
        System.exit(broken.isEmpty() ? 0 : 1);
    }

    /** Plays a seed; {@code members} 0 draws their number. */
    public static Outcome play(long seed, boolean hard, int members, Membership.Flaw flaw) {
        return new ViewRun(seed, members, flaw).play(hard);
    }

    private void log(String message) {
        if (VERBOSE) { System.out.printf("%8.0f %s%n", net.now() - startMs, message); }
    }

    private Outcome play(boolean hard) {
        double loss = random.nextDouble() * MAX_LOSS;
        net.setLoss(loss);
        net.setDuplication(0.05);
        net.setExtraDelay(0.01, 2000);
        double joined = fleet.startAll(members, 15_000);
        if (joined < 0) { log("not joined"); }
        for (int i = 0; i < members; i++) {
            if (random.nextInt(10) == 0) { net.starve(i, STARVED_CPU_SHARE); }
        }
        double until = net.now() + FAULT_PHASE_MS;
        log(members + " members, loss " + loss);
        while (net.now() < until) {
            net.runUntil(net.now() + 200 + random.nextDouble() * 2000);
            int place = random.nextInt(members);
            if (hard && random.nextInt(2) == 0) { injectSevere(place); } else { injectTolerated(place); }
        }
        net.runUntil(net.now() + 1);
        faultsEnded = true;
        net.heal();
        for (int i = 0; i < members; i++) {
            net.starve(i, 1);
            net.resume(i);
        }
        // Whoever began while no seed was there finds the others once one is back.
        if (fleet.instanceAt(0) == null && fleet.instanceAt(1) == null && fleet.instanceAt(2) == null) { restart(0, 0); }
        log("calm");
        Set<String> names = new HashSet<>();
        for (ViewFleet.Instance life : fleet.running()) { names.add(life.name); }
        double healed = fleet.awaitSettledNames(names, HEAL_TIMEOUT_MS);
        net.runUntil(net.now() + 5000);
        List<String> breaches = new ArrayList<>();
        if (healed < 0) {
            breaches.add("not settled " + HEAL_TIMEOUT_MS + " ms after all was healed: " + fleet.running().stream().map(life -> life.node + " " + life.name + " "
                    + life.membership.phase() + " " + life.membership.size()).toList());
        }
        fleet.checkAgreement();
        breaches.addAll(checker.breaches());
        duplicates.forEach((first, second) -> {
            if (!first.ended && !second.ended && !first.errorCodes.contains("VIEW_NAME_TAKEN") && !second.errorCodes.contains("VIEW_NAME_TAKEN")
                    && !first.errorCodes.contains("VIEW_REPLACED") && !second.errorCodes.contains("VIEW_REPLACED")) {
                breaches.add("nobody was told that " + first.name + " is taken twice");
            }
        });
        return new Outcome(breaches, healed, members, checker.falseSuspicions().size(), checker.falseGone().size(), checker.changeCount());
    }

    /** What is borne without a false word. */
    private void injectTolerated(int node) {
        ViewFleet.Instance instance = fleet.instanceAt(node);
        switch (random.nextInt(5)) {
            case 0 -> {
                if (instance == null) { restart(node, 0); } else if (fleet.running().size() > members / 2 && !net.isPaused(node)) {
                    log("kill " + node);
                    fleet.kill(node);
                    if (random.nextBoolean()) { restart(node, 0); } // within the same probe
                }
            }
            case 1 -> {
                if (instance != null && fleet.running().size() > members / 2 && !net.isPaused(node)) {
                    log("leave " + node);
                    fleet.leave(node);
                }
            }
            case 2, 3 -> pause(node, random.nextDouble() * MAX_TOLERATED_PAUSE_MS);
            default -> {
                if (instance == null) { restart(node, 0); }
            }
        }
    }

    private void restart(int node, double clockOffsetMs) {
        log("start " + node + (clockOffsetMs == 0 ? "" : " with its clock off by " + clockOffsetMs));
        fleet.start(node, ViewFleet.nameOf(node), clockOffsetMs);
    }

    private void pause(int node, double ms) {
        if (fleet.instanceAt(node) == null || net.isPaused(node)) { return; }
        log("pause " + node + " for " + ms);
        net.pause(node);
        if (ms > MAX_TOLERATED_PAUSE_MS) { checker.recordFault(ViewFleet.nameOf(node), net.now(), net.now() + ms); }
        net.schedule(net.now() + ms, () -> net.resume(node));
    }

    /** What is healed from. */
    private void injectSevere(int node) {
        double now = net.now();
        double ms = 1000 + random.nextDouble() * 9000;
        switch (random.nextInt(8)) {
            case 0 -> {
                int sides = 2 + random.nextInt(2);
                log("split in " + sides + " for " + ms);
                for (int i = 0; i < members; i++) {
                    net.setPartition(i, random.nextInt(sides));
                    checker.recordFault(ViewFleet.nameOf(i), now, now + ms);
                }
                net.schedule(now + ms, () -> {
                    for (int i = 0; i < members; i++) { net.setPartition(i, 0); }
                });
            }
            case 1 -> {
                int other = random.nextInt(members);
                log("cut " + node + " to " + other + " for " + ms);
                net.setCut(node, other, true);
                net.schedule(now + ms, () -> net.setCut(node, other, false));
            }
            case 2 -> {
                log("deaf " + node + " for " + ms);
                checker.recordFault(ViewFleet.nameOf(node), now, now + ms);
                for (int i = 0; i < members; i++) {
                    int other = i;
                    net.setCut(other, node, true);
                    net.schedule(now + ms, () -> net.setCut(other, node, false));
                }
                // Who hears nobody takes all others to be gone, and that is what it has to think.
                for (int i = 0; i < members; i++) { checker.recordFault(ViewFleet.nameOf(i), now, now + ms); }
            }
            case 3 -> {
                log("flapping " + node);
                checker.recordFault(ViewFleet.nameOf(node), now, now + 10_000);
                for (int i = 0; i < members; i++) { checker.recordFault(ViewFleet.nameOf(i), now, now + 10_000); }
                for (int second = 0; second < 10; second++) {
                    boolean cut = second % 2 == 0;
                    net.schedule(now + second * 1000, () -> {
                        if (faultsEnded) { return; }
                        for (int i = 0; i < members; i++) {
                            net.setCut(node, i, cut);
                            net.setCut(i, node, cut);
                        }
                    });
                }
            }
            case 4 -> pause(node, ms);
            case 5 -> {
                if (fleet.instanceAt(node) != null && fleet.running().size() > 3 && !net.isPaused(node)) {
                    log("kill " + node);
                    fleet.kill(node);
                    restart(node, -1e9 * random.nextInt(2));
                }
            }
            case 6 -> {
                ViewFleet.Instance instance = fleet.instanceAt(node);
                if (instance != null && duplicateNodes.isEmpty()) {
                    int duplicate = net.addNode();
                    duplicateNodes.add(duplicate);
                    log(duplicate + " takes the name of " + node);
                    duplicates.put(instance, fleet.start(duplicate, instance.name, random.nextBoolean() ? -1e9 : 0));
                    checker.recordFault(instance.name, now, Double.POSITIVE_INFINITY); // one of the two, and the other
                }
            }
            default -> {
                log("made-up bytes for " + node);
                for (int i = 0; i < 50; i++) {
                    byte[] body = new byte[random.nextInt(1200)];
                    random.nextBytes(body);
                    if (body.length > 0) { body[0] = (byte) random.nextInt(11); }
                    net.inject(node, body);
                }
            }
        }
    }
}

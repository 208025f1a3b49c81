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
 * Runs a simulated fleet under faults determined by a seed: faults that must not cause false GONE declarations ({@code bounds}), and
 * faults from which the view only has to recover ({@code hard}). {@code MODE FIRST COUNT [MEMBERS [FLAW]]}; exits 1 if a seed
 * violated a rule. A seed replays the same run; {@code -Dlab.say=true} prints each fault and its time.
 */
public final class ViewRun {
    /** The longest pause that must not lead to a GONE declaration, at default settings and with up to 10% of datagrams lost. */
    public static final int PAUSE_MS = Integer.getInteger("lab.pause", 1000);
    /** Maximum share of lost datagrams. */
    public static final double LOSS = 0.10;
    /** Share of each 100 ms in which a CPU-starved process runs. */
    public static final double SHARE = 0.3;
    private static final double PLAY_MS = 40_000;
    private static final double HEAL_MS = 20_000;
    private static final double GRACE_MS = 6000;
    private static final int SEEDS = 3;
    private static final boolean SAYS = Boolean.getBoolean("lab.say");

    /** The result of a seed. */
    public record Outcome(List<String> breaches, double healedMs, int members, int accused, int falselyLost, long changes) { }

    private final Random random;
    private final ViewNet net;
    private final ViewChecker checker = new ViewChecker(GRACE_MS);
    private final ViewFleet fleet;
    private final Set<Integer> strangers = new HashSet<>(); // nodes of processes that use another member's name
    private final Map<ViewFleet.Life, ViewFleet.Life> doubles = new HashMap<>();
    private final double from;
    private final int members;
    private boolean over;

    private ViewRun(long seed, int members, Membership.Flaw flaw) {
        random = new Random(seed * 0x9e3779b97f4a7c15L + 5);
        net = new ViewNet(seed, 1.7e12);
        fleet = new ViewFleet(net, seed, SEEDS, checker, flaw);
        from = net.now();
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
            accused += outcome.accused();
            changes += outcome.changes();
            if (!outcome.breaches().isEmpty()) {
                broken.add(first + i);
                System.out.printf("seed %d, %d members: BREACH %s%n", first + i, outcome.members(), outcome.breaches().subList(0, Math.min(5, outcome.breaches().size())));
            }
        }
        System.out.printf("%s: %d seeds, %d with a breach%s; settled after the faults p50 %.0f p99 %.0f max %.0f ms (seed %d); %d changes, %d false suspicions%n", args[0], count,
                broken.size(), broken.isEmpty() ? "" : " " + broken, ViewFleet.percentile(healed, 0.5), ViewFleet.percentile(healed, 0.99),
                ViewFleet.percentile(healed, 1), first + slowest, changes, accused);
        System.exit(broken.isEmpty() ? 0 : 1);
    }

    /** Runs a seed; the number of members is drawn if {@code members} is 0. */
    public static Outcome play(long seed, boolean hard, int members, Membership.Flaw flaw) {
        return new ViewRun(seed, members, flaw).play(hard);
    }

    private void say(String what) {
        if (SAYS) { System.out.printf("%8.0f %s%n", net.now() - from, what); }
    }

    private Outcome play(boolean hard) {
        double loss = random.nextDouble() * LOSS;
        net.lose(loss);
        net.twice(0.05);
        net.late(0.01, 2000);
        double joined = fleet.begin(members, 15_000);
        if (joined < 0) { say("not all joined"); }
        for (int i = 0; i < members; i++) {
            if (random.nextInt(10) == 0) { net.starve(i, SHARE); }
        }
        double until = net.now() + PLAY_MS;
        say(members + " members, loss " + loss);
        while (net.now() < until) {
            net.until(net.now() + 200 + random.nextDouble() * 2000);
            int place = random.nextInt(members);
            if (hard && random.nextInt(2) == 0) { hard(place); } else { mild(place); }
        }
        net.until(net.now() + 1);
        over = true;
        net.heal();
        for (int i = 0; i < members; i++) {
            net.starve(i, 1);
            net.wake(i);
        }
        // Processes that started while no seed was up find the others once a seed is back.
        if (fleet.at(0) == null && fleet.at(1) == null && fleet.at(2) == null) { back(0, 0); }
        say("all faults ended");
        Set<String> names = new HashSet<>();
        for (ViewFleet.Life life : fleet.running()) { names.add(life.name); }
        double healed = fleet.awaitSettledOf(names, HEAL_MS);
        net.until(net.now() + 5000);
        List<String> breaches = new ArrayList<>();
        if (healed < 0) {
            breaches.add("views not settled " + HEAL_MS + " ms after all faults ended: " + fleet.running().stream().map(life -> life.place + " " + life.name + " "
                    + life.membership.phase() + " " + life.membership.size()).toList());
        }
        fleet.calm();
        breaches.addAll(checker.breaches());
        doubles.forEach((first, second) -> {
            if (!first.over && !second.over && !first.told.contains("VIEW_NAME_TAKEN") && !second.told.contains("VIEW_NAME_TAKEN")
                    && !first.told.contains("VIEW_REPLACED") && !second.told.contains("VIEW_REPLACED")) {
                breaches.add("nobody reported that two processes use the name " + first.name);
            }
        });
        return new Outcome(breaches, healed, members, checker.falselyAccused().size(), checker.falselyLost().size(), checker.changes());
    }

    /** Injects a fault that must not cause a false GONE declaration. */
    private void mild(int place) {
        ViewFleet.Life life = fleet.at(place);
        switch (random.nextInt(5)) {
            case 0 -> {
                if (life == null) { back(place, 0); } else if (fleet.running().size() > members / 2 && !net.isStopped(place)) {
                    say("kill " + place);
                    fleet.kill(place);
                    if (random.nextBoolean()) { back(place, 0); } // restarted within the same probe round
                }
            }
            case 1 -> {
                if (life != null && fleet.running().size() > members / 2 && !net.isStopped(place)) {
                    say("leave " + place);
                    fleet.leave(place);
                }
            }
            case 2, 3 -> pause(place, random.nextDouble() * PAUSE_MS);
            default -> {
                if (life == null) { back(place, 0); }
            }
        }
    }

    private void back(int place, double clockMs) {
        say("start " + place + (clockMs == 0 ? "" : " with clock offset " + clockMs));
        fleet.start(place, ViewFleet.name(place), clockMs);
    }

    private void pause(int place, double ms) {
        if (fleet.at(place) == null || net.isStopped(place)) { return; }
        say("pause " + place + " for " + ms);
        net.stop(place);
        if (ms > PAUSE_MS) { checker.trouble(ViewFleet.name(place), net.now(), net.now() + ms); }
        net.at(net.now() + ms, () -> net.wake(place));
    }

    /** Injects a fault that may cause false declarations but has to heal. */
    private void hard(int place) {
        double now = net.now();
        double ms = 1000 + random.nextDouble() * 9000;
        switch (random.nextInt(8)) {
            case 0 -> {
                int sides = 2 + random.nextInt(2);
                say("partition into " + sides + " for " + ms);
                for (int i = 0; i < members; i++) {
                    net.side(i, random.nextInt(sides));
                    checker.trouble(ViewFleet.name(i), now, now + ms);
                }
                net.at(now + ms, () -> {
                    for (int i = 0; i < members; i++) { net.side(i, 0); }
                });
            }
            case 1 -> {
                int other = random.nextInt(members);
                say("cut " + place + " to " + other + " for " + ms);
                net.cut(place, other, true);
                net.at(now + ms, () -> net.cut(place, other, false));
            }
            case 2 -> {
                say("nothing reaches " + place + " for " + ms);
                checker.trouble(ViewFleet.name(place), now, now + ms);
                for (int i = 0; i < members; i++) {
                    int other = i;
                    net.cut(other, place, true);
                    net.at(now + ms, () -> net.cut(other, place, false));
                }
                // A member that receives nothing rightly considers all others gone.
                for (int i = 0; i < members; i++) { checker.trouble(ViewFleet.name(i), now, now + ms); }
            }
            case 3 -> {
                say("flapping links of " + place);
                checker.trouble(ViewFleet.name(place), now, now + 10_000);
                for (int i = 0; i < members; i++) { checker.trouble(ViewFleet.name(i), now, now + 10_000); }
                for (int second = 0; second < 10; second++) {
                    boolean cut = second % 2 == 0;
                    net.at(now + second * 1000, () -> {
                        if (over) { return; }
                        for (int i = 0; i < members; i++) {
                            net.cut(place, i, cut);
                            net.cut(i, place, cut);
                        }
                    });
                }
            }
            case 4 -> pause(place, ms);
            case 5 -> {
                if (fleet.at(place) != null && fleet.running().size() > 3 && !net.isStopped(place)) {
                    say("kill " + place);
                    fleet.kill(place);
                    back(place, -1e9 * random.nextInt(2));
                }
            }
            case 6 -> {
                ViewFleet.Life life = fleet.at(place);
                if (life != null && strangers.isEmpty()) {
                    int stranger = net.place();
                    strangers.add(stranger);
                    say(stranger + " takes the name of " + place);
                    doubles.put(life, fleet.start(stranger, life.name, random.nextBoolean() ? -1e9 : 0));
                    checker.trouble(life.name, now, Double.POSITIVE_INFINITY); // either of the two may be held GONE
                }
            }
            default -> {
                say("random datagrams to " + place);
                for (int i = 0; i < 50; i++) {
                    byte[] body = new byte[random.nextInt(1200)];
                    random.nextBytes(body);
                    if (body.length > 0) { body[0] = (byte) random.nextInt(11); }
                    net.inject(place, body);
                }
            }
        }
    }
}

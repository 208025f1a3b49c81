package yardusher.units;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import yardusher.core.UnitDirective;
import yardusher.units.UnitsSimulation.TerminalRequest;
import yardusher.units.UnitsSimulation.Connection;
import yardusher.units.UnitsSimulation.Omission;

/** Units under faults by seed, on scripted time: terminals of all kinds through ingresses of all modes. */
final class UnitsScript {
    /** What came of a seed. */
    record Outcome(List<String> breaches, int requests, int served, long opened, long done, long abandoned, long unknown, java.util.Map<String, Integer> answers,
            List<String> trace) { }

    private final UnitsSimulation simulation;
    private final Random random;
    private int startedTerminals;
    int completedUnits;

    private UnitsScript(UnitsSimulation simulation) {
        this.simulation = simulation;
        this.random = new Random(simulation.seed ^ 0x5DEECE66DL);
    }

    /** Plays a seed for so long with faults, then heals all and waits until everything is over. */
    static Outcome play(long seed, Omission omission, double ms, int terminals, Mode... modes) {
        UnitsSimulation simulation = new UnitsSimulation(seed, omission, modes);
        UnitsScript script = new UnitsScript(simulation);
        double untilMs = simulation.now + ms;
        for (int i = 0; i < terminals; i++) { script.startTerminal(100 + i, untilMs); }
        script.injectFaults(untilMs);
        simulation.run(ms);
        script.heal();
        simulation.run(UnitsSimulation.IDLE_MS + 2500);
        long opened = 0;
        long[] ended = new long[Unit.State.values().length];
        for (yardusher.lab.units.UnitsChecker.HomeEvent one : simulation.homeEvents) {
            if (one.what().equals("opened")) { opened++; }
            if (one.what().equals("ended")) { ended[Unit.State.valueOf(one.detail().toUpperCase(java.util.Locale.ROOT)).ordinal()]++; }
        }
        List<String> breaches = simulation.breaches(true);
        java.util.Map<String, Integer> answers = new java.util.TreeMap<>();
        for (TerminalRequest one : simulation.requests) { answers.merge(one.served ? "served" : one.answer.isEmpty() ? "(none)" : one.answer.split(" ")[0], 1, Integer::sum); }
        return new Outcome(breaches, simulation.requests.size(), (int) simulation.requests.stream().filter(one -> one.served).count(), opened, ended[Unit.State.DONE.ordinal()],
                ended[Unit.State.ABANDONED.ordinal()], ended[Unit.State.UNKNOWN.ordinal()], answers, simulation.trace);
    }

    private int randomNode() { return random.nextInt(simulation.size); }

    /** One terminal after another for a customer. */
    private void startTerminal(long customer, double untilMs) {
        if (simulation.now > untilMs) { return; }
        startedTerminals++;
        boolean[] finished = {false};
        Runnable startNext = () -> {
            if (finished[0]) { return; }                 // one terminal goes on once
            finished[0] = true;
            simulation.schedule(5 + random.nextInt(40), () -> startTerminal(customer, untilMs));
        };
        int node = randomNode();
        if (simulation.nodes[node].mode == Mode.SESSION && random.nextInt(4) > 0) {
            Connection connection = simulation.connect(node);
            if (random.nextInt(3) == 0) {
                simulation.send(connection, customer, UnitsSimulation.IDEMPOTENT, 0, new UnitDirective(null, 0, UnitDirective.Boundary.OPEN), 500, opened -> {
                    if (opened.served) { playParts(connection, customer, opened.answer, 1, 1 + random.nextInt(3), startNext); } else { startNext.run(); }
                });
            } else {
                playSession(connection, customer, 1 + random.nextInt(5), startNext);
            }
            if (connection.closed) { startNext.run(); }
            return;
        }
        TerminalRequest opening = simulation.send(simulation.connect(node), customer, UnitsSimulation.DEDUPLICATED, 1, new UnitDirective(null, 0, UnitDirective.Boundary.OPEN), 500, opened -> {
            if (opened.served) { playParts(null, customer, opened.answer, 1, 1 + random.nextInt(4), startNext); } else { startNext.run(); }
        });
        if (opening == null) { startNext.run(); } else { giveUpAfterWait(opening, startNext); }
    }

    /** Who has no answer when it gives up goes on all the same. */
    private void giveUpAfterWait(TerminalRequest request, Runnable then) {
        simulation.schedule(request.waitMs + 60, () -> {
            if (request.answerCount == 0 && !request.left) {
                request.left = true;
                if (request.admitted != null && request.connection.incarnation == simulation.nodes[request.connection.node].incarnation) { simulation.nodes[request.connection.node].turn(request.admitted::terminalLeft); }
                then.run();
            }
        });
    }

    /** Transactions without a name on one connection, some of them behind one another; then it closes, at times too early. */
    private void playSession(Connection connection, long customer, int remaining, Runnable startNext) {
        if (remaining == 0 || connection.closed) {
            if (random.nextInt(10) > 0) { connection.close(); }
            startNext.run();
            return;
        }
        boolean pipelined = random.nextInt(4) == 0;
        TerminalRequest first = simulation.send(connection, customer, randomClass(), random.nextLong(), null, 500, pipelined ? any -> { } : any -> playSession(connection, customer, remaining - 1, startNext));
        if (pipelined) {
            TerminalRequest second = simulation.send(connection, customer, randomClass(), random.nextLong(), null, 500, any -> playSession(connection, customer, remaining - 1, startNext));
            if (second == null) { startNext.run(); } else { giveUpAfterWait(second, startNext); }
        } else if (first == null) {
            startNext.run();
        } else {
            giveUpAfterWait(first, startNext);
        }
        if (random.nextInt(12) == 0) {
            simulation.schedule(random.nextInt(12), () -> {
                if (connection.closed) { return; }
                connection.close();
                if (!pipelined || first != null) { startNext.run(); }
            });
        }
    }

    private int randomClass() { return new int[] {UnitsSimulation.IDEMPOTENT, UnitsSimulation.DEDUPLICATED, UnitsSimulation.DEDUPLICATED, UnitsSimulation.AT_MOST_ONCE}[random.nextInt(4)]; }

    /** The parts of a unit, each through any ingress, tried again through another; at times the next one at once behind it. */
    private void playParts(Connection homeConnection, long customer, String unit, int part, int count, Runnable startNext) {
        if (part > count) {
            endUnit(homeConnection, customer, unit, startNext);
            return;
        }
        if (random.nextInt(30) == 0) {               // an end that crosses what follows, a part too early, one too late, or one of nobody's
            Connection otherConnection = simulation.connect(randomNode());
            UnitDirective word = switch (random.nextInt(4)) {
                case 0 -> UnitsSimulation.end(unit);
                case 1 -> UnitsSimulation.part(unit, part + 1);
                case 2 -> UnitsSimulation.part(unit, Math.max(1, part - 1));
                default -> UnitsSimulation.part("n0.77.1", 1);
            };
            simulation.send(otherConnection, customer, UnitsSimulation.IDEMPOTENT, 0, word, 400, any -> { });
        }
        boolean last = part == count && random.nextInt(3) == 0;
        UnitDirective word = new UnitDirective(unit, part, last ? UnitDirective.Boundary.END : UnitDirective.Boundary.NONE);
        tryPart(homeConnection, customer, randomClass(), random.nextLong(), word, 4, ok -> {
            if (ok && last) {
                completedUnits++;
                startNext.run();
            } else if (ok) {
                playParts(homeConnection, customer, unit, part + 1, count, startNext);
            } else if (random.nextInt(3) > 0) {
                endUnit(homeConnection, customer, unit, startNext);
            } else {
                startNext.run();
            }
        });
    }

    private void tryPart(Connection homeConnection, long customer, int classIndex, long key, UnitDirective word, int remaining, java.util.function.Consumer<Boolean> then) {
        Connection connection = homeConnection != null && !homeConnection.closed && random.nextInt(3) == 0 ? homeConnection : simulation.connect(randomNode());
        boolean[] finished = {false};
        Runnable retry = () -> {
            if (finished[0]) { return; }
            finished[0] = true;
            if (remaining > 1) {
                simulation.schedule(10 + random.nextInt(120), () -> tryPart(homeConnection, customer, classIndex, key, word, remaining - 1, then));
            } else {
                then.accept(false);
            }
        };
        TerminalRequest request = simulation.send(connection, customer, classIndex, key, word, 300, answered -> {
            if (answered.served && !finished[0]) {
                finished[0] = true;
                then.accept(true);
            } else {
                retry.run();
            }
        });
        if (request == null) {
            retry.run();
            return;
        }
        giveUpAfterWait(request, retry);
        if (random.nextInt(8) == 0) { simulation.schedule(1 + random.nextInt(30), retry); } // impatient: another try while this one runs
    }

    private void endUnit(Connection homeConnection, long customer, String unit, Runnable startNext) {
        startNext.run();
        int how = random.nextInt(6);
        if (how == 0) { return; }                    // never said
        if (homeConnection != null && how < 4) {
            homeConnection.close();
            if (how > 1) { return; }
        }
        simulation.send(simulation.connect(randomNode()), customer, UnitsSimulation.IDEMPOTENT, 0, UnitsSimulation.end(unit), 500, any -> { });
        if (how == 5) { simulation.send(simulation.connect(randomNode()), customer, UnitsSimulation.IDEMPOTENT, 0, new UnitDirective(unit, 0, UnitDirective.Boundary.ABANDON), 500, any -> { }); }
    }

    private void injectFaults(double untilMs) {
        if (simulation.now > untilMs) { return; }
        int a = randomNode();
        int b = randomNode();
        double durationMs = 20 + random.nextInt(1500);
        switch (random.nextInt(11)) {
            case 0, 1 -> {
                simulation.kill(a);
                simulation.schedule(durationMs, () -> simulation.start(a));
            }
            case 2 -> {
                if (!simulation.nodes[a].paused && simulation.nodes[a].up) {
                    simulation.pause(a);
                    simulation.schedule(durationMs, () -> simulation.resume(a));
                }
            }
            case 3, 4 -> {
                if (a != b) {
                    simulation.setPartitioned(a, b, true);
                    simulation.schedule(durationMs, () -> simulation.setPartitioned(a, b, false));
                }
            }
            case 5 -> simulation.lossRate = random.nextDouble() * 0.3;
            case 6 -> simulation.duplicateRate = random.nextDouble() * 0.3;
            case 7 -> simulation.delayRate = random.nextDouble() * 0.1;
            case 8 -> {
                UnitsSimulation.SimulatedRegion region = randomRegion();
                simulation.crash(region);
                boolean unlisted = random.nextBoolean();
                if (unlisted) {
                    region.listed = false;
                    simulation.publishServerList();
                }
                simulation.schedule(durationMs, () -> {
                    region.alive = true;
                    region.listed = true;
                    simulation.publishServerList();
                });
            }
            case 9 -> {
                UnitsSimulation.SimulatedRegion region = randomRegion();
                region.maxServiceMs = 1 + random.nextInt(900); // at times past what is waited for
                simulation.schedule(durationMs, () -> region.maxServiceMs = 8);
            }
            default -> {
                if (simulation.nodes[a].up && !simulation.nodes[a].paused && simulation.size > 2) {
                    simulation.drain(a);
                    simulation.schedule(500 + durationMs / 2, () -> {
                        simulation.kill(a);
                        simulation.schedule(50, () -> simulation.start(a));
                    });
                } else {
                    simulation.nodes[a].mode = Mode.values()[random.nextInt(3)]; // by reload
                    simulation.nodes[a].turn(() -> simulation.nodes[a].intake.reload(simulation.nodes[a].settings()));
                }
            }
        }
        simulation.schedule(50 + random.nextInt(400), () -> injectFaults(untilMs));
    }

    private UnitsSimulation.SimulatedRegion randomRegion() { return new ArrayList<>(simulation.regions.values()).get(random.nextInt(simulation.regions.size())); }

    private void heal() {
        simulation.lossRate = simulation.duplicateRate = simulation.delayRate = 0;
        for (int i = 0; i < simulation.size; i++) {
            for (int j = 0; j < simulation.size; j++) { simulation.partitioned[i][j] = false; }
            simulation.resume(i);
            simulation.start(i);
        }
        for (UnitsSimulation.SimulatedRegion region : simulation.regions.values()) {
            region.alive = true;
            region.listed = true;
            region.maxServiceMs = 8;
        }
        simulation.publishServerList();
    }

    /** {@code FIRST COUNT [WITHOUT]}: plays seeds and tells what was found. */
    public static void main(String[] args) {
        Omission omission = args.length > 2 ? Omission.valueOf(args[2]) : Omission.NOTHING;
        long first = Long.parseLong(args[0]);
        int count = Integer.parseInt(args[1]);
        int seedsWithBreach = 0;
        long[] sums = new long[6];
        java.util.Map<String, Integer> answers = new java.util.TreeMap<>();
        for (long seed = first; seed < first + count; seed++) {
            Outcome outcome = play(seed, omission, 4000, 8, modes(seed));
            long[] counts = {outcome.requests(), outcome.served(), outcome.opened(), outcome.done(), outcome.abandoned(), outcome.unknown()};
            for (int i = 0; i < sums.length; i++) { sums[i] += counts[i]; }
            outcome.answers().forEach((what, times) -> answers.merge(what, times, Integer::sum));
            if (!outcome.breaches().isEmpty()) {
                seedsWithBreach++;
                System.out.println("seed " + seed + ": " + outcome.breaches().size() + " breaches, first " + outcome.breaches().get(0));
                if (count == 1) { outcome.breaches().forEach(System.out::println); outcome.trace().forEach(System.out::println); }
            }
        }
        System.out.printf("%d seeds, %d with a breach; tries %d, served %d, units opened %d, done %d, abandoned %d, unknown %d%n", count, seedsWithBreach, sums[0], sums[1],
                sums[2], sums[3], sums[4], sums[5]);
        System.out.println(answers);
    }

    /** Three to six ingresses of mixed modes. */
    static Mode[] modes(long seed) {
        Mode[] modes = new Mode[3 + (int) (seed % 4)];
        for (int i = 0; i < modes.length; i++) { modes[i] = Mode.values()[(int) ((i + seed / 4) % 3)]; }
        return modes;
    }
}

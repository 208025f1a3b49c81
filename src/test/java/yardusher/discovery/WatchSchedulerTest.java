package yardusher.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** The scheduler on simulated time: sequences of accept, silence, refusal, close, hanging, move, and a stalled process. */
class WatchSchedulerTest {
    /** How a dial goes. Only PROMPT delivers the list. */
    enum Dial { PROMPT, REFUSED, HANGS, SILENT, EMPTY_LINES, CLOSED_SOON, CLOSED_LATE, RUBBISH }

    /** What happens to a watch after it has delivered the list. */
    enum Outcome { GOES_ON, ENDS_AT_ONCE, ENDS_SOON, SPOILT, FALLS_SILENT }

    private static final double ANSWER_MS = 5;

    /** Simulates discovery and time around one scheduler. */
    private static final class Simulation {
        private record At(double time, long order, Runnable what) { }

        private final PriorityQueue<At> events = new PriorityQueue<>((a, b) -> a.time != b.time
                ? Double.compare(a.time, b.time) : Long.compare(a.order, b.order));
        private final Map<Integer, Boolean> open = new HashMap<>();
        final List<Double> dials = new ArrayList<>();
        final List<Double> objects = new ArrayList<>();
        final List<Boolean> requestedFull = new ArrayList<>();
        final WatchScheduler scheduler;
        double now;
        private long order;
        int mostOpen;
        int leastOpen = Integer.MAX_VALUE;
        int activeWatch;
        boolean keepsAlive = true;                   // whether the active watch sends keep-alives
        Consumer<Integer> script = watch -> answer(watch, Dial.PROMPT);

        Simulation(long seed) {
            scheduler = new WatchScheduler(new WatchScheduler.Actions() {
                @Override
                public void dial(int watch) {
                    dials.add(now);
                    requestedFull.add(scheduler.requestsFullList());
                    open.put(watch, true);
                    mostOpen = Math.max(mostOpen, open.size());
                    script.accept(watch);
                }

                @Override
                public void close(int watch) { assertThat(open.remove(watch)).as("closed once").isNotNull(); }
            }, new Backoff(100, 1000, seed));
        }

        void at(double time, Runnable what) { events.add(new At(time, order++, what)); }

        void after(double ms, int watch, Runnable what) {
            at(now + ms, () -> {
                if (open.containsKey(watch)) { what.run(); }
            });
        }

        void end(int watch) {
            open.remove(watch);
            scheduler.watchEnded(watch, now);
        }

        void object(int watch) {
            objects.add(now);
            activeWatch = watch;
            scheduler.objectReceived(watch, now);
        }

        void emptyLines(int watch, boolean always) {
            after(2000, watch, () -> {
                if (!always && !keepsAlive) { return; }
                scheduler.keepAliveReceived(watch, now);
                emptyLines(watch, always);
            });
        }

        void answer(int watch, Dial how) {
            switch (how) {
                case PROMPT -> after(ANSWER_MS, watch, () -> {
                    object(watch);
                    emptyLines(watch, false);
                });
                case REFUSED -> after(1, watch, () -> end(watch));
                case RUBBISH -> after(ANSWER_MS, watch, () -> {
                    open.remove(watch);
                    scheduler.malformedReceived(watch, now);
                });
                case CLOSED_SOON -> after(20, watch, () -> end(watch));
                case CLOSED_LATE -> after(700, watch, () -> end(watch));
                case EMPTY_LINES -> {
                    after(ANSWER_MS, watch, () -> scheduler.keepAliveReceived(watch, now));
                    emptyLines(watch, true);
                }
                default -> { }
            }
        }

        /** Runs until that time; each call of the scheduler is late by {@code heldUpMs}. */
        void run(double until, double heldUpMs) {
            for (;;) {
                double look = scheduler.nextDueMs() + heldUpMs;
                double event = events.isEmpty() ? Double.POSITIVE_INFINITY : events.peek().time;
                if (Math.min(look, event) > until) { break; }
                now = Math.max(now, Math.min(look, event));
                if (event <= look) { events.poll().what.run(); } else { scheduler.runDue(now); }
                leastOpen = Math.min(leastOpen, open.size());
            }
            now = until;
        }

        void run(double until) { run(until, 0); }
    }

    private static Simulation healthy(long seed) {
        Simulation world = new Simulation(seed);
        world.scheduler.start(0);
        world.run(10_000);
        assertThat(world.objects).hasSize(1);
        return world;
    }

    /** Dials from now on follow the script; those after its end repeat its last entry. */
    private static void script(Simulation world, List<Dial> script) {
        int before = world.dials.size();
        world.script = watch -> world.answer(watch, script.get(Math.min(script.size(), world.dials.size() - before) - 1));
    }

    @Test
    void healthyDiscoveryIsDialledOnce() {
        Simulation world = healthy(1);
        world.run(60_000);
        assertThat(world.dials).containsExactly(0.0);
        assertThat(world.requestedFull).containsExactly(false);
    }

    /** Whatever the outcome of two dials after a silence, one that is answered delivers the list in time. */
    @Property(tries = 3000)
    void oneOfThreeDialsAfterASilenceSucceedsInTime(@ForAll @Size(max = 2) List<Dial> bad, @ForAll long seed,
            @ForAll @DoubleRange(max = 2000) double since) {
        Simulation world = healthy(seed);
        world.run(10_005 + since);                   // it falls silent somewhere between two keep-alives
        double silent = world.now;
        world.keepsAlive = false;
        List<Dial> all = new ArrayList<>(bad);
        all.add(Dial.PROMPT);
        script(world, all);
        world.run(silent + 20_000);
        assertThat(world.objects.get(1) - silent).isLessThan(5400 + ANSWER_MS);
        assertThat(world.mostOpen).isLessThanOrEqualTo(3);
        assertThat(world.dials.stream().filter(at -> at >= silent && at < world.objects.get(1)).count()).isLessThanOrEqualTo(3);
    }

    /** After any sequence, moves included, the list arrives within one gap between dials once dials are answered. */
    @Property(tries = 3000)
    void listArrivesWithinOneDialGapOnceDialsAreAnswered(@ForAll @Size(min = 1, max = 30) List<Dial> bad, @ForAll long seed,
            @ForAll @DoubleRange(min = 0, max = 30_000) double outage, @ForAll @Size(max = 3) List<@DoubleRange(max = 30_000) Double> moves) {
        Simulation world = healthy(seed);
        world.run(10_006);                           // right after a keep-alive
        double silent = world.now;
        world.keepsAlive = false;
        double healed = silent + outage;
        int before = world.dials.size();
        world.script = watch -> {
            Dial how = bad.get((world.dials.size() - before) % bad.size());
            world.answer(watch, world.now >= healed ? Dial.PROMPT : how == Dial.PROMPT ? Dial.SILENT : how);
        };
        for (double move : moves) { world.at(silent + move, () -> world.scheduler.addressMoved(world.now)); }
        world.run(silent + 70_000);
        double due = Math.max(healed, silent + 3450) + 2250 + ANSWER_MS;
        assertThat(world.objects.get(1)).isLessThanOrEqualTo(due + ANSWER_MS);
        assertThat(world.mostOpen).isLessThanOrEqualTo(3);
        for (int i = 0; i + 8 < world.dials.size(); i++) { // failing dials back off: no more than eight in three seconds
            double span = world.dials.get(i + 8) - world.dials.get(i);
            assertThat(span).as("eight dials").isGreaterThan(moves.isEmpty() ? 2500 : 0);
        }
    }

    /** A move dials at once, whatever the old watch sends meanwhile; one of the first four dials succeeds within 3.3 s. */
    @Property(tries = 2000)
    void oneOfFourDialsAfterAMoveSucceedsInTime(@ForAll @Size(max = 3) List<Dial> bad, @ForAll long seed) {
        Simulation world = healthy(seed);
        List<Dial> all = new ArrayList<>(bad);
        all.add(Dial.PROMPT);
        script(world, all);
        world.scheduler.addressMoved(world.now);
        world.run(20_000);
        assertThat(world.objects.get(1) - 10_000).isLessThan(3300 + ANSWER_MS);
        assertThat(world.requestedFull.subList(1, world.requestedFull.size())).as("revisions of another address are not comparable").containsOnly(true);
    }

    /**
     * The worst case. Before a change, dials follow any script, watches that delivered the list end, send malformed data or fall
     * silent, all are reset at some moments, and discovery moves. After the change, earlier watches do not report it and end at any
     * time, while each new dial but one delivers it at once. The last line may have come at the very moment of the change.
     */
    @Property(tries = 5000)
    void changeArrivesInTimeAfterAnyHistory(@ForAll @Size(max = 20) List<Dial> history, @ForAll @Size(min = 1, max = 6) List<Outcome> fates,
            @ForAll @Size(max = 1) List<Dial> bad, @ForAll @DoubleRange(max = 20_000) double change,
            @ForAll @Size(max = 6) List<@DoubleRange(max = 26_000) Double> resets, @ForAll @Size(max = 3) List<@DoubleRange(max = 20_000) Double> moves,
            @ForAll long seed) {
        double[] took = changeTold(history, fates, bad, change, resets, moves, seed);
        assertThat(took[0]).as("with each dial answered").isLessThanOrEqualTo(bad.isEmpty() ? 3450 + 2 * ANSWER_MS : 4750 + 2 * ANSWER_MS);
    }

    /** A watch that delivers after an outage, misses a change and ends before it is suspect is not flapping: it is redialled at once. */
    @Test
    void steadyWatchIsReplacedAtOnceAfterAnOutage() {
        for (int seed = 0; seed < 50; seed++) {
            List<Dial> history = List.of(Dial.SILENT, Dial.SILENT, Dial.SILENT, Dial.SILENT, Dial.SILENT, Dial.PROMPT);
            Simulation world = new Simulation(seed);
            script(world, history);
            world.scheduler.start(0);
            world.run(20_000);
            double change = world.objects.get(0) + 1;
            double[] took = changeTold(history, List.of(Outcome.GOES_ON), List.of(), change, List.of(change + 2950), List.of(), seed);
            assertThat(took[0]).isLessThanOrEqualTo(2950 + 150 + ANSWER_MS);
        }
    }

    /** Shows that the check can fail: with three failed dials after the change the time limit is exceeded. */
    @Test
    void timeLimitOfAChangeCanBeExceeded() {
        double[] took = changeTold(List.of(), List.of(Outcome.GOES_ON), List.of(Dial.SILENT, Dial.SILENT, Dial.SILENT), 4001, List.of(), List.of(), 7);
        assertThat(took[0]).isGreaterThan(6000);
    }

    private static double[] changeTold(List<Dial> history, List<Outcome> fates, List<Dial> bad, double change, List<Double> resets, List<Double> moves,
            long seed) {
        Simulation world = new Simulation(seed);
        double[] toldAt = {Double.POSITIVE_INFINITY};
        int[] after = new int[1];
        int[] before = new int[1];                   // the last one dialled before the change
        Runnable[] resetAll = {() -> {
            for (int watch : List.copyOf(world.open.keySet())) {
                if (watch <= before[0] && world.open.containsKey(watch)) { world.end(watch); }
            }
        }};
        world.script = watch -> {
            if (world.now >= change) {
                Dial how = after[0] < bad.size() ? bad.get(after[0]) : Dial.PROMPT;
                after[0]++;
                if (how != Dial.PROMPT) {
                    world.answer(watch, how);
                    return;
                }
                world.after(ANSWER_MS, watch, () -> {
                    toldAt[0] = Math.min(toldAt[0], world.now);
                    world.object(watch);
                });
                return;
            }
            before[0] = watch;
            Dial how = history.isEmpty() ? Dial.PROMPT : history.get((watch - 1) % history.size());
            if (how != Dial.PROMPT) {
                world.answer(watch, how);
                return;
            }
            world.after(ANSWER_MS, watch, () -> {
                if (world.now > change) { return; }  // else it would have told the change
                world.object(watch);
                switch (fates.get((watch - 1) % fates.size())) {
                    case GOES_ON -> emptyUpTo(world, watch, change);
                    case ENDS_AT_ONCE -> world.end(watch);
                    case ENDS_SOON -> world.after(700, watch, () -> world.end(watch));
                    case SPOILT -> world.after(300, watch, () -> {
                        world.open.remove(watch);
                        world.scheduler.malformedReceived(watch, world.now);
                    });
                    default -> { }
                }
            });
        };
        for (double reset : resets) { world.at(reset, resetAll[0]); }
        for (double move : moves) {
            if (move < change) { world.at(move, () -> world.scheduler.addressMoved(world.now)); }
        }
        world.scheduler.start(0);
        world.run(change + 40_000);
        assertThat(world.mostOpen).isLessThanOrEqualTo(3);
        return new double[] {toldAt[0] - change};
    }

    /** Sends keep-alives, the last at the moment of the change. */
    private static void emptyUpTo(Simulation world, int watch, double change) {
        double next = Math.min(world.now + 2000, change);
        if (next <= world.now) { return; }
        world.after(next - world.now, watch, () -> {
            world.scheduler.keepAliveReceived(watch, world.now);
            emptyUpTo(world, watch, change);
        });
    }

    /** During an outage in which dials connect but deliver nothing, a watch is always open for discovery to send on when it recovers. */
    @Property(tries = 1000)
    void aWatchIsOpenAtAllTimesOfAnOutage(@ForAll @Size(min = 1, max = 10) List<Boolean> empty, @ForAll boolean told, @ForAll long seed,
            @ForAll @Size(max = 3) List<@DoubleRange(max = 30_000) Double> moves) {
        Simulation world = told ? healthy(seed) : new Simulation(seed);
        world.keepsAlive = false;
        world.script = watch -> world.answer(watch, empty.get(watch % empty.size()) ? Dial.EMPTY_LINES : Dial.SILENT);
        for (double move : moves) { world.at(world.now + move, () -> world.scheduler.addressMoved(world.now)); }
        if (!told) { world.scheduler.start(0); }
        world.leastOpen = Integer.MAX_VALUE;
        world.run(world.now + 40_000);
        assertThat(world.leastOpen).isPositive();
    }

    @Test
    void keepAlivesAloneDoNotActivateAndTheNextRequestsTheFullList() {
        Simulation world = healthy(3);
        world.keepsAlive = false;
        script(world, List.of(Dial.EMPTY_LINES, Dial.PROMPT));
        world.run(20_000);
        assertThat(world.requestedFull.subList(0, 3)).containsExactly(false, false, true);
        assertThat(world.objects).hasSizeGreaterThan(1);
    }

    @Test
    void slowWatchIsKeptBesideTheNext() {
        Simulation world = healthy(4);
        world.keepsAlive = false;
        world.script = watch -> world.after(2500, watch, () -> world.object(watch));
        world.run(10_000 + 3450 + 2500 + 1);
        assertThat(world.objects).as("the first is not closed when a second is dialled").hasSize(2);
        assertThat(world.activeWatch).isEqualTo(2);
    }

    @Test
    void dialDuringAStallIsGrantedExtraTime() {
        Simulation world = new Simulation(5);
        world.script = watch -> { };
        world.scheduler.start(0);
        world.run(1000, 200);                        // called 200 ms late, at 950 ms: then due at 1,200
        world.run(1190, 0);
        assertThat(world.dials).hasSize(1);
        world.run(1600, 0);
        assertThat(world.dials).hasSize(2);
    }

    @Test
    void flappingWatchIsRetriedWithBackoff() {
        Simulation world = new Simulation(6);
        world.script = watch -> world.after(ANSWER_MS, watch, () -> {
            world.object(watch);
            world.end(watch);
        });
        world.scheduler.start(0);
        world.run(60_000);
        assertThat(world.dials.size()).isLessThan(75);
    }

    /** Shows that the check can fail: if a new watch may be silent as long as an active one, the bound is exceeded. */
    @Test
    void boundCanBeExceeded() {
        Simulation world = healthy(7);
        world.run(10_006);
        double silent = world.now;
        world.keepsAlive = false;
        script(world, List.of(Dial.SILENT, Dial.SILENT, Dial.SILENT, Dial.PROMPT));
        world.run(30_000);
        assertThat(world.objects.get(1) - silent).isGreaterThan(5400);
    }
}

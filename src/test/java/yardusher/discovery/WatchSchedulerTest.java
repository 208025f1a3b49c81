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

/** When discovery is asked, on scripted time: orders of accept, silence, refusal, close, hanging, move, and a process held up. */
class WatchSchedulerTest {
    /** How a dial goes. Only PROMPT tells the list. */
    enum Dial { PROMPT, REFUSED, HANGS, SILENT, EMPTY_LINES, CLOSED_SOON, CLOSED_LATE, RUBBISH }

    /** What becomes of a watch that has told the list, apart from what it misses. */
    enum Fate { GOES_ON, ENDS_AT_ONCE, ENDS_SOON, SPOILT, FALLS_SILENT }

    private static final double ANSWER_MS = 5;

    /** Discovery and time around one clock. */
    private static final class World {
        private record At(double time, long order, Runnable what) { }

        private final PriorityQueue<At> events = new PriorityQueue<>((a, b) -> a.time != b.time
                ? Double.compare(a.time, b.time) : Long.compare(a.order, b.order));
        private final Map<Integer, Boolean> open = new HashMap<>();
        final List<Double> dials = new ArrayList<>();
        final List<Double> objects = new ArrayList<>();
        final List<Boolean> whole = new ArrayList<>();
        final WatchScheduler clock;
        double now;
        private long order;
        int mostOpen;
        int leastOpen = Integer.MAX_VALUE;
        int believed;
        boolean keepsAlive = true;                   // whether the watch that is believed says its empty lines
        Consumer<Integer> script = watch -> answer(watch, Dial.PROMPT);

        World(long seed) {
            clock = new WatchScheduler(new WatchScheduler.Actions() {
                @Override
                public void dial(int watch) {
                    dials.add(now);
                    whole.add(clock.requestsFullList());
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
            clock.watchEnded(watch, now);
        }

        void object(int watch) {
            objects.add(now);
            believed = watch;
            clock.objectReceived(watch, now);
        }

        void emptyLines(int watch, boolean always) {
            after(2000, watch, () -> {
                if (!always && !keepsAlive) { return; }
                clock.keepAliveReceived(watch, now);
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
                    clock.malformedReceived(watch, now);
                });
                case CLOSED_SOON -> after(20, watch, () -> end(watch));
                case CLOSED_LATE -> after(700, watch, () -> end(watch));
                case EMPTY_LINES -> {
                    after(ANSWER_MS, watch, () -> clock.keepAliveReceived(watch, now));
                    emptyLines(watch, true);
                }
                default -> { }
            }
        }

        /** Until that time; a look comes late by what the process is held up then. */
        void run(double until, double heldUpMs) {
            for (;;) {
                double look = clock.nextDueMs() + heldUpMs;
                double event = events.isEmpty() ? Double.POSITIVE_INFINITY : events.peek().time;
                if (Math.min(look, event) > until) { break; }
                now = Math.max(now, Math.min(look, event));
                if (event <= look) { events.poll().what.run(); } else { clock.runDue(now); }
                leastOpen = Math.min(leastOpen, open.size());
            }
            now = until;
        }

        void run(double until) { run(until, 0); }
    }

    private static World healthy(long seed) {
        World world = new World(seed);
        world.clock.start(0);
        world.run(10_000);
        assertThat(world.objects).hasSize(1);
        return world;
    }

    /** The dials from now on go by the script, and those after it by its last word. */
    private static void script(World world, List<Dial> script) {
        int before = world.dials.size();
        world.script = watch -> world.answer(watch, script.get(Math.min(script.size(), world.dials.size() - before) - 1));
    }

    @Test
    void aHealthyDiscoveryIsAskedOnce() {
        World world = healthy(1);
        world.run(60_000);
        assertThat(world.dials).containsExactly(0.0);
        assertThat(world.whole).containsExactly(false);
    }

    /** Whatever the first two dials after a silence meet, and whenever in them it moves, the third that is answered tells in time. */
    @Property(tries = 3000)
    void oneOfThreeDialsAfterASilenceTellsWithinItsTime(@ForAll @Size(max = 2) List<Dial> bad, @ForAll long seed,
            @ForAll @DoubleRange(max = 2000) double since) {
        World world = healthy(seed);
        world.run(10_005 + since);                   // it falls silent somewhere between two empty lines
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

    /** Through any order, also of moves, and as soon as dials are answered, the list is told within one gap between dials. */
    @Property(tries = 3000)
    void fromWhenDialsAreAnsweredTheListIsToldWithinOneGap(@ForAll @Size(min = 1, max = 30) List<Dial> bad, @ForAll long seed,
            @ForAll @DoubleRange(min = 0, max = 30_000) double outage, @ForAll @Size(max = 3) List<@DoubleRange(max = 30_000) Double> moves) {
        World world = healthy(seed);
        world.run(10_006);                           // right after an empty line
        double silent = world.now;
        world.keepsAlive = false;
        double healed = silent + outage;
        int before = world.dials.size();
        world.script = watch -> {
            Dial how = bad.get((world.dials.size() - before) % bad.size());
            world.answer(watch, world.now >= healed ? Dial.PROMPT : how == Dial.PROMPT ? Dial.SILENT : how);
        };
        for (double move : moves) { world.at(silent + move, () -> world.clock.addressMoved(world.now)); }
        world.run(silent + 70_000);
        double due = Math.max(healed, silent + 3450) + 2250 + ANSWER_MS;
        assertThat(world.objects.get(1)).isLessThanOrEqualTo(due + ANSWER_MS);
        assertThat(world.mostOpen).isLessThanOrEqualTo(3);
        for (int i = 0; i + 8 < world.dials.size(); i++) { // five ways of failing, backing off: no more than eight in three seconds
            double span = world.dials.get(i + 8) - world.dials.get(i);
            assertThat(span).as("eight dials").isGreaterThan(moves.isEmpty() ? 2500 : 0);
        }
    }

    /** A move asks at once, whatever the old one says meanwhile; one of its first four dials within 3.3 s. */
    @Property(tries = 2000)
    void afterAMoveOneOfFourDialsTellsWithinItsTime(@ForAll @Size(max = 3) List<Dial> bad, @ForAll long seed) {
        World world = healthy(seed);
        List<Dial> all = new ArrayList<>(bad);
        all.add(Dial.PROMPT);
        script(world, all);
        world.clock.addressMoved(world.now);
        world.run(20_000);
        assertThat(world.objects.get(1) - 10_000).isLessThan(3300 + ANSWER_MS);
        assertThat(world.whole.subList(1, world.whole.size())).as("its versions are its own").containsOnly(true);
    }

    /**
     * The worst order. Before a change is there, dials go by any script, watches that have told end, are spoilt or fall silent, all of them
     * are reset at some moments, and discovery moves. From the change on what stood before says nothing of it and ends when it likes, while
     * each new dial is answered with it at once, but for one. The last line may have come in the very moment of the change.
     */
    @Property(tries = 5000)
    void aChangeIsToldInTimeWhateverCameBefore(@ForAll @Size(max = 20) List<Dial> history, @ForAll @Size(min = 1, max = 6) List<Fate> fates,
            @ForAll @Size(max = 1) List<Dial> bad, @ForAll @DoubleRange(max = 20_000) double change,
            @ForAll @Size(max = 6) List<@DoubleRange(max = 26_000) Double> resets, @ForAll @Size(max = 3) List<@DoubleRange(max = 20_000) Double> moves,
            @ForAll long seed) {
        double[] took = changeTold(history, fates, bad, change, resets, moves, seed);
        assertThat(took[0]).as("with each dial answered").isLessThanOrEqualTo(bad.isEmpty() ? 3450 + 2 * ANSWER_MS : 4750 + 2 * ANSWER_MS);
    }

    /** After an outage a watch tells, falls silent over a change, and is reset just before it is in doubt: its end is no flapping, and is asked behind at once. */
    @Test
    void aWatchThatLastedAMomentIsAskedBehindAtOnceAlsoAfterAnOutage() {
        for (int seed = 0; seed < 50; seed++) {
            List<Dial> history = List.of(Dial.SILENT, Dial.SILENT, Dial.SILENT, Dial.SILENT, Dial.SILENT, Dial.PROMPT);
            World world = new World(seed);
            script(world, history);
            world.clock.start(0);
            world.run(20_000);
            double change = world.objects.get(0) + 1;
            double[] took = changeTold(history, List.of(Fate.GOES_ON), List.of(), change, List.of(change + 2950), List.of(), seed);
            assertThat(took[0]).isLessThanOrEqualTo(2950 + 150 + ANSWER_MS);
        }
    }

    /** A check of the check: with three bad dials after the change the time is broken. */
    @Test
    void theTimeOfAChangeIsOneThatCanBeBroken() {
        double[] took = changeTold(List.of(), List.of(Fate.GOES_ON), List.of(Dial.SILENT, Dial.SILENT, Dial.SILENT), 4001, List.of(), List.of(), 7);
        assertThat(took[0]).isGreaterThan(6000);
    }

    private static double[] changeTold(List<Dial> history, List<Fate> fates, List<Dial> bad, double change, List<Double> resets, List<Double> moves,
            long seed) {
        World world = new World(seed);
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
                        world.clock.malformedReceived(watch, world.now);
                    });
                    default -> { }
                }
            });
        };
        for (double reset : resets) { world.at(reset, resetAll[0]); }
        for (double move : moves) {
            if (move < change) { world.at(move, () -> world.clock.addressMoved(world.now)); }
        }
        world.clock.start(0);
        world.run(change + 40_000);
        assertThat(world.mostOpen).isLessThanOrEqualTo(3);
        return new double[] {toldAt[0] - change};
    }

    /** Its empty lines, the last of them in the moment of the change. */
    private static void emptyUpTo(World world, int watch, double change) {
        double next = Math.min(world.now + 2000, change);
        if (next <= world.now) { return; }
        world.after(next - world.now, watch, () -> {
            world.clock.keepAliveReceived(watch, world.now);
            emptyUpTo(world, watch, change);
        });
    }

    /** Through an outage in which dials come up and nothing is told, there is always a watch open on which discovery can speak at its return. */
    @Property(tries = 1000)
    void inNoMomentOfAnOutageIsThereNoWatchToSpeakOn(@ForAll @Size(min = 1, max = 10) List<Boolean> empty, @ForAll boolean told, @ForAll long seed,
            @ForAll @Size(max = 3) List<@DoubleRange(max = 30_000) Double> moves) {
        World world = told ? healthy(seed) : new World(seed);
        world.keepsAlive = false;
        world.script = watch -> world.answer(watch, empty.get(watch % empty.size()) ? Dial.EMPTY_LINES : Dial.SILENT);
        for (double move : moves) { world.at(world.now + move, () -> world.clock.addressMoved(world.now)); }
        if (!told) { world.clock.start(0); }
        world.leastOpen = Integer.MAX_VALUE;
        world.run(world.now + 40_000);
        assertThat(world.leastOpen).isPositive();
    }

    @Test
    void emptyLinesAloneAreNotBelievedAndTheNextAsksForAllThereIs() {
        World world = healthy(3);
        world.keepsAlive = false;
        script(world, List.of(Dial.EMPTY_LINES, Dial.PROMPT));
        world.run(20_000);
        assertThat(world.whole.subList(0, 3)).containsExactly(false, false, true);
        assertThat(world.objects).hasSizeGreaterThan(1);
    }

    @Test
    void whoIsSlowIsHeardBesideTheNext() {
        World world = healthy(4);
        world.keepsAlive = false;
        world.script = watch -> world.after(2500, watch, () -> world.object(watch));
        world.run(10_000 + 3450 + 2500 + 1);
        assertThat(world.objects).as("the first is not given up when a second is asked").hasSize(2);
        assertThat(world.believed).isEqualTo(2);
    }

    @Test
    void whatWasAskedWhileThisProcessWasHeldUpIsGivenAMoment() {
        World world = new World(5);
        world.script = watch -> { };
        world.clock.start(0);
        world.run(1000, 200);                        // looked at 200 ms late: 950 ms, then due at 1,200
        world.run(1190, 0);
        assertThat(world.dials).hasSize(1);
        world.run(1600, 0);
        assertThat(world.dials).hasSize(2);
    }

    @Test
    void aWatchThatTellsAndEndsAtOnceIsAskedMoreAndMoreSeldom() {
        World world = new World(6);
        world.script = watch -> world.after(ANSWER_MS, watch, () -> {
            world.object(watch);
            world.end(watch);
        });
        world.clock.start(0);
        world.run(60_000);
        assertThat(world.dials.size()).isLessThan(75);
    }

    /** A check of the check: with the silence of an old watch allowed to a new one, the bound is broken. */
    @Test
    void theBoundIsOneThatCanBeBroken() {
        World world = healthy(7);
        world.run(10_006);
        double silent = world.now;
        world.keepsAlive = false;
        script(world, List.of(Dial.SILENT, Dial.SILENT, Dial.SILENT, Dial.PROMPT));
        world.run(30_000);
        assertThat(world.objects.get(1) - silent).isGreaterThan(5400);
    }
}

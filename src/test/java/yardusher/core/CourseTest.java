package yardusher.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import yardusher.Api;

/** Each request gets one final answer and nothing after it: orders of events against a real core with a scripted clock. */
class CourseTest {
    /** Events that end an attempt or a request, or that happen at the same time as an end. */
    enum End { DEADLINE, TIME_OUT, GONE, ANSWER, BUSY, ERROR, RESET, DRAIN, DIAL_UP, DIAL_FAILED, WRITE_FAILED, PART, RECORDED,
        UNRECORDED, NO_DISK, PAST_WINDOW }

    private static final double WAIT_MS = 2000;
    private static final double WINDOW_MS = 300;

    /** An ingress with one request and eight backends; its attempts stay in the state that the events put them in. */
    private final class World implements Backends, OrderLog, Terminal {
        double now = 1_000_000;
        final EventLoop loop = new EventLoop(() -> now, e -> { throw new AssertionError(e); });
        final Counters counters = new Counters();
        final List<Attempt> begun = new ArrayList<>();
        final ArrayDeque<Consumer<Boolean>> parked = new ArrayDeque<>();
        final boolean records;
        final Api.Effect effect;
        Ingress ingress;
        Request request;
        int answers;
        boolean left;
        boolean wentOn;                              // a value is being streamed
        Attempt out;                                 // written to a socket and not ended
        double ranAt = Double.NaN;

        World(Api.Effect effect, boolean records) {
            this.effect = effect;
            this.records = records;
            Api.RequestClass of = new Api.RequestClass(1900, WAIT_MS, 5, 0.1, effect, Api.Group.ALL, WINDOW_MS, false);
            Api.Settings settings = new Api.Settings(0, 1, 0, 4, List.of(of), List.of(new Api.Plan(1000, 1000, 0, 1, 0, 0, 0)),
                    new Api.Limits(6, true, false, 2000), new Api.Rules(0.2, 1000, 3, 3000, 10_000), List.of(), false, 100, 2, 0, 0);
            loop.turn(() -> {
                ingress = new Ingress(settings, 1, loop, this, (to, body) -> { }, counters, this);
                List<Api.Server> servers = new ArrayList<>();
                for (int i = 1; i <= 8; i++) { servers.add(new Api.Server(i, 0, 0, 1, 0, Api.Readiness.READY)); }
                ingress.tell(new Api.ServerList(Api.ListKind.FULL, servers));
                request = ingress.take(new Order(0, 0, 7, 1, 0, 1, WAIT_MS, new Cargo() {
                    @Override
                    public ByteBuffer[] encoded(long waitMs) { return new ByteBuffer[0]; }

                    @Override
                    public long id() { return 1; }

                    @Override
                    public String key() { return null; }

                    @Override
                    public long print() { return 1; }
                }, this));
            });
        }

        @Override
        public boolean knows(long backend) { return true; }

        @Override
        public void begin(Attempt attempt, ByteBuffer... cargo) {
            assertThat(over()).as("no attempt begins after the end").isFalse();
            assertThat(begun).as("one at a time").allMatch(Attempt::isOver);
            begun.add(attempt);
        }

        /** The moment at which a connection writes the attempt. */
        void hand(Attempt attempt) {
            boolean wasOver = over() || attempt.isOver() || now >= request.deadline;
            if (!attempt.hand(now)) {
                if (!attempt.isOver() && attempt != out) { ingress.ended(attempt, Attempt.Result.of(Api.Outcome.NOT_SENT)); }
                return;
            }
            assertThat(wasOver).as("nothing is sent after the end").isFalse();
            assertThat(out == null || out.isOver()).as("never two out").isTrue();
            if (!Double.isNaN(ranAt) && effect != Api.Effect.IDEMPOTENT) {
                assertThat(effect).as("may have run").isEqualTo(Api.Effect.DEDUPLICATED);
                assertThat(now - ranAt).as("inside its window").isLessThan(WINDOW_MS);
            }
            out = attempt;
            handedAt = now;
        }

        double handedAt;

        boolean over() { return answers > 0 || left; }

        void end(Attempt attempt, Api.Outcome outcome) {
            boolean wasOut = attempt == out && !attempt.isOver();
            // A backend connection reports these outcomes only for attempts that were written.
            boolean fits = outcome.neverRan() || wasOut;
            if (!fits) { return; }
            if (wasOut && !outcome.neverRan() && Double.isNaN(ranAt)) { ranAt = handedAt; }
            if (attempt == out) { out = null; }
            ingress.ended(attempt, new Attempt.Result(outcome, new byte[0], null));
        }

        void play(End end, int which) {
            Attempt attempt = begun.isEmpty() ? null : begun.get(Math.min(which, begun.size() - 1));
            loop.turn(() -> {
                noteOut();
                switch (end) {
                    case GONE -> {
                        left |= answers == 0;
                        request.gone();
                    }
                    case RECORDED, UNRECORDED, NO_DISK -> {
                        if (!parked.isEmpty()) { parked.poll().accept(end == End.RECORDED); }
                    }
                    default -> {
                        if (attempt != null) { play(end, attempt); }
                    }
                }
                noteOut();
            });
            switch (end) {
                case DEADLINE -> pass(WAIT_MS + 10);
                case TIME_OUT -> pass(WAIT_MS - 50);
                case PAST_WINDOW -> pass(WINDOW_MS);
                default -> { }
            }
        }

        private void play(End end, Attempt attempt) {
            switch (end) {
                case ANSWER -> end(attempt, Api.Outcome.SERVED);
                case BUSY -> end(attempt, Api.Outcome.REJECTED);
                case ERROR -> end(attempt, Api.Outcome.SERVER_ERROR);
                case RESET -> end(attempt, Api.Outcome.CONNECTION_LOST);
                case DRAIN, DIAL_FAILED -> {
                    if (attempt != out) { end(attempt, Api.Outcome.CONNECT_FAILED); }
                }
                case WRITE_FAILED -> {
                    if (attempt == out) {
                        attempt.unwritten();
                        end(attempt, Api.Outcome.CONNECT_FAILED);
                    }
                }
                case DIAL_UP -> hand(attempt);
                case PART -> wentOn |= ingress.begin(attempt, 100_000) != null;
                default -> { }
            }
        }

        private void pass(double ms) {
            now += ms;
            loop.turn(this::noteOut);
        }

        /** An attempt that the core itself ended, by a timeout or a cancel, may have run if it was written to a socket. */
        private void noteOut() {
            if (out != null && out.isOver()) {
                if (Double.isNaN(ranAt)) { ranAt = handedAt; }
                out = null;
            }
        }

        private void told() {
            assertThat(over()).as("one final answer, and none to who has gone").isFalse();
            answers++;
        }

        @Override
        public void served(byte[] value) { told(); }

        @Override
        public void reject(long retryAfterMs, boolean mayHaveRun) { told(); }

        @Override
        public void failed(String why, boolean mayHaveRun) { told(); }

        @Override
        public Flow begin(long length) {
            return new Flow() {
                @Override
                public void part(ByteBuffer bytes, Runnable taken) { }

                @Override
                public void end() { told(); }

                @Override
                public void broken() { told(); }
            };
        }

        @Override
        public Admission take(Request one) { return records ? Admission.RECORDED : Admission.UNRECORDED; }

        @Override
        public void intend(Attempt attempt, Consumer<Boolean> then) { parked.add(then); }

        @Override
        public void written(Attempt attempt) { }

        @Override
        public void ended(Attempt attempt, Api.Outcome outcome) { }

        @Override
        public void answered(Request one, Answer answer) { }

        @Override
        public double retryAfterMs() { return 0; }
    }

    record Step(End end, int attempt) { }

    @Provide
    Arbitrary<List<Step>> steps() {
        Arbitrary<Step> step = net.jqwik.api.Combinators.combine(Arbitraries.of(End.class), Arbitraries.integers().between(0, 5))
                .as(Step::new);
        return step.list().ofMinSize(1).ofMaxSize(9);
    }

    private World run(Api.Effect effect, boolean records, List<Step> steps) {
        World world = new World(effect, records);
        for (Step step : steps) { world.play(step.end(), step.attempt()); }
        for (int i = 0; i < 20; i++) { world.pass(WAIT_MS / 8); }
        if (world.wentOn && !world.over()) {         // no deadline ends a stream: its connection closes at last
            world.loop.turn(() -> world.begun.forEach(one -> world.end(one, Api.Outcome.CONNECTION_LOST)));
        }
        assertThat(world.answers).as("one final answer, or none to who has gone").isEqualTo(world.left ? 0 : 1);
        assertThat(world.ingress.openCount()).isZero();
        assertThat(world.begun).allMatch(Attempt::isOver);
        assertThat(world.counters.answersSecond).isZero();
        return world;
    }

    @Property(tries = 4000)
    void oneFinalAnswerWhateverEndsInWhateverOrder(@ForAll Api.Effect effect, @ForAll boolean records, @ForAll("steps") List<Step> steps) {
        run(effect, records, steps);
    }

    /** All sequences of three events, after an attempt that is connecting or written, first or repeated. */
    @Example
    void allOrdersOfTwoAndThreeEndings() {
        List<List<End>> before = List.of(List.of(), List.of(End.DIAL_UP), List.of(End.DIAL_UP, End.RESET),
                List.of(End.DIAL_UP, End.RESET, End.DIAL_UP),
                List.of(End.DIAL_FAILED, End.DIAL_UP), List.of(End.DIAL_UP, End.PART));
        int played = 0;
        for (Api.Effect effect : Api.Effect.values()) {
            for (List<End> first : before) {
                for (End a : End.values()) {
                    for (End b : End.values()) {
                        for (End c : End.values()) {
                            List<Step> steps = new ArrayList<>();
                            first.forEach(end -> steps.add(new Step(end, 5)));
                            for (End end : List.of(a, b, c)) { steps.add(new Step(end, 5)); }
                            run(effect, false, steps);
                            played++;
                        }
                    }
                }
            }
        }
        assertThat(played).isEqualTo(3 * 6 * 16 * 16 * 16);
    }

    /** The state machine alone, with calls in any order: one answer, and nothing is written twice or after the end. */
    @Property(tries = 2000)
    void theMachineAnswersOnceWhateverIsCalled(@ForAll Api.Effect effect, @ForAll @Size(max = 30) List<@IntRange(max = 9) Integer> calls) {
        Course course = new Course(new Api.RequestClass(100, 200, 1, 0, effect, Api.Group.ALL, 10, false), 100);
        int answered = 0;
        int newest = -1;
        int handed = -1;
        boolean mayRun = false;
        double now = 0;
        for (int call : calls) {
            boolean over = course.isOver();
            now += 3;
            switch (call) {
                case 0 -> newest += course.park(newest + 1) ? 1 : 0;
                case 1 -> assertThat(course.begin(newest) && over).isFalse();
                case 2, 3 -> {
                    if (course.hand(newest, now)) {
                        assertThat(over || now >= 100 || handed == newest).isFalse();
                        assertThat(mayRun && effect == Api.Effect.AT_MOST_ONCE).isFalse();
                        handed = newest;
                    }
                }
                case 4 -> mayRun |= course.end(newest, Api.Outcome.CONNECTION_LOST) && handed == newest;
                case 5 -> course.end(newest, Api.Outcome.CONNECT_FAILED);
                case 6 -> course.pass(newest);
                case 7 -> answered += course.answer() ? 1 : 0;
                case 8 -> answered += course.leave() ? 1 : 0;
                default -> course.unwritten(newest - 1);
            }
        }
        assertThat(answered).isLessThanOrEqualTo(1);
    }

    @Example
    void aSecondFinalAnswerIsCountedAndNotSent() {
        World world = new World(Api.Effect.IDEMPOTENT, false);
        Relay relay = new Relay(world.counters, world);
        relay.failed(world.request, "once");
        relay.reject(world.request, 5);
        relay.served(world.request, new byte[0]);
        assertThat(world.answers).isEqualTo(1);
        assertThat(world.counters.answersSecond).isEqualTo(2);
        assertThat(world.counters.line(0)).contains(" answers_second=2 ");
    }

    @Example
    void whatWaitedForItsRecordTillItsTimeIsHeldAgainstNoBackend() {
        World world = new World(Api.Effect.AT_MOST_ONCE, true);
        world.play(End.DEADLINE, 0);
        assertThat(world.answers).isEqualTo(1);
        assertThat(world.begun).isEmpty();
        assertThat(world.counters.outcomes[Api.Outcome.NOT_SENT.ordinal()]).isEqualTo(1);
        assertThat(world.counters.outcomes[Api.Outcome.CONNECT_FAILED.ordinal()]).as("a backend would be held to be down").isZero();
    }
}

package yardusher;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.LongUnaryOperator;
import org.junit.jupiter.api.Test;
import yardusher.Api.*;
import yardusher.PolicyTest.Gateway;

/** One gateway of a hundred, whose share of each server's limit is too small to show that all servers are overloaded. */
class OverloadTest {
    private static final double AIM_MS = PolicyTest.settings(0, 1, false).classes().get(0).aimMs();

    /** Fraction of the tries in the last two of six seconds that were shed; {@code answerMs} gives the latency of the n-th attempt. */
    private static double shedFraction(LongUnaryOperator answerMs) {
        Server[] servers = new Server[60];
        for (int i = 0; i < servers.length; i++) { servers[i] = PolicyTest.server(1 + i, 0); }
        Gateway gateway = new Gateway(0, 100, 0, servers);
        record Answer(double at, long id, int attempt, long server, double took, Outcome how) { }
        PriorityQueue<Answer> answers = new PriorityQueue<>(Comparator.comparingDouble(Answer::at));
        Map<Long, Integer> attempts = new HashMap<>();
        Set<String> finished = new HashSet<>();
        long sent = 0;
        int shed = 0, tries = 0;
        for (double timeMs = 0; timeMs < 6000; timeMs += 5) {
            gateway.runTo(timeMs);
            if (timeMs % 20 == 0) {
                gateway.ask(0, PolicyTest.FREE_PLAN, (long) (timeMs / 20) % 97, 1);
                tries += timeMs >= 4000 ? 1 : 0;
            }
            ArrayDeque<Answer> now = new ArrayDeque<>();
            while (!answers.isEmpty() && answers.peek().at() <= timeMs) { now.add(answers.poll()); }
            for (boolean repeat = true; repeat;) {
                for (Answer a; (a = now.poll()) != null;) {
                    if (!finished.add(a.id() + "." + a.attempt())) { continue; }
                    gateway.on(new AttemptDone(a.id(), a.attempt(), a.server(), a.how(), a.took(), a.how() == Outcome.SERVED, 0, null));
                }
                List<Action> actions = List.copyOf(gateway.actions);
                gateway.actions.clear();
                for (Action action : actions) {
                    shed += action instanceof Refuse r && r.reason() == Reason.PRESSURE && timeMs >= 4000 ? 1 : 0;
                    if (action instanceof Send s) {
                        int attempt = attempts.merge(s.id(), 0, (a, b) -> a + 1);
                        double tookMs = answerMs.applyAsLong(sent++);
                        boolean late = tookMs >= s.timeoutMs();
                        double waitMs = late ? s.timeoutMs() : tookMs;
                        answers.add(new Answer(timeMs + waitMs, s.id(), attempt, s.server(), waitMs, late ? Outcome.TIMED_OUT : Outcome.SERVED));
                    } else if (action instanceof Cancel c) {
                        now.add(new Answer(timeMs, c.id(), c.attempt(), 0, AIM_MS / 2, Outcome.CANCELLED));
                    }
                }
                repeat = !now.isEmpty() || !gateway.actions.isEmpty();
            }
        }
        return shed / (double) tries;
    }

    /**
     * Guards against an undetected overload: backends that work on abandoned requests leave most attempts unanswered, and the few answers
     * are quick. A gateway that goes by answers alone sees no problem and keeps sending; so do all the others.
     */
    @Test
    void unansweredAttemptsCountAsLate() {
        assertThat(shedFraction(n -> n % 3 == 0 ? (long) (AIM_MS / 5) : 1_000_000)).isGreaterThan(0.3);
    }

    /** Shows that the check can pass: nothing is shed when answers are quick, nor when one of twenty attempts hangs. */
    @Test
    void nothingIsShedWhereAnswersAreQuick() {
        assertThat(shedFraction(n -> (long) (AIM_MS / 5))).isZero();
        assertThat(shedFraction(n -> n % 20 == 0 ? 1_000_000 : (long) (AIM_MS / 5))).isZero();
    }
}

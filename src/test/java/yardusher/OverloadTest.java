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
        Gateway g = new Gateway(0, 100, 0, servers);
        record Answer(double at, long id, int attempt, long server, double took, Outcome how) { }
        PriorityQueue<Answer> answers = new PriorityQueue<>(Comparator.comparingDouble(Answer::at));
        Map<Long, Integer> attempts = new HashMap<>();
        Set<String> over = new HashSet<>();
        long sent = 0;
        int shed = 0, tries = 0;
        for (double t = 0; t < 6000; t += 5) {
            g.runTo(t);
            if (t % 20 == 0) {
                g.ask(0, PolicyTest.FREE_PLAN, (long) (t / 20) % 97, 1);
                tries += t >= 4000 ? 1 : 0;
            }
            ArrayDeque<Answer> now = new ArrayDeque<>();
            while (!answers.isEmpty() && answers.peek().at() <= t) { now.add(answers.poll()); }
            for (boolean any = true; any;) {
                for (Answer a; (a = now.poll()) != null;) {
                    if (!over.add(a.id() + "." + a.attempt())) { continue; }
                    g.on(new AttemptDone(a.id(), a.attempt(), a.server(), a.how(), a.took(), a.how() == Outcome.SERVED, 0, null));
                }
                List<Action> actions = List.copyOf(g.actions);
                g.actions.clear();
                for (Action action : actions) {
                    shed += action instanceof Refuse r && r.reason() == Reason.PRESSURE && t >= 4000 ? 1 : 0;
                    if (action instanceof Send s) {
                        int attempt = attempts.merge(s.id(), 0, (a, b) -> a + 1);
                        double took = answerMs.applyAsLong(sent++);
                        boolean late = took >= s.timeoutMs();
                        double waits = late ? s.timeoutMs() : took;
                        answers.add(new Answer(t + waits, s.id(), attempt, s.server(), waits, late ? Outcome.TIMED_OUT : Outcome.SERVED));
                    } else if (action instanceof Cancel c) {
                        now.add(new Answer(t, c.id(), c.attempt(), 0, AIM_MS / 2, Outcome.CANCELLED));
                    }
                }
                any = !now.isEmpty() || !g.actions.isEmpty();
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

package yardusher.lab.oracle;

import java.util.ArrayList;
import java.util.List;
import yardusher.lab.oracle.ExchangeTrace.Attempt;
import yardusher.lab.oracle.ExchangeTrace.End;
import yardusher.lab.oracle.ExchangeTrace.Progress;
import yardusher.lab.oracle.ExchangeTrace.Reply;

/** Holds a trace against the lines of {@link Obligation}. */
public final class Oracle {
    /** Of a value up to this length the last byte is timed, of a longer one the first ("Size" of the operators' page). */
    public static final int MAX_TIMED_TO_END_BYTES = 64 * 1024;
    private static final double LOST_AFTER_MS = 500;
    private static final double SOCKET_SLACK_MS = 50;
    private static final double TOLD_SLACK_MS = 150;
    private static final double AFTER_LEAVE_MS = 100;
    private static final double MAX_HELD_BACK_MS = 500;

    private Oracle() { }

    /** One broken line and what was seen. */
    public record Verdict(Obligation broken, String seen) { }

    /** All lines that a trace breaks. {@code stoodMs}: for how long the lab or the ingress did not run meanwhile, at most. */
    public static List<Verdict> judge(ExchangeTrace trace, double stoodMs) {
        List<Verdict> verdicts = new ArrayList<>();
        judgeReply(trace, stoodMs, verdicts);
        for (Attempt attempt : trace.attempts()) { judgeAttempt(trace, attempt, stoodMs, verdicts); }
        if (trace.sent().once() && trace.attempts().size() > 1) { add(verdicts, Obligation.RUNS_ONCE, "%d attempts", trace.attempts().size()); }
        return verdicts;
    }

    /** Whether the last byte of this reply is timed, and not its first. */
    private static boolean isTimedToItsEnd(Reply reply) { return reply.valueBytes() <= MAX_TIMED_TO_END_BYTES; }

    private static void judgeReply(ExchangeTrace trace, double stoodMs, List<Verdict> verdicts) {
        Reply reply = trace.reply();
        if (reply.end() == End.LEFT) { return; }
        double latestMs = trace.sent().dueMs() + LOST_AFTER_MS + SOCKET_SLACK_MS + stoodMs;
        if (reply.head().isEmpty()) {
            boolean ended = reply.end() == End.CONNECTION_ENDED;
            add(verdicts, ended ? Obligation.ANSWER_BEFORE_END : Obligation.FINAL_ANSWER, "no answer by %+.0f ms of its time", reply.endedMs() - trace.sent().dueMs());
            return;
        }
        double timedMs = isTimedToItsEnd(reply) ? reply.endedMs() : reply.firstByteMs();
        if (timedMs > latestMs) { add(verdicts, Obligation.FINAL_ANSWER, "%+.0f ms behind its time", timedMs - trace.sent().dueMs()); }
        if (!reply.asMade()) { add(verdicts, Obligation.VALUE_AS_MADE, "other bytes"); }
        boolean wasGiven = trace.attempts().stream().anyMatch(attempt -> attempt.givesWhole() && !attempt.written().isEmpty());
        if (!isTimedToItsEnd(reply) && reply.end() != End.WHOLE && wasGiven) {
            add(verdicts, Obligation.VALUE_TO_ITS_END, "ended %+.0f ms behind its time with %d of %d bytes", reply.endedMs() - trace.sent().dueMs(),
                    reply.read().isEmpty() ? 0 : reply.read().get(reply.read().size() - 1).valueBytes(), reply.valueBytes());
        }
        if (!isTimedToItsEnd(reply) && !trace.attempts().isEmpty()) {
            judgeHeldBack(reply, trace.attempts().get(trace.attempts().size() - 1), stoodMs, verdicts);
        }
    }

    private static void judgeHeldBack(Reply reply, Attempt attempt, double stoodMs, List<Verdict> verdicts) {
        for (Progress written : attempt.written()) {
            if (written.valueBytes() == 0) { continue; }  // a head is no byte of the value
            double seenMs = reply.read().stream().filter(read -> read.valueBytes() >= written.valueBytes()).mapToDouble(Progress::atMs).findFirst()
                    .orElse(Double.POSITIVE_INFINITY);
            boolean wasOver = reply.endedMs() <= written.atMs() + MAX_HELD_BACK_MS; // the end has a line of its own
            if (!wasOver && seenMs > written.atMs() + MAX_HELD_BACK_MS + stoodMs) {
                add(verdicts, Obligation.NOT_HELD_BACK, "%d bytes for %.0f ms", written.valueBytes(), seenMs - written.atMs());
                return;
            }
        }
    }

    private static void judgeAttempt(ExchangeTrace trace, Attempt attempt, double stoodMs, List<Verdict> verdicts) {
        boolean hasLeft = trace.reply().end() == End.LEFT;
        double leftMs = trace.sent().dueMs() - attempt.arrivedMs() + stoodMs;
        if (attempt.toldMs() > 0 && attempt.toldMs() > leftMs + TOLD_SLACK_MS) { add(verdicts, Obligation.TIME_TOLD, "%.0f ms of %.0f", attempt.toldMs(), leftMs); }
        if (hasLeft && attempt.arrivedMs() > trace.reply().endedMs() + AFTER_LEAVE_MS + stoodMs) {
            add(verdicts, Obligation.NONE_AFTER_LEAVE, "%.0f ms behind the client's end", attempt.arrivedMs() - trace.reply().endedMs());
        }
        boolean begun = !attempt.written().isEmpty();
        if (!hasLeft && begun && attempt.cutMs() < trace.sent().dueMs() - SOCKET_SLACK_MS - stoodMs) {
            add(verdicts, Obligation.NOT_CUT_EARLY, "%.0f ms before its time", trace.sent().dueMs() - attempt.cutMs());
        }
    }

    private static void add(List<Verdict> verdicts, Obligation broken, String seen, Object... words) {
        verdicts.add(new Verdict(broken, String.format(seen, words)));
    }
}

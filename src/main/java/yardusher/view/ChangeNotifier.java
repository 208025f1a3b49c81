package yardusher.view;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.DoubleFunction;

/**
 * When the picture is told on: once it has stood still for so long and nobody in it is suspected by two or more, so that a
 * hall that dies is one change; and whatever it does, no later than {@code mostMs} after it began to change.
 */
final class ChangeNotifier {
    private static final double MIN_MAX_DELAY_MS = 3000;
    private static final int CONFIRMING_ACCUSERS = 2;            // accusers: one alone may have lost its datagrams

    private record ReportedMember(View.Member member, long instanceId) { }

    private final MemberTable table;
    private final double settleMs;
    private final double maxDelayMs;
    private final List<Consumer<View.Change>> listeners = new ArrayList<>();
    private Map<String, ReportedMember> reported = new HashMap<>();
    private long reportedDigest;
    private double unreportedSinceMs = Double.POSITIVE_INFINITY;       // of the first change that was not told

    ChangeNotifier(MemberTable table, double settleMs) {
        this.table = table;
        this.settleMs = settleMs;
        maxDelayMs = Math.max(MIN_MAX_DELAY_MS, 10 * settleMs);
    }

    void subscribe(Consumer<View.Change> listener) { listeners.add(listener); }

    /** When it has to be looked at again; infinity where all is told. */
    double nextCheckMs(double now) {
        if (table.digest() == reportedDigest) {
            unreportedSinceMs = Double.POSITIVE_INFINITY;
            return unreportedSinceMs;
        }
        if (unreportedSinceMs == Double.POSITIVE_INFINITY) { unreportedSinceMs = Math.max(table.changedAtMs(), now - maxDelayMs); }
        double deadlineMs = unreportedSinceMs + maxDelayMs;
        return table.suspects().stream().anyMatch(one -> one.accusers.length >= CONFIRMING_ACCUSERS) ? deadlineMs : Math.min(deadlineMs, table.changedAtMs() + settleMs);
    }

    /** Tells what has settled, if it has. */
    void notifyIfSettled(double now, DoubleFunction<View.Snapshot> snapshotAt) {
        if (nextCheckMs(now) > now) { return; }
        reportedDigest = table.digest();
        unreportedSinceMs = Double.POSITIVE_INFINITY;
        Map<String, ReportedMember> current = new HashMap<>();
        List<View.Member> joined = new ArrayList<>();
        List<View.Member> departed = new ArrayList<>();
        for (MemberEntry entry : table.active()) {
            ReportedMember member = new ReportedMember(entry.toMember(), entry.instanceId);
            current.put(entry.name, member);
            ReportedMember previous = reported.remove(entry.name);
            if (previous != null && previous.instanceId == entry.instanceId) { continue; }
            if (previous != null) { departed.add(previous.member); }
            joined.add(member.member);
        }
        for (ReportedMember member : reported.values()) { departed.add(member.member); }
        reported = current;
        if (joined.isEmpty() && departed.isEmpty()) { return; }    // refuted, or back again before it was told
        joined.sort(Comparator.comparing(View.Member::name));
        departed.sort(Comparator.comparing(View.Member::name));
        View.Change change = new View.Change(snapshotAt.apply(now), List.copyOf(joined), List.copyOf(departed));
        for (Consumer<View.Change> listener : listeners) { listener.accept(change); }
    }
}

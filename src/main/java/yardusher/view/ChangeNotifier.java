package yardusher.view;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.DoubleFunction;

/**
 * Reports changes of the view to listeners in batches: once the view has been stable for the settling time and no member is suspected
 * by two or more others, so that the failure of a data hall is one change; but at most {@code maxDelayMs} after the first
 * unreported change.
 */
final class ChangeNotifier {
    private static final double MIN_MAX_DELAY_MS = 3000;
    private static final int CONFIRMING_ACCUSERS = 2; // a single accuser may merely have lost datagrams

    private record ReportedMember(View.Member member, long instanceId) { }

    private final MemberTable table;
    private final double settleMs;
    private final double maxDelayMs;
    private final List<Consumer<View.Change>> listeners = new ArrayList<>();
    private Map<String, ReportedMember> reported = new HashMap<>();
    private long reportedDigest;
    private double unreportedSinceMs = Double.POSITIVE_INFINITY; // time of the first unreported change

    ChangeNotifier(MemberTable table, double settleMs) {
        this.table = table;
        this.settleMs = settleMs;
        maxDelayMs = Math.max(MIN_MAX_DELAY_MS, 10 * settleMs);
    }

    void subscribe(Consumer<View.Change> listener) { listeners.add(listener); }

    /** Returns when {@link #notifyIfSettled} is due; infinity if everything is reported. */
    double nextCheckMs(double now) {
        if (table.digest() == reportedDigest) {
            unreportedSinceMs = Double.POSITIVE_INFINITY;
            return unreportedSinceMs;
        }
        if (unreportedSinceMs == Double.POSITIVE_INFINITY) { unreportedSinceMs = Math.max(table.changedAtMs(), now - maxDelayMs); }
        double deadlineMs = unreportedSinceMs + maxDelayMs;
        return table.suspects().stream().anyMatch(suspect -> suspect.accusers.length >= CONFIRMING_ACCUSERS) ? deadlineMs
                : Math.min(deadlineMs, table.changedAtMs() + settleMs);
    }

    /** Reports the change to the listeners if the view has settled. */
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
        if (joined.isEmpty() && departed.isEmpty()) { return; } // refuted, or back before it was reported
        joined.sort(Comparator.comparing(View.Member::name));
        departed.sort(Comparator.comparing(View.Member::name));
        View.Change change = new View.Change(snapshotAt.apply(now), List.copyOf(joined), List.copyOf(departed));
        for (Consumer<View.Change> listener : listeners) { listener.accept(change); }
    }
}

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
final class Settled {
    private static final double LEAST_MOST_MS = 3000;
    private static final int SERIOUS = 2;            // a single accuser may merely have lost datagrams

    private record Told(View.Member member, long life) { }

    private final Roster roster;
    private final double stillMs;
    private final double mostMs;
    private final List<Consumer<View.Change>> followers = new ArrayList<>();
    private Map<String, Told> told = new HashMap<>();
    private long toldDigest;
    private double sinceMs = Double.POSITIVE_INFINITY;       // time of the first unreported change

    Settled(Roster roster, double stillMs) {
        this.roster = roster;
        this.stillMs = stillMs;
        mostMs = Math.max(LEAST_MOST_MS, 10 * stillMs);
    }

    void follow(Consumer<View.Change> follower) { followers.add(follower); }

    /** Returns when {@link #notifyIfSettled} is due; infinity if everything is reported. */
    double next(double now) {
        if (roster.digest() == toldDigest) {
            sinceMs = Double.POSITIVE_INFINITY;
            return sinceMs;
        }
        if (sinceMs == Double.POSITIVE_INFINITY) { sinceMs = Math.max(roster.changedMs(), now - mostMs); }
        double last = sinceMs + mostMs;
        return roster.suspects().stream().anyMatch(one -> one.accusers.length >= SERIOUS) ? last : Math.min(last, roster.changedMs() + stillMs);
    }

    /** Reports the change to the listeners if the view has settled. */
    void look(double now, DoubleFunction<View.Picture> picture) {
        if (next(now) > now) { return; }
        toldDigest = roster.digest();
        sinceMs = Double.POSITIVE_INFINITY;
        Map<String, Told> next = new HashMap<>();
        List<View.Member> came = new ArrayList<>();
        List<View.Member> gone = new ArrayList<>();
        for (Entry entry : roster.there()) {
            Told one = new Told(entry.member(), entry.life);
            next.put(entry.name, one);
            Told before = told.remove(entry.name);
            if (before != null && before.life == entry.life) { continue; }
            if (before != null) { gone.add(before.member); }
            came.add(one.member);
        }
        for (Told one : told.values()) { gone.add(one.member); }
        told = next;
        if (came.isEmpty() && gone.isEmpty()) { return; }    // refuted, or back before it was reported
        came.sort(Comparator.comparing(View.Member::name));
        gone.sort(Comparator.comparing(View.Member::name));
        View.Change change = new View.Change(picture.apply(now), List.copyOf(came), List.copyOf(gone));
        for (Consumer<View.Change> follower : followers) { follower.accept(change); }
    }
}

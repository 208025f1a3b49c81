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
final class Settled {
    private static final double LEAST_MOST_MS = 3000;
    private static final int SERIOUS = 2;            // accusers: one alone may have lost its datagrams

    private record Told(View.Member member, long life) { }

    private final Roster roster;
    private final double stillMs;
    private final double mostMs;
    private final List<Consumer<View.Change>> followers = new ArrayList<>();
    private Map<String, Told> told = new HashMap<>();
    private long toldDigest;
    private double sinceMs = Double.POSITIVE_INFINITY;       // of the first change that was not told

    Settled(Roster roster, double stillMs) {
        this.roster = roster;
        this.stillMs = stillMs;
        mostMs = Math.max(LEAST_MOST_MS, 10 * stillMs);
    }

    void follow(Consumer<View.Change> follower) { followers.add(follower); }

    /** When it has to be looked at again; infinity where all is told. */
    double next(double now) {
        if (roster.digest() == toldDigest) {
            sinceMs = Double.POSITIVE_INFINITY;
            return sinceMs;
        }
        if (sinceMs == Double.POSITIVE_INFINITY) { sinceMs = Math.max(roster.changedMs(), now - mostMs); }
        double last = sinceMs + mostMs;
        return roster.suspects().stream().anyMatch(one -> one.accusers.length >= SERIOUS) ? last : Math.min(last, roster.changedMs() + stillMs);
    }

    /** Tells what has settled, if it has. */
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
        if (came.isEmpty() && gone.isEmpty()) { return; }    // refuted, or back again before it was told
        came.sort(Comparator.comparing(View.Member::name));
        gone.sort(Comparator.comparing(View.Member::name));
        View.Change change = new View.Change(picture.apply(now), List.copyOf(came), List.copyOf(gone));
        for (Consumer<View.Change> follower : followers) { follower.accept(change); }
    }
}

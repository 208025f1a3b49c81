package yardusher.journal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Requests as reconstructed from entries, in the order in which they began. Uses neither I/O nor a clock. Applying an entry
 * is idempotent, since a batch whose write failed is written again. The owner removes finished requests by {@link #remove}.
 */
final class RequestTable {
    private record Key(long life, long number) { }

    private final Map<Key, JournaledRequest> requests = new LinkedHashMap<>();
    private long life;                               // of the writer of the current segment
    private Entry.Opened opened = new Entry.Opened(0, 0, "", List.of(), List.of());
    private long snapshotsRead;

    /** Applies an entry; returns the request that it concerns, or null if it concerns none. */
    JournaledRequest apply(Entry entry) {
        if (entry instanceof Entry.Opened e) {
            opened = e;
            life = e.life();
            return null;
        }
        if (entry instanceof Entry.SnapshotEnd e) {
            snapshotsRead++;
            return null;
        }
        if (entry instanceof Entry.Gap) { return null; }
        if (entry instanceof Entry.Carried e) { return carried(e); }
        if (entry instanceof Entry.Closed e) {
            JournaledRequest order = request(e.life(), e.requestNumber());
            order.closedUs = e.atUs();
            return order;
        }
        if (entry instanceof Entry.Accepted e) {
            JournaledRequest order = request(life, e.requestNumber());
            order.acceptedUs = e.atUs();
            return fill(order, e.facts());
        }
        if (entry instanceof Entry.Intended e) {
            JournaledRequest order = fill(request(life, e.requestNumber()), e.facts());
            JournaledRequest.JournaledAttempt one = order.attempt(e.attempt());
            one.intendedUs = e.atUs();
            one.region = e.region();
            order.acceptedUs = e.acceptedUs();
            return order;
        }
        if (entry instanceof Entry.Written e) {
            JournaledRequest order = request(life, e.requestNumber());
            order.attempt(e.attempt()).writtenUs = e.atUs();
            return order;
        }
        if (entry instanceof Entry.Ended e) {
            JournaledRequest order = request(life, e.requestNumber());
            JournaledRequest.JournaledAttempt one = order.attempt(e.attempt());
            one.endedUs = e.atUs();
            one.outcome = e.outcome();
            one.mayHaveBeenSent = e.mayHaveBeenSent();
            return order;
        }
        Entry.Answered e = (Entry.Answered) entry;
        JournaledRequest order = request(life, e.requestNumber());
        order.answeredUs = e.atUs();
        order.answer = e.answer();
        return order;
    }

    private JournaledRequest carried(Entry.Carried e) {
        JournaledRequest order = request(e.life(), e.requestNumber());
        order.acceptedUs = e.atUs();
        if (e.facts() != null) { fill(order, e.facts()); }
        if (e.answer() != null) { order.answer = e.answer(); }
        for (JournaledRequest.JournaledAttempt told : e.attempts()) {
            JournaledRequest.JournaledAttempt one = order.attempt(told.attempt);
            one.region = told.region;
            one.intendedUs = told.intendedUs;
            one.writtenUs = Math.max(one.writtenUs, told.writtenUs);
            if (told.outcome != null) {
                one.endedUs = told.endedUs;
                one.outcome = told.outcome;
                one.mayHaveBeenSent = told.mayHaveBeenSent;
            }
        }
        return order;
    }

    private JournaledRequest request(long ofLife, long number) {
        return requests.computeIfAbsent(new Key(ofLife, number), key -> {
            JournaledRequest order = new JournaledRequest(ofLife, number);
            order.instance = opened.name();
            return order;
        });
    }

    private JournaledRequest fill(JournaledRequest order, Entry.RequestFacts facts) {
        order.facts = facts;
        order.className = name(opened.classes(), facts.classIndex());
        order.plan = name(opened.plans(), facts.planIndex());
        return order;
    }

    private static String name(List<String> names, int index) {
        return index < names.size() ? names.get(index) : Integer.toString(index);
    }

    /** Sets the first block of the new segment that mentions a request. */
    void setFirstBlock(long ofLife, long number, int block) {
        JournaledRequest order = requests.get(new Key(ofLife, number));
        if (order != null) { order.firstBlock = block; }
    }

    void remove(JournaledRequest order) { requests.remove(new Key(order.life, order.number)); }

    /** A live view, in the order of the entries. */
    Collection<JournaledRequest> requests() { return requests.values(); }

    int size() { return requests.size(); }

    /** The number of snapshots that have been read to their end. */
    long snapshots() { return snapshotsRead; }

    Entry.Opened opened() { return opened; }

    /** The open requests as the entries of a snapshot. */
    List<Entry> snapshot(long atUs) {
        List<Entry> entries = new ArrayList<>(requests.size() + 1);
        for (JournaledRequest o : requests.values()) {
            if (!o.isOver()) { entries.add(new Entry.Carried(o.acceptedUs, o.life, o.number, o.facts, o.answer, o.attempts)); }
        }
        entries.add(new Entry.SnapshotEnd(atUs, entries.size()));
        return entries;
    }
}

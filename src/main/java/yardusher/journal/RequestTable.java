package yardusher.journal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The orders as the entries tell them, in the order in which they began. Free of I/O and clock. An entry told twice
 * changes nothing, since a batch whose write failed is written again. Its owner empties it by {@link #remove}.
 */
final class RequestTable {
    private record Key(long life, long order) { }

    private final Map<Key, JournaledRequest> orders = new LinkedHashMap<>();
    private long life;                               // of whoever wrote the segment being read
    private Entry.Opened opened = new Entry.Opened(0, 0, "", List.of(), List.of());
    private long snapshotsRead;

    /** Takes an entry in; gives the order it speaks of, or null for one that speaks of none. */
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
            JournaledRequest order = order(e.life(), e.order());
            order.closedUs = e.atUs();
            return order;
        }
        if (entry instanceof Entry.Accepted e) {
            JournaledRequest order = order(life, e.order());
            order.acceptedUs = e.atUs();
            return fill(order, e.facts());
        }
        if (entry instanceof Entry.Intended e) {
            JournaledRequest order = fill(order(life, e.order()), e.facts());
            JournaledRequest.JournaledAttempt one = order.attempt(e.attempt());
            one.intendedUs = e.atUs();
            one.region = e.region();
            order.acceptedUs = e.acceptedUs();
            return order;
        }
        if (entry instanceof Entry.Written e) {
            JournaledRequest order = order(life, e.order());
            order.attempt(e.attempt()).writtenUs = e.atUs();
            return order;
        }
        if (entry instanceof Entry.Ended e) {
            JournaledRequest order = order(life, e.order());
            JournaledRequest.JournaledAttempt one = order.attempt(e.attempt());
            one.endedUs = e.atUs();
            one.outcome = e.outcome();
            one.mayHaveBeenSent = e.mayHaveBeenSent();
            return order;
        }
        Entry.Answered e = (Entry.Answered) entry;
        JournaledRequest order = order(life, e.order());
        order.answeredUs = e.atUs();
        order.answer = e.answer();
        return order;
    }

    private JournaledRequest carried(Entry.Carried e) {
        JournaledRequest order = order(e.life(), e.order());
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

    private JournaledRequest order(long ofLife, long number) {
        return orders.computeIfAbsent(new Key(ofLife, number), key -> {
            JournaledRequest order = new JournaledRequest(ofLife, number);
            order.instance = opened.name();
            return order;
        });
    }

    private JournaledRequest fill(JournaledRequest order, Entry.RequestFacts facts) {
        order.facts = facts;
        order.className = name(opened.classes(), facts.classIndex());
        order.plan = name(opened.plans(), facts.plan());
        return order;
    }

    private static String name(List<String> names, int index) {
        return index < names.size() ? names.get(index) : Integer.toString(index);
    }

    /** Where the segment that begins tells of an order that is held. */
    void setFirstBlock(long ofLife, long number, int block) {
        JournaledRequest order = orders.get(new Key(ofLife, number));
        if (order != null) { order.firstBlock = block; }
    }

    void remove(JournaledRequest order) { orders.remove(new Key(order.life, order.number)); }

    /** As the entries came; changes with the book. */
    Collection<JournaledRequest> requests() { return orders.values(); }

    int size() { return orders.size(); }

    /** How many snapshots have been read to their end. */
    long snapshots() { return snapshotsRead; }

    Entry.Opened opened() { return opened; }

    /** The open orders as entries of a snapshot. */
    List<Entry> snapshot(long atUs) {
        List<Entry> entries = new ArrayList<>(orders.size() + 1);
        for (JournaledRequest o : orders.values()) {
            if (!o.isOver()) { entries.add(new Entry.Carried(o.acceptedUs, o.life, o.number, o.facts, o.answer, o.attempts)); }
        }
        entries.add(new Entry.SnapshotEnd(atUs, entries.size()));
        return entries;
    }
}

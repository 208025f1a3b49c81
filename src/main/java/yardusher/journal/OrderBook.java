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
final class OrderBook {
    private record Key(long life, long order) { }

    private final Map<Key, Order> orders = new LinkedHashMap<>();
    private long life;                               // of whoever wrote the segment being read
    private Entry.Opened opened = new Entry.Opened(0, 0, "", List.of(), List.of());
    private long snapshotEnd;

    /** Takes an entry in; gives the order it speaks of, or null for one that speaks of none. */
    Order apply(Entry entry) {
        if (entry instanceof Entry.Opened e) {
            opened = e;
            life = e.life();
            return null;
        }
        if (entry instanceof Entry.SnapshotEnd e) {
            snapshotEnd++;
            return null;
        }
        if (entry instanceof Entry.Gap) { return null; }
        if (entry instanceof Entry.Carried e) { return carried(e); }
        if (entry instanceof Entry.Closed e) {
            Order order = order(e.life(), e.order());
            order.closedUs = e.atUs();
            return order;
        }
        if (entry instanceof Entry.Taken e) {
            Order order = order(life, e.order());
            order.takenUs = e.atUs();
            return fill(order, e.facts());
        }
        if (entry instanceof Entry.Intended e) {
            Order order = fill(order(life, e.order()), e.facts());
            Order.Try one = order.attempt(e.attempt());
            one.intendedUs = e.atUs();
            one.region = e.region();
            order.takenUs = e.takenUs();
            return order;
        }
        if (entry instanceof Entry.Written e) {
            Order order = order(life, e.order());
            order.attempt(e.attempt()).writtenUs = e.atUs();
            return order;
        }
        if (entry instanceof Entry.Ended e) {
            Order order = order(life, e.order());
            Order.Try one = order.attempt(e.attempt());
            one.endedUs = e.atUs();
            one.outcome = e.outcome();
            one.mayHaveGone = e.mayHaveGone();
            return order;
        }
        Entry.Answered e = (Entry.Answered) entry;
        Order order = order(life, e.order());
        order.answeredUs = e.atUs();
        order.answer = e.answer();
        return order;
    }

    private Order carried(Entry.Carried e) {
        Order order = order(e.life(), e.order());
        order.takenUs = e.atUs();
        if (e.facts() != null) { fill(order, e.facts()); }
        if (e.answer() != null) { order.answer = e.answer(); }
        for (Order.Try told : e.tries()) {
            Order.Try one = order.attempt(told.attempt);
            one.region = told.region;
            one.intendedUs = told.intendedUs;
            one.writtenUs = Math.max(one.writtenUs, told.writtenUs);
            if (told.outcome != null) {
                one.endedUs = told.endedUs;
                one.outcome = told.outcome;
                one.mayHaveGone = told.mayHaveGone;
            }
        }
        return order;
    }

    private Order order(long ofLife, long number) {
        return orders.computeIfAbsent(new Key(ofLife, number), key -> {
            Order order = new Order(ofLife, number);
            order.instance = opened.name();
            return order;
        });
    }

    private Order fill(Order order, Entry.Facts facts) {
        order.facts = facts;
        order.className = name(opened.classes(), facts.classIndex());
        order.plan = name(opened.plans(), facts.plan());
        return order;
    }

    private static String name(List<String> names, int index) {
        return index < names.size() ? names.get(index) : Integer.toString(index);
    }

    /** Where the segment that begins tells of an order that is held. */
    void begins(long ofLife, long number, int block) {
        Order order = orders.get(new Key(ofLife, number));
        if (order != null) { order.firstBlock = block; }
    }

    void remove(Order order) { orders.remove(new Key(order.life, order.number)); }

    /** As the entries came; changes with the book. */
    Collection<Order> orders() { return orders.values(); }

    int size() { return orders.size(); }

    /** How many snapshots have been read to their end. */
    long snapshots() { return snapshotEnd; }

    Entry.Opened opened() { return opened; }

    /** The open orders as entries of a snapshot. */
    List<Entry> snapshot(long atUs) {
        List<Entry> entries = new ArrayList<>(orders.size() + 1);
        for (Order o : orders.values()) {
            if (!o.isOver()) { entries.add(new Entry.Carried(o.takenUs, o.life, o.number, o.facts, o.answer, o.tries)); }
        }
        entries.add(new Entry.SnapshotEnd(atUs, entries.size()));
        return entries;
    }
}

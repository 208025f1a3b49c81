package yardusher.view;

import yardusher.view.View.State;

/** The stored state of one member name. Only its {@link MemberTable} changes it, except for the gossip bookkeeping at the end. */
final class Entry {
    final String name;
    final long place;                                // its position on the ring, a hash of the name
    Who who;
    long life;
    long born;
    long incarnation;
    State state;
    double sinceMs;                                  // when it entered this state, on the local clock
    int[] accusers = News.NOBODY;

    int told;                                        // how many times the current update was gossiped
    long queued;                                     // number of its item in the gossip queue; 0 if not queued
    long heldDigest;                                 // digest of its whole view, as it last reported
    double heldAtMs = Double.NEGATIVE_INFINITY;
    double correctedMs = Double.NEGATIVE_INFINITY;   // when it was last sent the record held of it here

    Entry(String name, long place) {
        this.name = name;
        this.place = place;
    }

    boolean isThere() { return state == State.ALIVE || state == State.SUSPECT; }

    boolean isThis(Entry probed, long itsLife) { return this == probed && life == itsLife; }

    News news(double now) {
        int age = isThere() ? 0 : (int) Math.min(1_000_000, Math.max(0, (now - sinceMs) / 1000));
        return new News(who, life, born, incarnation, state, accusers, age);
    }

    View.Member member() { return new View.Member(name, who.hall(), who.at(), incarnation, state); }
}

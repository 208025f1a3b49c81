package yardusher.view;

import yardusher.view.View.State;

/** What is held of one name. Changed by its {@link Roster} alone, but for the notes of who told what when. */
final class Entry {
    final String name;
    final long place;                                // on the ring of all members
    Who who;
    long life;
    long born;
    long incarnation;
    State state;
    double sinceMs;                                  // when it came into this state, here
    int[] accusers = News.NOBODY;

    int told;                                        // how often this news was passed on
    long queued;                                     // the last time it was put in line
    long heldDigest;                                 // of its whole picture, as it last said
    double heldAtMs = Double.NEGATIVE_INFINITY;
    double correctedMs = Double.NEGATIVE_INFINITY;   // when it was last told what is held of it

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

package yardusher.view;

import yardusher.view.View.State;

/** What is held of one name. Changed by its {@link MemberTable} alone, but for the notes of who told what when. */
final class MemberEntry {
    final String name;
    final long ringPosition;                                // on the ring of all members
    MemberIdentity identity;
    long instanceId;
    long firstIncarnation;
    long incarnation;
    State state;
    double stateSinceMs;                                  // when it came into this state, here
    int[] accusers = MemberUpdate.NO_ACCUSERS;

    int transmissions;                                        // how often this news was passed on
    long queueNumber;                                     // the last time it was put in line
    long reportedDigest;                                 // of its whole picture, as it last said
    double reportedAtMs = Double.NEGATIVE_INFINITY;
    double correctedAtMs = Double.NEGATIVE_INFINITY;   // when it was last told what is held of it

    MemberEntry(String name, long ringPosition) {
        this.name = name;
        this.ringPosition = ringPosition;
    }

    boolean isActive() { return state == State.ALIVE || state == State.SUSPECT; }

    boolean isSameInstance(MemberEntry other, long otherInstanceId) { return this == other && instanceId == otherInstanceId; }

    MemberUpdate toUpdate(double now) {
        int age = isActive() ? 0 : (int) Math.min(1_000_000, Math.max(0, (now - stateSinceMs) / 1000));
        return new MemberUpdate(identity, instanceId, firstIncarnation, incarnation, state, accusers, age);
    }

    View.Member toMember() { return new View.Member(name, identity.hall(), identity.address(), incarnation, state); }
}

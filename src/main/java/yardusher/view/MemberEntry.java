package yardusher.view;

import yardusher.view.View.State;

/** The stored state of one member name. Only its {@link MemberTable} changes it, except for the gossip bookkeeping at the end. */
final class MemberEntry {
    final String name;
    final long ringPosition;                         // its position on the ring, a hash of the name
    MemberIdentity identity;
    long instanceId;
    long firstIncarnation;
    long incarnation;
    State state;
    double stateSinceMs;                             // when it entered this state, on the local clock
    int[] accusers = MemberUpdate.NO_ACCUSERS;

    int transmissions;                               // how many times the current update was gossiped
    long queueNumber;                                // number of its item in the gossip queue; 0 if not queued
    long reportedDigest;                             // digest of its whole view, as it last reported
    double reportedAtMs = Double.NEGATIVE_INFINITY;
    double correctedAtMs = Double.NEGATIVE_INFINITY; // when it was last sent the record held of it here

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

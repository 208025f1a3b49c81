package yardusher.view;

/**
 * A record of a member, as gossiped between ingresses. {@code instanceId} is drawn at random by each process;
 * {@code firstIncarnation} is the incarnation with which that process took the name. {@code accusers} identify the members that
 * found a SUSPECT silent; {@code ageS} is the number of seconds for which a GONE or LEFT member has been in that state.
 */
record MemberUpdate(MemberIdentity identity, long instanceId, long firstIncarnation, long incarnation, View.State state, int[] accusers,
        int ageS) {
    static final int[] NO_ACCUSERS = new int[0];

    /** Whether one instance is later than another: by first incarnation, and where those are equal by the (unsigned) instance id. */
    static boolean isLaterInstance(long firstIncarnation, long instanceId, long otherFirstIncarnation, long otherInstanceId) {
        return firstIncarnation != otherFirstIncarnation ? firstIncarnation > otherFirstIncarnation
                : Long.compareUnsigned(instanceId, otherInstanceId) > 0;
    }

    boolean isActive() { return state == View.State.ALIVE || state == View.State.SUSPECT; }
}

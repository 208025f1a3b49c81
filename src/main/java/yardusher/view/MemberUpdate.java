package yardusher.view;

/**
 * What one ingress tells another of a member. {@code life} is drawn by each process at random; {@code born} is the incarnation
 * with which that life took the name. {@code accusers} stand for who found a SUSPECT silent, {@code ageS} is for how many seconds
 * a GONE or LEFT one has been so.
 */
record MemberUpdate(MemberIdentity identity, long instanceId, long firstIncarnation, long incarnation, View.State state, int[] accusers, int ageS) {
    static final int[] NO_ACCUSERS = new int[0];

    /** Whether this is of a later life than the other: the later born; of two born alike the one with the higher life. */
    static boolean isLaterInstance(long firstIncarnation, long instanceId, long otherFirstIncarnation, long otherInstanceId) {
        return firstIncarnation != otherFirstIncarnation ? firstIncarnation > otherFirstIncarnation : Long.compareUnsigned(instanceId, otherInstanceId) > 0;
    }

    boolean isActive() { return state == View.State.ALIVE || state == View.State.SUSPECT; }
}
